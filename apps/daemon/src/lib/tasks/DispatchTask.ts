/**
 * Gives out the targets' slots by the router's decisions: binds waiting work to targets, refuses work that cannot end
 * in time, judges the targets' speed, and tells the zone's other hosts what it has in flight.
 */

import {
    after,
    type Assignment,
    type AttemptId,
    type Instant,
    type PoolPolicy,
    type Problem,
    problem,
    type RequestId,
    Router,
    type TargetId,
    type TargetView,
    type Work,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type Context, type Task } from "../Context.js";
import { InFlightGossip } from "./InFlightGossip.js";
import { type MembershipTask } from "./MembershipTask.js";
import { type HedgeSource } from "./withHedge.js";

const judgeEveryMs = 25;
const retryAfterMs = 1000;
const mostDumped = 1000;

/** How the use of a slot ended. */
export interface SlotOutcome {
    readonly ok: boolean;
    /** Tokens produced, or 1 for a plain call. */
    readonly tokens: number;
}

/** The right to send one request to a target. */
export interface Slot {
    readonly view: TargetView;
    release(outcome: SlotOutcome): void;
}

interface Waiter {
    readonly settle: (result: Either<Problem, Slot>) => void;
}

/** Gives out the targets' slots. */
export class DispatchTask implements Task, HedgeSource {
    readonly name = "dispatch";
    private readonly router: Router;
    private readonly gossip: InFlightGossip;
    private readonly waiters = new Map<RequestId, Waiter>();
    private readonly hedgers = new Map<RequestId, () => void>();
    private cancelJudging: (() => void) | undefined;

    constructor(private readonly ctx: Context, members: MembershipTask) {
        this.router = new Router(ctx.random);
        this.gossip = new InFlightGossip(ctx, members, this.router, () => this.assign());
    }

    start(): void {
        this.ctx.bus.on("targetChanged", view => {
            this.router.setTargetView(view);
            this.assign();
        });
        this.ctx.bus.on("configApplied", () => this.configure());
        this.gossip.start();
    }

    stop(): void {
        this.gossip.stop();
        this.cancelJudging?.();
    }

    /** Waits for a slot; Left says "not run" when the work cannot end in time or `signal` aborts. */
    acquire(work: Work, signal: AbortSignal): Promise<Either<Problem, Slot>> {
        return new Promise(resolve => {
            const onAbort = (): void => {
                if (this.router.queue.remove(work.id)) {
                    settle(Left(problem("gone", "The caller gave the request up.")));
                }
            };
            const settle = (result: Either<Problem, Slot>): void => {
                signal.removeEventListener("abort", onAbort);
                this.waiters.delete(work.id);
                resolve(result);
            };
            this.waiters.set(work.id, { settle });
            const verdict = this.router.submit(work, this.ctx.clock.now());
            if (!verdict.admitted) {
                settle(Left(overloaded(verdict.notBefore)));
                return;
            }
            signal.addEventListener("abort", onAbort, { once: true });
            if (signal.aborted) {
                onAbort();
            }
            this.wake();
            this.assign();
        });
    }

    /** Refuses everything that waits; of it no byte was handed to a target. */
    refuseWaiting(): void {
        for (const { id } of this.router.queue.list(this.router.queue.length)) {
            this.router.queue.remove(id);
            this.waiters.get(id)?.settle(Left(problem("stopping", "The host stops; nothing of the work ran.", {
                retry: { allowed: true },
            })));
        }
    }

    /** Calls `start` once when the running work `id` lags and the budget pays for a second attempt. */
    onLagging(id: RequestId, start: () => void): void {
        this.hedgers.set(id, start);
    }

    offLagging(id: RequestId): void {
        this.hedgers.delete(id);
    }

    /** Notes tokens of a running attempt; its work bears the same id. */
    progressed(attempt: AttemptId, tokens: number): void {
        this.router.recordTokens(attempt as string as RequestId, tokens);
    }

    /** Notes that a target refused work. */
    refused(target: TargetId): void {
        this.router.recordRefusal(target, this.ctx.clock.now());
    }

    dump(): unknown {
        return {
            waiting: this.router.queue.list(mostDumped),
            inFlight: this.router.listRunning().slice(0, mostDumped).map(({ work, target }) => ({ ...work, target })),
            weights: this.router.targetWeights(),
        };
    }

    get inFlightCount(): number {
        return this.router.runningCount;
    }

    get waitingCount(): number {
        return this.router.queue.length;
    }

    private configure(): void {
        for (const doc of this.ctx.config.documents()) {
            for (const { pool, reserveShortShare, hedgeBudget } of doc.pools) {
                const callers = doc.services
                    .filter(service => service.enginePool === pool || service.plainPool === pool)
                    .flatMap(service => service.callers);
                const shares = Object.fromEntries(callers.map(({ caller, share }) => [caller, share]));
                const policy: PoolPolicy = { reserveShortShare, hedgeBudget, shares };
                this.router.configure(pool, policy);
            }
        }
    }

    private assign(): void {
        for (;;) {
            const assignment = this.router.next(this.ctx.clock.now());
            if (assignment === undefined) {
                break;
            }
            this.grant(assignment);
        }
        this.ctx.metrics.queued.set(this.waitingCount);
    }

    private grant({ work, view }: Assignment): void {
        this.waiters.get(work.id)?.settle(Right({ view, release: outcome => this.release(work.id, outcome) }));
    }

    private release(id: RequestId, outcome: SlotOutcome): void {
        this.router.recordEnd(id, outcome, this.ctx.clock.now());
        this.wake();
        this.assign();
    }

    /** Judges speeds and deadlines again and again while work waits or runs, and once after it. */
    private wake(): void {
        this.gossip.wake();
        this.cancelJudging ??= this.ctx.clock.callAt(after(this.ctx.clock.now(), judgeEveryMs), () => {
            this.cancelJudging = undefined;
            const isBusy = this.inFlightCount > 0 || this.waitingCount > 0;
            this.judge();
            if (isBusy) {
                this.wake();
            }
        });
    }

    private judge(): void {
        const now = this.ctx.clock.now();
        this.router.evaluateTargets(now);
        for (const work of this.router.queue.takeExpired(now)) {
            this.waiters.get(work.id)?.settle(Left(problem("deadline-exceeded", "No target was free in time.", {
                retry: { allowed: true, notBefore: after(now, retryAfterMs) },
            })));
        }
        for (const { work } of this.router.takeHedges(now, ({ id }) => this.hedgers.has(id))) {
            this.ctx.metrics.hedges.inc();
            this.hedgers.get(work.id)?.();
        }
        this.assign();
    }
}

function overloaded(notBefore: Instant): Problem {
    const detail = "The work that waits already would not leave time for this request.";
    return problem("overloaded", detail, { retry: { allowed: true, notBefore } });
}
