/**
 * Limits the rate at which engines fetch weights. It is a token bucket whose rate halves when a load fails and rises by
 * a constant when one succeeds (additive increase, multiplicative decrease), so that it adapts to the weight store's
 * limit.
 */

import { type Instant } from "../ids.js";

/** Minimum rate, in fetches per second. */
const minPerSecond = 0.5;

/** Fetches per second by which the rate rises after a successful load. */
const increasePerSuccess = 0.5;

/** Seconds' worth of fetches that may start at once; at least one fetch. */
const burstSeconds = 0.5;

/** Factor by which the rate changes after a failed load. */
const failureFactor = 0.5;

/** Limits the rate of fetches of weights. */
export class FetchRateLimiter {
    private tokens = 1;
    private filledAt: Instant | undefined;

    constructor(private perSecond: number, private readonly maxPerSecond = Number.POSITIVE_INFINITY) {}

    /** Fetches per second at present. */
    get currentPerSecond(): number {
        return this.perSecond;
    }

    /** Number of fetches that may start at `now`. */
    available(now: Instant): number {
        const elapsedMs = Math.max(0, now - (this.filledAt ?? now));
        const burst = Math.max(1, this.perSecond * burstSeconds);
        this.tokens = Math.min(burst, this.tokens + this.perSecond * elapsedMs / 1000);
        this.filledAt = now;
        return Math.floor(this.tokens);
    }

    /** Counts one fetch as started. */
    take(): void {
        this.tokens--;
    }

    recordSuccess(): void {
        this.perSecond = Math.min(this.maxPerSecond, this.perSecond + increasePerSuccess);
    }

    recordFailure(): void {
        this.perSecond = Math.max(minPerSecond, this.perSecond * failureFactor);
    }
}
