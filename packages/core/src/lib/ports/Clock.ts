/** The clock port: the only source of time for tasks and adapters. */

import { type Instant } from "../ids.js";

/** Returns the time and schedules calls. Tests replace it by a manual clock. */
export interface Clock {
    now(): Instant;
    /** Calls `run` at the time `at`, and returns a function that cancels the call. */
    callAt(at: Instant, run: () => void): () => void;
}

/** Resolves at the time `at`, or as soon as `signal` is aborted. */
export function sleepUntil(clock: Clock, at: Instant, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const onAbort = (): void => {
            cancel();
            resolve();
        };
        const cancel = clock.callAt(at, () => {
            signal?.removeEventListener("abort", onAbort);
            resolve();
        });
        signal?.addEventListener("abort", onAbort, { once: true });
    });
}
