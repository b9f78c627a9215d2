/**
 * One step at its owner: starts attempts as engines become free, tracks their progress, and aborts those that stall or
 * whose sample would be too old. A sample is generated again only after its earlier attempt has failed or was aborted.
 */

import {
    after,
    type AttemptId,
    type CompletionChunk,
    type FreshnessEstimator,
    type Instant,
    minStartVersion,
    type PlannedAttempt,
    type ServiceConfig,
    type StepSpec,
    StepState,
    type StepStatus,
    type TargetId,
    type TargetView,
    type WeightVersion,
} from "@tamarackpath/core";
import { type Context } from "../Context.js";
import { type AttemptFailure, type AttemptListener, type ProducedSample, type SampleRunner } from "./SampleRunner.js";

const maxQueuedPerStep = 32;
const maxAttemptsPerStep = 2048;
const initialRetryDelayMs = 100;
const maxRetryDoublings = 6;
/** An attempt whose engine sends no chunk for this long is aborted. */
const stallTimeoutMs = 30_000;
/** The shorter timeout when no sample of the step is left to start and another engine has a free slot. */
const tailStallTimeoutMs = 5000;

/** Dependencies of a step. */
export interface StepDependencies {
    readonly ctx: Context;
    readonly runner: SampleRunner;
    readonly freshnessEstimator: FreshnessEstimator;
    /** Engines of the service's pool that accept work. */
    engines(service: ServiceConfig): readonly TargetView[];
}

interface Attempt {
    readonly planned: PlannedAttempt;
    readonly controller: AbortController;
    phase: "queued" | "generating" | "scoring";
    target: TargetId | undefined;
    startedAt: Instant;
    progressAt: Instant;
    oldestVersion: WeightVersion | undefined;
    /** True when its target sent no chunk in time, so that the next attempt uses another target. */
    isStalled: boolean;
}

/** Whether a step starts attempts, only finishes running ones, is served by another host, or has ended on this host. */
export type StepPhase = "serving" | "finishing" | "moved" | "ended";

/** A step that this host owns. */
export class OwnedStep {
    readonly state: StepState;
    /** When the trainer last pulled. */
    pulledAt: Instant | undefined;
    phase: StepPhase = "serving";
    private readonly attempts = new Map<AttemptId, Attempt>();
    private readonly retryTimers = new Set<() => void>();
    private readonly waiters = new Set<() => void>();
    private queued = 0;

    constructor(spec: StepSpec, owner: string, private readonly deps: StepDependencies) {
        this.state = new StepState(spec, owner);
    }

    get attemptsRunning(): number {
        return this.attempts.size;
    }

    /** Starts as many attempts as the limits of queued and running attempts allow. */
    startAttempts(): void {
        const { ctx } = this.deps;
        const { spec } = this.state;
        const service = ctx.config.service(spec.service);
        if (this.phase !== "serving" || service === undefined || ctx.clock.now() >= spec.deadline) {
            return;
        }
        const freeAttempts = Math.min(maxQueuedPerStep - this.queued, maxAttemptsPerStep - this.attempts.size);
        for (const planned of this.state.start(freeAttempts)) {
            void this.run(planned, service);
        }
    }

    /** Starts no new attempts and cancels the queued ones; running attempts continue. */
    stopStartingAttempts(): void {
        this.phase = "finishing";
        this.abortWhere(attempt => attempt.phase === "queued");
    }

    /** Ends the step on this host and cancels all of its attempts. */
    end(): void {
        this.phase = "ended";
        this.abortWhere(() => true);
        this.retryTimers.forEach(cancel => cancel());
        this.notifyWaiters();
    }

    /** Cancels the attempts for which `isKept` returns false. */
    cancelExcept(isKept: (attempt: AttemptId) => boolean): void {
        this.abortWhere(attempt => !isKept(attempt.planned.attempt));
    }

    /** Cancels the attempts whose samples the trainer has received from another owner. */
    cancelObsolete(): void {
        this.state.takeObsoleteAttempts().forEach(attempt => this.attempts.get(attempt)?.controller.abort());
    }

    /** Aborts the attempts that have stalled or whose sample is already too old. */
    checkProgress(now: Instant): void {
        const { ctx } = this.deps;
        const lowestFresh = this.state.minFreshVersion();
        const service = ctx.config.service(this.state.spec.service);
        const engines = service === undefined ? [] : this.deps.engines(service);
        const isTail = this.state.counts().waiting === 0;
        this.abortWhere(attempt => {
            if ((attempt.oldestVersion ?? lowestFresh) < lowestFresh) {
                return true;
            }
            const hasFreeEngine = isTail && engines.some(view => view.target !== attempt.target && hasFreeSlot(view));
            const timeoutMs = hasFreeEngine ? tailStallTimeoutMs : stallTimeoutMs;
            attempt.isStalled = attempt.phase === "generating" && now - attempt.progressAt > timeoutMs;
            return attempt.isStalled;
        });
    }

    /** Resolves when a sample is ready, when the step ends, or at the time `at`. */
    waitForChange(at: Instant): Promise<void> {
        return new Promise(resolve => {
            const notify = (): void => {
                cancelTimer();
                this.waiters.delete(notify);
                resolve();
            };
            const cancelTimer = this.deps.ctx.clock.callAt(at, notify);
            this.waiters.add(notify);
        });
    }

    notifyWaiters(): void {
        this.waiters.forEach(wake => wake());
    }

    status(cancelled: boolean): StepStatus {
        const { service, caller, step, deadline } = this.state.spec;
        return {
            service,
            caller,
            step,
            owner: this.deps.ctx.host,
            samples: this.state.sampleCount,
            counts: this.state.counts(),
            deadline,
            cancelled,
        };
    }

    private async run(planned: PlannedAttempt, service: ServiceConfig): Promise<void> {
        const { ctx, runner } = this.deps;
        const now = ctx.clock.now();
        const attempt: Attempt = {
            planned,
            controller: new AbortController(),
            phase: "queued",
            target: undefined,
            startedAt: now,
            progressAt: now,
            oldestVersion: undefined,
            isStalled: false,
        };
        this.attempts.set(planned.attempt, attempt);
        this.queued++;
        const engines = this.deps.engines(service);
        const lowestVersion = this.chooseStartVersion(engines, now);
        const request = {
            spec: this.state.spec,
            service,
            planned,
            lowestVersion,
            excluded: excludedTargets(planned, engines.filter(view => (view.version ?? 0) >= lowestVersion)),
        };
        const result = await runner.run(request, this.listen(attempt), attempt.controller.signal);
        this.leaveQueue(attempt, "scoring");
        this.attempts.delete(planned.attempt);
        result.ifLeft(failure => this.onFailure(attempt, failure));
        result.ifRight(produced => this.onProduced(attempt, produced));
    }

    private listen(attempt: Attempt): AttemptListener {
        const { clock } = this.deps.ctx;
        return {
            onDispatched: target => {
                this.leaveQueue(attempt, "generating");
                attempt.target = target;
                attempt.startedAt = clock.now();
                attempt.progressAt = attempt.startedAt;
                this.startAttempts();
            },
            onChunk: (chunk: CompletionChunk) => {
                attempt.progressAt = clock.now();
                attempt.oldestVersion ??= chunk.version;
            },
            onGenerated: () => {
                attempt.phase = "scoring";
                this.deps.freshnessEstimator.recordDuration(clock.now() - attempt.startedAt);
            },
        };
    }

    private leaveQueue(attempt: Attempt, phase: "generating" | "scoring"): void {
        if (attempt.phase === "queued") {
            this.queued--;
        }
        attempt.phase = phase;
    }

    private chooseStartVersion(engines: readonly TargetView[], now: Instant): WeightVersion {
        const { freshnessEstimator } = this.deps;
        const lowestAtEnd = freshnessEstimator.estimateVersionAtEnd(this.state.version, now)
            - this.state.stalenessBound;
        const engineVersions = engines.flatMap(view => view.version ?? []);
        return minStartVersion(this.state.minFreshVersion(), lowestAtEnd as WeightVersion, engineVersions);
    }

    private onProduced({ planned }: Attempt, { sample, areVersionsKnown }: ProducedSample): void {
        const outcome = this.state.finish(planned.attempt, sample, areVersionsKnown);
        this.deps.ctx.metrics.samples.inc({ outcome });
        this.notifyWaiters();
        this.startAttempts();
    }

    private onFailure({ planned, controller, isStalled }: Attempt, { problem, target: last }: AttemptFailure): void {
        const { ctx } = this.deps;
        const target = controller.signal.aborted && !isStalled ? undefined : last;
        ctx.metrics.samples.inc({ outcome: "failed" });
        ctx.log("steps").debug("An attempt failed.", { attempt: planned.attempt, target, detail: problem.detail });
        if (this.phase !== "serving") {
            this.state.fail(planned.attempt, planned.plan.index, target);
            this.notifyWaiters();
            return;
        }
        const waitMs = initialRetryDelayMs * 2 ** Math.min(planned.earlierAttempts, maxRetryDoublings);
        const cancel = ctx.clock.callAt(after(ctx.clock.now(), waitMs), () => {
            this.retryTimers.delete(cancel);
            this.state.fail(planned.attempt, planned.plan.index, target);
            this.startAttempts();
        });
        this.retryTimers.add(cancel);
    }

    private abortWhere(shouldAbort: (attempt: Attempt) => boolean): void {
        for (const attempt of this.attempts.values()) {
            if (shouldAbort(attempt)) {
                attempt.controller.abort();
            }
        }
    }
}

function hasFreeSlot(view: TargetView): boolean {
    return view.inFlight + view.inFlightElsewhere < view.slots;
}

/** The targets on which the last attempts failed; none when no other engine would remain. */
function excludedTargets(
    { failedTargets }: PlannedAttempt,
    engines: readonly TargetView[],
): readonly TargetId[] {
    return engines.some(view => !failedTargets.includes(view.target)) ? failedTargets : [];
}
