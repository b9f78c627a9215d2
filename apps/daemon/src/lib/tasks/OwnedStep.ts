/**
 * One step at its owner: starts attempts as engines become free, follows their progress, and gives up those that are
 * silent or whose sample would be too old. A sample is generated again only after its earlier attempt was given up.
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

const queuedPerStep = 32;
const attemptsPerStep = 2048;
const retryMs = 100;
const longestRetryDoublings = 6;
const stallAfterMs = 30_000;
const tailStallAfterMs = 5000;

/** What a step needs of its surroundings. */
export interface StepSurroundings {
    readonly ctx: Context;
    readonly runner: SampleRunner;
    readonly forecast: FreshnessEstimator;
    /** Engines of the pool that may take work now. */
    engines(service: ServiceConfig): readonly TargetView[];
}

interface Attempt {
    readonly start: PlannedAttempt;
    readonly controller: AbortController;
    phase: "queued" | "generating" | "scoring";
    target: TargetId | undefined;
    startedAt: Instant;
    progressAt: Instant;
    oldestVersion: WeightVersion | undefined;
    /** True when its target was silent, so that the next attempt goes elsewhere. */
    isStalled: boolean;
}

/** Whether a step starts attempts, only finishes those that run, is served by another host, or is over here. */
export type StepPhase = "serving" | "finishing" | "moved" | "ended";

/** A step that this host owns. */
export class OwnedStep {
    readonly ledger: StepState;
    /** When the trainer last pulled. */
    pulledAt: Instant | undefined;
    phase: StepPhase = "serving";
    private readonly attempts = new Map<AttemptId, Attempt>();
    private readonly retryTimers = new Set<() => void>();
    private readonly waiters = new Set<() => void>();
    private queued = 0;

    constructor(spec: StepSpec, owner: string, private readonly around: StepSurroundings) {
        this.ledger = new StepState(spec, owner);
    }

    get attemptsRunning(): number {
        return this.attempts.size;
    }

    /** Starts as many attempts as may wait for an engine. */
    pump(): void {
        const { ctx } = this.around;
        const { spec } = this.ledger;
        const service = ctx.config.service(spec.service);
        if (this.phase !== "serving" || service === undefined || ctx.clock.now() >= spec.deadline) {
            return;
        }
        const room = Math.min(queuedPerStep - this.queued, attemptsPerStep - this.attempts.size);
        for (const start of this.ledger.start(room)) {
            void this.run(start, service);
        }
    }

    /** Lets running attempts end and starts no new ones. */
    finishOnly(): void {
        this.phase = "finishing";
        this.abortWhere(attempt => attempt.phase === "queued");
    }

    /** Cancels everything at the engines. */
    end(): void {
        this.phase = "ended";
        this.abortWhere(() => true);
        this.retryTimers.forEach(cancel => cancel());
        this.wake();
    }

    /** Cancels the attempts that `isWanted` does not name. */
    keepOnly(isWanted: (attempt: AttemptId) => boolean): void {
        this.abortWhere(attempt => !isWanted(attempt.start.attempt));
    }

    /** Cancels the attempts whose samples the trainer has taken from another owner. */
    dropObsolete(): void {
        this.ledger.takeObsoleteAttempts().forEach(attempt => this.attempts.get(attempt)?.controller.abort());
    }

    /** Gives up the attempts that are silent or whose sample is already too old. */
    checkProgress(now: Instant): void {
        const { ctx } = this.around;
        const lowest = this.ledger.minFreshVersion();
        const service = ctx.config.service(this.ledger.spec.service);
        const engines = service === undefined ? [] : this.around.engines(service);
        const isEndgame = this.ledger.counts().waiting === 0;
        this.abortWhere(attempt => {
            if ((attempt.oldestVersion ?? lowest) < lowest) {
                return true;
            }
            const hasSpare = isEndgame && engines.some(view => view.target !== attempt.target && hasFreeSlot(view));
            const bound = hasSpare ? tailStallAfterMs : stallAfterMs;
            attempt.isStalled = attempt.phase === "generating" && now - attempt.progressAt > bound;
            return attempt.isStalled;
        });
    }

    /** Resolves when a sample became ready, the step ended, or `at` has come. */
    nextChange(at: Instant): Promise<void> {
        return new Promise(resolve => {
            const wake = (): void => {
                cancelTimer();
                this.waiters.delete(wake);
                resolve();
            };
            const cancelTimer = this.around.ctx.clock.callAt(at, wake);
            this.waiters.add(wake);
        });
    }

    wake(): void {
        this.waiters.forEach(wake => wake());
    }

    status(cancelled: boolean): StepStatus {
        const { service, caller, step, deadline } = this.ledger.spec;
        return {
            service,
            caller,
            step,
            owner: this.around.ctx.host,
            samples: this.ledger.sampleCount,
            counts: this.ledger.counts(),
            deadline,
            cancelled,
        };
    }

    private async run(start: PlannedAttempt, service: ServiceConfig): Promise<void> {
        const { ctx, runner } = this.around;
        const now = ctx.clock.now();
        const attempt: Attempt = {
            start,
            controller: new AbortController(),
            phase: "queued",
            target: undefined,
            startedAt: now,
            progressAt: now,
            oldestVersion: undefined,
            isStalled: false,
        };
        this.attempts.set(start.attempt, attempt);
        this.queued++;
        const engines = this.around.engines(service);
        const lowestVersion = this.lowestStart(engines, now);
        const order = {
            spec: this.ledger.spec,
            service,
            start,
            lowestVersion,
            excluded: excludedTargets(start, engines.filter(view => (view.version ?? 0) >= lowestVersion)),
        };
        const result = await runner.run(order, this.listen(attempt), attempt.controller.signal);
        this.leaveQueue(attempt, "scoring");
        this.attempts.delete(start.attempt);
        result.ifLeft(failure => this.onFailure(attempt, failure));
        result.ifRight(produced => this.onProduced(attempt, produced));
    }

    private listen(attempt: Attempt): AttemptListener {
        const { clock } = this.around.ctx;
        return {
            onDispatched: target => {
                this.leaveQueue(attempt, "generating");
                attempt.target = target;
                attempt.startedAt = clock.now();
                attempt.progressAt = attempt.startedAt;
                this.pump();
            },
            onChunk: (chunk: CompletionChunk) => {
                attempt.progressAt = clock.now();
                attempt.oldestVersion ??= chunk.version;
            },
            onGenerated: () => {
                attempt.phase = "scoring";
                this.around.forecast.recordDuration(clock.now() - attempt.startedAt);
            },
        };
    }

    private leaveQueue(attempt: Attempt, phase: "generating" | "scoring"): void {
        if (attempt.phase === "queued") {
            this.queued--;
        }
        attempt.phase = phase;
    }

    private lowestStart(engines: readonly TargetView[], now: Instant): WeightVersion {
        const { forecast } = this.around;
        const atEnd = forecast.estimateVersionAtEnd(this.ledger.version, now) - this.ledger.stalenessBound;
        const offered = engines.flatMap(view => view.version ?? []);
        return minStartVersion(this.ledger.minFreshVersion(), atEnd as WeightVersion, offered);
    }

    private onProduced({ start }: Attempt, { sample, versionsKnown }: ProducedSample): void {
        const outcome = this.ledger.finish(start.attempt, sample, versionsKnown);
        this.around.ctx.metrics.samples.inc({ outcome });
        this.wake();
        this.pump();
    }

    private onFailure({ start, controller, isStalled }: Attempt, { problem, target: last }: AttemptFailure): void {
        const { ctx } = this.around;
        const target = controller.signal.aborted && !isStalled ? undefined : last;
        ctx.metrics.samples.inc({ outcome: "failed" });
        ctx.log("steps").debug("An attempt failed.", { attempt: start.attempt, target, detail: problem.detail });
        if (this.phase !== "serving") {
            this.ledger.fail(start.attempt, start.plan.index, target);
            this.wake();
            return;
        }
        const waitMs = retryMs * 2 ** Math.min(start.earlierAttempts, longestRetryDoublings);
        const cancel = ctx.clock.callAt(after(ctx.clock.now(), waitMs), () => {
            this.retryTimers.delete(cancel);
            this.ledger.fail(start.attempt, start.plan.index, target);
            this.pump();
        });
        this.retryTimers.add(cancel);
    }

    private abortWhere(isUnwanted: (attempt: Attempt) => boolean): void {
        for (const attempt of this.attempts.values()) {
            if (isUnwanted(attempt)) {
                attempt.controller.abort();
            }
        }
    }
}

function hasFreeSlot(view: TargetView): boolean {
    return view.inFlight + view.inFlightElsewhere < view.slots;
}

/** The targets that the last attempts failed on, unless that leaves no other. */
function excludedTargets(
    { failedTargets: failedOn }: PlannedAttempt,
    engines: readonly TargetView[],
): readonly TargetId[] {
    return engines.some(view => !failedOn.includes(view.target)) ? failedOn : [];
}
