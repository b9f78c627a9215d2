/**
 * Decides what follows when an attempt at a call ends: deliver, try another target, or end the call. What may be
 * repeated follows from the route's kind. An ending that says "not run" is only chosen when no target can have run it.
 */

import { type Instant, type TargetId } from "../ids.js";
import { type Route, type RouteKind } from "./RouteTable.js";

/** How an attempt ended. */
export type AttemptEnd =
    /** The target answered with a whole response. */
    | { readonly kind: "answered"; readonly status: number; }
    /** The target or the connection says that the request was not run. */
    | { readonly kind: "not-run"; }
    /** The request was sent, and how far it got is unknown. */
    | { readonly kind: "unknown"; };

/** What follows. */
export type CallStep = "deliver" | "retry" | "wait" | "end-not-run" | "end-unknown";

/** Whether a route's requests may run again after an attempt of which the outcome is unknown. */
const mayRepeat: Record<RouteKind, (route: Route) => boolean> = {
    "idempotent": () => true,
    "non-idempotent": () => false,
    "streaming": route => route.resumable,
    "jobs": () => true,
};

/** Follows one call. */
export class CallAttempts {
    private readonly tried: TargetId[] = [];
    private under = 0;
    private possibleRuns = 0;

    constructor(private readonly route: Route, readonly deadline: Instant) {}

    get triedTargets(): readonly TargetId[] {
        return this.tried;
    }

    /** True when some target may have run the request, or still may. */
    get mayHaveRun(): boolean {
        return this.possibleRuns > 0;
    }

    /** Whether another attempt may begin beside those under way. */
    get canHedge(): boolean {
        return mayRepeat[this.route.kind](this.route) && this.possibleRuns < this.route.maxAttempts;
    }

    recordStart(target: TargetId): void {
        this.tried.push(target);
        this.under++;
        this.possibleRuns++;
    }

    recordEnd(end: AttemptEnd): CallStep {
        this.under--;
        if (end.kind === "not-run") {
            this.possibleRuns--;
        }
        const hasRunsLeft = this.possibleRuns < this.route.maxAttempts;
        if (end.kind === "answered") {
            const mayBeBetter = end.status >= 500 && mayRepeat[this.route.kind](this.route);
            return mayBeBetter && hasRunsLeft ? "retry" : mayBeBetter && this.under > 0 ? "wait" : "deliver";
        }
        const mayRetry = hasRunsLeft && (this.possibleRuns === 0 || mayRepeat[this.route.kind](this.route));
        if (mayRetry) {
            return "retry";
        }
        if (this.under > 0) {
            return "wait";
        }
        return this.possibleRuns === 0 ? "end-not-run" : "end-unknown";
    }
}
