/** Signals that end a call: when its caller is gone, or at its deadline. The reasons are made once, as they are costly. */

import { type Clock, type Instant } from "@tamarackpath/core";

/** Reason of a signal whose caller went away. */
export const callerDisconnected = new DOMException("The caller is gone.", "AbortError");

const deadlinePassed = new DOMException("The deadline has passed.", "TimeoutError");

/** A signal that aborts with another one or at a deadline. */
export interface LimitedSignal {
    readonly signal: AbortSignal;
    /** Lets go of the timer and of the other signal. */
    end(): void;
}

/** Limits `signal` by `deadline`. */
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
