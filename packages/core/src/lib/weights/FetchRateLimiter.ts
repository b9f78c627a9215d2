/**
 * The rate at which a conductor lets engines fetch weights. It is a token bucket whose rate halves when a load fails
 * and rises slowly while loads succeed, so that it finds the weight store's limit by itself.
 */

import { type Instant } from "../ids.js";

const lowestPerSecond = 0.5;
const risePerLoad = 0.5;
const burstSeconds = 0.5;
const failureFactor = 0.5;

/** Paces the fetches of weights. */
export class FetchRateLimiter {
    private tokens = 1;
    private filledAt: Instant | undefined;

    constructor(private perSecond: number, private readonly highestPerSecond = Number.POSITIVE_INFINITY) {}

    get current(): number {
        return this.perSecond;
    }

    /** Whole fetches that may start at `now`. */
    available(now: Instant): number {
        const sinceMs = Math.max(0, now - (this.filledAt ?? now));
        const burst = Math.max(1, this.perSecond * burstSeconds);
        this.tokens = Math.min(burst, this.tokens + this.perSecond * sinceMs / 1000);
        this.filledAt = now;
        return Math.floor(this.tokens);
    }

    take(): void {
        this.tokens--;
    }

    noteSuccess(): void {
        this.perSecond = Math.min(this.highestPerSecond, this.perSecond + risePerLoad);
    }

    noteFailure(): void {
        this.perSecond = Math.max(lowestPerSecond, this.perSecond * failureFactor);
    }
}
