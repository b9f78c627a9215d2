/**
 * A monotonic clock for leases and ages. It includes the time in which the machine was suspended, and a backward step of
 * the wall clock does not shorten the time that it measures.
 */

import { type Clock, type Instant } from "@tamarackpath/core";

/** The clocks of the system, in milliseconds. */
export interface SystemClocks {
    /** Time of day. It may show whole milliseconds only, and it may step. */
    readonly readWallMs: () => number;
    /** Steady time, which does not include suspensions. */
    readonly readMonotonicMs: () => number;
}

/**
 * Milliseconds that the wall clock must be ahead of the steady one before the difference counts as a suspension. It is
 * above the rounding of the wall clock, which would otherwise add up over many reads.
 */
const minSuspensionMs = 20;

/** Creates a clock that starts at the wall clock's time and advances with the steady clock and by each suspension. */
export function createMonotonicClock(
    { readWallMs, readMonotonicMs }: SystemClocks = {
        readWallMs: () => Date.now(),
        readMonotonicMs: () => performance.now(),
    },
): Clock {
    const startedAt = readWallMs();
    const monotonicStartMs = readMonotonicMs();
    /** Wall clock minus steady clock, as of the last suspension or step. */
    let offsetMs = startedAt - monotonicStartMs;
    let suspendedMs = 0;
    const read = (): Instant => {
        const monotonicMs = readMonotonicMs();
        const aheadMs = readWallMs() - monotonicMs - offsetMs;
        if (Math.abs(aheadMs) >= minSuspensionMs) {
            suspendedMs += Math.max(0, aheadMs);
            offsetMs += aheadMs;
        }
        return startedAt + monotonicMs - monotonicStartMs + suspendedMs as Instant;
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
