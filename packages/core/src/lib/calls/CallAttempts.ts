/**
 * Decides what follows when an attempt at a call ends: deliver the answer, try another target, or end the call. The
 * route's kind decides what may be repeated. A call only ends as "not run" if no target can have run it.
 */

import { type Instant, type TargetId } from "../ids.js";
import { type Route, type RouteKind } from "./RouteTable.js";

/** How an attempt ended. */
export type AttemptEnd =
    /** The target answered with a whole response. */
    | { readonly kind: "answered"; readonly status: number; }
    /** The target or the connection reported that the request was not run. */
    | { readonly kind: "not-run"; }
    /** The request was sent, and it is unknown whether it was run. */
    | { readonly kind: "unknown"; };

/** What follows an attempt; "wait" is for another attempt in flight. */
export type CallStep = "deliver" | "retry" | "wait" | "end-not-run" | "end-unknown";

/** Whether a route's requests may run again after an attempt with an unknown outcome. */
const canRepeat: Record<RouteKind, (route: Route) => boolean> = {
    "idempotent": () => true,
    "non-idempotent": () => false,
    "streaming": route => route.resumable,
    "jobs": () => true,
};

/** Tracks the attempts at one call. */
export class CallAttempts {
    private readonly tried: TargetId[] = [];
    private attemptsInFlight = 0;
    /** Number of attempts that may have run the request or still may. */
    private possibleRuns = 0;

    constructor(private readonly route: Route, readonly deadline: Instant) {}

    get triedTargets(): readonly TargetId[] {
        return this.tried;
    }

    /** Whether a target may have run the request, or still may. */
    get mayHaveRun(): boolean {
        return this.possibleRuns > 0;
    }

    /** Whether an attempt has not ended. */
    get isInFlight(): boolean {
        return this.attemptsInFlight > 0;
    }

    /** Whether another attempt may begin beside those in flight. */
    get canHedge(): boolean {
        return canRepeat[this.route.kind](this.route) && this.possibleRuns < this.route.maxAttempts;
    }

    recordStart(target: TargetId): void {
        this.tried.push(target);
        this.attemptsInFlight++;
        this.possibleRuns++;
    }

    /** Records how an attempt ended, and returns what follows. */
    recordEnd(end: AttemptEnd): CallStep {
        this.attemptsInFlight--;
        if (end.kind === "not-run") {
            this.possibleRuns--;
        }
        const hasRunsLeft = this.possibleRuns < this.route.maxAttempts;
        if (end.kind === "answered") {
            const shouldRetry = end.status >= 500 && canRepeat[this.route.kind](this.route);
            return shouldRetry && hasRunsLeft ? "retry" : shouldRetry && this.attemptsInFlight > 0 ? "wait" : "deliver";
        }
        const canRetry = hasRunsLeft && (this.possibleRuns === 0 || canRepeat[this.route.kind](this.route));
        if (canRetry) {
            return "retry";
        }
        if (this.attemptsInFlight > 0) {
            return "wait";
        }
        return this.possibleRuns === 0 ? "end-not-run" : "end-unknown";
    }
}
