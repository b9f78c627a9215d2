/**
 * Streams completions from engines to callers. A stream ends either complete or with a problem, which the caller
 * receives as an error event that marks the stream as partial.
 */

import {
    after,
    asId,
    type AttemptId,
    type CallerId,
    type Completion,
    type CompletionChunk,
    type Instant,
    type PoolId,
    type Problem,
    problem,
    type RequestId,
    type ServiceConfig,
    type TargetId,
    type Work,
} from "@tamarackpath/core";
import { randomUUID } from "node:crypto";
import { type Either, Left } from "purify-ts";
import { type Context } from "../Context.js";
import { limitSignal } from "../limitSignal.js";
import { type DispatchTask } from "./DispatchTask.js";
import { toCallProblem } from "./PlainCallRunner.js";
import { withHedge } from "./withHedge.js";

const maxCompletionAttempts = 3;
/** A retry waits only briefly for a slot, because there may be no other target. */
const retrySlotTimeoutMs = 500;

type OnChunk = (chunk: CompletionChunk) => void | Promise<void>;

/** A completion that a caller requests. */
export interface CompletionCall {
    readonly service: ServiceConfig;
    readonly caller: CallerId;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly seed: number;
    readonly deadline: Instant;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly signal: AbortSignal;
}

/** Streams completions. */
export class CompletionTask {
    constructor(private readonly ctx: Context, private readonly dispatch: DispatchTask) {}

    /**
     * Streams a completion to `onChunk`. While a promise returned by `onChunk` is pending, no further chunk is read.
     * An attempt that fails before the first chunk was passed on is retried on another target.
     */
    async run(call: CompletionCall, onChunk: OnChunk): Promise<Either<Problem, Completion>> {
        const excluded: TargetId[] = [];
        let hasStarted = false;
        let last: Either<Problem, Completion> | undefined;
        for (let left = maxCompletionAttempts; left > 0; left--) {
            const res = await this.runAttempt(call, excluded, chunk => {
                hasStarted = true;
                return onChunk(chunk);
            });
            const failure = res.swap().toMaybe().extract();
            if (last !== undefined && failure !== undefined && failure.type !== "target-failed") {
                return last;
            }
            last = res;
            const isOver = call.signal.aborted || this.ctx.clock.now() >= call.deadline;
            if (failure?.type !== "target-failed" || hasStarted || isOver) {
                break;
            }
        }
        return last ?? Left(problem("internal", "The completion was not tried."));
    }

    private async runAttempt(
        call: CompletionCall,
        excluded: TargetId[],
        onChunk: OnChunk,
    ): Promise<Either<Problem, Completion>> {
        const pool = call.service.enginePool;
        if (pool === undefined) {
            return Left(problem("not-found", "The service has no engines."));
        }
        const work = this.createWork(call, pool, excluded);
        const winner: { id?: RequestId; } = {};
        return withHedge(
            this.dispatch,
            work.id,
            call.signal,
            signal =>
                this.attempt({ ...call, signal }, work, excluded, this.passOnWinner(winner, work.id, work.id, onChunk)),
            signal => {
                const second = this.createWork(call, pool, excluded);
                const guarded = this.passOnWinner(winner, work.id, second.id, onChunk);
                return this.attempt({ ...call, signal }, second, excluded, guarded);
            },
        );
    }

    /** Passes on the chunks of the attempt that produces a chunk first. The other one is aborted at its first chunk. */
    private passOnWinner(winner: { id?: RequestId; }, first: RequestId, id: RequestId, onChunk: OnChunk): OnChunk {
        return chunk => {
            if (winner.id === undefined) {
                winner.id = id;
                this.dispatch.cancelHedge(first);
            }
            if (winner.id !== id) {
                throw new Error("Another attempt answers this request.");
            }
            return onChunk(chunk);
        };
    }

    private async attempt(
        call: CompletionCall,
        work: Work,
        excluded: TargetId[],
        onChunk: OnChunk,
    ): Promise<Either<Problem, Completion>> {
        const acquired = await this.dispatch.acquire(work, call.signal);
        if (acquired.isLeft()) {
            return acquired as unknown as Either<Problem, Completion>;
        }
        const slot = acquired.unsafeCoerce();
        excluded.push(slot.view.target);
        const limit = limitSignal(this.ctx.clock, call.signal, call.deadline);
        const res = await this.ctx.ports.engine.generate(
            { target: slot.view.target, url: slot.view.url },
            {
                attempt: asId<AttemptId>(work.id),
                model: call.service.service,
                prompt: call.prompt,
                maxTokens: call.maxTokens,
                seed: call.seed,
                priority: call.priority,
            },
            onChunk,
            limit.signal,
        );
        limit.end();
        slot.release({ ok: res.isRight(), tokens: res.map(done => done.tokens).orDefault(0) });
        return res.mapLeft(toCallProblem);
    }

    private createWork(call: CompletionCall, pool: PoolId, excluded: readonly TargetId[]): Work {
        const now = this.ctx.clock.now();
        const retryDeadline = Math.min(call.deadline, after(now, retrySlotTimeoutMs)) as Instant;
        return {
            id: randomUUID() as string as RequestId,
            pool,
            caller: call.caller,
            workClass: "answer",
            policy: call.service.policy,
            arrivedAt: now,
            deadline: excluded.length === 0 ? call.deadline : retryDeadline,
            lateCost: call.service.lateCost,
            expectedTokens: undefined,
            prefix: call.prompt,
            lowestVersion: undefined,
            excluded: [...excluded],
        };
    }
}
