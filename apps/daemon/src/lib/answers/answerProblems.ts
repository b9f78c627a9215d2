/** Problems with which calls to plain services end. */

import { after, type Instant, type Problem, problem } from "@tamarackpath/core";

const retryAfterMs = 1000;

/** The outcome is not known; `canRetry` is true when a later request may return it. */
export function outcomeUnknownProblem(detail: string, now: Instant, canRetry: boolean): Problem {
    const retry = canRetry ? { allowed: true, notBefore: after(now, retryAfterMs) } : { allowed: false };
    return problem("outcome-unknown", detail, { run: "unknown", retry });
}

/** The request ran, but its outcome was too large or too old to be kept. */
export function outcomeDroppedProblem(digest?: { readonly status: number; readonly bodySha256: string; }): Problem {
    const findings = digest === undefined ? undefined : [{
        place: "outcome",
        read: `status ${digest.status}, SHA-256 of the body ${digest.bodySha256}`,
        allowed: "outcomes are kept up to a size and for a time",
    }];
    return problem("outcome-dropped", "The request ran; its outcome is no longer kept.", { run: "ran", findings });
}

/** The key or ticket was used for another request; this one did not run. */
export function requestMismatchProblem(proofName: string): Problem {
    return problem("conflict", `The ${proofName} belongs to another request.`);
}

/** The key-value service did not confirm the claim. Only a first attempt certainly did not run. */
export function notClaimedProblem(now: Instant, isFirst: boolean): Problem {
    return problem("unavailable", "The request could not be claimed; a ticket works without the key-value service.", {
        run: isFirst ? "not-run" : "unknown",
        retry: { allowed: true, notBefore: after(now, retryAfterMs) },
    });
}

/** The ticket's request was refused permanently. */
export function ticketRefusedProblem(): Problem {
    return problem("gone", "The ticket's request was refused and will not run; take a new ticket.");
}

/** A limit on the number of such requests is reached; nothing ran. */
export function limitReachedProblem(detail: string, now: Instant): Problem {
    return problem("too-many-requests", detail, { retry: { allowed: true, notBefore: after(now, retryAfterMs) } });
}

/** The deadline passed before any byte was sent to a target. */
export function deadlinePassedProblem(): Problem {
    return problem("deadline-exceeded", "The deadline passed before the request was handed to a target.");
}
