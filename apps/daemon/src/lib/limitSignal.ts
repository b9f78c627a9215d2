/**
 * Signals that end a call when its caller disconnects, or at its deadline. The abort reasons are created once, because
 * creating them is expensive.
 */

import { type Clock, type Instant } from "@tamarackpath/core";

/** Abort reason of a call whose caller has disconnected or that another attempt has answered. */
export const callerDisconnected = new DOMException("The caller is gone.", "AbortError");

const deadlinePassed = new DOMException("The deadline has passed.", "TimeoutError");

/** A signal that aborts when another one aborts, or at a deadline. */
export interface LimitedSignal {
    readonly signal: AbortSignal;
    /** Releases the timer and the listener on the other signal. */
    end(): void;
}

/** Returns a signal that aborts with `signal` or at `deadline`, whichever is first. */
export function limitSignal(clock: Clock, signal: AbortSignal, deadline: Instant): LimitedSignal {
    const controller = new AbortController();
    const abort = (): void => controller.abort(signal.reason);
    const cancelTimer = clock.callAt(deadline, () => controller.abort(deadlinePassed));
    if (signal.aborted) {
        abort();
    }
    signal.addEventListener("abort", abort, { once: true });
    return {
        signal: controller.signal,
        end: () => {
            cancelTimer();
            signal.removeEventListener("abort", abort);
        },
    };
}
