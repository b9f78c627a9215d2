/** Runs one request on a plain service: waits for a target, sends the request, and returns the whole answer. */

import {
    after,
    type CallerId,
    type Instant,
    msUntil,
    type PlainRequest,
    type PlainResponse,
    type PoolId,
    type Problem,
    problem,
    type RequestId,
    type ServiceConfig,
    type StoredResponse,
    type TargetFailure,
    type TargetId,
    type Work,
} from "@tamarackpath/core";
import { randomUUID } from "node:crypto";
import { type Either, Left } from "purify-ts";
import { keptHeaders } from "../answers/headers.js";
import { type Context } from "../Context.js";
import { limitSignal } from "../limitSignal.js";
import { type DispatchTask, type Slot } from "./DispatchTask.js";
import { toProblem } from "./SampleRunner.js";
import { withHedge } from "./withHedge.js";

const maxCallAttempts = 3;
const retrySlotTimeoutMs = 500;
const targetFailureTypes: ReadonlySet<Problem["type"]> = new Set<Problem["type"]>([
    "target-failed",
    "deadline-exceeded",
]);
const retryableStatuses = new Set([429, 503]);

/** A request to run. */
export interface PlainRun {
    readonly service: ServiceConfig;
    readonly caller: CallerId;
    readonly req: PlainRequest;
    /** The request must be sent to a target before this time. */
    readonly deadline: Instant;
    /** An answer is accepted until this time; the default is `deadline`. */
    readonly answerDeadline?: Instant;
    readonly lateCost: number;
    /** Only an idempotent request is retried after bytes of it were sent to a target. */
    readonly idempotent: boolean;
    readonly signal: AbortSignal;
}

/** Runs requests on plain services. */
export class PlainCallRunner {
    constructor(private readonly ctx: Context, private readonly dispatch: DispatchTask) {}

    /** Runs the request. Each attempt uses a target on which the request has not failed yet, if there is one. */
    async run(run: PlainRun): Promise<Either<Problem, StoredResponse>> {
        const excluded: TargetId[] = [];
        let last: Either<Problem, StoredResponse> | undefined;
        for (let left = maxCallAttempts; left > 0; left--) {
            const res = await this.runAttempt(run, excluded, left === 1);
            const hasNoTarget = last !== undefined && isNotRun(res);
            if (hasNoTarget && !run.idempotent) {
                break;
            }
            last = hasNoTarget ? last : res;
            if (!this.canRetry(run, last!)) {
                break;
            }
            // No other target was free, so the next attempt may use one on which the request failed.
            if (hasNoTarget) {
                excluded.length = 0;
            }
        }
        return last ?? Left(problem("internal", "The request was not tried."));
    }

    private canRetry(run: PlainRun, res: Either<Problem, StoredResponse>): boolean {
        if (this.ctx.clock.now() >= run.deadline || run.signal.aborted) {
            return false;
        }
        return res.caseOf({
            Left: failure => targetFailureTypes.has(failure.type) && (run.idempotent || failure.run === "not-run"),
            Right: answer => run.idempotent && retryableStatuses.has(answer.status),
        });
    }

    private async runAttempt(
        run: PlainRun,
        excluded: TargetId[],
        isLastAttempt: boolean,
    ): Promise<Either<Problem, StoredResponse>> {
        const pool = run.service.plainPool;
        if (pool === undefined) {
            return Left(problem("not-found", "The service has no plain targets."));
        }
        const work = this.createWork(run, pool, excluded);
        if (!run.idempotent) {
            return this.attempt(run, work, excluded, isLastAttempt);
        }
        return withHedge(
            this.dispatch,
            work.id,
            run.signal,
            signal => this.attempt({ ...run, signal }, work, excluded, isLastAttempt),
            signal => this.attempt({ ...run, signal }, this.createWork(run, pool, excluded), excluded, isLastAttempt),
        );
    }

    private createWork(run: PlainRun, pool: PoolId, excluded: readonly TargetId[]): Work {
        return {
            id: randomUUID() as string as RequestId,
            pool,
            caller: run.caller,
            workClass: "answer",
            policy: run.service.policy,
            arrivedAt: this.ctx.clock.now(),
            deadline: excluded.length === 0 ? run.deadline : this.retryDeadline(run),
            lateCost: run.lateCost,
            expectedTokens: undefined,
            prefix: undefined,
            lowestVersion: undefined,
            excluded: [...excluded],
        };
    }

    private async attempt(
        run: PlainRun,
        work: Work,
        excluded: TargetId[],
        isLastAttempt: boolean,
    ): Promise<Either<Problem, StoredResponse>> {
        const acquired = await this.dispatch.acquire(work, run.signal);
        if (acquired.isLeft()) {
            return acquired as unknown as Either<Problem, StoredResponse>;
        }
        const slot = acquired.unsafeCoerce();
        excluded.push(slot.view.target);
        const res = await this.send(run, work, slot, this.answerDeadline(run, isLastAttempt));
        slot.release({ ok: res.isRight(), tokens: 1 });
        return res.mapLeft(toCallProblem).map(toOutcome);
    }

    /** A retry waits only briefly for a slot, because there may be no other target. */
    private retryDeadline(run: PlainRun): Instant {
        return Math.min(run.deadline, after(this.ctx.clock.now(), retrySlotTimeoutMs)) as Instant;
    }

    /** An attempt that can be retried ends early, because its connection may have stalled. */
    private answerDeadline(run: PlainRun, isLastAttempt: boolean): Instant {
        if (!run.idempotent || isLastAttempt) {
            return run.answerDeadline ?? run.deadline;
        }
        const now = this.ctx.clock.now();
        return after(now, msUntil(run.deadline, now) / 2);
    }

    private async send(
        run: PlainRun,
        work: Work,
        slot: Slot,
        answerDeadline: Instant,
    ): Promise<Either<TargetFailure, PlainResponse>> {
        const limit = limitSignal(this.ctx.clock, run.signal, answerDeadline);
        const headers = { ...run.req.headers, "tamarack-attempt": work.id, "tamarack-deadline": String(run.deadline) };
        const res = await this.ctx.ports.plain.call(
            { target: slot.view.target, url: slot.view.url },
            { ...run.req, headers },
            limit.signal,
        );
        limit.end();
        return res;
    }
}

function isNotRun(res: Either<Problem, StoredResponse>): boolean {
    return res.isLeft() && res.swap().unsafeCoerce().run === "not-run";
}

/** Converts a target's failure to the problem of a call. A deadline that passed at the target has a type of its own. */
export function toCallProblem(failure: TargetFailure): Problem {
    const converted = toProblem(failure);
    return failure.reason === "deadline" ? { ...converted, type: "deadline-exceeded" } : converted;
}

function toOutcome(answer: PlainResponse): StoredResponse {
    return {
        status: answer.status,
        headers: keptHeaders(answer.headers),
        bodyBase64: Buffer.from(answer.body).toString("base64"),
    };
}
