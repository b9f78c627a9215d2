/**
 * Turns the signals of a process into one graceful stop. A service manager or platform may ask for a stop more than once,
 * which must not cut the requests that the stop waits for; it ends a process early by SIGKILL. A person at a terminal may
 * end it early by a second SIGINT.
 */

/** A signal that asks for a stop. */
export type StopSignal = "SIGTERM" | "SIGINT";

/** What a process does at its signals. */
export interface StopSignalHandlers {
    /** Begins the graceful stop; called at the first signal. */
    readonly stop: (signal: StopSignal) => void;
    /** Called at each signal that changes nothing, since the stop has begun. */
    readonly onRepeated: (signal: StopSignal) => void;
    /** Ends the stop early; called at the second SIGINT. */
    readonly cut: () => void;
}

/** Source of signals; the process, unless a test gives another one. */
export interface SignalSource {
    on(signal: StopSignal, listener: () => void): unknown;
}

/** Handles the stop signals of `source` for as long as the process runs. */
export function handleStopSignals(handlers: StopSignalHandlers, source: SignalSource = process): void {
    let isStopping = false;
    let interrupts = 0;
    const handle = (signal: StopSignal): void => {
        interrupts += signal === "SIGINT" ? 1 : 0;
        if (!isStopping) {
            isStopping = true;
            handlers.stop(signal);
        }
        else if (signal === "SIGINT" && interrupts > 1) {
            handlers.cut();
        }
        else {
            handlers.onRepeated(signal);
        }
    };
    source.on("SIGTERM", () => handle("SIGTERM"));
    source.on("SIGINT", () => handle("SIGINT"));
}
