/** Exit codes of `tamarack`; docs/operators/tamarack.md lists them. */

import { type ProblemType } from "@tamarackpath/core";

export const exitCodes = { ok: 0, failed: 1, invalidInput: 2, unreachable: 3, conflict: 4, outcomeUnknown: 5 } as const;

const exitCodeByProblem: Readonly<Partial<Record<ProblemType, number>>> = {
    "invalid-request": exitCodes.invalidInput,
    "too-large": exitCodes.invalidInput,
    "unauthenticated": exitCodes.invalidInput,
    "forbidden": exitCodes.invalidInput,
    "unavailable": exitCodes.unreachable,
    "conflict": exitCodes.conflict,
    "outcome-unknown": exitCodes.outcomeUnknown,
};

/** Returns the exit code for a type of problem. */
export function exitCodeOf(type: ProblemType): number {
    return exitCodeByProblem[type] ?? exitCodes.failed;
}
