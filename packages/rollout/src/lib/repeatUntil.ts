/** Loops of a host's tasks that outlive an unexpected error, such as a document that no code expects. */

import { after, type Clock, sleepUntil } from "@tamarackpath/core";
import { type Journal } from "./Journal.js";

/** Milliseconds before a loop goes on after an unexpected error. */
const errorDelayMs = 500;

/** Options of a loop. */
export interface LoopOptions {
    /** What the loop does, for the log. */
    readonly name: string;
    readonly clock: Clock;
    readonly journal: Journal;
}

/** Runs `step` again and again until `isStopped`. An error that it throws is logged, and the loop goes on after a pause. */
export async function repeatUntil(
    isStopped: () => boolean,
    step: () => Promise<void>,
    { name, clock, journal }: LoopOptions,
): Promise<void> {
    while (!isStopped()) {
        try {
            await step();
        }
        catch (err) {
            journal.log("unexpected-error", { loop: name, detail: String((err as Error).stack ?? err) });
            await sleepUntil(clock, after(clock.now(), errorDelayMs));
        }
    }
}
