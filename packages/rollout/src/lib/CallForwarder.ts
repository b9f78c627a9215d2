/**
 * Forwards callers' requests to targets: selects the target, retries where the route's kind allows it, hedges slow
 * idempotent requests at a second target, and ends each call with its final answer as soon as that is known.
 */

import {
    after,
    CallAttempts,
    type Clock,
    drawService,
    type ForwardedCall,
    type ForwardOutcome,
    type Instant,
    msUntil,
    type RequestPermit,
    type Route,
    type ServiceId,
    sleepUntil,
    type SoftwareVersion,
    type StreamHandler,
    type TargetEntryView,
    TargetSelector,
    type ZoneId,
} from "@tamarackpath/core";
import { AttemptRun, type RunCounter } from "./AttemptRun.js";
import { type CallAnswer, refusalRetryAfterMs, refusedWith } from "./CallAnswer.js";
import { CallExecution } from "./CallExecution.js";
import { type CrashGuard } from "./CrashGuard.js";
import { type HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";
import { type ReachTask } from "./ReachTask.js";
import { type RelayedTargets } from "./RelayedTargets.js";
import { fingerprintOf } from "./requestFingerprint.js";
import { type RequestPermits } from "./RequestPermits.js";
import { type RolloutSettings } from "./RolloutSettings.js";
import { type SoftwareCheck } from "./SoftwareCheck.js";
import { type StreamOrigins } from "./StreamOrigins.js";

/** The target of the next attempt, with a permit that is valid from `at` on, or why there is none. */
export type TargetChoice =
    | {
        readonly kind: "target";
        readonly target: TargetEntryView;
        readonly permit: RequestPermit;
        readonly at: Instant;
    }
    | { readonly kind: "none"; readonly reason: string; readonly retryAfterMs: number; };

/** The targets that a call may use: those of a service, and only those with `software` if that is set. */
export interface TargetPool {
    readonly service: ServiceId;
    readonly software: SoftwareVersion | undefined;
}

/**
 * Lower limit of the hedge delay, so that the usual variation in a healthy target's latency sends no second request.
 */
const minHedgeDelayMs = 40;

/**
 * Share of a route's target latency for which a call waits for a permit. A call that would wait longer is refused at
 * once, so that the caller may return when there is room.
 */
const maxPermitWaitShare = 0.5;

/** Forwards calls to the targets of their route. */
export class CallForwarder {
    private readonly targetSelector: TargetSelector;
    private readonly executions = new Set<CallExecution>();
    /** Why calls that have not begun are refused; undefined while they are not. */
    private endReason: string | undefined;

    constructor(
        private readonly settings: RolloutSettings,
        zone: ZoneId,
        private readonly view: HostView,
        private readonly targets: RelayedTargets,
        private readonly reach: ReachTask,
        private readonly permits: RequestPermits,
        readonly crashes: CrashGuard,
        private readonly streams: StreamOrigins,
        private readonly softwareCheck: SoftwareCheck,
        private readonly random: () => number,
        private readonly clock: Clock,
        private readonly journal: Journal,
        private readonly runs?: RunCounter,
    ) {
        this.targetSelector = new TargetSelector(zone);
    }

    /**
     * Forwards a call; `streamHandler` receives a streamed response, and `callerGone` aborts when the caller
     * disconnects.
     */
    async forward(
        route: Route,
        received: ForwardedCall,
        deadline: Instant,
        streamHandler: StreamHandler | undefined,
        callerGone: AbortSignal,
    ): Promise<CallAnswer> {
        // Only streams can be taken up; elsewhere the header that says so means nothing here.
        const call = route.kind === "streaming" ? received : { ...received, takeUp: undefined };
        const attempts = new CallAttempts(route, deadline);
        const [admission, pool] = await Promise.all([this.crashes.admit(call), this.poolFor(route, call)]);
        const answer = "reason" in pool
            ? refusedWith(pool.reason)
            : admission === "blocked"
            ? this.blockedAnswer(call)
            : this.endReason !== undefined
            ? refusedWith(this.endReason)
            : await this.execute(
                new CallExecution(this, route, pool, attempts, call, admission, streamHandler, callerGone),
            );
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

    /** Ends all calls, and refuses later ones, as the host is about to stop. */
    endAll(reason: string): void {
        this.endReason = reason;
        this.executions.forEach(execution => execution.end(reason));
    }

    private async execute(execution: CallExecution): Promise<CallAnswer> {
        this.executions.add(execution);
        try {
            return await execution.run();
        }
        finally {
            this.executions.delete(execution);
        }
    }

    /**
     * The answer to a call that ends its targets. It does not promise that the request has not run, since its earlier
     * copies have, and gives no time to return.
     */
    blockedAnswer(call: ForwardedCall): CallAnswer {
        return { kind: "failed", reason: this.crashes.describe(call), late: false };
    }

    /** Targets of a pool, as last read. */
    targetsOf({ service, software }: TargetPool): readonly TargetEntryView[] {
        return this.view.directory.targets.filter(entry =>
            entry.service === service && (software === undefined || this.view.software.of(entry) === software)
        );
    }

    /** The targets that a call may use, or why there are none. A stream that is taken up goes on at its software only. */
    private async poolFor(route: Route, call: ForwardedCall): Promise<TargetPool | { readonly reason: string; }> {
        if (call.takeUp === undefined) {
            const service = drawService(route, this.random());
            return service === undefined
                ? { reason: "The route names no service." }
                : { service, software: undefined };
        }
        const origin = await this.streams.find(route, call.takeUp);
        if (origin.kind === "unknown") {
            return { reason: origin.reason };
        }
        const { service, software } = origin;
        if (!route.services.some(each => each.service === service)) {
            return { reason: `The route does not lead to ${service}, which began the stream, any more.` };
        }
        const named = this.targetsOf({ service, software: undefined }).filter(entry =>
            entry.software === software && !entry.leaving
        );
        const isDoubtful = named.length > 0 && named.every(entry => this.view.software.of(entry) === undefined);
        if (isDoubtful) {
            await this.softwareCheck.confirm(named);
        }
        return named.some(entry => this.view.software.of(entry) === software)
            ? { service, software }
            : { reason: `No target with software ${software}, which began the stream, serves any more.` };
    }

    /** Chooses a target without a rate limit; requests to others need a permit, which takes time. */
    chooseUnlimited(pool: TargetPool, tried: CallAttempts["triedTargets"]): TargetEntryView | undefined {
        const unlimited = this.targetsOf(pool).filter(entry => !this.permits.isLimited(entry));
        return this.targetSelector.choose(unlimited, tried, this.clock.now());
    }

    /**
     * Chooses the target of the next attempt. Targets that state a rate limit are chosen when no other has room, and one
     * call is sent there when no response has shown for some time that the limit is still stated.
     */
    async chooseTarget(
        route: Route,
        pool: TargetPool,
        tried: CallAttempts["triedTargets"],
        deadline: Instant,
    ): Promise<TargetChoice> {
        const unlimited = this.chooseUnlimited(pool, tried);
        const limited = this.targetSelector.rank(
            this.targetsOf(pool).filter(entry => this.permits.isLimited(entry)),
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
        const limitedChoice = await this.acquirePermit(candidates, route, latestAt, hasRoom);
        return limitedChoice.kind === "none" && other !== undefined ? other : limitedChoice;
    }

    /** Asks for a permit for one of `candidates`, which state a rate limit. */
    private async acquirePermit(
        candidates: readonly TargetEntryView[],
        route: Route,
        latestAt: Instant,
        isTrial: boolean,
    ): Promise<TargetChoice> {
        const outcome = await this.permits.acquire(candidates, route.id, latestAt, isTrial);
        if (outcome.kind === "refused") {
            const limits = candidates.map(each => this.describe(each)).join(", ");
            const retryAfterMs = Math.max(1, msUntil(outcome.retryAt, this.now()));
            return { kind: "none", reason: `The rate limits of all targets leave no room: ${limits}.`, retryAfterMs };
        }
        const { permit, at } = outcome;
        const target = candidates.find(entry => entry.target === permit.target)!;
        return { kind: "target", target, permit, at };
    }

    /** Whether no target can be reached, neither directly nor through another host. */
    get reachesNothing(): boolean {
        return this.targets.reachesNothing;
    }

    /** Finds out whether this host is cut off from all targets, unless `signal` says that this does not matter. */
    async checkReach(signal: AbortSignal): Promise<void> {
        if (!signal.aborted && !this.reach.isCutOff) {
            await this.reach.suspect();
        }
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
        const software = this.view.software.of(target);
        const limitAtStart = this.permits.describe(target);
        const run = new AttemptRun(this.runs, call);
        this.targetSelector.recordStart(target.target);
        const end = await this.targets.send(
            target,
            call,
            {
                deadline,
                permit,
                maxConnections: this.view.routes?.service(target.service)?.maxConnections ?? 1,
                shouldUseNewConnection: route.kind === "non-idempotent",
                streamHandler: run.observe(this.recordingHandler(streamHandler, route, call, target, software)),
                onSent: run.recordSent,
            },
            signal,
        );
        run.recordEnd(end);
        this.recordEnd(target, end, this.now() - startedAt);
        if (end.kind === "answered" && end.head.isLeaving === true) {
            this.recordLeaving(target);
        }
        this.crashes.recordEnd(target, call, end, startedAt);
        this.journal.log("call-attempt", {
            call: call.id,
            target: target.target,
            software,
            takesUp: call.takeUp?.stream,
            after: call.takeUp?.afterEvent,
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

    /** Records a notice in an answer, which may have come through another host. */
    private recordLeaving(target: TargetEntryView): void {
        this.view.recordLeaving(target, after(this.now(), this.settings.leavingNoticeMs));
    }

    private describe(entry: TargetEntryView): string {
        const { limitPerSecond, limitAgeMs } = this.permits.describe(entry);
        return `${entry.target} ${limitPerSecond ?? "no limit"}/s stated ${Math.round(limitAgeMs ?? 0)} ms ago`;
    }

    /** Passes a stream on, and records what began it once its head is there. */
    private recordingHandler(
        handler: StreamHandler | undefined,
        route: Route,
        call: ForwardedCall,
        target: TargetEntryView,
        software: SoftwareVersion | undefined,
    ): StreamHandler | undefined {
        if (handler === undefined) {
            return undefined;
        }
        const startedAt = this.now();
        return {
            onHead: head => {
                if (head.isLeaving === true) {
                    this.recordLeaving(target);
                }
                if (call.takeUp === undefined) {
                    void this.recordStream(route, call.id, target, software, startedAt);
                }
                handler.onHead(head);
            },
            onChunk: bytes => handler.onChunk(bytes),
        };
    }

    /** Records what began a stream; a target whose software is in doubt is asked first whether it has restarted. */
    private async recordStream(
        route: Route,
        stream: string,
        entry: TargetEntryView,
        known: SoftwareVersion | undefined,
        startedAt: Instant,
    ): Promise<void> {
        if (known === undefined && entry.software !== undefined) {
            await this.softwareCheck.confirm([entry]);
        }
        const software = known ?? this.view.software.of(entry);
        if (software !== undefined) {
            const { target, incarnation, service } = entry;
            this.streams.recordBegun(route, { stream, service, software, target, incarnation, startedAt });
        }
    }

    private recordEnd(entry: TargetEntryView, end: ForwardOutcome, ms: number): void {
        const { target } = entry;
        const isBusy = end.kind === "not-run" && end.reached;
        if (end.kind === "cancelled" || isBusy) {
            this.targetSelector.recordCancelled(target, ms);
        }
        else if (end.kind === "answered" || end.kind === "streamed") {
            this.targetSelector.recordAnswer(target, ms);
        }
        else {
            this.targetSelector.recordFault(target, this.now());
            this.view.software.recordConnectionLost(entry, this.now());
            this.journal.log("target-resting", { target, reason: end.detail });
        }
    }
}
