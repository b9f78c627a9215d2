/**
 * Produces one sample: waits for an engine, streams the completion, and has it scored. A completion that cannot be
 * scored at once is kept and scored elsewhere, because it costs more to generate than to score.
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
const scoreTries = 5;
const scoreRetryMs = 200;

/** A finished sample and whether the engine named its versions. */
export interface ProducedSample {
    readonly sample: Sample;
    readonly versionsKnown: boolean;
}

/** Why an attempt gave no sample, and the target that it failed on. */
export interface AttemptFailure {
    readonly problem: Problem;
    readonly target: TargetId | undefined;
}

/** One attempt to produce a sample. */
export interface AttemptOrder {
    readonly spec: StepSpec;
    readonly service: ServiceConfig;
    readonly start: PlannedAttempt;
    readonly lowestVersion: WeightVersion;
    readonly excluded: readonly TargetId[];
}

/** Hears how an attempt proceeds. */
export interface AttemptListener {
    onDispatched(target: TargetId): void;
    onChunk(chunk: CompletionChunk): void;
    onGenerated(): void;
}

/** Produces samples on engines and scorers. */
export class SampleRunner {
    constructor(private readonly ctx: Context, private readonly dispatch: DispatchTask) {}

    /** Runs one attempt; Left says why there is no sample. */
    async run(
        order: AttemptOrder,
        listener: AttemptListener,
        signal: AbortSignal,
    ): Promise<Either<AttemptFailure, ProducedSample>> {
        const generated = await this.generate(order, listener, signal);
        if (generated.isLeft()) {
            return generated as unknown as Either<AttemptFailure, ProducedSample>;
        }
        const done = generated.unsafeCoerce();
        listener.onGenerated();
        const reward = await this.score(order, done, signal);
        return reward
            .map(value => ({ sample: toSample(order.start, done, value), versionsKnown: done.areVersionsKnown }))
            .mapLeft(found => ({ problem: found, target: undefined }));
    }

    private async generate(
        order: AttemptOrder,
        listener: AttemptListener,
        signal: AbortSignal,
    ): Promise<Either<AttemptFailure, Completion>> {
        const { service, start: { attempt, plan, isTail }, lowestVersion, excluded } = order;
        const work = this.work(order, service.enginePool, `${attempt}`, isTail ? "step-tail" : "sample", excluded);
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
        order: AttemptOrder,
        completion: Completion,
        signal: AbortSignal,
    ): Promise<Either<Problem, number | undefined>> {
        if (order.service.scorerPool === undefined) {
            return Right(undefined);
        }
        let failed: Either<Problem, number> = Left(problem("gone", "The attempt was given up."));
        for (let nth = 1; nth <= scoreTries && !signal.aborted; nth++) {
            failed = await this.scoreOnce(order, completion, nth, signal);
            if (failed.isRight()) {
                return failed;
            }
            await sleepUntil(this.ctx.clock, after(this.ctx.clock.now(), scoreRetryMs * nth), signal);
        }
        return failed;
    }

    private async scoreOnce(
        order: AttemptOrder,
        completion: Completion,
        nth: number,
        signal: AbortSignal,
    ): Promise<Either<Problem, number>> {
        const { service, start: { attempt, plan } } = order;
        const work = this.work(order, service.scorerPool, `${attempt}/score.${nth}`, "score", []);
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

    private work(
        { spec, service }: AttemptOrder,
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

/** Turns a target's failure into the problem that a caller sees. */
export function toProblem(failure: TargetFailure): Problem {
    const run = failure.transmission === "some-bytes" ? "unknown" : "not-run";
    return problem("target-failed", failure.detail, { run, retry: { allowed: run === "not-run" } });
}
