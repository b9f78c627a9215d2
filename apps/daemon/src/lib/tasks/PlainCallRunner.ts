/** Runs one request on a plain service: waits for a target, sends it, and returns the whole answer. */

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

const idempotentTries = 3;
const retryWaitMs = 500;
const failedAtTarget: ReadonlySet<Problem["type"]> = new Set<Problem["type"]>(["target-failed", "deadline-exceeded"]);
const busyStatuses = new Set([429, 503]);

/** A request to run. */
export interface PlainRun {
    readonly service: ServiceConfig;
    readonly caller: CallerId;
    readonly req: PlainRequest;
    /** The request must be handed to a target by then. */
    readonly deadline: Instant;
    /** The answer counts until then; without it, until the deadline. */
    readonly answerBy?: Instant;
    readonly lateCost: number;
    /** Only an idempotent request is tried again after bytes of it were handed over. */
    readonly idempotent: boolean;
    readonly signal: AbortSignal;
}

/** Runs requests on plain services. */
export class PlainCallRunner {
    constructor(private readonly ctx: Context, private readonly dispatch: DispatchTask) {}

    /** Runs the request; each try goes to a target that has not failed it yet, if there is one. */
    async run(run: PlainRun): Promise<Either<Problem, StoredResponse>> {
        const excluded: TargetId[] = [];
        let last: Either<Problem, StoredResponse> | undefined;
        for (let left = idempotentTries; left > 0; left--) {
            const res = await this.tryOnce(run, excluded, left === 1);
            const isWithoutTarget = last !== undefined && isWaitOver(res);
            if (isWithoutTarget && !run.idempotent) {
                break;
            }
            last = isWithoutTarget ? last : res;
            if (!this.mayTryAgain(run, last!)) {
                break;
            }
            if (isWithoutTarget) {
                excluded.length = 0;
            }
        }
        return last ?? Left(problem("internal", "The request was not tried."));
    }

    private mayTryAgain(run: PlainRun, res: Either<Problem, StoredResponse>): boolean {
        if (this.ctx.clock.now() >= run.deadline || run.signal.aborted) {
            return false;
        }
        return res.caseOf({
            Left: found => failedAtTarget.has(found.type) && (run.idempotent || found.run === "not-run"),
            Right: answer => run.idempotent && busyStatuses.has(answer.status),
        });
    }

    private async tryOnce(
        run: PlainRun,
        excluded: TargetId[],
        isLast: boolean,
    ): Promise<Either<Problem, StoredResponse>> {
        const pool = run.service.plainPool;
        if (pool === undefined) {
            return Left(problem("not-found", "The service has no plain targets."));
        }
        const work = this.workOf(run, pool, excluded);
        if (!run.idempotent) {
            return this.attempt(run, work, excluded, isLast);
        }
        return withHedge(
            this.dispatch,
            work.id,
            run.signal,
            signal => this.attempt({ ...run, signal }, work, excluded, isLast),
            signal => this.attempt({ ...run, signal }, this.workOf(run, pool, excluded), excluded, isLast),
        );
    }

    private workOf(run: PlainRun, pool: PoolId, excluded: readonly TargetId[]): Work {
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
        isLast: boolean,
    ): Promise<Either<Problem, StoredResponse>> {
        const acquired = await this.dispatch.acquire(work, run.signal);
        if (acquired.isLeft()) {
            return acquired as unknown as Either<Problem, StoredResponse>;
        }
        const slot = acquired.unsafeCoerce();
        excluded.push(slot.view.target);
        const res = await this.send(run, work, slot, this.answerBy(run, isLast));
        slot.release({ ok: res.isRight(), tokens: 1 });
        return res.mapLeft(toCallProblem).map(toOutcome);
    }

    /** A further try waits only briefly for another target, because there may be none. */
    private retryDeadline(run: PlainRun): Instant {
        return Math.min(run.deadline, after(this.ctx.clock.now(), retryWaitMs)) as Instant;
    }

    /** A try that can be repeated ends early, because its connection may have gone silent. */
    private answerBy(run: PlainRun, isLast: boolean): Instant {
        if (!run.idempotent || isLast) {
            return run.answerBy ?? run.deadline;
        }
        const now = this.ctx.clock.now();
        return after(now, msUntil(run.deadline, now) / 2);
    }

    private async send(
        run: PlainRun,
        work: Work,
        slot: Slot,
        answerBy: Instant,
    ): Promise<Either<TargetFailure, PlainResponse>> {
        const limit = limitSignal(this.ctx.clock, run.signal, answerBy);
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

function isWaitOver(res: Either<Problem, StoredResponse>): boolean {
    return res.isLeft() && res.swap().unsafeCoerce().run === "not-run";
}

/** Turns a failure into the problem of a call; a deadline that passed at the target is named as such. */
export function toCallProblem(failure: TargetFailure): Problem {
    const found = toProblem(failure);
    return failure.reason === "deadline" ? { ...found, type: "deadline-exceeded" } : found;
}

function toOutcome(answer: PlainResponse): StoredResponse {
    return {
        status: answer.status,
        headers: keptHeaders(answer.headers),
        bodyBase64: Buffer.from(answer.body).toString("base64"),
    };
}
