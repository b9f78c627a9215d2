/**
 * Runs the tasks of open jobs at the engines, while this host conducts: starts the scheduler's next task at each free
 * slot of an engine and settles the end of its run. When a run breaks off or stalls, it is resumed after its last
 * event, at another engine if possible.
 */

import {
    after,
    type Clock,
    type Instant,
    type JobScheduler,
    PaceTracker,
    type ProgressSnapshot,
    type RolloutEngines,
    type RunEnd,
    type ServiceId,
    SlotPace,
    type SoftwareVersion,
    type TargetEntryView,
    type TargetId,
    type TaskAssignment,
    type TaskRun,
    type TaskRunOutcome,
} from "@tamarackpath/core";
import { EngineBackoff } from "./EngineBackoff.js";
import { EngineCapacities, tasksFlow } from "./EngineCapacities.js";
import { type HostView } from "./HostView.js";
import { type JobRegistry } from "./JobRegistry.js";
import { type Journal } from "./Journal.js";
import { type RequestPermits } from "./RequestPermits.js";
import { type RewardRunner } from "./RewardRunner.js";
import { type RolloutSettings } from "./RolloutSettings.js";
import { RunMover } from "./RunMover.js";
import { RunningTasks } from "./RunningTasks.js";
import { StartHold } from "./StartHold.js";
import { StepWork } from "./StepWork.js";
import { TaskExecution, type TaskExecutionParts } from "./TaskExecution.js";
import { type VersionTask } from "./VersionTask.js";

export { type RunMoveReason } from "./RunningTasks.js";

/** Maps the end of a run at an engine to the end that the scheduler handles. */
const runEnds: Record<Exclude<TaskRunOutcome["kind"], "cancelled">, RunEnd> = {
    completed: "completed",
    failed: "failed",
    impossible: "impossible",
    refused: "not-run",
    "not-sent": "not-run",
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

/** Milliseconds between checks for runs that should move to another engine. */
const moveIntervalMs = 150;

/** Runs tasks at engines. */
export class JobRunner {
    private readonly running = new RunningTasks();
    private readonly backoff = new EngineBackoff();
    private readonly slotPace = new SlotPace();
    private readonly capacities: EngineCapacities;
    private readonly hold: StartHold;
    private readonly mover: RunMover;
    private readonly executionParts: TaskExecutionParts;
    private readonly stepWork = new StepWork();
    private cancelDispatch: (() => void) | undefined;
    private cancelExpiry: (() => void) | undefined;
    private cancelMoves: (() => void) | undefined;
    private isActive = false;

    constructor(
        settings: RolloutSettings,
        private readonly self: string,
        private readonly scheduler: JobScheduler,
        private readonly registry: JobRegistry,
        private readonly view: HostView,
        private readonly versions: VersionTask,
        private readonly rewards: RewardRunner,
        private readonly permits: RequestPermits,
        engines: RolloutEngines,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        const { running, backoff, slotPace } = this;
        const paceTracker = new PaceTracker();
        this.capacities = new EngineCapacities(view, versions, permits, running, paceTracker, backoff, clock);
        this.hold = new StartHold(registry, journal);
        this.mover = new RunMover(settings, view, versions, running, paceTracker, backoff, journal);
        this.executionParts = {
            view,
            versions,
            permits,
            engines,
            running,
            paceTracker,
            slotPace,
            endsAgeMs: now => registry.endsAgeMs(now),
            clock,
            journal,
        };
        registry.events.on("opened", open => {
            this.stepWork.record(open.job);
            this.dispatch();
        });
        registry.events.on("stopped", runs => runs.forEach(run => this.running.stop(run)));
        view.events.on("changed", () => this.dispatch());
        view.events.on("restarted", entries => entries.forEach(entry => this.discardContradicted(entry)));
        versions.events.on("changed", () => this.dispatch());
        registry.events.on("endsKnown", () => this.dispatch());
    }

    /** Number of tasks that run at an engine. */
    runningAt(target: TargetId): number {
        return this.running.countAt(target);
    }

    workOf(model: string): number | undefined {
        return this.stepWork.of(model);
    }

    /** Milliseconds of a slot for each expected token of a task; undefined before enough tasks have been completed. */
    get slotMsPerToken(): number | undefined {
        return this.slotPace.slotMsPerToken;
    }

    /** Whether any open job has a task that waits to run and may start. */
    get hasWaiting(): boolean {
        return this.scheduler.open.some(open => !open.isEnding && open.waiting.length > 0);
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
        const running = this.running.get(run);
        if (running !== undefined && this.running.isStaying(run)) {
            running.inherited = text;
            this.running.move(run, "inherited");
        }
    }

    /**
     * Moves the long runs of an engine that is about to pause to other engines with the same software, as far as these
     * have free slots.
     */
    moveLongRuns(target: TargetId, model: string): void {
        this.mover.moveLongRuns(target, model, this.capacities.all());
    }

    deactivate(): void {
        this.isActive = false;
        this.cancelDispatch?.();
        this.cancelExpiry?.();
        this.cancelMoves?.();
        this.running.stopAll();
    }

    /** Starts every task that an engine can run at this time. */
    dispatch(): void {
        if (!this.isActive) {
            return;
        }
        const now = this.clock.now();
        const sendDeadline = this.hold.sendDeadline(now);
        if (sendDeadline === undefined) {
            return;
        }
        if (this.hasWaiting) {
            this.startWaiting(now, sendDeadline);
        }
        this.scheduleDispatch(now);
    }

    /** Starts waiting tasks until none can start; only the capacity of the engine that got a task is computed again. */
    private startWaiting(now: Instant, sendDeadline: Instant): void {
        let engines = this.capacities.all();
        const softwareOf = new Map<ServiceId, ReadonlySet<SoftwareVersion>>();
        const listed = (service: ServiceId): ReadonlySet<SoftwareVersion> => {
            const known = softwareOf.get(service) ?? this.capacities.listedSoftware(service);
            softwareOf.set(service, known);
            return known;
        };
        for (;;) {
            const next = this.scheduler.next(engines, now, listed);
            if (next === undefined) {
                return;
            }
            void this.run(next, sendDeadline);
            const entry = this.view.directory.get(next.target);
            const updated = entry === undefined ? undefined : this.capacities.of(entry, now);
            engines = engines.flatMap(engine => engine.target === next.target ? updated ?? [] : engine);
        }
    }

    /** Begins the texts again that a restarted target shows to be of other software than they were taken for. */
    private discardContradicted(entry: TargetEntryView): void {
        this.scheduler.discardContradicted(entry).forEach(run => this.running.move(run, "restarted"));
    }

    private async run(assignment: TaskAssignment, sendDeadline: Instant): Promise<void> {
        const { run } = assignment;
        const execution = new TaskExecution(this.executionParts, assignment, sendDeadline);
        const { running, entry } = execution;
        const end = execution.recordEnd(await execution.start());
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
        if (running.stop.signal.aborted && running.moved === undefined) {
            this.dispatch();
            return;
        }
        this.settle(run, entry, end, execution);
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
        if (this.hold.wasHeld) {
            this.dispatch();
        }
        if (this.hold.recordCheckDelay(dueAt, now, this.running.size)) {
            // Events that arrived meanwhile have not been read, so no run counts as silent or slow.
            return;
        }
        const engines = this.capacities.all();
        // Runs are upgraded only if no task waits for the slots.
        this.mover.moveRuns(engines, this.hasWaiting ? [] : this.scheduler.open, now);
    }

    private settle(
        run: TaskRun,
        entry: TargetEntryView,
        end: TaskRunOutcome,
        { isTooOld, isTooLong }: TaskExecution,
    ): void {
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
        this.finish(run, isTooLong ? "too-long" : end.kind === "cancelled" || isTooOld ? "broken" : runEnds[end.kind]);
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

    private expire(): void {
        if (!this.isActive) {
            return;
        }
        this.cancelExpiry = this.clock.callAt(after(this.clock.now(), expiryIntervalMs), () => this.expire());
        this.registry.dropEndedFromMemory();
        void this.registry.openUndecided();
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
