/**
 * Keeps the calls of this incarnation that must not be repeated: it dispatches each at most once, lets later requests
 * wait for the same outcome, and takes an answer that comes after the caller's deadline for replays.
 */

import { after, type Clock, type Instant, type Problem, RunRegistry, type StoredResponse } from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { deadlinePassed, otherRequest, outcomeDropped, outcomeUnknown } from "./answerProblems.js";
import { fingerprintOf, type NeverRepeatCall, ownerOf, type RunOnce } from "./NeverRepeatCall.js";

const limits = { entriesPerCaller: 20_000, outcomeBytesPerCaller: 16 * 1024 * 1024 };
const largestOutcomeBytes = 1024 * 1024;
const settleGraceMs = 250;

/** The end of a call at this host. */
export type RunResult = Either<Problem, StoredResponse>;

/** Keeps calls that must not be repeated. */
export class RunKeeper {
    readonly book = new RunRegistry<StoredResponse>(limits);
    private readonly waiters = new Map<string, Set<(res: RunResult) => void>>();

    constructor(
        private readonly clock: Clock,
        private readonly runOnce: RunOnce,
        /** How the caller names the calls' proof: a ticket or a key. */
        private readonly what: string,
    ) {}

    /** Dispatches the call if it has not been dispatched, and waits for its outcome until the call's deadline. */
    present(id: string, call: NeverRepeatCall, onSettled?: (res: RunResult) => void): Promise<RunResult> {
        const print = fingerprintOf(call.req);
        const now = this.clock.now();
        if (this.book.evaluate(id, ownerOf(call), print).kind === "run" && call.deadline <= now) {
            this.book.apply(id, "abandon");
            return Promise.resolve(Left(deadlinePassed()));
        }
        const verdict = this.book.tryDispatch(id, ownerOf(call), print);
        switch (verdict.kind) {
            case "run":
                void this.dispatch(id, call, onSettled);
                return this.wait(id, call.deadline);
            case "wait":
                return this.wait(id, call.deadline);
            case "replay":
                return Promise.resolve(Right(verdict.outcome));
            case "outcome-dropped":
                return Promise.resolve(Left(outcomeDropped()));
            case "other-request":
                return Promise.resolve(Left(otherRequest(this.what)));
            case "abandoned":
            case "unknown":
                return Promise.resolve(Left(outcomeUnknown("The outcome of the request is not known.", now, false)));
        }
    }

    /** Waits for the outcome of a dispatched call. */
    wait(id: string, deadline: Instant): Promise<RunResult> {
        return new Promise(resolve => {
            const waiting = this.waiters.get(id) ?? new Set();
            this.waiters.set(id, waiting);
            const settle = (res: RunResult): void => {
                cancel();
                waiting.delete(settle);
                resolve(res);
            };
            const cancel = this.clock.callAt(after(deadline, settleGraceMs), () => {
                settle(Left(outcomeUnknown("The request still runs; ask again.", this.clock.now(), true)));
            });
            waiting.add(settle);
        });
    }

    private async dispatch(
        id: string,
        call: NeverRepeatCall,
        onSettled: ((res: RunResult) => void) | undefined,
    ): Promise<void> {
        const res = await this.runOnce(call).catch(err =>
            Left<Problem, StoredResponse>(outcomeUnknown(String(err), this.clock.now(), false))
        );
        res.caseOf({
            Left: found => void this.book.apply(id, found.run === "not-run" ? "give-back" : "lose"),
            Right: outcome => this.keep(id, outcome),
        });
        onSettled?.(res);
        this.waiters.get(id)?.forEach(settle => settle(res));
        this.waiters.delete(id);
    }

    private keep(id: string, outcome: StoredResponse): void {
        const bytes = outcome.bodyBase64.length + JSON.stringify(outcome.headers).length;
        if (bytes > largestOutcomeBytes) {
            this.book.apply(id, "answer");
            return;
        }
        this.book.answer(id, outcome, bytes);
    }
}
