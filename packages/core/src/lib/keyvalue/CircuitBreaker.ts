/**
 * Circuit breaker that makes calls to a service fail fast while the service does not respond. After several consecutive
 * failures the circuit opens. After a delay a single trial call is allowed; each failed trial lengthens the delay.
 */

import { after, type Instant } from "../ids.js";

/** Number of consecutive failures after which the circuit opens. */
export const failuresToOpen = 3;

/** Milliseconds before the first trial, which double with each failed one, and their default upper limit. */
const waitMs = { initial: 250, max: 2000 } as const;
const jitter = { min: 0.5, range: 0.5 } as const;

/** State of a circuit; "trying" is the half-open state, with a trial call in progress. */
export type CircuitState = "closed" | "open" | "trying";

/** Circuit breaker for the calls to one service. */
export class CircuitBreaker {
    private failures = 0;
    private openUntil: Instant | undefined;
    private trying = false;
    private failedAt: Instant | undefined;

    constructor(private readonly maxWaitMs: number = waitMs.max) {}

    /** Returns whether a call may start at `now`; an open circuit allows one trial call after its delay. */
    admit(now: Instant): boolean {
        if (this.openUntil === undefined) {
            return true;
        }
        if (this.trying || now < this.openUntil) {
            return false;
        }
        this.trying = true;
        return true;
    }

    recordSuccess(): void {
        this.failures = 0;
        this.openUntil = undefined;
        this.trying = false;
    }

    /**
     * Records the failure of a call begun at `startedAt`. Concurrent calls count as one failure, since a pause of this
     * process makes them all fail. `random` is a number between 0 and 1, for jitter between the trials of many hosts.
     */
    recordFailure(startedAt: Instant, now: Instant, random: number): void {
        if (this.failedAt !== undefined && startedAt < this.failedAt) {
            return;
        }
        this.failedAt = now;
        this.failures++;
        this.trying = false;
        if (this.failures >= failuresToOpen) {
            const doubled = waitMs.initial * 2 ** (this.failures - failuresToOpen);
            const wait = Math.min(this.maxWaitMs, doubled) * (jitter.min + jitter.range * random);
            this.openUntil = after(now, wait);
        }
    }

    get state(): CircuitState {
        return this.openUntil === undefined ? "closed" : this.trying ? "trying" : "open";
    }
}
