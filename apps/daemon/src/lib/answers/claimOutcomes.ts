/** Asks the host that holds a claim what became of the request, and gives the answer of a holder. */

import {
    after,
    type ClaimOutcomeAnswer,
    type ClaimOutcomeAsk,
    type HostId,
    type Instant,
    type KeptOutcome,
    type RunVerdict,
    sleepUntil,
} from "@tamarackpath/core";
import { type AnswerContext } from "./TicketCalls.js";

const answerGraceMs = 500;
const retryDelayMs = 400;
const maxRequestAttempts = 3;

/** Asks `host`, again after a while when the link fails; undefined when it does not answer. */
export async function requestOutcome(
    ctx: AnswerContext,
    host: HostId,
    ask: ClaimOutcomeAsk,
): Promise<ClaimOutcomeAnswer | undefined> {
    const deadline = after(ask.waitUntil as Instant, answerGraceMs);
    for (let attempt = 1;; attempt++) {
        const res = await ctx.ports.peers.ask(host, "claim-outcome", ask, deadline);
        const answer = res.toMaybe().extract()?.toMaybe().extract();
        const nextAt = after(ctx.clock.now(), retryDelayMs);
        if (answer !== undefined || attempt === maxRequestAttempts || nextAt >= ask.waitUntil) {
            return answer;
        }
        await sleepUntil(ctx.clock, nextAt);
    }
}

const answers: Readonly<Record<RunVerdict<KeptOutcome>["kind"], ClaimOutcomeAnswer["kind"]>> = {
    "run": "still-running",
    "wait": "still-running",
    "replay": "answered",
    "outcome-dropped": "outcome-dropped",
    "other-request": "unknown",
    "abandoned": "never",
    "unknown": "unknown",
};

/** What a holder says of a request on which its book gives `verdict`. */
export function toOutcomeAnswer(verdict: RunVerdict<KeptOutcome>): ClaimOutcomeAnswer {
    const kind = answers[verdict.kind];
    if (verdict.kind === "replay") {
        return { kind: "answered", outcome: verdict.outcome };
    }
    return kind === "answered" ? { kind: "unknown" } : { kind };
}
