/**
 * Forwards callers' requests to targets: selects the target, retries where the route's kind allows it, hedges slow
 * idempotent requests at a second target, and ends each call with its final answer as soon as that is known.
 */

import {
    after,
    CallAttempts,
    type CallStep,
    type CallTargets,
    type Clock,
    drawService,
    type ForwardedCall,
    type ForwardOutcome,
    type Instant,
    msUntil,
    type RequestPermit,
    type ResponseHead,
    type Route,
    type ServiceId,
    sleepUntil,
    type StreamHandler,
    type TargetEntryView,
    TargetSelector,
    type ZoneId,
} from "@tamarackpath/core";
import { type Admission, type CrashGuard } from "./CrashGuard.js";
import { type HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";
import { fingerprintOf } from "./requestFingerprint.js";
import { type RequestPermits } from "./RequestPermits.js";
import { type RolloutSettings } from "./RolloutSettings.js";

/** The final answer to a call. */
export type CallAnswer =
    | { readonly kind: "answered"; readonly head: ResponseHead; readonly body: Uint8Array; }
    /** The whole response was forwarded as it arrived. */
    | { readonly kind: "streamed"; }
    /** No target ran the request or will run it. */
    | { readonly kind: "refused"; readonly reason: string; readonly retryAfterMs: number; }
    /** The request may have run; `late` is set when its deadline passed. */
    | { readonly kind: "failed"; readonly reason: string; readonly late: boolean; }
    /** A streamed response ended early, after its head was forwarded. */
    | { readonly kind: "broken"; readonly reason: string; }
    /** The caller closed its connection. */
    | { readonly kind: "left"; };

/** The target of the next attempt, with a permit that is valid from `at` on, or why there is none. */
export type TargetChoice =
    | {
        readonly kind: "target";
        readonly target: TargetEntryView;
        readonly permit: RequestPermit;
        readonly at: Instant;
    }
    | { readonly kind: "none"; readonly reason: string; readonly retryAfterMs: number; };

/** Milliseconds after which a refused caller should retry; the list of targets is read again by then. */
const refusalRetryAfterMs = 400;

/**
 * Lower limit of the hedge delay, so that the usual variation in a healthy target's latency sends no second request.
 */
const minHedgeDelayMs = 40;

/** Milliseconds between retries while targets refuse work, multiplied by the number of refusals. */
const refusalRetryDelayMs = 25;

/**
 * Share of a route's target latency for which a call waits for a permit. A call that would wait longer is refused at
 * once, so that the caller may return when there is room.
 */
const maxPermitWaitShare = 0.5;

/** Milliseconds between retries while no target can be reached. The time doubles with each attempt up to the limit. */
const unreachableRetryDelayMs = { first: 20, max: 160 } as const;

/** Refusals by targets after which the caller gets a refusal with a retry time. */
const maxRefusals = 6;

/** Forwards calls to the targets of their route. */
export class CallForwarder {
    private readonly targetSelector: TargetSelector;

    constructor(
        private readonly settings: RolloutSettings,
        zone: ZoneId,
        private readonly view: HostView,
        private readonly targets: CallTargets,
        private readonly permits: RequestPermits,
        readonly crashes: CrashGuard,
        private readonly random: () => number,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        this.targetSelector = new TargetSelector(zone);
    }

    /**
     * Forwards `call`; `streamHandler` receives a streamed response, and `callerGone` aborts when the caller
     * disconnects.
     */
    async forward(
        route: Route,
        call: ForwardedCall,
        deadline: Instant,
        streamHandler: StreamHandler | undefined,
        callerGone: AbortSignal,
    ): Promise<CallAnswer> {
        const service = drawService(route, this.random());
        const attempts = new CallAttempts(route, deadline);
        const admission = await this.crashes.admit(call);
        const answer = service === undefined
            ? refusedWith("The route names no service.")
            : admission === "blocked"
            ? this.blockedAnswer(call)
            : await new CallExecution(this, route, service, attempts, call, admission, streamHandler, callerGone).run();
        this.journal.log("call-ended", {
            call: call.id,
            route: route.id,
            revision: this.view.routes?.config.revision,
            outcome: answer.kind,
            status: answer.kind === "answered" ? answer.head.status : undefined,
            reason: "reason" in answer ? answer.reason : undefined,
            targets: [...attempts.triedTargets],
            leftMs: deadline - this.clock.now(),
        });
        return answer;
    }

    /**
     * The answer to a call that ends its targets. It does not promise that the request has not run, since its earlier
     * copies have, and gives no time to return.
     */
    blockedAnswer(call: ForwardedCall): CallAnswer {
        return { kind: "failed", reason: this.crashes.describe(call), late: false };
    }

    /** Targets of a service, as last read. */
    targetsOf(service: ServiceId): readonly TargetEntryView[] {
        return this.view.directory.targets.filter(entry => entry.service === service);
    }

    /** Chooses a target without a rate limit; requests to others need a permit, which takes time. */
    chooseUnlimited(service: ServiceId, tried: CallAttempts["triedTargets"]): TargetEntryView | undefined {
        const unlimited = this.targetsOf(service).filter(entry => !this.permits.isLimited(entry));
        return this.targetSelector.choose(unlimited, tried, this.clock.now());
    }

    /**
     * Chooses the target of the next attempt. Targets that state a rate limit are chosen when no other has room, and one
     * call is sent there when no response has shown for some time that the limit is still stated.
     */
    async chooseTarget(
        route: Route,
        service: ServiceId,
        tried: CallAttempts["triedTargets"],
        deadline: Instant,
    ): Promise<TargetChoice> {
        const unlimited = this.chooseUnlimited(service, tried);
        const limited = this.targetSelector.rank(
            this.targetsOf(service).filter(entry => this.permits.isLimited(entry)),
            tried,
            this.now(),
        );
        const other: TargetChoice | undefined = unlimited === undefined
            ? undefined
            : { kind: "target", target: unlimited, permit: this.permits.take(unlimited, route.id), at: this.now() };
        if (limited.length === 0) {
            return other ?? { kind: "none", reason: "No target is known.", retryAfterMs: refusalRetryAfterMs };
        }
        const hasRoom = unlimited !== undefined && !tried.includes(unlimited.target)
            && this.targetSelector.hasRoom(unlimited, this.now());
        const candidates = hasRoom ? limited.filter(entry => this.permits.isUnconfirmed(entry)) : limited;
        if (candidates.length === 0) {
            return other!;
        }
        const waitMs = hasRoom ? 0 : route.targetLatencyMs * maxPermitWaitShare;
        const latestAt = Math.min(deadline, after(this.now(), waitMs)) as Instant;
        const outcome = await this.permits.acquire(candidates, route.id, latestAt, hasRoom);
        const target = outcome.kind === "permitted"
            ? candidates.find(entry => entry.target === outcome.permit.target)
            : undefined;
        if (outcome.kind === "permitted" && target !== undefined) {
            return { kind: "target", target, permit: outcome.permit, at: outcome.at };
        }
        return other ?? {
            kind: "none",
            reason: `The rate limits of all targets leave no room: ${
                candidates.map(each => this.describe(each)).join()
            }.`,
            retryAfterMs: outcome.kind === "refused" ? Math.max(1, msUntil(outcome.retryAt, this.now())) : 1,
        };
    }

    permitFor(target: TargetEntryView, route: Route): RequestPermit {
        return this.permits.take(target, route.id);
    }

    now(): Instant {
        return this.clock.now();
    }

    pauseUntil(at: Instant, signal: AbortSignal): Promise<void> {
        return sleepUntil(this.clock, at, signal);
    }

    hedgeAt(route: Route): Instant {
        return after(this.now(), Math.max(minHedgeDelayMs, route.targetLatencyMs * this.settings.hedgeShare));
    }

    async attempt(
        target: TargetEntryView,
        permit: RequestPermit,
        route: Route,
        call: ForwardedCall,
        deadline: Instant,
        streamHandler: StreamHandler | undefined,
        signal: AbortSignal,
    ): Promise<ForwardOutcome> {
        const startedAt = this.now();
        const limitAtStart = this.permits.describe(target);
        this.targetSelector.recordStart(target.target);
        const end = await this.targets.send(
            target,
            call,
            {
                deadline,
                permit,
                maxConnections: this.view.routes?.service(target.service)?.maxConnections ?? 1,
                shouldUseNewConnection: route.kind === "non-idempotent",
                streamHandler,
            },
            signal,
        );
        this.recordEnd(target, end, this.now() - startedAt);
        this.crashes.recordEnd(target, call, end, startedAt);
        this.journal.log("call-attempt", {
            call: call.id,
            target: target.target,
            viewAgeMs: this.view.ageMs,
            ...limitAtStart,
            end: end.kind,
            detail: "detail" in end ? end.detail : undefined,
            status: end.kind === "answered" ? end.head.status : undefined,
            ...(end.kind === "unknown" && end.isConnectionLost === true
                ? { lost: true, fingerprint: fingerprintOf(call) }
                : {}),
            ms: this.now() - startedAt,
        });
        return end;
    }

    private describe(entry: TargetEntryView): string {
        const { limitPerSecond, limitAgeMs } = this.permits.describe(entry);
        return `${entry.target} ${limitPerSecond ?? "no limit"}/s stated ${Math.round(limitAgeMs ?? 0)} ms ago`;
    }

    private recordEnd({ target }: TargetEntryView, end: ForwardOutcome, ms: number): void {
        const isBusy = end.kind === "not-run" && end.reached;
        if (end.kind === "cancelled" || isBusy) {
            this.targetSelector.recordCancelled(target, ms);
        }
        else if (end.kind === "answered" || end.kind === "streamed") {
            this.targetSelector.recordAnswer(target, ms);
        }
        else {
            this.targetSelector.recordFault(target, this.now());
            this.journal.log("target-resting", { target, reason: end.detail });
        }
    }
}

/** Runs the attempts of one call; the first final answer ends the call and cancels the other attempts. */
class CallExecution {
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
        private readonly service: ServiceId,
        private readonly attempts: CallAttempts,
        private readonly call: ForwardedCall,
        private readonly admission: Admission,
        private readonly streamHandler: StreamHandler | undefined,
        callerGone: AbortSignal,
    ) {
        callerGone.addEventListener("abort", () => this.finish({ kind: "left" }), { once: true });
    }

    run(): Promise<CallAnswer> {
        return new Promise(resolve => {
            this.settle = resolve;
            void this.watchDeadline();
            void this.next();
            void this.hedge();
        });
    }

    private async watchDeadline(): Promise<void> {
        await this.forwarder.pauseUntil(this.attempts.deadline, this.cancel.signal);
        this.finish(
            this.bestAnswer ?? (this.attempts.mayHaveRun
                ? { kind: "failed", reason: `The time is over. ${this.lastDetail}`, late: true }
                : refusedWith(`The time is over. ${this.lastDetail}`)),
        );
    }

    /** Sends an idempotent request to a second target when the first one has not answered within the hedge delay. */
    private async hedge(): Promise<void> {
        if (this.route.kind !== "idempotent") {
            return;
        }
        await this.forwarder.pauseUntil(this.forwarder.hedgeAt(this.route), this.cancel.signal);
        const other = this.forwarder.chooseUnlimited(this.service, this.attempts.triedTargets);
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
        const choice = await this.forwarder.chooseTarget(this.route, this.service, triedTargets, deadline);
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
            await this.pauseWhileUnreachable();
        }
        if (!this.cancel.signal.aborted && msUntil(this.attempts.deadline, this.forwarder.now()) > 0) {
            await this.next();
        }
    }

    /** Pauses once as many attempts as there are targets could not reach one; the first attempt at each follows at once. */
    private async pauseWhileUnreachable(): Promise<void> {
        const excess = this.unreachableCount - this.forwarder.targetsOf(this.service).length;
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

function refusedWith(reason: string, retryAfterMs: number = refusalRetryAfterMs): CallAnswer {
    return { kind: "refused", reason, retryAfterMs };
}
