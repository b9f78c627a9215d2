/**
 * Runs the tasks of open jobs at the engines, while this host conducts: gives each free seat the task that the board
 * chooses, reads its events, and takes a run that breaks off or stalls up again elsewhere after its last event.
 */

import {
    after,
    type Clock,
    type EngineSeat,
    type JobBoard,
    type RolloutEngines,
    type RunEnd,
    type ServiceSpec,
    type TargetEntryView,
    type TargetId,
    type TaskAssignment,
    type TaskRun,
    type TaskRunEnd,
} from "@tamarackpath/core";
import { EngineRests } from "./EngineRests.js";
import { type HostView } from "./HostView.js";
import { type JobBook } from "./JobBook.js";
import { type Journal } from "./Journal.js";
import { type RolloutSettings } from "./RolloutSettings.js";
import { type VersionTask } from "./VersionTask.js";

/** What became of a run at an engine, for the board. */
const runEnds: Record<Exclude<TaskRunEnd["kind"], "cancelled">, RunEnd> = {
    completed: "completed",
    failed: "failed",
    impossible: "impossible",
    refused: "not-run",
    unreachable: "broken",
    fault: "broken",
};

/** Milliseconds for which an engine that is still changing its weights gets no tasks. */
const stillChangingMs = 120;

/** Milliseconds between looks for tasks whose time is over. */
const expireEveryMs = 500;

/** Runs tasks. */
export class JobRunner {
    private readonly running = new Map<TargetId, number>();
    private readonly stops = new Map<TaskRun, AbortController>();
    private readonly rests = new EngineRests();
    private cancelWake: (() => void) | undefined;
    private cancelExpiry: (() => void) | undefined;
    private isActive = false;

    constructor(
        private readonly settings: RolloutSettings,
        private readonly self: string,
        private readonly board: JobBoard,
        private readonly book: JobBook,
        private readonly view: HostView,
        private readonly versions: VersionTask,
        private readonly engines: RolloutEngines,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        book.events.on("opened", () => this.pump());
        book.events.on("stopped", runs => runs.forEach(run => this.stop(run)));
        view.events.on("changed", () => this.pump());
        versions.events.on("changed", () => this.pump());
    }

    /** Tasks that run at an engine. */
    runningAt(target: TargetId): number {
        return this.running.get(target) ?? 0;
    }

    get hasWaiting(): boolean {
        return this.board.open.some(open => open.waiting.length > 0);
    }

    activate(): void {
        if (!this.isActive) {
            this.isActive = true;
            this.expire();
        }
        this.pump();
    }

    deactivate(): void {
        this.isActive = false;
        this.cancelWake?.();
        this.cancelExpiry?.();
        [...this.stops.keys()].forEach(run => this.stop(run));
    }

    /** Starts every task that may start now. */
    pump(): void {
        if (!this.isActive) {
            return;
        }
        const now = this.clock.now();
        for (;;) {
            const next = this.hasWaiting ? this.board.next(this.seats(), now) : undefined;
            if (next === undefined) {
                break;
            }
            void this.run(next);
        }
        this.planWake();
    }

    private seats(): readonly EngineSeat[] {
        const now = this.clock.now();
        return this.view.directory.targets.flatMap(entry => {
            const spec = this.view.routes?.service(entry.service);
            if (spec?.engine === undefined || entry.leaving || this.rests.isResting(entry, now)) {
                return [];
            }
            return [{
                target: entry.target,
                service: entry.service,
                slots: seatsOf(entry, spec),
                running: this.runningAt(entry.target),
                versionOf: model => this.versions.versionOf(entry, model, now),
                speed: 1,
            }];
        });
    }

    private async run({ run, target }: TaskAssignment): Promise<void> {
        const entry = this.view.directory.get(target)!;
        const spec = this.view.routes!.service(entry.service)!;
        const stop = new AbortController();
        this.stops.set(run, stop);
        this.running.set(target, this.runningAt(target) + 1);
        const { job } = run.job;
        const startedAt = this.clock.now();
        const resumedAfter = run.progress.lastEventId;
        this.journal.note("task-started", {
            job: job.id,
            task: run.task.id,
            target,
            after: resumedAfter,
            viewAgeMs: this.view.ageMs,
            running: this.runningAt(target),
        });
        let isTooOld = false;
        const end = await this.engines.run(
            entry,
            { task: run.task, host: job.host, afterEvent: resumedAfter, maxConnections: seatsOf(entry, spec) },
            (event, version) => {
                if (!run.progress.versions.includes(version)) {
                    this.versions.noteServed(entry, job.model, version);
                }
                const wouldMix = run.job.terms.singleVersion && run.progress.versions.some(made => made !== version);
                isTooOld = version < job.minVersion || wouldMix;
                return !isTooOld && run.progress.append(event, version) === undefined;
            },
            stop.signal,
        );
        this.running.set(target, this.runningAt(target) - 1);
        this.stops.delete(run);
        this.journal.note("task-ended", {
            job: job.id,
            task: run.task.id,
            target,
            end: isTooOld ? "too-old" : end.kind,
            detail: "detail" in end ? end.detail : "status" in end ? String(end.status) : undefined,
            events: run.progress.events,
            ms: this.clock.now() - startedAt,
        });
        if (stop.signal.aborted) {
            this.pump();
            return;
        }
        this.settle(run, entry, end, isTooOld);
    }

    private settle(run: TaskRun, entry: TargetEntryView, end: TaskRunEnd, isTooOld: boolean): void {
        const now = this.clock.now();
        if (isTooOld && run.job.terms.singleVersion) {
            run.progress.reset();
        }
        if (end.kind === "completed") {
            this.rests.noteServed(entry.target);
        }
        if (end.kind === "unreachable" || end.kind === "fault" && !isTooOld) {
            const ms = this.rests.noteFault(entry, now);
            this.journal.note("target-resting", { target: entry.target, reason: end.detail, ms });
        }
        if (end.kind === "refused") {
            this.versions.noteStillChanging(entry, run.job.job.model, after(now, stillChangingMs));
        }
        const result = this.board.end(run, end.kind === "cancelled" || isTooOld ? "broken" : runEnds[end.kind], now);
        if (result !== undefined) {
            this.book.addResult(run.job, result);
        }
        this.pump();
    }

    private stop(run: TaskRun): void {
        this.stops.get(run)?.abort();
    }

    private expire(): void {
        if (!this.isActive) {
            return;
        }
        // Submission times come from other hosts, so they are compared with the wall clock.
        const wallNow = Date.now() as ReturnType<Clock["now"]>;
        this.board.expire(wallNow).forEach(({ open, result }) => this.book.addResult(open, result));
        this.cancelExpiry = this.clock.callAt(after(this.clock.now(), expireEveryMs), () => this.expire());
    }

    /** Looks again when held-back tasks, resting engines or changing engines are due. */
    private planWake(): void {
        this.cancelWake?.();
        this.cancelWake = undefined;
        if (!this.hasWaiting) {
            return;
        }
        const now = this.clock.now();
        const times = [this.board.nextAt(now), this.rests.nextAt(now), this.versions.nextReadyAt(now)]
            .filter(at => at !== undefined);
        if (times.length > 0) {
            this.cancelWake = this.clock.callAt(after(Math.min(...times) as typeof now, 1), () => this.pump());
        }
    }
}

/** Tasks that run at an engine at once. */
function seatsOf(entry: TargetEntryView, spec: ServiceSpec): number {
    return entry.slots > 0 ? entry.slots : spec.engine!.slots;
}
