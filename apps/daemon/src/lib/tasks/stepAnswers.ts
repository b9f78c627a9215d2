/** Turns what the ledger says about a pull into the answers and problems that a trainer sees. */

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

/** Reads the cursor of a pull; a pull without one is the first. */
export function readCursor(ledger: StepState, ask: StepPullRequest): Either<Problem, Cursor> {
    return ask.cursor === undefined
        ? Right(firstCursor(ledger.sampleCount))
        : decodeCursor(ask.cursor, ledger.identity).mapLeft(finding =>
            problem("invalid-request", "The cursor is not valid.", { findings: [finding] })
        );
}

/** Makes the answer to a pull. */
export function answerOf(
    ledger: StepState,
    presented: Cursor,
    ask: StepPullRequest,
    outcome: Exclude<PullOutcome, { kind: "superseded"; }>,
): StepPullResponse {
    const isBatch = outcome.kind === "batch";
    return {
        samples: isBatch ? outcome.samples : [],
        cursor: isBatch || ask.cursor === undefined
            ? encodeCursor(isBatch ? outcome.cursor : presented, ledger.identity)
            : ask.cursor,
        answers: ask.cursor,
        done: outcome.done,
        stalenessBound: ledger.stalenessBound,
    };
}

/** Asks the trainer for the specification. */
export function specNeeded(): Problem {
    return problem("step-spec-needed", "This host does not hold the step; submit it again.", {
        retry: { allowed: true },
    });
}

/** Refuses a request about a cancelled step. */
export function cancelledProblem(): Problem {
    return problem("gone", "The step was cancelled.");
}

/** Refuses a cursor that an acknowledged one has overtaken. */
export function supersededProblem(): Problem {
    const findings = [{ place: "cursor", read: "an older cursor", allowed: "the cursor of the last batch taken" }];
    return problem("conflict", "A later cursor of this step was presented before.", { findings });
}

/** Says that the step's deadline has passed, and how much was delivered. */
export function deadlineProblem(ledger: StepState): Problem {
    const delivered = `${ledger.counts().taken} of ${ledger.sampleCount}`;
    return problem("deadline-exceeded", `The step's deadline has passed with ${delivered} samples delivered.`, {
        run: "ran",
    });
}
