/**
 * Runs calls that carry an idempotency key of the caller. A call runs only under a claim that is stored in the
 * key-value service and names this incarnation and this attempt. When another attempt holds the claim, the outcome is
 * requested from its incarnation.
 */

import {
    after,
    type Claim,
    type ClaimChangeOutcome,
    type ClaimOutcomeRequest,
    type ClaimOutcomeResponse,
    type Instant,
    type Problem,
    sleepUntil,
    type StoredResponse,
} from "@tamarackpath/core";
import { randomUUID } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import {
    deadlinePassedProblem,
    limitReachedProblem,
    notClaimedProblem,
    outcomeDroppedProblem,
    outcomeUnknownProblem,
    requestMismatchProblem,
} from "./answerProblems.js";
import { type AtMostOnceCall, fingerprintOf, keyHash, ownerOf, type RunOnce } from "./AtMostOnceCall.js";
import { AtMostOnceRunner, type RunResult } from "./AtMostOnceRunner.js";
import { requestOutcome, toOutcomeAnswer } from "./claimOutcomes.js";
import { type ClaimStore } from "./ClaimStore.js";
import { SettleQueue } from "./SettleQueue.js";
import { type AnswerContext } from "./TicketCalls.js";

const keyTtlMs = 3_600_000;
const maxClaimAttempts = 4;

/** Whether a call runs under its claim, ends without running, or may replace the claim of a call that did not run. */
type ClaimDecision =
    | { readonly kind: "run"; readonly claim: Claim; }
    | { readonly kind: "end"; readonly res: RunResult; }
    | { readonly kind: "replace"; readonly claimId: string; };

/** Runs calls with idempotency keys. */
export class KeyedCalls {
    readonly runner: AtMostOnceRunner;
    readonly settleQueue: SettleQueue;
    /** The claims of this incarnation under which calls run, by the hash of the idempotency key. */
    private readonly claimIds = new Map<string, string>();
    private readonly pendingClaims = new Map<string, Promise<ClaimDecision>>();

    constructor(private readonly ctx: AnswerContext, private readonly store: ClaimStore, runOnce: RunOnce) {
        this.runner = new AtMostOnceRunner(ctx.clock, runOnce, "idempotency key");
        this.settleQueue = new SettleQueue(ctx.clock, store);
    }

    async call(call: AtMostOnceCall, idempotencyKey: string): Promise<RunResult> {
        const key = keyHash(ownerOf(call), idempotencyKey);
        while (this.pendingClaims.has(key)) {
            await Promise.race([this.pendingClaims.get(key), sleepUntil(this.ctx.clock, call.deadline)]);
            if (this.now() >= call.deadline) {
                return Left(outcomeUnknownProblem("Another request with the same key is under way.", this.now(), true));
            }
        }
        const ownClaimId = this.claimIds.get(key);
        if (ownClaimId !== undefined && this.isTracked(ownClaimId)) {
            return await this.runner.runOrWait(ownClaimId, call);
        }
        const pending = this.claim(call, key);
        this.pendingClaims.set(key, pending);
        const decision = await pending;
        this.pendingClaims.delete(key);
        return decision.kind === "run" ? await this.run(call, decision.claim) : await endOf(decision);
    }

    /** Answers another host's request for the outcome of a call that this incarnation has claimed. */
    async serveOutcome(
        { claim, caller, waitUntil }: ClaimOutcomeRequest,
    ): Promise<Either<Problem, ClaimOutcomeResponse>> {
        const { host, incarnation, clock } = this.ctx;
        if (claim.host !== host || claim.incarnation !== incarnation) {
            return Right({ kind: "unknown" });
        }
        if (this.runner.registry.phase(claim.claimId) === "admitted") {
            await this.pendingClaims.get(claim.key);
        }
        const decision = this.runner.registry.evaluate(claim.claimId, caller, claim.fingerprint);
        if (decision.kind !== "wait") {
            return Right(toOutcomeAnswer(decision));
        }
        const res = await this.runner.wait(claim.claimId, Math.max(clock.now(), waitUntil) as Instant);
        const decisionAfterWait = this.runner.registry.evaluate(claim.claimId, caller, claim.fingerprint);
        return Right(
            res.isRight() ? { kind: "answered", outcome: res.unsafeCoerce() } : toOutcomeAnswer(decisionAfterWait),
        );
    }

    removeExpired(now: Instant): void {
        const evicted = new Set(this.runner.registry.evictExpired(now));
        for (const [key, claimId] of this.claimIds) {
            if (evicted.has(claimId)) {
                this.claimIds.delete(key);
            }
        }
    }

    private isTracked(claimId: string): boolean {
        const phase = this.runner.registry.phase(claimId);
        return phase !== undefined && phase !== "abandoned";
    }

    private run(call: AtMostOnceCall, claim: Claim): Promise<RunResult> {
        const id = claim.claimId;
        this.claimIds.set(claim.key, id);
        if (call.deadline <= this.ctx.clock.now()) {
            this.abandon(claim);
            return Promise.resolve(Left(deadlinePassedProblem()));
        }
        return this.runner.runOrWait(id, call, res => this.settleQueue.settle(claim, res));
    }

    /** Ensures that no call is dispatched under `claim`, and stores this in the key-value service. */
    private abandon(claim: Claim): void {
        this.runner.registry.apply(claim.claimId, "abandon");
        this.settleQueue.settle(claim, Left(deadlinePassedProblem()));
    }

    private async claim(call: AtMostOnceCall, key: string): Promise<ClaimDecision> {
        let replaces: string | undefined;
        for (let attempt = 0; attempt < maxClaimAttempts; attempt++) {
            const claim = this.newClaim(call, key);
            if (!this.runner.registry.admit(claim.claimId, ownerOf(call), claim.fingerprint, claim.forgetAt)) {
                const detail = "The caller has too many requests that must be remembered.";
                return end(
                    call.isFirst
                        ? limitReachedProblem(detail, this.now())
                        : outcomeUnknownProblem(detail, this.now(), true),
                );
            }
            const outcome = await this.store.change({ kind: "claim", claim, replaces }, call.deadline);
            if (outcome.kind === "held") {
                return { kind: "run", claim };
            }
            this.runner.registry.apply(claim.claimId, "abandon");
            const decision = await this.onRefusal(call, claim, outcome);
            if (decision.kind !== "replace") {
                return decision;
            }
            replaces = decision.claimId;
        }
        return end(outcomeUnknownProblem("Other requests with the same key came between.", this.now(), true));
    }

    private onRefusal(
        call: AtMostOnceCall,
        own: Claim,
        outcome: Exclude<ClaimChangeOutcome, { readonly kind: "held"; }>,
    ): Promise<ClaimDecision> | ClaimDecision {
        switch (outcome.kind) {
            case "taken":
                return this.onTaken(call, own, outcome.claim);
            case "full":
                return end(
                    limitReachedProblem("There is no room for more idempotency keys; a ticket needs none.", this.now()),
                );
            case "unconfirmed":
                return end(notClaimedProblem(this.now(), call.isFirst));
        }
    }

    private async onTaken(call: AtMostOnceCall, own: Claim, existing: Claim): Promise<ClaimDecision> {
        if (existing.fingerprint !== own.fingerprint) {
            return end(requestMismatchProblem("idempotency key"));
        }
        switch (existing.state) {
            case "answered":
                return existing.outcome === undefined
                    ? await this.fetchDroppedOutcome(call, existing)
                    : { kind: "end", res: Right(existing.outcome) };
            case "not-run":
                return { kind: "replace", claimId: existing.claimId };
            case "unknown":
                return end(outcomeUnknownProblem("The request was begun; its outcome is not known.", this.now(), true));
            case "claimed":
                return await this.fetchRunningOutcome(call, existing);
        }
    }

    /** Requests an outcome from the holder of its claim when the key-value service does not store it. */
    private async fetchDroppedOutcome(call: AtMostOnceCall, existing: Claim): Promise<ClaimDecision> {
        const answer = await this.ask(call, existing);
        return answer?.kind === "answered"
            ? { kind: "end", res: Right(answer.outcome) }
            : end(outcomeDroppedProblem(existing.digest));
    }

    private async ask(call: AtMostOnceCall, existing: Claim): Promise<ClaimOutcomeResponse | undefined> {
        const request = { claim: existing, caller: ownerOf(call), waitUntil: call.deadline };
        return existing.host === this.ctx.host
            ? (await this.serveOutcome(request)).toMaybe().extract()
            : await requestOutcome(this.ctx, existing.host, request);
    }

    private async fetchRunningOutcome(call: AtMostOnceCall, existing: Claim): Promise<ClaimDecision> {
        const answer = await this.ask(call, existing);
        switch (answer?.kind) {
            case "answered":
                return { kind: "end", res: Right(answer.outcome) };
            case "outcome-dropped":
                return end(outcomeDroppedProblem());
            case "never":
                return { kind: "replace", claimId: existing.claimId };
            case "unknown":
                return end(
                    outcomeUnknownProblem("The request was begun; its outcome is not known.", this.now(), false),
                );
            case "still-running":
            case undefined:
                return end(
                    outcomeUnknownProblem("The request was begun; ask again for its outcome.", this.now(), true),
                );
        }
    }

    private newClaim(call: AtMostOnceCall, key: string): Claim {
        return {
            key,
            claimId: randomUUID(),
            host: this.ctx.host,
            incarnation: this.ctx.incarnation,
            fingerprint: fingerprintOf(call.req),
            state: "claimed",
            forgetAt: after(Math.max(this.now(), call.deadline) as Instant, keyTtlMs),
        };
    }

    private now(): Instant {
        return this.ctx.clock.now();
    }
}

function end(failure: Problem): ClaimDecision {
    return { kind: "end", res: Left<Problem, StoredResponse>(failure) };
}

function endOf(decision: Exclude<ClaimDecision, { readonly kind: "run"; }>): Promise<RunResult> {
    return Promise.resolve(decision.kind === "end" ? decision.res : Left(deadlinePassedProblem()));
}
