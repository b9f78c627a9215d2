/**
 * Decides which task runs next and where. It answers the load of training steps: many tasks arrive at once, the trainer
 * waits for whole groups and only for some of them, lengths are known roughly, and engines differ in weight version and
 * speed. Older jobs go first; within a job the groups that were carried over, then the groups that take longest, and
 * last those that the trainer is likely not to wait for. A task goes where its group's prompt already lies unless that
 * engine is clearly busier.
 */

import {
    after,
    type GroupId,
    type Instant,
    type JobId,
    type ServiceId,
    type TargetId,
    type TaskId,
    type WeightVersion,
} from "../ids.js";
import { type TaskText } from "../ports/PeerRequests.js";
import { type Job, type Task, type TaskResult } from "./Job.js";
import { type JobLog } from "./JobLog.js";
import { TaskProgress, type TextId } from "./TaskProgress.js";

/** What the route of a job says of its tasks. */
export interface JobTerms {
    readonly service: ServiceId;
    readonly maxAttempts: number;
    readonly priority: number;
    readonly singleVersion: boolean;
    /** When a task may be given up. */
    readonly expiresAt: Instant;
    /** When all results are due. */
    readonly dueAt: Instant;
}

/** An engine as the board sees it. */
export interface EngineCapacity {
    readonly target: TargetId;
    readonly service: ServiceId;
    readonly slots: number;
    /** Tasks of this host that run there. */
    readonly running: number;
    readonly versionOf: (model: string) => WeightVersion | undefined;
    /** 1 for an engine at full speed, less for a slower one. */
    readonly speed: number;
}

/** A task's run, or its wait for one. */
export interface TaskRun {
    readonly task: Task;
    readonly job: OpenJob;
    readonly progress: TaskProgress;
    /** Engines that answered with a failure of their own. */
    failures: number;
    notBefore: Instant;
    /** The engines where it runs now. */
    target: TargetId | undefined;
    /** The engine that last failed it, which others go before. */
    avoid: TargetId | undefined;
}

/** A job that has not ended. */
export interface OpenJob {
    readonly job: Job;
    /** Follows the routes in force. */
    terms: JobTerms;
    readonly log: JobLog;
    readonly waiting: TaskRun[];
    readonly running: Set<TaskRun>;
}

/** A task and the engine that it should run at. */
export interface TaskAssignment {
    readonly run: TaskRun;
    readonly target: TargetId;
}

/** How a run ended. "broken" leaves the text read so far for the next run. */
export type RunEnd = "completed" | "failed" | "impossible" | "broken" | "not-run";

/** How much busier an engine may be than the least busy one to keep a group together, as a share of its slots. */
const groupAffinity = 0.25;

/** Milliseconds before a task that an engine did not take is offered again. */
const retryAfterMs = { "not-run": 60, "broken": 20, "failed": 50 } as const;

/** Events by which another host's copy of a text must be longer for a run to be started again from it. */
const leastInheritedEvents = 8;

/** Most tasks whose text is kept for a later job that brings them again. */
const mostCarried = 1500;

/** The jobs that one host runs. */
export class JobScheduler {
    private readonly jobs = new Map<JobId, OpenJob>();
    private readonly carried = new Map<TaskId, TaskProgress>();
    private readonly homes = new Map<GroupId, TargetId>();

    /** `newTextId` gives an id that no other host gives. */
    constructor(readonly newTextId: () => TextId) {}

    get open(): readonly OpenJob[] {
        return [...this.jobs.values()];
    }

    get(job: JobId): OpenJob | undefined {
        return this.jobs.get(job);
    }

    /** Opens a job whose results so far are in `log`. */
    add(job: Job, terms: JobTerms, log: JobLog): OpenJob {
        const known = this.jobs.get(job.id);
        if (known !== undefined) {
            return known;
        }
        const open: OpenJob = { job, terms, log, waiting: [], running: new Set() };
        for (const task of orderTasks(job)) {
            if (log.hasResult(task.id)) {
                continue;
            }
            const progress = this.takeCarried(task.id, job.minVersion, terms.singleVersion);
            open.waiting.push({
                task,
                job: open,
                progress,
                failures: 0,
                notBefore: 0 as Instant,
                target: undefined,
                avoid: undefined,
            });
        }
        this.jobs.set(job.id, open);
        return open;
    }

    /** Closes a job; the text of its unfinished tasks is kept in case they come again. Returns the runs to stop. */
    remove(id: JobId): readonly TaskRun[] {
        const open = this.jobs.get(id);
        if (open === undefined) {
            return [];
        }
        this.jobs.delete(id);
        [...open.waiting, ...open.running].forEach(run => this.carry(run.task.id, run.progress));
        open.job.tasks.forEach(task => this.homes.delete(task.group));
        return [...open.running];
    }

    /** The unfinished tasks with their texts; `open` ones first, then those that may come again. */
    get texts(): readonly { readonly task: TaskId; readonly progress: TaskProgress; }[] {
        const runs = this.open.flatMap(open => [...open.waiting, ...open.running]);
        return [
            ...runs.map(run => ({ task: run.task.id, progress: run.progress })),
            ...[...this.carried].map(([task, progress]) => ({ task, progress })),
        ];
    }

    /**
     * Takes another host's copy of a text. A waiting task goes on from it; a task that runs with a shorter text is
     * returned, to be started again. A text of a task that no open job has is kept for one that brings it.
     */
    adoptText({ task, text }: TaskText): TaskRun | undefined {
        const open = this.open.find(({ waiting, running }) =>
            [...waiting, ...running].some(run => run.task.id === task)
        );
        if (open === undefined) {
            const progress = this.carried.get(task) ?? new TaskProgress(this.newTextId());
            if (progress.eventCount < text.pieces.length) {
                progress.replace(text, this.newTextId());
            }
            this.carry(task, progress);
            return undefined;
        }
        const waiting = open.waiting.find(run => run.task.id === task);
        if (waiting !== undefined) {
            if (waiting.progress.eventCount < text.pieces.length) {
                waiting.progress.replace(text, this.newTextId());
            }
            return undefined;
        }
        const running = [...open.running].find(run => run.task.id === task)!;
        const isWorthIt = text.pieces.length > running.progress.eventCount + leastInheritedEvents;
        return isWorthIt && text.versions.every(version => version >= open.job.minVersion) ? running : undefined;
    }

    /** Drops the runs of tasks that have a result meanwhile; returns those that run, which are to be stopped. */
    dropFinished(open: OpenJob): readonly TaskRun[] {
        const isKnown = (run: TaskRun): boolean => open.log.hasResult(run.task.id);
        const waiting = open.waiting.filter(run => !isKnown(run));
        open.waiting.splice(0, open.waiting.length, ...waiting);
        const stopped = [...open.running].filter(isKnown);
        stopped.forEach(run => open.running.delete(run));
        return stopped;
    }

    /** The next task to start at `now`, or undefined when none fits. The caller starts it at once. */
    next(seats: readonly EngineCapacity[], now: Instant): TaskAssignment | undefined {
        const jobs = [...this.jobs.values()].sort((a, b) => a.terms.dueAt - b.terms.dueAt);
        for (const open of jobs) {
            const fitting = seats.filter(seat => seat.running < seat.slots && canServe(seat, open));
            if (fitting.length === 0) {
                continue;
            }
            for (const run of open.waiting) {
                const seat = run.notBefore <= now ? this.choose(run, fitting) : undefined;
                if (seat !== undefined) {
                    this.start(run, seat);
                    return { run, target: seat.target };
                }
            }
        }
        return undefined;
    }

    /** When the next waiting task that was held back may run. */
    nextRetryAt(now: Instant): Instant | undefined {
        const times = this.open.flatMap(open => open.waiting.map(run => run.notBefore)).filter(at => at > now);
        return times.length === 0 ? undefined : Math.min(...times) as Instant;
    }

    /** Takes the end of a run; returns the task's result once there is one. */
    end(run: TaskRun, how: RunEnd, now: Instant): TaskResult | undefined {
        run.job.running.delete(run);
        const failedAt = run.target;
        run.target = undefined;
        if (how === "completed") {
            return this.finish(run, "completed");
        }
        run.failures += how === "failed" ? 1 : 0;
        if (how === "impossible" || run.failures >= run.job.terms.maxAttempts) {
            return this.finish(run, "failed");
        }
        run.avoid = how === "not-run" ? run.avoid : failedAt;
        run.notBefore = after(now, retryAfterMs[how]);
        run.job.waiting.unshift(run);
        return undefined;
    }

    /** Gives up the waiting tasks whose time is over. */
    expire(now: Instant): readonly { readonly open: OpenJob; readonly result: TaskResult; }[] {
        return this.open.filter(open => open.terms.expiresAt <= now).flatMap(open => {
            const results = open.waiting.map(run => ({ open, result: resultOf(run, "failed") }));
            open.waiting.length = 0;
            return results;
        });
    }

    private start(run: TaskRun, seat: EngineCapacity): void {
        const { terms, job, waiting, running } = run.job;
        waiting.splice(waiting.indexOf(run), 1);
        running.add(run);
        run.target = seat.target;
        this.homes.set(run.task.group, seat.target);
        const version = seat.versionOf(job.model);
        const mixes = terms.singleVersion && run.progress.versions.some(made => made !== version);
        if (mixes || !run.progress.suits(job.minVersion, terms.singleVersion)) {
            run.progress.reset(this.newTextId());
        }
    }

    private choose(run: TaskRun, seats: readonly EngineCapacity[]): EngineCapacity | undefined {
        const others = seats.filter(seat => seat.target !== run.avoid);
        const candidates = others.length > 0 ? others : seats;
        const least = candidates.reduce((best, seat) => loadOf(seat) < loadOf(best) ? seat : best);
        const home = candidates.find(seat => seat.target === this.homes.get(run.task.group));
        return home !== undefined && loadOf(home) <= loadOf(least) + groupAffinity ? home : least;
    }

    private finish(run: TaskRun, state: TaskResult["state"]): TaskResult {
        this.carried.delete(run.task.id);
        return resultOf(run, state);
    }

    private carry(task: TaskId, progress: TaskProgress): void {
        if (progress.eventCount > 0) {
            this.carried.delete(task);
            this.carried.set(task, progress);
        }
        for (const oldest of this.carried.keys()) {
            if (this.carried.size <= mostCarried) {
                break;
            }
            this.carried.delete(oldest);
        }
    }

    private takeCarried(task: TaskId, minVersion: WeightVersion, singleVersion: boolean): TaskProgress {
        const known = this.carried.get(task);
        this.carried.delete(task);
        return known?.suits(minVersion, singleVersion) === true ? known : new TaskProgress(this.newTextId());
    }
}

function resultOf({ task, progress }: TaskRun, state: TaskResult["state"]): TaskResult {
    return state === "completed"
        ? { task: task.id, state, output: progress.output, versions: progress.versions }
        : { task: task.id, state, output: "", versions: [] };
}

function canServe(seat: EngineCapacity, { job, terms }: OpenJob): boolean {
    return seat.service === terms.service && (seat.versionOf(job.model) ?? -1) >= job.minVersion;
}

function loadOf(seat: EngineCapacity): number {
    return (seat.running + 1) / seat.slots / seat.speed;
}

/** Groups in the order in which they run: carried ones, then long ones, then those that the trainer may not wait for. */
function orderTasks(job: Job): readonly Task[] {
    const groups = new Map<GroupId, Task[]>();
    for (const task of job.tasks) {
        groups.set(task.group, [...groups.get(task.group) ?? [], task]);
    }
    const all = [...groups.values()];
    const longest = (tasks: readonly Task[]): number =>
        Math.max(...tasks.map(task => task.expectedTokens ?? task.tokens));
    const byLength = [...all].sort((a, b) => longest(b) - longest(a));
    const spare = new Set(byLength.slice(0, Math.max(0, all.length - job.targetGroups)));
    return [...byLength.filter(tasks => !spare.has(tasks)), ...byLength.filter(tasks => spare.has(tasks)).reverse()]
        .flat();
}
