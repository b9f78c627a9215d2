/** Runs the attempts at one call: what follows when one ends, and when the call has its final answer. */

import {
    after,
    type CallAttempts,
    type CallStep,
    type ForwardedCall,
    msUntil,
    type RequestPermit,
    type Route,
    type StreamHandler,
    type TargetEntryView,
} from "@tamarackpath/core";
import { type CallAnswer, refusedWith } from "./CallAnswer.js";
import { type CallForwarder, type TargetPool } from "./CallForwarder.js";
import { type Admission } from "./CrashGuard.js";

/** Milliseconds between retries while targets refuse work, multiplied by the number of refusals. */
const refusalRetryDelayMs = 25;

/** Milliseconds between retries while no target can be reached. The time doubles with each attempt up to the limit. */
const unreachableRetryDelayMs = { first: 20, max: 160 } as const;

/** Refusals by targets after which the caller gets a refusal with a retry time. */
const maxRefusals = 6;

/** Runs the attempts of one call; the first final answer ends the call and cancels the other attempts. */
export class CallExecution {
    private readonly cancel = new AbortController();
    private settle: (answer: CallAnswer) => void = () => undefined;
    private refusalCount = 0;
    private unreachableCount = 0;
    private bestAnswer: CallAnswer | undefined;
    private lastDetail = "No target has answered.";
    private hasForwardedHead = false;

    constructor(
        private readonly forwarder: CallForwarder,
        private readonly route: Route,
        private readonly pool: TargetPool,
        private readonly attempts: CallAttempts,
        private readonly call: ForwardedCall,
        private readonly admission: Admission,
        private readonly streamHandler: StreamHandler | undefined,
        private readonly callerGone: AbortSignal,
    ) {}

    run(): Promise<CallAnswer> {
        return new Promise(resolve => {
            this.settle = resolve;
            const onGone = (): void => this.finish({ kind: "left" });
            this.callerGone.addEventListener("abort", onGone, { once: true });
            if (this.callerGone.aborted) {
                // The caller left before its call could begin, as while a trial was asked for.
                onGone();
                return;
            }
            void this.watchDeadline();
            void this.next();
            void this.hedge();
        });
    }

    /** Ends the call with what is known of it; `reason` says why it cannot go on. */
    end(reason: string): void {
        this.finish(
            this.bestAnswer ?? (this.attempts.mayHaveRun
                ? { kind: "failed", reason: `${reason} ${this.lastDetail}`, late: true }
                : refusedWith(`${reason} ${this.lastDetail}`)),
        );
    }

    private async watchDeadline(): Promise<void> {
        await this.forwarder.pauseUntil(this.attempts.deadline, this.cancel.signal);
        this.end("The time is over.");
    }

    /** Sends an idempotent request to a second target when the first one has not answered within the hedge delay. */
    private async hedge(): Promise<void> {
        if (this.route.kind !== "idempotent") {
            return;
        }
        await this.forwarder.pauseUntil(this.forwarder.hedgeAt(this.route), this.cancel.signal);
        // A slow answer may be the first sign that this host is cut off; the hedge then goes another way.
        await this.forwarder.checkReach(this.cancel.signal);
        const other = this.forwarder.chooseUnlimited(this.pool, this.attempts.triedTargets);
        const isOther = other !== undefined && !this.attempts.triedTargets.includes(other.target);
        const isSound = this.admission === "sound" && !this.forwarder.crashes.isSuspect(this.call);
        if (!this.cancel.signal.aborted && isOther && isSound && this.attempts.canHedge) {
            void this.attempt(other, this.forwarder.permitFor(other, this.route));
        }
    }

    private async next(): Promise<void> {
        if (this.admission !== "trial" && this.forwarder.crashes.isBlocked(this.call)) {
            this.finish(this.forwarder.blockedAnswer(this.call));
            return;
        }
        const { triedTargets, deadline } = this.attempts;
        const choice = await this.forwarder.chooseTarget(this.route, this.pool, triedTargets, deadline);
        if (choice.kind === "none") {
            this.finishWithoutTarget(choice.reason, choice.retryAfterMs);
            return;
        }
        if (choice.at > this.forwarder.now()) {
            await this.forwarder.pauseUntil(choice.at, this.cancel.signal);
        }
        if (this.cancel.signal.aborted) {
            return;
        }
        if (!choice.permit.isValid(this.forwarder.now())) {
            // The process was paused since the permit was given.
            await this.next();
            return;
        }
        await this.attempt(choice.target, choice.permit);
    }

    /** Ends the call, unless an attempt in flight may still answer it. */
    private finishWithoutTarget(reason: string, retryAfterMs: number): void {
        if (this.attempts.isInFlight) {
            return;
        }
        this.finish(
            this.bestAnswer ?? (this.attempts.mayHaveRun
                ? { kind: "failed", reason: `${this.lastDetail} ${reason}`, late: false }
                : refusedWith(reason, retryAfterMs)),
        );
    }

    private async attempt(target: TargetEntryView, permit: RequestPermit): Promise<void> {
        this.attempts.recordStart(target.target);
        const end = await this.forwarder.attempt(
            target,
            permit,
            this.route,
            this.call,
            this.attempts.deadline,
            this.streamHandler === undefined ? undefined : this.trackHead(this.streamHandler),
            this.cancel.signal,
        );
        if (this.cancel.signal.aborted) {
            return;
        }
        if (end.kind === "streamed") {
            this.finish({ kind: "streamed" });
            return;
        }
        if (end.kind === "cancelled") {
            return;
        }
        if (end.kind === "answered") {
            this.bestAnswer = { kind: "answered", head: end.head, body: end.body };
            this.applyStep(this.attempts.recordEnd({ kind: "answered", status: end.head.status }), false);
            return;
        }
        this.lastDetail = end.detail;
        if (this.hasForwardedHead) {
            this.finish({ kind: "broken", reason: end.detail });
            return;
        }
        const isRefusal = end.kind === "not-run" && end.reached;
        this.refusalCount += isRefusal ? 1 : 0;
        this.unreachableCount += end.kind === "not-run" && !end.reached ? 1 : 0;
        this.applyStep(this.attempts.recordEnd({ kind: end.kind }), isRefusal);
    }

    private applyStep(step: CallStep, wasRefused: boolean): void {
        const steps: Record<CallStep, () => void> = {
            "deliver": () => this.finish(this.bestAnswer!),
            "wait": () => undefined,
            "retry": () => this.admission === "trial" ? this.endTrial() : void this.retry(wasRefused),
            "end-not-run": () => this.finish(refusedWith(this.lastDetail)),
            "end-unknown": () =>
                this.finish(this.bestAnswer ?? { kind: "failed", reason: this.lastDetail, late: false }),
        };
        steps[step]();
    }

    /** Ends a trial that was not answered; it gets no further attempt. */
    private endTrial(): void {
        this.finish(
            this.bestAnswer ?? (this.attempts.mayHaveRun
                ? { kind: "failed", reason: this.lastDetail, late: false }
                : refusedWith(this.lastDetail)),
        );
    }

    private async retry(wasRefused: boolean): Promise<void> {
        if (wasRefused && this.refusalCount >= maxRefusals && !this.attempts.mayHaveRun) {
            this.finish(refusedWith(this.lastDetail));
            return;
        }
        if (wasRefused && this.refusalCount > 1) {
            await this.forwarder.pauseUntil(
                after(this.forwarder.now(), refusalRetryDelayMs * this.refusalCount),
                this.cancel.signal,
            );
        }
        if (!wasRefused) {
            if (this.forwarder.reachesNothing && !this.attempts.mayHaveRun) {
                this.finish(refusedWith(this.lastDetail));
                return;
            }
            await this.pauseWhileUnreachable();
        }
        if (!this.cancel.signal.aborted && msUntil(this.attempts.deadline, this.forwarder.now()) > 0) {
            await this.next();
        }
    }

    /** Pauses once as many attempts as there are targets could not reach one; the first attempt at each follows at once. */
    private async pauseWhileUnreachable(): Promise<void> {
        const excess = this.unreachableCount - this.forwarder.targetsOf(this.pool).length;
        if (excess >= 0) {
            const delayMs = Math.min(unreachableRetryDelayMs.max, unreachableRetryDelayMs.first * 2 ** excess);
            await this.forwarder.pauseUntil(after(this.forwarder.now(), delayMs), this.cancel.signal);
        }
    }

    private trackHead(handler: StreamHandler): StreamHandler {
        return {
            onHead: head => {
                this.hasForwardedHead = true;
                handler.onHead(head);
            },
            onChunk: bytes => handler.onChunk(bytes),
        };
    }

    private finish(answer: CallAnswer): void {
        if (!this.cancel.signal.aborted) {
            this.cancel.abort();
            this.settle(answer);
        }
    }
}
