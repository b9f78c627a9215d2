/**
 * Runs the tasks of open jobs at the engines, while this host conducts: gives each free seat the task that the board
 * chooses, reads its events, and takes a run that breaks off or stalls up again elsewhere after its last event.
 */

import {
    after,
    type Clock,
    type EngineCapacity,
    type Instant,
    type JobScheduler,
    PaceTracker,
    planMoves,
    type ProgressSnapshot,
    type RolloutEngines,
    type RunEnd,
    type ServiceSpec,
    type TargetEntryView,
    type TargetId,
    type TaskAssignment,
    type TaskRun,
    type TaskRunOutcome,
} from "@tamarackpath/core";
import { EngineRests } from "./EngineRests.js";
import { type HostView } from "./HostView.js";
import { type JobBook } from "./JobBook.js";
import { type Journal } from "./Journal.js";
import { type RolloutSettings } from "./RolloutSettings.js";
import { type VersionTask } from "./VersionTask.js";

/** What became of a run at an engine, for the board. */
const runEnds: Record<Exclude<TaskRunOutcome["kind"], "cancelled">, RunEnd> = {
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

/** Events from which on a run counts as long: most samples have ended by then, and the step waits for the others. */
const longEvents = 15;

/** Milliseconds between looks for runs that should go on elsewhere. */
const moveEveryMs = 150;

/** A run at an engine. */
interface RunningTask {
    readonly target: TargetId;
    readonly stop: AbortController;
    readonly startedAt: Instant;
    lastEventAt: Instant;
    hasEvents: boolean;
    /** Set when it is stopped here to go on elsewhere. */
    moved: string | undefined;
    /** A longer copy of its text, from which it goes on. */
    inherited: ProgressSnapshot | undefined;
}

/** Runs tasks. */
export class JobRunner {
    private readonly running = new Map<TargetId, number>();
    private readonly stops = new Map<TaskRun, RunningTask>();
    private readonly paces = new PaceTracker();
    private readonly rests = new EngineRests();
    private cancelWake: (() => void) | undefined;
    private cancelExpiry: (() => void) | undefined;
    private cancelMoves: (() => void) | undefined;
    private isActive = false;

    constructor(
        private readonly settings: RolloutSettings,
        private readonly self: string,
        private readonly board: JobScheduler,
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
            this.moveRuns();
        }
        this.pump();
    }

    /** Starts a run again from a longer copy of its text, which is put in place once the run has stopped. */
    restartFrom(run: TaskRun, text: ProgressSnapshot): void {
        const running = this.stops.get(run);
        if (running !== undefined && running.moved === undefined) {
            running.moved = "inherited";
            running.inherited = text;
            running.stop.abort();
        }
    }

    /** Moves the long runs of an engine that is about to pause to others, as far as these have room. */
    vacate(target: TargetId, model: string): void {
        let room = this.seats().filter(seat => seat.target !== target)
            .reduce((sum, seat) => sum + Math.max(0, seat.slots - seat.running), 0);
        for (const [run, running] of this.stops) {
            const isLong = run.progress.eventCount >= longEvents;
            const isConcerned = running.target === target && run.job.job.model === model;
            if (isConcerned && isLong && running.moved === undefined && room-- > 0) {
                running.moved = "changing";
                running.stop.abort();
            }
        }
    }

    deactivate(): void {
        this.isActive = false;
        this.cancelWake?.();
        this.cancelExpiry?.();
        this.cancelMoves?.();
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

    private seats(): readonly EngineCapacity[] {
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
                speed: this.paces.speedOf(entry.target, now),
            }];
        });
    }

    private async run({ run, target }: TaskAssignment): Promise<void> {
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
        this.stops.set(run, running);
        this.running.set(target, this.runningAt(target) + 1);
        const { job } = run.job;
        const resumedAfter = run.progress.lastEventId;
        this.journal.log("task-started", {
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
                this.noteEvent(running);
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
        this.journal.log("task-ended", {
            job: job.id,
            task: run.task.id,
            target,
            end: isTooOld ? "too-old" : running.moved ?? end.kind,
            detail: "detail" in end ? end.detail : "status" in end ? String(end.status) : undefined,
            events: run.progress.eventCount,
            ms: this.clock.now() - startedAt,
        });
        if (running.moved !== undefined && end.kind !== "completed") {
            if (running.inherited !== undefined) {
                run.progress.replace(running.inherited, this.board.newTextId());
            }
            this.board.end(run, "broken", this.clock.now());
            this.pump();
            return;
        }
        if (stop.signal.aborted && running.moved === undefined) {
            this.pump();
            return;
        }
        this.settle(run, entry, end, isTooOld);
    }

    private noteEvent(running: RunningTask): void {
        const now = this.clock.now();
        if (running.hasEvents) {
            this.paces.recordGap(running.target, now - running.lastEventAt, now);
        }
        running.hasEvents = true;
        running.lastEventAt = now;
    }

    /** Takes runs up elsewhere that fell silent or lag behind what other engines with room could do. */
    private moveRuns(): void {
        if (!this.isActive) {
            return;
        }
        const now = this.clock.now();
        const seats = this.seats();
        const rooms = seats.map(({ target, slots, running, speed }) => ({ target, speed, free: slots - running }));
        const runs = [...this.stops].flatMap(([run, running]) =>
            running.moved === undefined && !running.stop.signal.aborted ? [{ run, ...running }] : []
        );
        const changing = new Set(
            runs.map(({ target }) => target).filter(target => this.versions.isChanging(target, now)),
        );
        const { silentMs, silentAtStartMs } = this.settings;
        const speedOf = (target: TargetId): number => this.paces.speedOf(target, now);
        for (
            const { run, target, reason } of planMoves(
                runs,
                rooms,
                speedOf,
                changing,
                { silentMs, silentAtStartMs },
                now,
            )
        ) {
            const running = this.stops.get(run)!;
            const entry = this.view.directory.get(target);
            if (reason === "silent" && entry !== undefined) {
                const ms = this.rests.noteFault(entry, now);
                this.journal.log("target-resting", { target, reason: "A run fell silent.", ms });
            }
            running.moved = reason;
            running.stop.abort();
        }
        this.cancelMoves = this.clock.callAt(after(now, moveEveryMs), () => this.moveRuns());
    }

    private settle(run: TaskRun, entry: TargetEntryView, end: TaskRunOutcome, isTooOld: boolean): void {
        const now = this.clock.now();
        if (isTooOld && run.job.terms.singleVersion) {
            run.progress.reset(this.board.newTextId());
        }
        if (end.kind === "completed") {
            this.rests.noteServed(entry.target);
        }
        if (end.kind === "unreachable" || end.kind === "fault" && !isTooOld) {
            const ms = this.rests.noteFault(entry, now);
            this.journal.log("target-resting", { target: entry.target, reason: end.detail, ms });
        }
        if (end.kind === "refused") {
            this.rests.noteRefusal(entry, now);
            this.versions.noteStillChanging(entry, run.job.job.model, after(now, stillChangingMs));
        }
        const result = this.board.end(run, end.kind === "cancelled" || isTooOld ? "broken" : runEnds[end.kind], now);
        if (result !== undefined) {
            this.book.addResult(run.job, result);
        }
        this.pump();
    }

    private stop(run: TaskRun): void {
        this.stops.get(run)?.stop.abort();
    }

    private expire(): void {
        if (!this.isActive) {
            return;
        }
        this.book.forgetOld();
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
        const times = [this.board.nextRetryAt(now), this.rests.nextAt(now), this.versions.nextReadyAt(now)]
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
