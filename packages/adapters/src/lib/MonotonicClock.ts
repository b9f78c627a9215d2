/**
 * A clock for leases and ages: it never goes back, counts the time of a suspended machine, and is not fooled by a step
 * of the wall clock into believing that less time has passed.
 */

import { type Clock, type Instant } from "@tamarackpath/core";

/** Builds a clock that starts at the wall clock's time. */
export function createMonotonicClock(): Clock {
    let wall = Date.now();
    let steady = performance.now();
    let now = wall;
    const read = (): Instant => {
        const wallNow = Date.now();
        const steadyNow = performance.now();
        now += Math.max(0, wallNow - wall, steadyNow - steady);
        wall = wallNow;
        steady = steadyNow;
        return now as Instant;
    };
    return {
        now: read,
        callAt(at, run) {
            const timer = setTimeout(run, Math.min(longestTimerMs, Math.max(0, at - read())));
            return () => clearTimeout(timer);
        },
    };
}

/** Longest delay that a timer of Node.js takes, in milliseconds. */
const longestTimerMs = 2_000_000_000;
