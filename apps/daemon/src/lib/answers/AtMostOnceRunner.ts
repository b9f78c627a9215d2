/**
 * Runs the calls of this incarnation that must not be repeated: dispatches each at most once, lets later requests wait
 * for the same outcome, and keeps an answer that arrives after the caller's deadline for replays.
 */

import { after, type Clock, type Instant, type Problem, RunRegistry, type StoredResponse } from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import {
    deadlinePassedProblem,
    outcomeDroppedProblem,
    outcomeUnknownProblem,
    requestMismatchProblem,
} from "./answerProblems.js";
import { type AtMostOnceCall, fingerprintOf, ownerOf, type RunOnce } from "./AtMostOnceCall.js";

const limits = { entriesPerCaller: 20_000, outcomeBytesPerCaller: 16 * 1024 * 1024 };
/** A larger outcome is returned to its caller but not kept for later requests. */
const maxOutcomeBytes = 1024 * 1024;
/** How long after the deadline a caller still waits for the outcome of its call. */
const settleGraceMs = 250;

/** The result of a call on this host. */
export type RunResult = Either<Problem, StoredResponse>;

/** Runs calls at most once. */
export class AtMostOnceRunner {
    readonly registry = new RunRegistry<StoredResponse>(limits);
    private readonly waiters = new Map<string, Set<(res: RunResult) => void>>();

    constructor(
        private readonly clock: Clock,
        private readonly runOnce: RunOnce,
        /** The kind of proof in the texts for callers: a ticket or an idempotency key. */
        private readonly proofName: string,
    ) {}

    /** Dispatches the call unless it was dispatched before, and waits for its outcome until the call's deadline. */
    runOrWait(id: string, call: AtMostOnceCall, onSettled?: (res: RunResult) => void): Promise<RunResult> {
        const fingerprint = fingerprintOf(call.req);
        const now = this.clock.now();
        if (this.registry.evaluate(id, ownerOf(call), fingerprint).kind === "run" && call.deadline <= now) {
            this.registry.apply(id, "abandon");
            return Promise.resolve(Left(deadlinePassedProblem()));
        }
        const decision = this.registry.tryDispatch(id, ownerOf(call), fingerprint);
        switch (decision.kind) {
            case "run":
                void this.dispatch(id, call, onSettled);
                return this.wait(id, call.deadline);
            case "wait":
                return this.wait(id, call.deadline);
            case "replay":
                return Promise.resolve(Right(decision.outcome));
            case "outcome-dropped":
                return Promise.resolve(Left(outcomeDroppedProblem()));
            case "other-request":
                return Promise.resolve(Left(requestMismatchProblem(this.proofName)));
            case "abandoned":
            case "unknown":
                return Promise.resolve(
                    Left(outcomeUnknownProblem("The outcome of the request is not known.", now, false)),
                );
        }
    }

    /** Waits for the outcome of a dispatched call. */
    wait(id: string, deadline: Instant): Promise<RunResult> {
        return new Promise(resolve => {
            const callbacks = this.waiters.get(id) ?? new Set();
            this.waiters.set(id, callbacks);
            const settle = (res: RunResult): void => {
                cancel();
                callbacks.delete(settle);
                resolve(res);
            };
            const cancel = this.clock.callAt(after(deadline, settleGraceMs), () => {
                settle(Left(outcomeUnknownProblem("The request still runs; ask again.", this.clock.now(), true)));
            });
            callbacks.add(settle);
        });
    }

    private async dispatch(
        id: string,
        call: AtMostOnceCall,
        onSettled: ((res: RunResult) => void) | undefined,
    ): Promise<void> {
        const res = await this.runOnce(call).catch(err =>
            Left<Problem, StoredResponse>(outcomeUnknownProblem(String(err), this.clock.now(), false))
        );
        res.caseOf({
            Left: failure => void this.registry.apply(id, failure.run === "not-run" ? "give-back" : "lose"),
            Right: outcome => this.storeOutcome(id, outcome),
        });
        onSettled?.(res);
        this.waiters.get(id)?.forEach(settle => settle(res));
        this.waiters.delete(id);
    }

    private storeOutcome(id: string, outcome: StoredResponse): void {
        const bytes = outcome.bodyBase64.length + Buffer.byteLength(JSON.stringify(outcome.headers));
        if (bytes > maxOutcomeBytes) {
            this.registry.apply(id, "answer");
            return;
        }
        this.registry.answer(id, outcome, bytes);
    }
}
