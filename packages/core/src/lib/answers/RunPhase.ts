/**
 * Phases of a request that must not be repeated, at the one host incarnation that may run it. The intent to dispatch is
 * recorded before the first byte is sent, so that "not run" is reported only while no byte was handed to a target. An
 * abandoned request is never dispatched again, so that "not run" stays true once it has been reported.
 */

/** Phase of a request; "unknown" means that a target may have run it and its response was lost. */
export type RunPhase = "admitted" | "dispatching" | "running" | "answered" | "unknown" | "abandoned";

/**
 * An event that changes the phase of a request. "hand-over": a byte may have been sent; "lose": the attempt ended
 * without a response; "give-back": the attempt ended and the target did not run the request; "abandon": the host gives
 * it up.
 */
export type RunEvent = "dispatch" | "hand-over" | "answer" | "lose" | "give-back" | "abandon";

const transitions: Readonly<Record<RunPhase, Partial<Record<RunEvent, RunPhase>>>> = {
    admitted: { dispatch: "dispatching", abandon: "abandoned" },
    dispatching: { "hand-over": "running", answer: "answered", lose: "unknown", "give-back": "abandoned" },
    running: { answer: "answered", lose: "unknown" },
    answered: {},
    unknown: { answer: "answered" },
    abandoned: {},
};

/** Returns the phase after `event`; undefined when the event is not allowed in `phase`. */
export function nextPhase(phase: RunPhase, event: RunEvent): RunPhase | undefined {
    return transitions[phase][event];
}

/** Returns whether certainly no byte of a request in `phase` was handed to a target. */
export function isNotRun(phase: RunPhase): boolean {
    return phase === "admitted" || phase === "abandoned";
}

/** Returns whether a request in `phase` may still get an outcome without a further attempt. */
export function isUnsettled(phase: RunPhase): boolean {
    return phase === "dispatching" || phase === "running";
}
