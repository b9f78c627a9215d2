/**
 * Decides when a caller's request began to run at a target, as it is counted for the reports of use. Refused and unsent requests
 * did not run; a request whose connection was lost may have, and usually has.
 */

import { type ForwardOutcome } from "../ports/RolloutTargets.js";

/** Milliseconds that a request usually takes to its target. */
const oneWayMs = 1;

/** Times of one attempt, in Unix milliseconds; undefined for what has not happened. */
export interface AttemptTimes {
    /** When the request was sent. */
    readonly sentAt: number | undefined;
    /** When the first piece of a streamed response arrived. */
    readonly firstPieceAt: number | undefined;
}

/** When the run of an attempt that ended with `end` began, in Unix milliseconds; undefined if it counts as not run. */
export function runBegunAt(end: ForwardOutcome, { sentAt, firstPieceAt }: AttemptTimes): number | undefined {
    if (firstPieceAt !== undefined) {
        return firstPieceAt;
    }
    const isRun = end.kind === "answered" || end.kind === "streamed"
        || end.kind === "unknown" && end.isConnectionLost === true;
    return isRun && sentAt !== undefined ? sentAt + oneWayMs : undefined;
}
