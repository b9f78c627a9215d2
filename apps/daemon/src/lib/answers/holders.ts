/** Asks the host that holds a claim what became of the request, and gives the answer of a holder. */

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

const answerGraceMs = 500;
const askAgainMs = 400;
const askTries = 3;

/** Asks `host`, again after a while when the link fails; undefined when it does not answer. */
export async function askHolder(
    ctx: AnswerContext,
    host: HostId,
    ask: ClaimOutcomeRequest,
): Promise<ClaimOutcomeResponse | undefined> {
    const until = after(ask.waitUntil as Instant, answerGraceMs);
    for (let tries = 1;; tries++) {
        const res = await ctx.ports.peers.ask(host, "claim-outcome", ask, until);
        const answer = res.toMaybe().extract()?.toMaybe().extract();
        const nextAt = after(ctx.clock.now(), askAgainMs);
        if (answer !== undefined || tries === askTries || nextAt >= ask.waitUntil) {
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

/** What a holder says of a request on which its book gives `verdict`. */
export function outcomeOf(verdict: RunDecision<StoredResponse>): ClaimOutcomeResponse {
    const kind = answers[verdict.kind];
    if (verdict.kind === "replay") {
        return { kind: "answered", outcome: verdict.outcome };
    }
    return kind === "answered" ? { kind: "unknown" } : { kind };
}
