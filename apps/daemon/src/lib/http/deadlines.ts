/** Parses the absolute deadline of a request. */

import { after, type Instant, type Problem, problem } from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";

const maxDeadlineMs = 86_400_000;

/**
 * Parses the `Tamarack-Deadline` header: milliseconds since the Unix epoch or an ISO date. Without the header, the
 * deadline is `defaultMs` after `now`.
 */
export function readDeadline(now: Instant, defaultMs: number, header: string | undefined): Either<Problem, Instant> {
    if (header === undefined) {
        return Right(after(now, defaultMs));
    }
    const at = /^\d+$/.test(header) ? Number(header) : Date.parse(header);
    if (!Number.isFinite(at) || at > now + maxDeadlineMs) {
        return Left(problem("invalid-request", "The deadline cannot be read.", {
            findings: [{
                place: "headers.Tamarack-Deadline",
                read: header.slice(0, 80),
                allowed: "milliseconds since the Unix epoch or an ISO date, at most a day ahead",
            }],
        }));
    }
    return at > now ? Right(at as Instant) : Left(problem("deadline-exceeded", "The deadline had passed on arrival."));
}
