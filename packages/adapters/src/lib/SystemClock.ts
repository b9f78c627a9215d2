/** Implements the clock port with the machine's wall clock. */

import { type Clock, type Instant } from "@tamarackpath/core";

/** Upper limit of a timer's delay, below the largest that Node.js accepts. */
const maxTimerDelayMs = 2_000_000_000;

/** The machine's wall clock. */
export const systemClock: Clock = {
    now: () => Date.now() as Instant,
    callAt(at, run) {
        const timer = setTimeout(run, Math.min(maxTimerDelayMs, Math.max(0, at - Date.now())));
        return () => clearTimeout(timer);
    },
};
