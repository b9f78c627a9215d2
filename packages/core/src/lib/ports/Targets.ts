/**
 * The ports to targets. Each failure states how much of the request was handed over, because only a request of which no
 * byte was sent may be reported as "not run".
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

/** Why a call to a target failed. "refused" means that the target reported that it did not run the request. */
export interface TargetFailure {
    readonly transmission: RequestTransmission;
    readonly reason: "connect" | "refused" | "cut" | "cancelled" | "protocol" | "deadline";
    readonly detail: string;
    readonly retryNotBefore?: Instant;
}

/** The request to an engine to generate a completion. */
export interface GenerateRequest {
    readonly attempt: AttemptId;
    readonly model: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly seed: number;
    /** Requests with lower values run first, as is common for engines. */
    readonly priority: number;
}

/** Tokens that one weight version produced, in order. */
export interface VersionSpan {
    readonly version: WeightVersion;
    readonly tokens: number;
}

/** One chunk of a streamed completion. */
export interface CompletionChunk {
    readonly text: string;
    readonly tokens: number;
    /** Version that generated the chunk; undefined when the engine reported none. */
    readonly version: WeightVersion | undefined;
}

/** A completion that the engine ended. */
export interface Completion {
    readonly text: string;
    readonly tokens: number;
    readonly spans: readonly VersionSpan[];
    /** False when a chunk had no version or the versions were inconsistent. */
    readonly areVersionsKnown: boolean;
    readonly finish: "stop" | "length";
}

/** Status that an engine reports; it may be out of date. */
export interface EngineReport {
    readonly version: WeightVersion;
    /** False during a swap of weights and after one that failed partway. */
    readonly versionWhole: boolean;
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** An order to load a weight version. */
export interface LoadOrder {
    readonly version: WeightVersion;
    /** Fencing token; engines that check it refuse an order below the highest one that they have received. */
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

/** Headers by lower-case name; a repeated header has a list of values. */
export type HeaderValues = Readonly<Record<string, string | string[]>>;

/** A request to a plain service. */
export interface PlainRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | undefined;
    /** Set for a request that must not be repeated; it is sent on a connection of its own. */
    readonly neverRepeat?: boolean;
}

/** The complete response of a plain service. */
export interface PlainResponse {
    readonly status: number;
    readonly headers: HeaderValues;
    readonly body: Uint8Array;
}

/** A plain service. */
export interface PlainServicePort {
    call(address: TargetAddress, req: PlainRequest, signal: AbortSignal): Promise<Either<TargetFailure, PlainResponse>>;
    /** Checks whether the target is up, until `deadline`. */
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
