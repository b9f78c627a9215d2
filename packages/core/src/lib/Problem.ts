/**
 * The typed error that every interface of tamarackpath responds with. It states what happened, whether the request ran,
 * whether and when it may be retried, and where in the input the faults are.
 */

import type { Instant } from "./ids.js";

/** Whether a target ran the request. "not-run" is only reported when no byte of it was handed to a target. */
export type RunState = "not-run" | "ran" | "unknown";

/** One fault in an input, with its place. */
export interface Finding {
    /** Key path, file and line, or header name. */
    readonly place: string;
    /** What was found there, shortened for display. */
    readonly read: string;
    /** What would have been accepted. */
    readonly allowed: string;
}

/** Whether a caller may send the request again. */
export interface RetryAdvice {
    readonly allowed: boolean;
    /** The earliest time for a retry. */
    readonly notBefore?: Instant;
}

/** HTTP status of each type of problem. */
export const problemStatus = {
    "invalid-request": 400,
    "unauthenticated": 401,
    "forbidden": 403,
    "not-found": 404,
    "method-not-allowed": 405,
    "step-spec-needed": 409,
    "conflict": 409,
    "gone": 410,
    "too-large": 413,
    "unsupported-encoding": 415,
    "expectation-failed": 417,
    "too-many-requests": 429,
    "headers-too-large": 431,
    "internal": 500,
    "target-failed": 502,
    "overloaded": 503,
    "unavailable": 503,
    "stopping": 503,
    "deadline-exceeded": 504,
    "outcome-unknown": 504,
    "outcome-dropped": 410,
} as const;

/** Type of a problem. */
export type ProblemType = keyof typeof problemStatus;

/** An error as callers and operators see it. */
export interface Problem {
    readonly type: ProblemType;
    readonly detail: string;
    readonly run: RunState;
    readonly retry: RetryAdvice;
    readonly findings?: readonly Finding[];
}

/** Creates a problem; by default the request did not run and may not be retried. */
export function problem(type: ProblemType, detail: string, extra: Partial<Problem> = {}): Problem {
    return { type, detail, run: "not-run", retry: { allowed: false }, ...extra };
}

/** Error that carries a problem. */
export class ProblemError extends Error {
    constructor(readonly problem: Problem) {
        super(problem.detail);
        this.name = "ProblemError";
    }
}
