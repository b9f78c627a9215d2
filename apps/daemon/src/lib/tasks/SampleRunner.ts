/**
 * Produces one sample: waits for an engine, streams the completion, and has it scored. When scoring fails, the
 * completion is kept and scoring is retried, because a completion costs more to generate than to score.
 */

import {
    after,
    type Completion,
    type CompletionChunk,
    type PlannedAttempt,
    type PoolId,
    type Problem,
    problem,
    type RequestId,
    type Sample,
    type ServiceConfig,
    sleepUntil,
    type StepSpec,
    type TargetFailure,
    type TargetId,
    type WeightVersion,
    type Work,
    type WorkClass,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type Context } from "../Context.js";
import { limitSignal } from "../limitSignal.js";
import { type DispatchTask } from "./DispatchTask.js";

const samplePriority = 10;
const tailPriority = 5;
const scoreTimeoutMs = 10_000;
const maxScoreAttempts = 5;
const scoreRetryDelayMs = 200;

/** A finished sample, and whether the engine reported the weight versions that generated it. */
export interface ProducedSample {
    readonly sample: Sample;
    readonly areVersionsKnown: boolean;
}

/** Why an attempt produced no sample, and the target on which it failed. */
export interface AttemptFailure {
    readonly problem: Problem;
    readonly target: TargetId | undefined;
}

/** A request for one attempt to produce a sample. */
export interface AttemptRequest {
    readonly spec: StepSpec;
    readonly service: ServiceConfig;
    readonly planned: PlannedAttempt;
    readonly lowestVersion: WeightVersion;
    readonly excluded: readonly TargetId[];
}

/** Receives the progress of an attempt. */
export interface AttemptListener {
    onDispatched(target: TargetId): void;
    onChunk(chunk: CompletionChunk): void;
    onGenerated(): void;
}

/** Produces samples on engines and scorers. */
export class SampleRunner {
    constructor(private readonly ctx: Context, private readonly dispatch: DispatchTask) {}

    /** Runs one attempt; Left contains the reason why there is no sample. */
    async run(
        request: AttemptRequest,
        listener: AttemptListener,
        signal: AbortSignal,
    ): Promise<Either<AttemptFailure, ProducedSample>> {
        const generated = await this.generate(request, listener, signal);
        if (generated.isLeft()) {
            return generated as unknown as Either<AttemptFailure, ProducedSample>;
        }
        const done = generated.unsafeCoerce();
        listener.onGenerated();
        const reward = await this.score(request, done, signal);
        return reward
            .map(value => ({ sample: toSample(request.planned, done, value), areVersionsKnown: done.areVersionsKnown }))
            .mapLeft(failure => ({ problem: failure, target: undefined }));
    }

    private async generate(
        request: AttemptRequest,
        listener: AttemptListener,
        signal: AbortSignal,
    ): Promise<Either<AttemptFailure, Completion>> {
        const { service, planned: { attempt, plan, isTail }, lowestVersion, excluded } = request;
        const work = this.createWork(
            request,
            service.enginePool,
            `${attempt}`,
            isTail ? "step-tail" : "sample",
            excluded,
        );
        const acquired = await this.dispatch.acquire({ ...work, prefix: plan.prompt, lowestVersion }, signal);
        if (acquired.isLeft()) {
            return Left({ problem: acquired.extract() as Problem, target: undefined });
        }
        const slot = acquired.unsafeCoerce();
        const { target, url } = slot.view;
        listener.onDispatched(target);
        const { prompt, maxTokens, seed } = plan;
        const priority = isTail ? tailPriority : samplePriority;
        const res = await this.ctx.ports.engine.generate(
            { target, url },
            { attempt, model: service.service, prompt, maxTokens, seed, priority },
            chunk => listener.onChunk(chunk),
            signal,
        );
        slot.release({ ok: res.isRight(), tokens: res.map(done => done.tokens).orDefault(0) });
        return res.mapLeft(failure => ({ problem: toProblem(failure), target }));
    }

    private async score(
        request: AttemptRequest,
        completion: Completion,
        signal: AbortSignal,
    ): Promise<Either<Problem, number | undefined>> {
        if (request.service.scorerPool === undefined) {
            return Right(undefined);
        }
        let failed: Either<Problem, number> = Left(problem("gone", "The attempt was given up."));
        for (let attemptNumber = 1; attemptNumber <= maxScoreAttempts && !signal.aborted; attemptNumber++) {
            failed = await this.scoreOnce(request, completion, attemptNumber, signal);
            if (failed.isRight()) {
                return failed;
            }
            await sleepUntil(this.ctx.clock, after(this.ctx.clock.now(), scoreRetryDelayMs * attemptNumber), signal);
        }
        return failed;
    }

    private async scoreOnce(
        request: AttemptRequest,
        completion: Completion,
        attemptNumber: number,
        signal: AbortSignal,
    ): Promise<Either<Problem, number>> {
        const { service, planned: { attempt, plan } } = request;
        const work = this.createWork(request, service.scorerPool, `${attempt}/score.${attemptNumber}`, "score", []);
        const acquired = await this.dispatch.acquire(work, signal);
        if (acquired.isLeft()) {
            return acquired as unknown as Either<Problem, number>;
        }
        const slot = acquired.unsafeCoerce();
        const address = { target: slot.view.target, url: slot.view.url };
        const limit = limitSignal(this.ctx.clock, signal, after(this.ctx.clock.now(), scoreTimeoutMs));
        const res = await this.ctx.ports.scorer.score(address, plan.prompt, completion.text, limit.signal);
        limit.end();
        slot.release({ ok: res.isRight(), tokens: 1 });
        return res.mapLeft(toProblem);
    }

    private createWork(
        { spec, service }: AttemptRequest,
        pool: PoolId | undefined,
        id: string,
        workClass: WorkClass,
        excluded: readonly TargetId[],
    ): Work {
        return {
            id: id as RequestId,
            pool: pool ?? "" as PoolId,
            caller: spec.caller,
            workClass,
            policy: service.policy,
            arrivedAt: this.ctx.clock.now(),
            deadline: spec.deadline,
            lateCost: service.lateCost,
            expectedTokens: undefined,
            prefix: undefined,
            lowestVersion: undefined,
            excluded,
        };
    }
}

function toSample({ attempt, plan }: PlannedAttempt, completion: Completion, reward: number | undefined): Sample {
    return {
        index: plan.index,
        group: plan.group,
        attempt,
        text: completion.text,
        tokens: completion.tokens,
        spans: completion.spans,
        reward,
        finish: completion.finish,
    };
}

/** Converts a target's failure to the problem that is returned to the caller. */
export function toProblem(failure: TargetFailure): Problem {
    const run = failure.transmission === "some-bytes" ? "unknown" : "not-run";
    return problem("target-failed", failure.detail, { run, retry: { allowed: run === "not-run" } });
}
