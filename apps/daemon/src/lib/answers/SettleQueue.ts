/**
 * Stores the outcomes of claimed calls. Writes are retried with exponential backoff while the key-value service is
 * unavailable. Until an outcome is stored, the holder of the claim answers requests for it.
 */

import { after, type Claim, type Clock, type Problem, sleepUntil, type StoredResponse } from "@tamarackpath/core";
import { createHash } from "node:crypto";
import { type Either } from "purify-ts";
import { type ClaimStore } from "./ClaimStore.js";

const outcomeTtlMs = 600_000;
/** Of a larger outcome, only a digest is stored. */
const maxStoredOutcomeBytes = 8 * 1024;
const writeTimeoutMs = 5000;
const initialRetryDelayMs = 500;
const maxSettleAttempts = 8;

/** Stores outcomes in the background. */
export class SettleQueue {
    private running = 0;

    constructor(private readonly clock: Clock, private readonly store: ClaimStore) {}

    /** Number of outcomes whose write has not ended. */
    get length(): number {
        return this.running;
    }

    /** Stores the outcome of `claim` in the background. */
    settle(claim: Claim, res: Either<Problem, StoredResponse>): void {
        void this.write(this.settled(claim, res));
    }

    private async write(claim: Claim): Promise<void> {
        this.running++;
        for (let attempt = 0; attempt < maxSettleAttempts; attempt++) {
            const outcome = await this.store.change(
                { kind: "settle", claim },
                after(this.clock.now(), writeTimeoutMs),
            );
            if (outcome.kind !== "unconfirmed") {
                break;
            }
            await sleepUntil(this.clock, after(this.clock.now(), initialRetryDelayMs * 2 ** attempt));
        }
        this.running--;
    }

    private settled(claim: Claim, res: Either<Problem, StoredResponse>): Claim {
        return res.caseOf<Claim>({
            Left: failure => ({ ...claim, state: failure.run === "not-run" ? "not-run" : "unknown" }),
            Right: outcome => ({ ...claim, state: "answered", ...this.kept(outcome) }),
        });
    }

    private kept(outcome: StoredResponse): Pick<Claim, "outcome" | "digest" | "dropOutcomeAt"> {
        const digest = {
            status: outcome.status,
            bodySha256: createHash("sha256").update(Buffer.from(outcome.bodyBase64, "base64")).digest("hex"),
        };
        const size = outcome.bodyBase64.length + Buffer.byteLength(JSON.stringify(outcome.headers));
        return size > maxStoredOutcomeBytes
            ? { digest }
            : { digest, outcome, dropOutcomeAt: after(this.clock.now(), outcomeTtlMs) };
    }
}
