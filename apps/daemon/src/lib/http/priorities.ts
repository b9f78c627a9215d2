/** Parses the priority of a request. */

import { type Problem, problem } from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";

/** Parses the `Tamarack-Priority` header: 0, the default, is the most urgent and 9 the least urgent. */
export function readPriority(header: string | undefined): Either<Problem, number> {
    if (header === undefined) {
        return Right(0);
    }
    return /^[0-9]$/.test(header) ? Right(Number(header)) : Left(problem(
        "invalid-request",
        "The priority cannot be read.",
        {
            findings: [{
                place: "headers.Tamarack-Priority",
                read: header.slice(0, 80),
                allowed: "a digit from 0, the most urgent, to 9",
            }],
        },
    ));
}
