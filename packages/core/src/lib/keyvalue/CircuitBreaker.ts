/**
 * Fails calls to a service fast while it does not answer. After several failures in a row the circuit opens; once the
 * wait is over a single call tries the service, and each failed try lengthens the wait.
 */

import { after, type Instant } from "../ids.js";

/** Failures in a row after which the circuit opens. */
export const failuresToOpen = 3;

const waitMs = { first: 250, longest: 2000 } as const;
const jitter = { least: 0.5, spread: 0.5 } as const;

/** What the circuit lets through. */
export type CircuitState = "closed" | "open" | "trying";

/** Decides whether a call may be made. */
export class CircuitBreaker {
    private failures = 0;
    private openUntil: Instant | undefined;
    private trying = false;
    private failedAt: Instant | undefined;

    /** Whether a call may start at `now`; an open circuit lets one try through when its wait is over. */
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
     * Notes the failure of a call begun at `startedAt`. Calls that were under way together count once, since a pause of
     * this process fails them all. `random` lies between 0 and 1 and spreads the next tries of many hosts.
     */
    recordFailure(startedAt: Instant, now: Instant, random: number): void {
        if (this.failedAt !== undefined && startedAt < this.failedAt) {
            return;
        }
        this.failedAt = now;
        this.failures++;
        this.trying = false;
        if (this.failures >= failuresToOpen) {
            const doubled = waitMs.first * 2 ** (this.failures - failuresToOpen);
            const wait = Math.min(waitMs.longest, doubled) * (jitter.least + jitter.spread * random);
            this.openUntil = after(now, wait);
        }
    }

    get state(): CircuitState {
        return this.openUntil === undefined ? "closed" : this.trying ? "trying" : "open";
    }
}
