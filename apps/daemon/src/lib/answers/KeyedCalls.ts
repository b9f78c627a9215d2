/**
 * Calls with the caller's own idempotency key. A call runs only under a claim that stands in the key-value service and
 * names this incarnation and this attempt. A claim of another attempt is settled with the incarnation that holds it.
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
import { deadlinePassed, noRoom, notClaimed, otherRequest, outcomeDropped, outcomeUnknown } from "./answerProblems.js";
import { type ClaimStore } from "./ClaimStore.js";
import { askHolder, outcomeOf } from "./holders.js";
import { fingerprintOf, keyHash, type NeverRepeatCall, ownerOf, type RunOnce } from "./NeverRepeatCall.js";
import { RunKeeper, type RunResult } from "./RunKeeper.js";
import { SettleQueue } from "./SettleQueue.js";
import { type AnswerContext } from "./TicketCalls.js";

const rememberMs = 3_600_000;
const claimTries = 4;

/** Either the right to run under a claim, or the call's end without running. */
type ClaimStep =
    | { readonly kind: "run"; readonly claim: Claim; }
    | { readonly kind: "end"; readonly res: RunResult; }
    | { readonly kind: "replace"; readonly claimId: string; };

/** Runs calls with idempotency keys. */
export class KeyedCalls {
    readonly keeper: RunKeeper;
    readonly settles: SettleQueue;
    private readonly claimIds = new Map<string, string>();
    private readonly claiming = new Map<string, Promise<ClaimStep>>();

    constructor(private readonly ctx: AnswerContext, private readonly store: ClaimStore, runOnce: RunOnce) {
        this.keeper = new RunKeeper(ctx.clock, runOnce, "idempotency key");
        this.settles = new SettleQueue(ctx.clock, store);
    }

    async call(call: NeverRepeatCall, idempotencyKey: string): Promise<RunResult> {
        const key = keyHash(ownerOf(call), idempotencyKey);
        while (this.claiming.has(key)) {
            await Promise.race([this.claiming.get(key), sleepUntil(this.ctx.clock, call.deadline)]);
            if (this.now() >= call.deadline) {
                return Left(outcomeUnknown("Another request with the same key is under way.", this.now(), true));
            }
        }
        const own = this.claimIds.get(key);
        if (own !== undefined && this.isRemembered(own)) {
            return await this.keeper.present(own, call);
        }
        const claiming = this.claim(call, key);
        this.claiming.set(key, claiming);
        const step = await claiming;
        this.claiming.delete(key);
        return step.kind === "run" ? await this.run(call, step.claim) : await endOf(step);
    }

    /** Answers a host that found a claim of this incarnation. */
    async serveOutcome(
        { claim, caller, waitUntil }: ClaimOutcomeRequest,
    ): Promise<Either<Problem, ClaimOutcomeResponse>> {
        const { host, incarnation, clock } = this.ctx;
        if (claim.host !== host || claim.incarnation !== incarnation) {
            return Right({ kind: "unknown" });
        }
        if (this.keeper.book.phase(claim.claimId) === "admitted") {
            await this.claiming.get(claim.key);
        }
        const verdict = this.keeper.book.evaluate(claim.claimId, caller, claim.fingerprint);
        if (verdict.kind !== "wait") {
            return Right(outcomeOf(verdict));
        }
        const res = await this.keeper.wait(claim.claimId, Math.max(clock.now(), waitUntil) as Instant);
        const after = this.keeper.book.evaluate(claim.claimId, caller, claim.fingerprint);
        return Right(res.isRight() ? { kind: "answered", outcome: res.unsafeCoerce() } : outcomeOf(after));
    }

    forget(now: Instant): void {
        const forgotten = new Set(this.keeper.book.evictExpired(now));
        for (const [key, claimId] of this.claimIds) {
            if (forgotten.has(claimId)) {
                this.claimIds.delete(key);
            }
        }
    }

    private isRemembered(claimId: string): boolean {
        const phase = this.keeper.book.phase(claimId);
        return phase !== undefined && phase !== "abandoned";
    }

    private run(call: NeverRepeatCall, claim: Claim): Promise<RunResult> {
        const id = claim.claimId;
        this.claimIds.set(claim.key, id);
        if (call.deadline <= this.ctx.clock.now()) {
            this.giveUp(claim);
            return Promise.resolve(Left(deadlinePassed()));
        }
        return this.keeper.present(id, call, res => this.settles.settle(claim, res));
    }

    /** Promises never to dispatch under `claim`, and says so in the key-value service. */
    private giveUp(claim: Claim): void {
        this.keeper.book.apply(claim.claimId, "abandon");
        this.settles.settle(claim, Left(deadlinePassed()));
    }

    private async claim(call: NeverRepeatCall, key: string): Promise<ClaimStep> {
        let replaces: string | undefined;
        for (let tries = 0; tries < claimTries; tries++) {
            const claim = this.newClaim(call, key);
            if (!this.keeper.book.admit(claim.claimId, ownerOf(call), claim.fingerprint, claim.forgetAt)) {
                const detail = "The caller has too many requests that must be remembered.";
                return end(call.isFirst ? noRoom(detail, this.now()) : outcomeUnknown(detail, this.now(), true));
            }
            const verdict = await this.store.change({ kind: "claim", claim, replaces }, call.deadline);
            if (verdict.kind === "held") {
                return { kind: "run", claim };
            }
            this.keeper.book.apply(claim.claimId, "abandon");
            const step = await this.onRefusal(call, claim, verdict);
            if (step.kind !== "replace") {
                return step;
            }
            replaces = step.claimId;
        }
        return end(outcomeUnknown("Other requests with the same key came between.", this.now(), true));
    }

    private onRefusal(
        call: NeverRepeatCall,
        own: Claim,
        verdict: Exclude<ClaimChangeOutcome, { readonly kind: "held"; }>,
    ): Promise<ClaimStep> | ClaimStep {
        switch (verdict.kind) {
            case "taken":
                return this.onTaken(call, own, verdict.claim);
            case "full":
                return end(noRoom("There is no room for more idempotency keys; a ticket needs none.", this.now()));
            case "unconfirmed":
                return end(notClaimed(this.now(), call.isFirst));
        }
    }

    private async onTaken(call: NeverRepeatCall, own: Claim, standing: Claim): Promise<ClaimStep> {
        if (standing.fingerprint !== own.fingerprint) {
            return end(otherRequest("idempotency key"));
        }
        switch (standing.state) {
            case "answered":
                return standing.outcome === undefined
                    ? await this.fetchOutcome(call, standing)
                    : { kind: "end", res: Right(standing.outcome) };
            case "not-run":
                return { kind: "replace", claimId: standing.claimId };
            case "unknown":
                return end(outcomeUnknown("The request was begun; its outcome is not known.", this.now(), true));
            case "claimed":
                return await this.askAbout(call, standing);
        }
    }

    /** Asks the holder for an outcome that the key-value service does not keep. */
    private async fetchOutcome(call: NeverRepeatCall, standing: Claim): Promise<ClaimStep> {
        const said = await this.ask(call, standing);
        return said?.kind === "answered"
            ? { kind: "end", res: Right(said.outcome) }
            : end(outcomeDropped(standing.digest));
    }

    private async ask(call: NeverRepeatCall, standing: Claim): Promise<ClaimOutcomeResponse | undefined> {
        const ask = { claim: standing, caller: ownerOf(call), waitUntil: call.deadline };
        return standing.host === this.ctx.host
            ? (await this.serveOutcome(ask)).toMaybe().extract()
            : await askHolder(this.ctx, standing.host, ask);
    }

    private async askAbout(call: NeverRepeatCall, standing: Claim): Promise<ClaimStep> {
        const said = await this.ask(call, standing);
        switch (said?.kind) {
            case "answered":
                return { kind: "end", res: Right(said.outcome) };
            case "outcome-dropped":
                return end(outcomeDropped());
            case "never":
                return { kind: "replace", claimId: standing.claimId };
            case "unknown":
                return end(outcomeUnknown("The request was begun; its outcome is not known.", this.now(), false));
            case "still-running":
            case undefined:
                return end(outcomeUnknown("The request was begun; ask again for its outcome.", this.now(), true));
        }
    }

    private newClaim(call: NeverRepeatCall, key: string): Claim {
        return {
            key,
            claimId: randomUUID(),
            host: this.ctx.host,
            incarnation: this.ctx.incarnation,
            fingerprint: fingerprintOf(call.req),
            state: "claimed",
            forgetAt: after(Math.max(this.now(), call.deadline) as Instant, rememberMs),
        };
    }

    private now(): Instant {
        return this.ctx.clock.now();
    }
}

function end(found: Problem): ClaimStep {
    return { kind: "end", res: Left<Problem, StoredResponse>(found) };
}

function endOf(step: Exclude<ClaimStep, { readonly kind: "run"; }>): Promise<RunResult> {
    return Promise.resolve(step.kind === "end" ? step.res : Left(deadlinePassed()));
}
