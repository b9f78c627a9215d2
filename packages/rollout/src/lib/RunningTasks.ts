/** The runs of tasks that are in progress at engines, with the number of runs at each engine. */

import { type Instant, type MovableRun, type ProgressSnapshot, type TargetId, type TaskRun } from "@tamarackpath/core";

/** Why a run is stopped to be resumed at another engine. */
export type RunMoveReason = "changing" | "inherited" | "leaving" | "restarted" | "silent" | "slow" | "upgraded";

/** A run at an engine. */
export interface RunningTask {
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

/** Registry of the runs at engines. */
export class RunningTasks {
    private readonly counts = new Map<TargetId, number>();
    private readonly runs = new Map<TaskRun, RunningTask>();

    /** Number of runs at all engines. */
    get size(): number {
        return this.runs.size;
    }

    /** Number of runs at an engine. */
    countAt(target: TargetId): number {
        return this.counts.get(target) ?? 0;
    }

    get(run: TaskRun): RunningTask | undefined {
        return this.runs.get(run);
    }

    entries(): IterableIterator<[TaskRun, RunningTask]> {
        return this.runs.entries();
    }

    /** Runs that are neither stopped nor about to move. */
    get movable(): readonly MovableRun[] {
        return [...this.runs].flatMap(([run, running]) =>
            running.moved === undefined && !running.stop.signal.aborted ? [{ run, ...running }] : []
        );
    }

    /** Whether a run is in progress that does not move to another engine. */
    isStaying(run: TaskRun): boolean {
        const running = this.runs.get(run);
        return running !== undefined && running.moved === undefined;
    }

    begin(run: TaskRun, target: TargetId, startedAt: Instant): RunningTask {
        const running: RunningTask = {
            target,
            stop: new AbortController(),
            startedAt,
            lastEventAt: startedAt,
            hasEvents: false,
            moved: undefined,
            inherited: undefined,
        };
        this.runs.set(run, running);
        this.counts.set(target, this.countAt(target) + 1);
        return running;
    }

    end(run: TaskRun, target: TargetId): void {
        this.counts.set(target, this.countAt(target) - 1);
        this.runs.delete(run);
    }

    /** Stops a run, if it is in progress, to resume it at another engine. */
    move(run: TaskRun, reason: RunMoveReason): void {
        const running = this.runs.get(run);
        if (running !== undefined) {
            running.moved = reason;
            running.stop.abort();
        }
    }

    /** Stops a run, if it is in progress; it is not resumed. */
    stop(run: TaskRun): void {
        this.runs.get(run)?.stop.abort();
    }

    stopAll(): void {
        [...this.runs.keys()].forEach(run => this.stop(run));
    }
}
