/**
 * Runs one task at one engine: sends it there, checks and reads the events of its run, and records the engine's pace. An
 * event that does not come next, or whose weights are too old, stops the run.
 */

import {
    type Clock,
    type Instant,
    type PaceTracker,
    type RolloutEngines,
    type SlotPace,
    type StreamEvent,
    type TargetEntryView,
    type TaskAssignment,
    type TaskRun,
    type TaskRunOutcome,
    type WeightVersion,
} from "@tamarackpath/core";
import { slotsOf, tasksFlow } from "./EngineCapacities.js";
import { type HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";
import { type RequestPermits } from "./RequestPermits.js";
import { type RunningTask, type RunningTasks } from "./RunningTasks.js";
import { type VersionTask } from "./VersionTask.js";

/** What all executions of a host use. */
export interface TaskExecutionParts {
    readonly view: HostView;
    readonly versions: VersionTask;
    readonly permits: RequestPermits;
    readonly engines: RolloutEngines;
    readonly running: RunningTasks;
    readonly paceTracker: PaceTracker;
    readonly slotPace: SlotPace;
    /** Milliseconds for which ends of jobs may have been unknown to this host at `now`. */
    readonly endsAgeMs: (now: Instant) => number | undefined;
    readonly clock: Clock;
    readonly journal: Journal;
}

/** One run of a task at an engine; the run counts as in progress from the construction until `recordEnd`. */
export class TaskExecution {
    readonly entry: TargetEntryView;
    readonly running: RunningTask;
    private readonly run: TaskRun;
    private readonly startedAt: Instant;
    /** When the request was sent, and the age of the known ends of jobs then; undefined before that. */
    private sent: { readonly at: Instant; readonly endsAgeMs: number | undefined; } | undefined;
    private hasOldEvent = false;
    private hasLongText = false;

    /** The task is not sent from `sendDeadline` on. */
    constructor(
        private readonly parts: TaskExecutionParts,
        private readonly assignment: TaskAssignment,
        private readonly sendDeadline: Instant,
    ) {
        const { run, target } = assignment;
        this.run = run;
        this.entry = parts.view.directory.get(target)!;
        this.startedAt = parts.clock.now();
        this.running = parts.running.begin(run, target, this.startedAt);
    }

    /** Whether the run was stopped because its weights were too old for its job, or would have mixed versions. */
    get isTooOld(): boolean {
        return this.hasOldEvent;
    }

    /** Whether the run was stopped because its text became too long for a result. */
    get isTooLong(): boolean {
        return this.hasLongText;
    }

    /** Sends the task to the engine; the promise ends with the run. */
    start(): Promise<TaskRunOutcome> {
        const { view, permits, engines } = this.parts;
        const { run, entry } = this;
        const { job } = run.job;
        const spec = view.routes!.service(entry.service)!;
        const afterEvent = run.progress.lastEventId;
        this.logStart();
        return engines.run(
            entry,
            {
                task: run.task,
                host: job.host,
                organisation: job.organisation,
                hasOrganisations: view.hasOrganisations,
                afterEvent,
                maxConnections: slotsOf(entry, spec),
                permit: permits.take(entry, tasksFlow),
                sendDeadline: this.sendDeadline,
                onSent: () => this.recordSent(),
            },
            (event, version) => this.accept(event, version),
            this.running.stop.signal,
        );
    }

    /** Records the end of the run that the engine's adapter reported; an answer without events is a fault. */
    recordEnd(reported: TaskRunOutcome): TaskRunOutcome {
        const { running, slotPace, clock, journal } = this.parts;
        const { run, startedAt } = this;
        const { target } = this.assignment;
        const end: TaskRunOutcome = reported.kind === "completed" && run.progress.eventCount === 0
            ? { kind: "fault", detail: "The engine's answer has no events." }
            : reported;
        running.end(run, target);
        slotPace.recordRun(clock.now() - startedAt);
        if (end.kind === "completed") {
            slotPace.recordTask(run.task.expectedTokens ?? run.task.tokens);
        }
        journal.log("task-ended", {
            job: run.job.job.id,
            task: run.task.id,
            target,
            end: this.isTooOld ? "too-old" : this.isTooLong ? "too-long" : this.running.moved ?? end.kind,
            detail: "detail" in end ? end.detail : "status" in end ? String(end.status) : undefined,
            events: run.progress.eventCount,
            sentAfterMs: this.sent === undefined ? undefined : this.sent.at - startedAt,
            endsAgeMs: this.sent?.endsAgeMs,
            ms: clock.now() - startedAt,
        });
        return end;
    }

    private recordSent(): void {
        const at = this.parts.clock.now();
        this.sent = { at, endsAgeMs: this.parts.endsAgeMs(at) };
    }

    private logStart(): void {
        const { view, permits, running, journal } = this.parts;
        const { run, target, discarded } = this.assignment;
        const { job } = run.job;
        if (discarded !== undefined) {
            journal.log("text-restarted", {
                job: job.id,
                task: run.task.id,
                target,
                reason: discarded.reason,
                events: discarded.events,
                textSoftware: discarded.software,
                software: run.progress.software,
                viewAgeMs: view.ageMs,
            });
        }
        journal.log("task-started", {
            job: job.id,
            task: run.task.id,
            target,
            after: run.progress.lastEventId,
            software: run.progress.software,
            viewAgeMs: view.ageMs,
            running: running.countAt(target),
            ...permits.describe(this.entry),
        });
    }

    /** Adds an event to the text; false if the run has to stop. */
    private accept(event: StreamEvent, version: WeightVersion): boolean {
        const { run, entry } = this;
        const { job, terms } = run.job;
        if (event.id !== run.progress.nextEventId) {
            this.parts.journal.log("event-rejected", {
                job: job.id,
                task: run.task.id,
                target: entry.target,
                expected: run.progress.nextEventId,
                received: event.id,
            });
            return false;
        }
        this.recordEvent();
        if (!run.progress.versions.includes(version)) {
            this.parts.versions.recordServedVersion(entry, job.model, version);
        }
        const wouldMix = terms.singleVersion && run.progress.versions.some(earlier => earlier !== version);
        this.hasOldEvent = version < job.minVersion || wouldMix;
        const fault = this.hasOldEvent ? undefined : run.progress.append(event, version);
        this.hasLongText = fault === "too-long";
        return !this.hasOldEvent && fault === undefined;
    }

    private recordEvent(): void {
        const { versions, paceTracker, clock } = this.parts;
        const { running } = this;
        const now = clock.now();
        // The gap of a pause for a change of weights says nothing about the engine's pace.
        if (running.hasEvents && !versions.isChanging(running.target, now)) {
            paceTracker.recordGap(running.target, now - running.lastEventAt, now);
        }
        running.hasEvents = true;
        running.lastEventAt = now;
    }
}
