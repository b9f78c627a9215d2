/**
 * Stores the outcomes of claimed calls, each again and again with longer waits while the key-value service is away;
 * until an outcome is stored, the holder of the claim answers for it.
 */

import { after, type Claim, type Clock, type Problem, sleepUntil, type StoredResponse } from "@tamarackpath/core";
import { createHash } from "node:crypto";
import { type Either } from "purify-ts";
import { type ClaimStore } from "./ClaimStore.js";

const replayMs = 600_000;
const largestStoredBody = 8 * 1024;
const writeWithinMs = 5000;
const firstWaitMs = 500;
const settleTries = 8;

/** Stores outcomes. */
export class SettleQueue {
    private running = 0;

    constructor(private readonly clock: Clock, private readonly store: ClaimStore) {}

    /** Outcomes that are not stored yet. */
    get length(): number {
        return this.running;
    }

    /** Stores what became of `claim`, in the background. */
    settle(claim: Claim, res: Either<Problem, StoredResponse>): void {
        void this.write(this.settled(claim, res));
    }

    private async write(claim: Claim): Promise<void> {
        this.running++;
        for (let tries = 0; tries < settleTries; tries++) {
            const verdict = await this.store.change(
                { kind: "settle", claim },
                after(this.clock.now(), writeWithinMs),
            );
            if (verdict.kind !== "unconfirmed") {
                break;
            }
            await sleepUntil(this.clock, after(this.clock.now(), firstWaitMs * 2 ** tries));
        }
        this.running--;
    }

    private settled(claim: Claim, res: Either<Problem, StoredResponse>): Claim {
        return res.caseOf<Claim>({
            Left: found => ({ ...claim, state: found.run === "not-run" ? "not-run" : "unknown" }),
            Right: outcome => ({ ...claim, state: "answered", ...this.kept(outcome) }),
        });
    }

    private kept(outcome: StoredResponse): Pick<Claim, "outcome" | "digest" | "dropOutcomeAt"> {
        const digest = {
            status: outcome.status,
            bodySha256: createHash("sha256").update(Buffer.from(outcome.bodyBase64, "base64")).digest("hex"),
        };
        const size = outcome.bodyBase64.length + JSON.stringify(outcome.headers).length;
        return size > largestStoredBody
            ? { digest }
            : { digest, outcome, dropOutcomeAt: after(this.clock.now(), replayMs) };
    }
}
