/**
 * Runs the tasks of open jobs at the engines, while this host conducts: starts the scheduler's next task at each free
 * slot of an engine and reads the events of its run. When a run breaks off or stalls, it is resumed after its last
 * event, at another engine if possible.
 */

import {
    after,
    type AvailableEngine,
    type Clock,
    type EngineCapacity,
    type Instant,
    type Job,
    type JobScheduler,
    type MovableRun,
    PaceTracker,
    planLeavingMoves,
    planMoves,
    planUpgrades,
    type ProgressSnapshot,
    type RolloutEngines,
    type RunEnd,
    type ServiceId,
    type ServiceSpec,
    SlotPace,
    type SoftwareVersion,
    type TargetEntryView,
    type TargetId,
    type TaskAssignment,
    type TaskRun,
    type TaskRunOutcome,
} from "@tamarackpath/core";
import { EngineBackoff } from "./EngineBackoff.js";
import { type HostView } from "./HostView.js";
import { type JobRegistry } from "./JobRegistry.js";
import { type Journal } from "./Journal.js";
import { type RequestPermits } from "./RequestPermits.js";
import { type RewardRunner } from "./RewardRunner.js";
import { type RolloutSettings } from "./RolloutSettings.js";
import { type VersionTask } from "./VersionTask.js";

/** Maps the end of a run at an engine to the end that the scheduler handles. */
const runEnds: Record<Exclude<TaskRunOutcome["kind"], "cancelled">, RunEnd> = {
    completed: "completed",
    failed: "failed",
    impossible: "impossible",
    refused: "not-run",
    unreachable: "broken",
    fault: "broken",
};

/**
 * Milliseconds for which an engine that refused a task is regarded as still changing its weights, and gets no tasks of
 * the model.
 */
const stillChangingDelayMs = 120;

/** Milliseconds between checks for expired tasks. */
const expiryIntervalMs = 500;

/**
 * Number of events from which a run counts as long: most samples have ended by then, and the step waits for the others.
 */
const minLongRunEvents = 15;

/** Weight of the newest step in the average work of a model's steps. */
const workSmoothingFactor = 0.3;

/** Milliseconds between checks for runs that should move to another engine. */
const moveIntervalMs = 150;

/** Milliseconds by which a check may be late before this process, and not the engines, counts as the cause of silent runs. */
const maxCheckDelayMs = 200;

/** Milliseconds after a late check for which this process counts as late. */
const lateTtlMs = 2000;

/** Name of the runs of tasks among the requests to engines with a rate limit. */
const tasksFlow = "tasks";

/** Why a run is stopped to be resumed at another engine. */
export type RunMoveReason = "changing" | "inherited" | "leaving" | "restarted" | "silent" | "slow" | "upgraded";

/** A run at an engine. */
interface RunningTask {
    readonly target: TargetId;
    readonly stop: AbortController;
    readonly startedAt: Instant;
    lastEventAt: Instant;
    hasEvents: boolean;
    /** Why the run is stopped here to be resumed at another engine; undefined while it is not. */
    moved: RunMoveReason | undefined;
    /** Another host's longer copy of its text, from which it is resumed. */
    inherited: ProgressSnapshot | undefined;
}

/** Runs tasks at engines. */
export class JobRunner {
    private readonly runningCounts = new Map<TargetId, number>();
    private readonly runs = new Map<TaskRun, RunningTask>();
    private readonly paceTracker = new PaceTracker();
    private readonly backoff = new EngineBackoff();
    private readonly slotPace = new SlotPace();
    /** Smoothed sum of the expected tokens of a step, by model. */
    private readonly workByModel = new Map<string, number>();
    private cancelDispatch: (() => void) | undefined;
    private cancelExpiry: (() => void) | undefined;
    private cancelMoves: (() => void) | undefined;
    private isActive = false;
    /** Until when this process counts as late, because it had more to do than its processor allows or was paused. */
    private lateUntil = 0 as Instant;
    private wasHeld = false;

    constructor(
        private readonly settings: RolloutSettings,
        private readonly self: string,
        private readonly scheduler: JobScheduler,
        private readonly registry: JobRegistry,
        private readonly view: HostView,
        private readonly versions: VersionTask,
        private readonly rewards: RewardRunner,
        private readonly permits: RequestPermits,
        private readonly engines: RolloutEngines,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        registry.events.on("opened", open => {
            this.recordWork(open.job);
            this.dispatch();
        });
        registry.events.on("stopped", runs => runs.forEach(run => this.stop(run)));
        view.events.on("changed", () => this.dispatch());
        view.events.on("restarted", entries => entries.forEach(entry => this.discardContradicted(entry)));
        versions.events.on("changed", () => this.dispatch());
        registry.events.on("endsKnown", () => this.dispatch());
    }

    /** Number of tasks that run at an engine. */
    runningAt(target: TargetId): number {
        return this.runningCounts.get(target) ?? 0;
    }

    workOf(model: string): number | undefined {
        return this.workByModel.get(model);
    }

    /** Milliseconds of a slot for each expected token of a task; undefined before enough tasks have been completed. */
    get slotMsPerToken(): number | undefined {
        return this.slotPace.slotMsPerToken;
    }

    /** Whether any open job has a task that waits to run. */
    get hasWaiting(): boolean {
        return this.scheduler.open.some(open => open.waiting.length > 0);
    }

    activate(): void {
        if (!this.isActive) {
            this.isActive = true;
            this.expire();
            this.moveRuns(this.clock.now());
        }
        this.dispatch();
    }

    /** Stops a run and restarts it from a longer copy of its text, which replaces its own once the run has stopped. */
    restartFrom(run: TaskRun, text: ProgressSnapshot): void {
        const running = this.runs.get(run);
        if (running !== undefined && running.moved === undefined) {
            running.moved = "inherited";
            running.inherited = text;
            running.stop.abort();
        }
    }

    /**
     * Moves the long runs of an engine that is about to pause to other engines with the same software, as far as these
     * have free slots.
     */
    moveLongRuns(target: TargetId, model: string): void {
        const freeSlots = new Map<SoftwareVersion | undefined, number>();
        for (const { target: other, software, slots, running } of this.engineCapacities()) {
            if (other !== target) {
                freeSlots.set(software, (freeSlots.get(software) ?? 0) + Math.max(0, slots - running));
            }
        }
        for (const [run, running] of this.runs) {
            const isLong = run.progress.eventCount >= minLongRunEvents;
            const isAffected = running.target === target && run.job.job.model === model;
            const { software } = run.progress;
            const room = software === undefined ? 0 : freeSlots.get(software) ?? 0;
            if (isAffected && isLong && running.moved === undefined && room > 0) {
                freeSlots.set(software, room - 1);
                running.moved = "changing";
                running.stop.abort();
            }
        }
    }

    deactivate(): void {
        this.isActive = false;
        this.cancelDispatch?.();
        this.cancelExpiry?.();
        this.cancelMoves?.();
        [...this.runs.keys()].forEach(run => this.stop(run));
    }

    /** Starts every task that an engine can run at this time. */
    dispatch(): void {
        if (!this.isActive) {
            return;
        }
        const now = this.clock.now();
        if (this.isHeld(now)) {
            return;
        }
        if (this.hasWaiting) {
            this.startWaiting(now);
        }
        this.scheduleDispatch(now);
    }

    /** Starts waiting tasks until none can start; only the capacity of the engine that got a task is computed again. */
    private startWaiting(now: Instant): void {
        let engines = this.engineCapacities();
        const softwareOf = new Map<ServiceId, ReadonlySet<SoftwareVersion>>();
        const listed = (service: ServiceId): ReadonlySet<SoftwareVersion> => {
            const known = softwareOf.get(service) ?? this.listedSoftware(service);
            softwareOf.set(service, known);
            return known;
        };
        for (;;) {
            const next = this.scheduler.next(engines, now, listed);
            if (next === undefined) {
                return;
            }
            void this.run(next);
            const entry = this.view.directory.get(next.target);
            const updated = entry === undefined ? undefined : this.capacityOf(entry, now);
            engines = engines.flatMap(engine => engine.target === next.target ? updated ?? [] : engine);
        }
    }

    /**
     * Whether tasks may start: their jobs may have ended in the store without this host's knowledge. While the store does
     * not answer, no job can end there, unless the calls to it fail because this process is late itself.
     */
    private mayStart(now: Instant): boolean {
        return this.registry.areEndsKnown(now) || !this.registry.isStoreReachable && now >= this.lateUntil;
    }

    /** Whether the starts of tasks are held back at `now`; logs when that begins and ends. */
    private isHeld(now: Instant): boolean {
        const isHeld = !this.mayStart(now);
        if (isHeld !== this.wasHeld) {
            this.wasHeld = isHeld;
            this.journal.log("starts-held", { held: isHeld, storeReachable: this.registry.isStoreReachable });
        }
        return isHeld;
    }

    /** Records how late a check at `now` is that was due at `dueAt`; true when this process counts as late. */
    private recordCheckDelay(dueAt: Instant, now: Instant): boolean {
        if (now - dueAt > maxCheckDelayMs) {
            if (now >= this.lateUntil) {
                this.journal.log("process-late", { ms: now - dueAt, running: this.runs.size });
            }
            this.lateUntil = after(now, lateTtlMs);
            return true;
        }
        return false;
    }

    private engineCapacities(): readonly EngineCapacity[] {
        const now = this.clock.now();
        return this.view.directory.targets.flatMap(entry => this.capacityOf(entry, now) ?? []);
    }

    /** The capacity of an engine; undefined if no task may start there. */
    private capacityOf(entry: TargetEntryView, now: Instant): EngineCapacity | undefined {
        const spec = this.view.routes?.service(entry.service);
        if (spec?.engine === undefined || entry.leaving || this.backoff.isBackingOff(entry, now)) {
            return undefined;
        }
        const running = this.runningAt(entry.target);
        return {
            target: entry.target,
            service: entry.service,
            slots: Math.min(slotsOf(entry, spec), running + this.permits.available(entry, tasksFlow, now)),
            running,
            versionOf: model => this.versions.versionOf(entry, model, now),
            speed: this.paceTracker.speedOf(entry.target, now),
            usualGapMs: this.paceTracker.usualGapMs(entry.target),
            incarnation: entry.incarnation,
            software: this.view.software.of(entry),
            isBeingReplaced: this.view.releases.isBeingReplaced(entry.service, entry.software, now),
        };
    }

    /** The software of a service's engines that stay, with those that have no room or are in backoff. */
    private listedSoftware(service: ServiceId): ReadonlySet<SoftwareVersion> {
        const staying = this.view.directory.targets.filter(entry => entry.service === service && !entry.leaving);
        return new Set(staying.flatMap(({ software }) => software ?? []));
    }

    /** Begins the texts again that a restarted target shows to be of other software than they were taken for. */
    private discardContradicted(entry: TargetEntryView): void {
        for (const run of this.scheduler.discardContradicted(entry)) {
            const running = this.runs.get(run);
            if (running !== undefined) {
                running.moved = "restarted";
                running.stop.abort();
            }
        }
    }

    private async run({ run, target, discarded }: TaskAssignment): Promise<void> {
        const entry = this.view.directory.get(target)!;
        const spec = this.view.routes!.service(entry.service)!;
        const stop = new AbortController();
        const startedAt = this.clock.now();
        const running: RunningTask = {
            target,
            stop,
            startedAt,
            lastEventAt: startedAt,
            hasEvents: false,
            moved: undefined,
            inherited: undefined,
        };
        this.runs.set(run, running);
        this.runningCounts.set(target, this.runningAt(target) + 1);
        const { job } = run.job;
        const resumedAfter = run.progress.lastEventId;
        if (discarded !== undefined) {
            this.journal.log("text-restarted", {
                job: job.id,
                task: run.task.id,
                target,
                reason: discarded.reason,
                events: discarded.events,
                textSoftware: discarded.software,
                software: run.progress.software,
                viewAgeMs: this.view.ageMs,
            });
        }
        this.journal.log("task-started", {
            job: job.id,
            task: run.task.id,
            target,
            after: resumedAfter,
            software: run.progress.software,
            viewAgeMs: this.view.ageMs,
            running: this.runningAt(target),
            ...this.permits.describe(entry),
        });
        let isTooOld = false;
        const reported = await this.engines.run(
            entry,
            {
                task: run.task,
                host: job.host,
                organisation: job.organisation,
                hasOrganisations: this.view.hasOrganisations,
                afterEvent: resumedAfter,
                maxConnections: slotsOf(entry, spec),
                permit: this.permits.take(entry, tasksFlow),
            },
            (event, version) => {
                if (event.id !== run.progress.nextEventId) {
                    this.journal.log("event-rejected", {
                        job: job.id,
                        task: run.task.id,
                        target,
                        expected: run.progress.nextEventId,
                        received: event.id,
                    });
                    return false;
                }
                this.recordEvent(running);
                if (!run.progress.versions.includes(version)) {
                    this.versions.recordServedVersion(entry, job.model, version);
                }
                const wouldMix = run.job.terms.singleVersion
                    && run.progress.versions.some(earlier => earlier !== version);
                isTooOld = version < job.minVersion || wouldMix;
                return !isTooOld && run.progress.append(event, version) === undefined;
            },
            stop.signal,
        );
        const end: TaskRunOutcome = reported.kind === "completed" && run.progress.eventCount === 0
            ? { kind: "fault", detail: "The engine's answer has no events." }
            : reported;
        this.runningCounts.set(target, this.runningAt(target) - 1);
        this.runs.delete(run);
        this.slotPace.recordRun(this.clock.now() - startedAt);
        if (end.kind === "completed") {
            this.slotPace.recordTask(run.task.expectedTokens ?? run.task.tokens);
        }
        this.journal.log("task-ended", {
            job: job.id,
            task: run.task.id,
            target,
            end: isTooOld ? "too-old" : running.moved ?? end.kind,
            detail: "detail" in end ? end.detail : "status" in end ? String(end.status) : undefined,
            events: run.progress.eventCount,
            ms: this.clock.now() - startedAt,
        });
        if (running.moved === "restarted") {
            run.progress.reset(this.scheduler.newTextId());
            this.finish(run, "broken");
            return;
        }
        if (running.moved !== undefined && end.kind !== "completed") {
            if (running.inherited !== undefined) {
                run.progress.replace(running.inherited, this.scheduler.newTextId());
            }
            this.finish(run, running.inherited?.isComplete === true ? "completed" : "broken");
            return;
        }
        if (stop.signal.aborted && running.moved === undefined) {
            this.dispatch();
            return;
        }
        this.settle(run, entry, end, isTooOld);
    }

    private recordEvent(running: RunningTask): void {
        const now = this.clock.now();
        // The gap of a pause for a change of weights says nothing about the engine's pace.
        if (running.hasEvents && !this.versions.isChanging(running.target, now)) {
            this.paceTracker.recordGap(running.target, now - running.lastEventAt, now);
        }
        running.hasEvents = true;
        running.lastEventAt = now;
    }

    /** Stops runs that send no events, or that are much slower than engines with free slots, to resume them there. */
    private moveRuns(dueAt: Instant): void {
        if (!this.isActive) {
            return;
        }
        const now = this.clock.now();
        const nextAt = after(now, moveIntervalMs);
        // The next check is scheduled first, so that an unexpected error in this one does not end them.
        this.cancelMoves = this.clock.callAt(nextAt, () => this.moveRuns(nextAt));
        if (this.recordCheckDelay(dueAt, now)) {
            // Events that arrived meanwhile have not been read, so no run counts as silent or slow.
            return;
        }
        if (this.wasHeld) {
            this.dispatch();
        }
        const engines = this.engineCapacities();
        const allRuns = [...this.runs].flatMap(([run, running]) =>
            running.moved === undefined && !running.stop.signal.aborted ? [{ run, ...running }] : []
        );
        const takenSlots = this.moveFromLeaving(allRuns, engines);
        const available = engines.map(engine => ({
            ...availableOf(engine),
            freeSlots: engine.slots - engine.running - (takenSlots.get(engine.target) ?? 0),
        }));
        const runs = allRuns.filter(({ run }) => this.runs.get(run)?.moved === undefined);
        const changing = new Set(
            runs.map(({ target }) => target).filter(target => this.versions.isChanging(target, now)),
        );
        const { silentMs, silentAtStartMs } = this.settings;
        const speedOf = (target: TargetId): number => this.paceTracker.speedOf(target, now);
        for (
            const { run, target, reason } of planMoves(
                runs,
                available,
                speedOf,
                changing,
                { silentMs, silentAtStartMs },
                now,
            )
        ) {
            const running = this.runs.get(run)!;
            const entry = this.view.directory.get(target);
            if (reason === "silent" && entry !== undefined) {
                const ms = this.backoff.recordFault(entry, now);
                this.view.software.recordConnectionLost(entry, now);
                this.journal.log("target-resting", { target, reason: "A run sent no events.", ms });
            }
            running.moved = reason;
            running.stop.abort();
        }
        this.upgradeRuns(runs.filter(({ run }) => this.runs.get(run)?.moved === undefined), engines, changing, now);
    }

    /**
     * Moves runs away from engines that have announced to leave, where engines are ordered and taken away at short notice;
     * others finish their runs. Returns the slots that the runs will take, by engine.
     */
    private moveFromLeaving(
        runs: readonly MovableRun[],
        engines: readonly EngineCapacity[],
    ): ReadonlyMap<TargetId, number> {
        const taken = new Map<TargetId, number>();
        const leaving = runs.filter(({ target }) => {
            const entry = this.view.directory.get(target);
            return entry?.leaving === true && this.view.routes?.service(entry.service)?.scaling !== undefined;
        });
        const gapMsOf = (target: TargetId): number | undefined => this.paceTracker.usualGapMs(target);
        for (const { run, to } of planLeavingMoves(leaving, engines.map(availableOf), gapMsOf)) {
            const running = this.runs.get(run)!;
            taken.set(to, (taken.get(to) ?? 0) + 1);
            run.preferredTarget = to;
            running.moved = "leaving";
            running.stop.abort();
        }
        return taken;
    }

    /** Moves the longest runs to engines that are faster for good, if no task waits for the slots there. */
    private upgradeRuns(
        runs: readonly MovableRun[],
        engines: readonly EngineCapacity[],
        changing: ReadonlySet<TargetId>,
        now: Instant,
    ): void {
        if (this.hasWaiting) {
            return;
        }
        for (const open of this.scheduler.open) {
            const { model, minVersion } = open.job;
            const paced = engines.filter(engine => (engine.versionOf(model) ?? -1) >= minVersion)
                .map(({ target, slots, running, usualGapMs, software }) => ({
                    target,
                    software,
                    slots,
                    freeSlots: slots - running,
                    usualGapMs,
                }));
            const own = runs.filter(({ run }) => run.job === open);
            for (const { run, to } of planUpgrades(own, paced, changing, now)) {
                const running = this.runs.get(run)!;
                run.preferredTarget = to;
                running.moved = "upgraded";
                running.stop.abort();
            }
        }
    }

    private recordWork({ model, tasks }: Job): void {
        const work = tasks.reduce((sum, { expectedTokens, tokens }) => sum + (expectedTokens ?? tokens), 0);
        const known = this.workByModel.get(model) ?? work;
        this.workByModel.set(model, known + workSmoothingFactor * (work - known));
    }

    private settle(run: TaskRun, entry: TargetEntryView, end: TaskRunOutcome, isTooOld: boolean): void {
        const now = this.clock.now();
        if (isTooOld && run.job.terms.singleVersion) {
            run.progress.reset(this.scheduler.newTextId());
        }
        if (end.kind === "completed") {
            this.backoff.recordSuccess(entry.target);
        }
        if (end.kind === "unreachable" || end.kind === "fault" && !isTooOld) {
            const ms = this.backoff.recordFault(entry, now);
            this.view.software.recordConnectionLost(entry, now);
            this.journal.log("target-resting", { target: entry.target, reason: end.detail, ms });
        }
        if (end.kind === "refused") {
            this.backoff.recordRefusal(entry, now);
            this.versions.recordStillChanging(entry, run.job.job.model, after(now, stillChangingDelayMs));
        }
        this.finish(run, end.kind === "cancelled" || isTooOld ? "broken" : runEnds[end.kind]);
    }

    private finish(run: TaskRun, end: RunEnd): void {
        const result = this.scheduler.end(run, end, this.clock.now());
        if (result !== undefined) {
            this.registry.addResult(run.job, result);
        }
        if (run.job.scoring.has(run)) {
            this.rewards.dispatch();
        }
        this.dispatch();
    }

    private stop(run: TaskRun): void {
        this.runs.get(run)?.stop.abort();
    }

    private expire(): void {
        if (!this.isActive) {
            return;
        }
        this.cancelExpiry = this.clock.callAt(after(this.clock.now(), expiryIntervalMs), () => this.expire());
        this.registry.dropEndedFromMemory();
        // Submission times are wall-clock times of other hosts, so they are compared with this host's wall clock.
        const wallNow = Date.now() as ReturnType<Clock["now"]>;
        this.scheduler.expire(wallNow).forEach(({ open, result }) => this.registry.addResult(open, result));
    }

    /**
     * Schedules the dispatch after the one at `now`, for when a delayed task, an engine in backoff or a changing engine
     * becomes available. A later time would miss a delay that has ended since.
     */
    private scheduleDispatch(now: Instant): void {
        this.cancelDispatch?.();
        this.cancelDispatch = undefined;
        if (!this.hasWaiting) {
            return;
        }
        const times = [
            this.scheduler.nextRetryAt(now),
            this.backoff.nextRetryAt(now),
            this.versions.nextReadyAt(now),
            ...this.permits.nextTimes(this.view.directory.targets, tasksFlow, now),
        ].filter(at => at !== undefined);
        if (times.length > 0) {
            this.cancelDispatch = this.clock.callAt(after(Math.min(...times) as Instant, 1), () => this.dispatch());
        }
    }
}

function availableOf({ target, slots, running, speed, software }: EngineCapacity): AvailableEngine {
    return { target, speed, software, freeSlots: slots - running };
}

/** Number of tasks that an engine runs at once. */
function slotsOf(entry: TargetEntryView, spec: ServiceSpec): number {
    return entry.slots > 0 ? entry.slots : spec.engine!.slots;
}
