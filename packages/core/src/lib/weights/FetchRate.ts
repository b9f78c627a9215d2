/**
 * The rate at which a conductor lets engines fetch weights. It is a token bucket whose rate halves when a load fails
 * and rises slowly while loads succeed, so that it finds the weight store's limit by itself.
 */

import { type Instant } from "../ids.js";

const minPerSecond = 0.5;
const increasePerSuccess = 0.5;
const burstSeconds = 0.5;
const failureFactor = 0.5;

/** Paces the fetches of weights. */
export class FetchRate {
    private tokens = 1;
    private filledAt: Instant | undefined;

    constructor(private perSecond: number, private readonly maxPerSecond = Number.POSITIVE_INFINITY) {}

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

    recordSuccess(): void {
        this.perSecond = Math.min(this.maxPerSecond, this.perSecond + increasePerSuccess);
    }

    recordFailure(): void {
        this.perSecond = Math.max(minPerSecond, this.perSecond * failureFactor);
    }
}
