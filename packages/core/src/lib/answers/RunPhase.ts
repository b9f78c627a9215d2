/**
 * The right to run a request that must not be repeated, as one host incarnation holds it. The intent to dispatch is
 * recorded before the first byte leaves, so "not run" is only ever said while nothing was handed to a target. A right
 * that was given back is never taken up again: once said, "not run" stays true.
 */

/** Where a request stands. */
export type RunPhase = "admitted" | "dispatching" | "running" | "answered" | "unknown" | "abandoned";

/** What happens to a request. */
export type RunEvent = "dispatch" | "hand-over" | "answer" | "lose" | "give-back" | "abandon";

const transitions: Readonly<Record<RunPhase, Partial<Record<RunEvent, RunPhase>>>> = {
    admitted: { dispatch: "dispatching", abandon: "abandoned" },
    dispatching: { "hand-over": "running", answer: "answered", lose: "unknown", "give-back": "abandoned" },
    running: { answer: "answered", lose: "unknown" },
    answered: {},
    unknown: { answer: "answered" },
    abandoned: {},
};

/** The phase after `event`, or undefined when the event is not allowed in `phase`. */
export function nextPhase(phase: RunPhase, event: RunEvent): RunPhase | undefined {
    return transitions[phase][event];
}

/** Tells whether a request in `phase` certainly handed no byte to a target. */
export function isNotRun(phase: RunPhase): boolean {
    return phase === "admitted" || phase === "abandoned";
}

/** Tells whether a request in `phase` may still get an outcome by itself. */
export function isUnsettled(phase: RunPhase): boolean {
    return phase === "dispatching" || phase === "running";
}
