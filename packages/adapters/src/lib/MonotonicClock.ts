/**
 * A monotonic clock for leases and ages. It includes the time in which the machine was suspended, and a backward step of
 * the wall clock does not shorten the time that it measures.
 */

import { type Clock, type Instant } from "@tamarackpath/core";

/** Creates a clock that starts at the wall clock's time and advances by the larger step of the two system clocks. */
export function createMonotonicClock(): Clock {
    let lastWallMs = Date.now();
    let lastMonotonicMs = performance.now();
    let now = lastWallMs;
    const read = (): Instant => {
        const wallMs = Date.now();
        const monotonicMs = performance.now();
        now += Math.max(0, wallMs - lastWallMs, monotonicMs - lastMonotonicMs);
        lastWallMs = wallMs;
        lastMonotonicMs = monotonicMs;
        return now as Instant;
    };
    return {
        now: read,
        callAt(at, run) {
            const timer = setTimeout(run, Math.min(maxTimerDelayMs, Math.max(0, at - read())));
            return () => clearTimeout(timer);
        },
    };
}

/** Upper limit of a timer's delay in milliseconds, below the largest that Node.js accepts. */
const maxTimerDelayMs = 2_000_000_000;
