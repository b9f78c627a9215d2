/** An engine port that tells of each stream's progress and of refusals, so that routing sees which targets are slow or busy. */

import {
    type AttemptId,
    type Completion,
    type CompletionChunk,
    type EnginePort,
    type EngineReport,
    type GenerateRequest,
    type Instant,
    type LoadOrder,
    type TargetAddress,
    type TargetFailure,
    type TargetId,
} from "@tamarackpath/core";
import { type Either } from "purify-ts";

/** Passes every call on to `engine`. */
export class MeteredEngine implements EnginePort {
    /** Called for each chunk; a plain call, because a message for each token would cost more than the token. */
    onProgress: (attempt: AttemptId, tokens: number) => void = () => undefined;

    /** Called when a target said that it did not run a request. */
    onRefused: (target: TargetId) => void = () => undefined;

    constructor(private readonly engine: EnginePort) {}

    async generate(
        address: TargetAddress,
        req: GenerateRequest,
        onChunk: (chunk: CompletionChunk) => void | Promise<void>,
        signal: AbortSignal,
    ): Promise<Either<TargetFailure, Completion>> {
        const res = await this.engine.generate(address, req, chunk => {
            this.onProgress(req.attempt, chunk.tokens);
            return onChunk(chunk);
        }, signal);
        res.ifLeft(failure => failure.transmission === "refused" && this.onRefused(address.target));
        return res;
    }

    report(address: TargetAddress, deadline: Instant): Promise<Either<TargetFailure, EngineReport>> {
        return this.engine.report(address, deadline);
    }

    load(address: TargetAddress, order: LoadOrder, deadline: Instant): Promise<Either<TargetFailure, EngineReport>> {
        return this.engine.load(address, order, deadline);
    }
}
