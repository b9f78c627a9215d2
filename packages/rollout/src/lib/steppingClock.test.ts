/** A clock for tests that advances a little at each read, and whose timers run slightly early, as those of Node.js do. */

import { type Clock, type Instant } from "@tamarackpath/core";

/** A clock whose timers run when the test says so. */
export interface SteppingClock extends Clock {
    /** Sets the time to `earlyMs` before the next timer and runs it; false when no timer is left. */
    runNextTimer(earlyMs: number): boolean;
    /** Advances the time without running timers. */
    pass(ms: number): void;
    /** Advances the time and runs the timers that are due on the way, each with what follows from it. */
    advance(ms: number): Promise<void>;
}

/** Lets promises that are settled already run what waits for them. */
export async function settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
}

/** Creates a clock that advances by `stepMs` at each read. */
export function createSteppingClock(stepMs: number): SteppingClock {
    let time = 0;
    const timers = new Set<{ readonly at: number; readonly run: () => void; }>();
    return {
        now: () => {
            time += stepMs;
            return time as Instant;
        },
        callAt: (at, run) => {
            const timer = { at, run };
            timers.add(timer);
            return () => timers.delete(timer);
        },
        runNextTimer: earlyMs => {
            const [next] = [...timers].sort((a, b) => a.at - b.at);
            if (next === undefined) {
                return false;
            }
            timers.delete(next);
            time = Math.max(time, next.at - earlyMs);
            next.run();
            return true;
        },
        pass: ms => {
            time += ms;
        },
        advance: async ms => {
            const until = time + ms;
            await settle();
            for (;;) {
                const [next] = [...timers].filter(({ at }) => at <= until).sort((a, b) => a.at - b.at);
                if (next === undefined) {
                    break;
                }
                timers.delete(next);
                time = Math.max(time, next.at);
                next.run();
                await settle();
            }
            time = Math.max(time, until);
        },
    };
}
