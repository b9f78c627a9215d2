/**
 * The ports towards targets. A failure always says how much of the request was handed over, because only a request
 * of which no byte left may be called "not run".
 */

import { type Either } from "purify-ts";
import { type AttemptId, type Instant, type TargetId, type WeightVersion } from "../ids.js";

/** Where a target listens. */
export interface TargetAddress {
    readonly target: TargetId;
    /** Base address, such as `http://127.0.0.1:8000`. */
    readonly url: string;
}

/** How much of a request the target may have received. */
export type RequestTransmission = "no-byte" | "some-bytes" | "refused";

/** Why a call to a target failed. "refused" means that the target itself said it did not run the request. */
export interface TargetFailure {
    readonly transmission: RequestTransmission;
    readonly reason: "connect" | "refused" | "cut" | "cancelled" | "protocol" | "deadline";
    readonly detail: string;
    readonly retryNotBefore?: Instant;
}

/** What an engine is asked to generate. */
export interface GenerateRequest {
    readonly attempt: AttemptId;
    readonly model: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly seed: number;
    /** Lower runs first, as engines commonly define it. */
    readonly priority: number;
}

/** Tokens that one weight version produced, in order. */
export interface VersionSpan {
    readonly version: WeightVersion;
    readonly tokens: number;
}

/** One piece of a streamed completion. */
export interface CompletionChunk {
    readonly text: string;
    readonly tokens: number;
    /** Version that produced the chunk, as the engine said; absent when it said nothing. */
    readonly version: WeightVersion | undefined;
}

/** A completion that ended whole. */
export interface Completion {
    readonly text: string;
    readonly tokens: number;
    readonly spans: readonly VersionSpan[];
    /** False when any chunk came without a version or versions contradicted each other. */
    readonly areVersionsKnown: boolean;
    readonly finish: "stop" | "length";
}

/** What an engine reports about itself; it lags. */
export interface EngineReport {
    readonly version: WeightVersion;
    /** False while a swap is under way or after it failed partway. */
    readonly versionWhole: boolean;
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** An order to be at a weight version. */
export interface LoadOrder {
    readonly version: WeightVersion;
    /** Fencing number; engines that check it refuse an order below the highest they have seen. */
    readonly fence: number;
}

/** A model engine. */
export interface EnginePort {
    generate(
        address: TargetAddress,
        req: GenerateRequest,
        onChunk: (chunk: CompletionChunk) => void | Promise<void>,
        signal: AbortSignal,
    ): Promise<Either<TargetFailure, Completion>>;
    report(address: TargetAddress, deadline: Instant): Promise<Either<TargetFailure, EngineReport>>;
    load(address: TargetAddress, order: LoadOrder, deadline: Instant): Promise<Either<TargetFailure, EngineReport>>;
}

/** Headers by lower-case name; a name that came more than once has a list of values. */
export type HeaderValues = Readonly<Record<string, string | string[]>>;

/** A request to a plain service. */
export interface PlainRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | undefined;
    /** Set for a request that must not be repeated; it travels on a connection of its own. */
    readonly neverRepeat?: boolean;
}

/** The whole answer of a plain service. */
export interface PlainResponse {
    readonly status: number;
    readonly headers: HeaderValues;
    readonly body: Uint8Array;
}

/** A plain service. */
export interface PlainServicePort {
    call(address: TargetAddress, req: PlainRequest, signal: AbortSignal): Promise<Either<TargetFailure, PlainResponse>>;
    /** Asks whether the target is up, within `deadline`. */
    probe(address: TargetAddress, deadline: Instant): Promise<Either<TargetFailure, void>>;
}

/** A service that scores samples. */
export interface ScorerPort {
    score(
        address: TargetAddress,
        prompt: string,
        text: string,
        signal: AbortSignal,
    ): Promise<Either<TargetFailure, number>>;
}
