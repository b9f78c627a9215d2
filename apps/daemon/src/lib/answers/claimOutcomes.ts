/** Both sides of a request for the outcome of a claimed call: the host that asks, and the host that holds the claim. */

import {
    after,
    type ClaimOutcomeRequest,
    type ClaimOutcomeResponse,
    type HostId,
    type Instant,
    type RunDecision,
    sleepUntil,
    type StoredResponse,
} from "@tamarackpath/core";
import { type AnswerContext } from "./TicketCalls.js";

/** How long after the call's deadline the asking host still waits for the answer. */
const answerGraceMs = 500;
const retryDelayMs = 400;
const maxRequestAttempts = 3;

/** Requests the outcome from `host`, and retries after a delay when the link fails; undefined without an answer. */
export async function requestOutcome(
    ctx: AnswerContext,
    host: HostId,
    request: ClaimOutcomeRequest,
): Promise<ClaimOutcomeResponse | undefined> {
    const deadline = after(request.waitUntil as Instant, answerGraceMs);
    for (let attempt = 1;; attempt++) {
        const res = await ctx.ports.peers.ask(host, "claim-outcome", request, deadline);
        const answer = res.toMaybe().extract()?.toMaybe().extract();
        const nextAt = after(ctx.clock.now(), retryDelayMs);
        if (answer !== undefined || attempt === maxRequestAttempts || nextAt >= request.waitUntil) {
            return answer;
        }
        await sleepUntil(ctx.clock, nextAt);
    }
}

const answers: Readonly<Record<RunDecision<StoredResponse>["kind"], ClaimOutcomeResponse["kind"]>> = {
    "run": "still-running",
    "wait": "still-running",
    "replay": "answered",
    "outcome-dropped": "outcome-dropped",
    "other-request": "unknown",
    "abandoned": "never",
    "unknown": "unknown",
};

/** The holder's answer for a request on which its registry returns `decision`. */
export function toOutcomeAnswer(decision: RunDecision<StoredResponse>): ClaimOutcomeResponse {
    const kind = answers[decision.kind];
    if (decision.kind === "replay") {
        return { kind: "answered", outcome: decision.outcome };
    }
    return kind === "answered" ? { kind: "unknown" } : { kind };
}
