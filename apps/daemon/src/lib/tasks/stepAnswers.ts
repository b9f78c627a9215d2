/** Converts the step state's result of a pull to the answers and problems that are returned to the trainer. */

import {
    type Cursor,
    decodeCursor,
    encodeCursor,
    firstCursor,
    type Problem,
    problem,
    type PullOutcome,
    type StepPullRequest,
    type StepPullResponse,
    type StepState,
} from "@tamarackpath/core";
import { type Either, Right } from "purify-ts";

/** Reads the cursor of a pull. A pull without a cursor is the first one of its step. */
export function readCursor(state: StepState, request: StepPullRequest): Either<Problem, Cursor> {
    return request.cursor === undefined
        ? Right(firstCursor(state.sampleCount))
        : decodeCursor(request.cursor, state.identity).mapLeft(finding =>
            problem("invalid-request", "The cursor is not valid.", { findings: [finding] })
        );
}

/** Creates the answer to a pull. */
export function createPullAnswer(
    state: StepState,
    presented: Cursor,
    request: StepPullRequest,
    outcome: Exclude<PullOutcome, { kind: "superseded"; }>,
): StepPullResponse {
    const isBatch = outcome.kind === "batch";
    return {
        samples: isBatch ? outcome.samples : [],
        cursor: isBatch || request.cursor === undefined
            ? encodeCursor(isBatch ? outcome.cursor : presented, state.identity)
            : request.cursor,
        answers: request.cursor,
        done: outcome.done,
        stalenessBound: state.stalenessBound,
    };
}

/** The host does not own the step; the trainer must submit the specification again. */
export function specNeededProblem(): Problem {
    return problem("step-spec-needed", "This host does not hold the step; submit it again.", {
        retry: { allowed: true },
    });
}

/** The request refers to a cancelled step. */
export function cancelledProblem(): Problem {
    return problem("gone", "The step was cancelled.");
}

/** A later cursor of the step was already presented. */
export function supersededProblem(): Problem {
    const findings = [{ place: "cursor", read: "an older cursor", allowed: "the cursor of the last batch taken" }];
    return problem("conflict", "A later cursor of this step was presented before.", { findings });
}

/** The step's deadline has passed; the detail gives the number of delivered samples. */
export function deadlineProblem(state: StepState): Problem {
    const delivered = `${state.counts().taken} of ${state.sampleCount}`;
    return problem("deadline-exceeded", `The step's deadline has passed with ${delivered} samples delivered.`, {
        run: "ran",
    });
}
