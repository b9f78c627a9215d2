/**
 * Forwards callers' requests to targets: chooses the target, tries again where the route's kind allows it, sends an
 * idempotent request that lags to a second target, and ends each call with its final answer as soon as that is known.
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
    type ResponseHead,
    type Route,
    type ServiceId,
    sleepUntil,
    type StreamHandler,
    type TargetEntryView,
    TargetSelector,
    type ZoneId,
} from "@tamarackpath/core";
import { type HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";
import { type RolloutSettings } from "./RolloutSettings.js";

/** The final answer to a call. */
export type CallAnswer =
    | { readonly kind: "answered"; readonly head: ResponseHead; readonly body: Uint8Array; }
    /** The response was handed on as it came, whole. */
    | { readonly kind: "streamed"; }
    /** No target ran it, nor will. */
    | { readonly kind: "refused"; readonly reason: string; readonly retryAfterMs: number; }
    /** It may have run; `late` when its time is over. */
    | { readonly kind: "failed"; readonly reason: string; readonly late: boolean; }
    /** A streamed response broke off after its head was handed on. */
    | { readonly kind: "broken"; readonly reason: string; }
    | { readonly kind: "left"; };

/** Milliseconds after which a refused caller should come back: targets are read again by then. */
const comeBackMs = 400;

/** Least milliseconds before a second target is tried, so that a healthy target's spread causes no second copy. */
const leastHedgeMs = 40;

/** Milliseconds between tries while targets refuse work. */
const refusedPauseMs = 25;

/** Most tries of targets that refuse, after which the caller is told to come back. */
const mostRefusals = 6;

/** Forwards calls. */
export class CallForwarder {
    private readonly choice: TargetSelector;

    constructor(
        private readonly settings: RolloutSettings,
        zone: ZoneId,
        private readonly view: HostView,
        private readonly targets: CallTargets,
        private readonly random: () => number,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        this.choice = new TargetSelector(zone);
    }

    /** Forwards `call`; `sink` takes the pieces of a streamed response. */
    async forward(
        route: Route,
        call: ForwardedCall,
        deadline: Instant,
        sink: StreamHandler | undefined,
        left: AbortSignal,
    ): Promise<CallAnswer> {
        const service = drawService(route, this.random());
        const course = new CallAttempts(route, deadline);
        const answer = service === undefined
            ? refusedFor("The route names no service.")
            : await new OneCall(this, route, service, course, call, sink, left).run();
        this.journal.log("call-ended", {
            call: call.id,
            route: route.id,
            revision: this.view.routes?.config.revision,
            outcome: answer.kind,
            status: answer.kind === "answered" ? answer.head.status : undefined,
            reason: "reason" in answer ? answer.reason : undefined,
            targets: [...course.triedTargets],
            leftMs: deadline - this.clock.now(),
        });
        return answer;
    }

    /** Targets of a service, read at most a moment ago. */
    targetsOf(service: ServiceId): readonly TargetEntryView[] {
        return this.view.directory.targets.filter(entry => entry.service === service);
    }

    chooseTarget(service: ServiceId, tried: CallAttempts["triedTargets"]): TargetEntryView | undefined {
        return this.choice.choose(this.targetsOf(service), tried, this.clock.now());
    }

    now(): Instant {
        return this.clock.now();
    }

    pauseUntil(at: Instant, signal: AbortSignal): Promise<void> {
        return sleepUntil(this.clock, at, signal);
    }

    hedgeAt(route: Route): Instant {
        return after(this.now(), Math.max(leastHedgeMs, route.targetLatencyMs * this.settings.hedgeShare));
    }

    async attempt(
        target: TargetEntryView,
        route: Route,
        call: ForwardedCall,
        deadline: Instant,
        sink: StreamHandler | undefined,
        signal: AbortSignal,
    ): Promise<ForwardOutcome> {
        const startedAt = this.now();
        this.choice.recordStart(target.target);
        const end = await this.targets.send(
            target,
            call,
            {
                deadline,
                maxConnections: this.view.routes?.service(target.service)?.maxConnections ?? 1,
                shouldUseNewConnection: route.kind === "non-idempotent",
                streamHandler: sink,
            },
            signal,
        );
        this.noteEnd(target, end, this.now() - startedAt);
        this.journal.log("call-attempt", {
            call: call.id,
            target: target.target,
            viewAgeMs: this.view.ageMs,
            end: end.kind,
            detail: "detail" in end ? end.detail : undefined,
            status: end.kind === "answered" ? end.head.status : undefined,
            ms: this.now() - startedAt,
        });
        return end;
    }

    private noteEnd({ target }: TargetEntryView, end: ForwardOutcome, ms: number): void {
        const isBusy = end.kind === "not-run" && end.reached;
        if (end.kind === "cancelled" || isBusy) {
            this.choice.recordCancelled(target, ms);
        }
        else if (end.kind === "answered" || end.kind === "streamed") {
            this.choice.recordAnswer(target, ms);
        }
        else {
            this.choice.recordFault(target, this.now());
            this.journal.log("target-resting", { target, reason: end.detail });
        }
    }
}

/** The attempts of one call; the first final answer settles it and cancels the others. */
class OneCall {
    private readonly cancel = new AbortController();
    private settle: (answer: CallAnswer) => void = () => undefined;
    private refusals = 0;
    private best: CallAnswer | undefined;
    private lastDetail = "No target has answered.";
    private hasHead = false;

    constructor(
        private readonly owner: CallForwarder,
        private readonly route: Route,
        private readonly service: ServiceId,
        private readonly course: CallAttempts,
        private readonly call: ForwardedCall,
        private readonly sink: StreamHandler | undefined,
        left: AbortSignal,
    ) {
        left.addEventListener("abort", () => this.finish({ kind: "left" }), { once: true });
    }

    run(): Promise<CallAnswer> {
        return new Promise(resolve => {
            this.settle = resolve;
            void this.watchDeadline();
            this.next();
            void this.hedge();
        });
    }

    private async watchDeadline(): Promise<void> {
        await this.owner.pauseUntil(this.course.deadline, this.cancel.signal);
        this.finish(
            this.best ?? (this.course.mayHaveRun
                ? { kind: "failed", reason: `The time is over. ${this.lastDetail}`, late: true }
                : refusedFor(`The time is over. ${this.lastDetail}`)),
        );
    }

    /** Sends an idempotent request that lags to another target. */
    private async hedge(): Promise<void> {
        if (this.route.kind !== "idempotent") {
            return;
        }
        await this.owner.pauseUntil(this.owner.hedgeAt(this.route), this.cancel.signal);
        const other = this.owner.chooseTarget(this.service, this.course.triedTargets);
        const isOther = other !== undefined && !this.course.triedTargets.includes(other.target);
        if (!this.cancel.signal.aborted && isOther && this.course.canHedge) {
            this.next();
        }
    }

    private next(): void {
        const target = this.owner.chooseTarget(this.service, this.course.triedTargets);
        if (target === undefined) {
            this.finish(
                this.course.mayHaveRun
                    ? { kind: "failed", reason: this.lastDetail, late: false }
                    : refusedFor("No target is known."),
            );
            return;
        }
        void this.attempt(target);
    }

    private async attempt(target: TargetEntryView): Promise<void> {
        this.course.recordStart(target.target);
        const end = await this.owner.attempt(
            target,
            this.route,
            this.call,
            this.course.deadline,
            this.sink === undefined ? undefined : this.watchedSink(this.sink),
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
            this.best = { kind: "answered", head: end.head, body: end.body };
            this.follow(this.course.recordEnd({ kind: "answered", status: end.head.status }), false);
            return;
        }
        this.lastDetail = end.detail;
        if (this.hasHead) {
            this.finish({ kind: "broken", reason: end.detail });
            return;
        }
        const isRefusal = end.kind === "not-run" && end.reached;
        this.refusals += isRefusal ? 1 : 0;
        this.follow(this.course.recordEnd({ kind: end.kind }), isRefusal);
    }

    private follow(step: CallStep, wasRefused: boolean): void {
        const steps: Record<CallStep, () => void> = {
            "deliver": () => this.finish(this.best!),
            "wait": () => undefined,
            "retry": () => void this.retry(wasRefused),
            "end-not-run": () => this.finish(refusedFor(this.lastDetail)),
            "end-unknown": () => this.finish(this.best ?? { kind: "failed", reason: this.lastDetail, late: false }),
        };
        steps[step]();
    }

    private async retry(wasRefused: boolean): Promise<void> {
        if (wasRefused && this.refusals >= mostRefusals && !this.course.mayHaveRun) {
            this.finish(refusedFor(this.lastDetail));
            return;
        }
        if (wasRefused && this.refusals > 1) {
            await this.owner.pauseUntil(after(this.owner.now(), refusedPauseMs * this.refusals), this.cancel.signal);
        }
        if (!this.cancel.signal.aborted && msUntil(this.course.deadline, this.owner.now()) > 0) {
            this.next();
        }
    }

    private watchedSink(sink: StreamHandler): StreamHandler {
        return {
            onHead: head => {
                this.hasHead = true;
                sink.onHead(head);
            },
            onChunk: bytes => sink.onChunk(bytes),
        };
    }

    private finish(answer: CallAnswer): void {
        if (!this.cancel.signal.aborted) {
            this.cancel.abort();
            this.settle(answer);
        }
    }
}

function refusedFor(reason: string): CallAnswer {
    return { kind: "refused", reason, retryAfterMs: comeBackMs };
}
