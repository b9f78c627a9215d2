/**
 * Schedules the tasks of jobs: decides which task runs next and at which engine. It is made for training steps: many
 * tasks arrive at once, the trainer waits for whole groups and only for some of them, lengths are known roughly, and
 * engines differ in weight version and speed. The job that is due first goes first. Within a job, the longest of the
 * groups that the trainer waits for go first, and the surplus groups, which are the longest of all, go last. A task is
 * placed at the engine that already holds its group's prompt unless that engine is clearly busier than another. A task
 * whose text is complete frees its slot; if it has a reward call, it then waits for its score.
 */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import {
    after,
    type GroupId,
    type Instant,
    type JobId,
    type ServiceId,
    type SoftwareVersion,
    type TargetId,
    type TaskId,
    type WeightVersion,
} from "../ids.js";
import { type TaskText } from "../ports/PeerRequests.js";
import { chooseEngine, type EngineCapacity } from "./enginePlacement.js";
import { type Job, type Task, type TaskResult } from "./Job.js";
import { type JobLog } from "./JobLog.js";
import { type JobTerms } from "./JobTerms.js";
import { fitSoftware } from "./softwareFit.js";
import { orderTasks } from "./taskOrder.js";
import { type ProgressSnapshot, TaskProgress, type TextId } from "./TaskProgress.js";

/** A task that runs or waits to run. */
export interface TaskRun {
    readonly task: Task;
    readonly job: OpenJob;
    readonly progress: TaskProgress;
    /** Number of runs that an engine answered with a failure. */
    failures: number;
    /** Number of runs whose text was too long for a result. */
    longTexts: number;
    /** The task is not started before this time. */
    notBefore: Instant;
    /** The engine where it runs, or undefined while it waits. */
    target: TargetId | undefined;
    /** The engine of the last run that ended in a fault; other engines are preferred to it. */
    lastFailedTarget: TargetId | undefined;
    /** The engine that its next run is meant for, if it has a free slot. */
    preferredTarget: TargetId | undefined;
    /** Until when it waits for an engine with the software of its text; undefined while it does not wait. */
    softwareWaitUntil: Instant | undefined;
    /** Number of times that its text has begun again because no engine could go on with it. */
    restarts: number;
}

/** A job that has not ended. */
export interface OpenJob {
    readonly job: Job;
    /** Updated when the routes in force change. */
    terms: JobTerms;
    readonly log: JobLog;
    readonly waiting: TaskRun[];
    readonly running: Set<TaskRun>;
    /** Tasks whose text is complete and whose score is missing, in the order in which their texts were completed. */
    readonly scoring: Set<TaskRun>;
    /** Whether its end was requested, so that none of its tasks starts any more. */
    isEnding: boolean;
    /** Mean of the tokens that its tasks are expected to take. */
    readonly meanTokens: number;
}

/** A task to start and its engine. */
export interface TaskAssignment {
    readonly run: TaskRun;
    readonly target: TargetId;
    /** The text that was discarded, because it could not go on at this engine. */
    readonly discarded: DiscardedText | undefined;
}

/** A text that begins again, and why. */
export interface DiscardedText {
    readonly reason: "software" | "weights";
    readonly events: number;
    readonly software: SoftwareVersion | undefined;
}

/**
 * How a run ended. After "broken" the next run resumes after the text read so far; after "too-long" the text begins again,
 * in case the engine sent more than the text.
 */
export type RunEnd = "completed" | "failed" | "impossible" | "broken" | "not-run" | "too-long";

/** Milliseconds before a task is scheduled again, by how its run ended. */
const retryDelayMs = { "not-run": 60, "broken": 20, "failed": 50, "too-long": 50 } as const;

/** The time of a start that does not take place. */
const never = Infinity as Instant;

/** Number of events by which another host's copy of a text must be longer for a run to be restarted from it. */
const minInheritedEvents = 8;

/** Maximum number of tasks whose text is kept for a later job that submits them again. */
const maxRetainedTexts = 1500;

/** Schedules the jobs that one host runs. */
export class JobScheduler {
    private readonly jobs = new Map<JobId, OpenJob>();
    private readonly retainedTexts = new Map<TaskId, TaskProgress>();
    private readonly groupTargets = new Map<GroupId, TargetId>();

    /** `newTextId` returns an id that is unique across hosts. */
    constructor(readonly newTextId: () => TextId) {}

    get open(): readonly OpenJob[] {
        return [...this.jobs.values()];
    }

    get(job: JobId): OpenJob | undefined {
        return this.jobs.get(job);
    }

    /** Opens a job whose results so far are in `log`. Returns the job as it is if it is open already. */
    add(job: Job, terms: JobTerms, log: JobLog): OpenJob {
        const known = this.jobs.get(job.id);
        if (known !== undefined) {
            return known;
        }
        const expected = job.tasks.reduce((sum, { expectedTokens, tokens }) => sum + (expectedTokens ?? tokens), 0);
        const open: OpenJob = {
            job,
            terms,
            log,
            waiting: [],
            running: new Set(),
            scoring: new Set(),
            isEnding: false,
            meanTokens: expected / Math.max(1, job.tasks.length),
        };
        for (const task of orderTasks(job)) {
            if (log.hasResult(task.id)) {
                continue;
            }
            const run: TaskRun = {
                task,
                job: open,
                progress: this.takeRetained(task.id, job.minVersion, terms.singleVersion),
                failures: 0,
                longTexts: 0,
                notBefore: 0 as Instant,
                target: undefined,
                lastFailedTarget: undefined,
                preferredTarget: undefined,
                softwareWaitUntil: undefined,
                restarts: 0,
            };
            if (!run.progress.isComplete) {
                open.waiting.push(run);
            }
            else if (task.reward !== undefined) {
                open.scoring.add(run);
            }
            else {
                log.add(this.finish(run, "completed", undefined));
            }
        }
        this.jobs.set(job.id, open);
        return open;
    }

    /**
     * Closes a job. The text of its unfinished tasks is kept in case a later job submits them again. Returns the runs
     * and reward calls to stop.
     */
    remove(id: JobId): readonly TaskRun[] {
        const open = this.jobs.get(id);
        if (open === undefined) {
            return [];
        }
        this.jobs.delete(id);
        unfinished(open).forEach(run => this.retainText(run.task.id, run.progress));
        open.job.tasks.forEach(task => this.groupTargets.delete(task.group));
        return [...open.running, ...open.scoring];
    }

    /** The texts of unfinished tasks: first those of open jobs, then those kept for a later job. */
    get texts(): readonly { readonly task: TaskId; readonly progress: TaskProgress; }[] {
        const runs = this.open.flatMap(unfinished);
        return [
            ...runs.map(run => ({ task: run.task.id, progress: run.progress })),
            ...[...this.retainedTexts].map(([task, progress]) => ({ task, progress })),
        ];
    }

    /**
     * Adopts another host's copy of a text. A waiting task takes it over if it is longer than its own, and waits for its
     * score if it is complete. A running task is returned if its own text is clearly shorter, or if the copy is
     * complete, so that the caller restarts it. A text of a task that belongs to no open job is kept for a later job
     * that submits the task.
     */
    adoptText({ task, text }: TaskText): TaskRun | undefined {
        const run = this.open.flatMap(unfinished).find(({ task: { id } }) => id === task);
        if (run === undefined) {
            const progress = this.retainedTexts.get(task) ?? new TaskProgress(this.newTextId());
            if (isLonger(text, progress)) {
                progress.replace(text, this.newTextId());
            }
            this.retainText(task, progress);
            return undefined;
        }
        const { job: { job, terms, running, waiting } } = run;
        if (running.has(run)) {
            const isClearlyLonger = text.isComplete
                || text.pieces.length > run.progress.eventCount + minInheritedEvents;
            return isClearlyLonger && isTextUsable(text, job, terms) ? run : undefined;
        }
        const canTake = !text.isComplete || run.task.reward !== undefined && isTextUsable(text, job, terms);
        if (waiting.includes(run) && canTake && isLonger(text, run.progress)) {
            run.progress.replace(text, this.newTextId());
            if (text.isComplete) {
                waiting.splice(waiting.indexOf(run), 1);
                this.complete(run);
            }
        }
        return undefined;
    }

    /** Drops the tasks that have a result in the log. Returns the runs and reward calls to stop. */
    dropFinished(open: OpenJob): readonly TaskRun[] {
        const isFinished = (run: TaskRun): boolean => open.log.hasResult(run.task.id);
        const waiting = open.waiting.filter(run => !isFinished(run));
        open.waiting.splice(0, open.waiting.length, ...waiting);
        const stopped = [...open.running, ...open.scoring].filter(isFinished);
        stopped.forEach(run => open.running.delete(run) || open.scoring.delete(run));
        return stopped;
    }

    /** Ends the reward call of a task with its score, or without one, and returns the task's result. */
    endScoring(run: TaskRun, score: string | undefined): TaskResult | undefined {
        if (!run.job.scoring.delete(run)) {
            return undefined;
        }
        return this.finish(run, score === undefined ? "failed" : "completed", score);
    }

    /**
     * The next task to start at `now`, or undefined if none can start. It counts as running from this call on. `listed`
     * returns the software of a service's engines, with those that have no room at present.
     */
    next(
        engines: readonly EngineCapacity[],
        now: Instant,
        listed: (service: ServiceId) => ReadonlySet<SoftwareVersion> = () => new Set(),
    ): TaskAssignment | undefined {
        const jobs = [...this.jobs.values()].filter(({ isEnding }) => !isEnding)
            .sort((a, b) => a.terms.dueAt - b.terms.dueAt);
        for (const open of jobs) {
            const available = engines.filter(engine => engine.running < engine.slots && canServe(engine, open));
            if (available.length === 0) {
                continue;
            }
            const inService = listed(open.terms.service);
            for (const run of open.waiting) {
                if (run.notBefore > now) {
                    continue;
                }
                const fit = fitSoftware(run, available, inService, now);
                if (fit.kind === "wait") {
                    run.softwareWaitUntil = fit.until;
                    continue;
                }
                const engine = chooseEngine(run, fit.engines, this.groupTargets.get(run.task.group));
                return { run, target: engine.target, discarded: this.start(run, engine, now) };
            }
        }
        return undefined;
    }

    /** When the next delayed task may run or stop waiting, or undefined if there is none. */
    nextRetryAt(now: Instant): Instant | undefined {
        const times = this.open.flatMap(open =>
            open.waiting.flatMap(({ notBefore, softwareWaitUntil }) => [notBefore, softwareWaitUntil ?? now])
        ).filter(at => at > now && at !== never);
        return times.length === 0 ? undefined : Math.min(...times) as Instant;
    }

    /**
     * Records the end of a run. Returns the task's result if there is one, otherwise the task waits for its next run, or
     * for its score.
     */
    end(run: TaskRun, outcome: RunEnd, now: Instant): TaskResult | undefined {
        run.job.running.delete(run);
        const lastTarget = run.target;
        run.target = undefined;
        if (outcome === "completed") {
            run.progress.markComplete();
            return this.complete(run);
        }
        run.failures += outcome === "failed" ? 1 : 0;
        if (outcome === "impossible" || run.failures >= run.job.terms.maxAttempts) {
            return this.finish(run, "failed", undefined);
        }
        run.lastFailedTarget = outcome === "not-run" ? run.lastFailedTarget : lastTarget;
        run.notBefore = after(now, retryDelayMs[outcome]);
        if (outcome === "too-long") {
            run.progress.reset(this.newTextId());
            run.longTexts++;
            // Its result cannot be listed before the task expires.
            run.notBefore = run.longTexts < run.job.terms.maxAttempts ? run.notBefore : never;
        }
        run.job.waiting.unshift(run);
        return undefined;
    }

    /** Gives up the tasks of expired jobs that wait for a run or for their score, and returns their results. */
    expire(now: Instant): readonly { readonly open: OpenJob; readonly result: TaskResult; }[] {
        return this.open.filter(open => open.terms.expiresAt <= now).flatMap(open => {
            const results = [...open.waiting, ...open.scoring].map(run => ({
                open,
                result: resultOf(run, "failed", undefined),
            }));
            open.waiting.length = 0;
            open.scoring.clear();
            return results;
        });
    }

    /** Returns the result of a task with a complete text, or lets it wait for its score. */
    private complete(run: TaskRun): TaskResult | undefined {
        if (run.task.reward === undefined) {
            return this.finish(run, "completed", undefined);
        }
        run.job.scoring.add(run);
        return undefined;
    }

    /** Starts a run at an engine, and returns the text that cannot go on there. */
    private start(run: TaskRun, engine: EngineCapacity, now: Instant): DiscardedText | undefined {
        const { terms, job, waiting, running } = run.job;
        const { progress } = run;
        waiting.splice(waiting.indexOf(run), 1);
        running.add(run);
        run.target = engine.target;
        run.preferredTarget = undefined;
        run.softwareWaitUntil = undefined;
        this.groupTargets.set(run.task.group, engine.target);
        const version = engine.versionOf(job.model);
        const wouldMixWeights = terms.singleVersion && progress.versions.some(generatedBy => generatedBy !== version);
        const isWrongWeights = wouldMixWeights || !progress.isUsableFor(job.minVersion, terms.singleVersion);
        const isWrongSoftware = !progress.canContinueAt(engine.software);
        const discarded: DiscardedText | undefined = isWrongWeights || isWrongSoftware
            ? {
                reason: isWrongSoftware ? "software" : "weights",
                events: progress.eventCount,
                software: progress.software,
            }
            : undefined;
        if (discarded !== undefined) {
            run.restarts++;
            progress.reset(this.newTextId());
        }
        const { target, incarnation, software } = engine;
        progress.beginRun({ target, incarnation, software, startedAt: now });
        return discarded;
    }

    /**
     * Discards the texts with events of a target that had restarted with other software before their run began there.
     * Returns the running ones, which the caller stops and discards.
     */
    discardContradicted(entry: TargetEntryView): readonly TaskRun[] {
        const contradicted = this.open.flatMap(unfinished).filter(({ progress }) => progress.isContradictedBy(entry));
        this.retainedTexts.forEach((progress, task) =>
            progress.isContradictedBy(entry) && this.retainedTexts.delete(task)
        );
        const running = contradicted.filter(run => run.job.running.has(run));
        contradicted.filter(run => run.job.waiting.includes(run)).forEach(({ progress }) =>
            progress.reset(this.newTextId())
        );
        return running;
    }

    private finish(run: TaskRun, state: TaskResult["state"], score: string | undefined): TaskResult {
        this.retainedTexts.delete(run.task.id);
        return resultOf(run, state, score);
    }

    private retainText(task: TaskId, progress: TaskProgress): void {
        if (progress.eventCount > 0) {
            this.retainedTexts.delete(task);
            this.retainedTexts.set(task, progress);
        }
        for (const oldest of this.retainedTexts.keys()) {
            if (this.retainedTexts.size <= maxRetainedTexts) {
                break;
            }
            this.retainedTexts.delete(oldest);
        }
    }

    private takeRetained(task: TaskId, minVersion: WeightVersion, singleVersion: boolean): TaskProgress {
        const known = this.retainedTexts.get(task);
        this.retainedTexts.delete(task);
        return known?.isUsableFor(minVersion, singleVersion) === true ? known : new TaskProgress(this.newTextId());
    }
}

function resultOf({ task, progress }: TaskRun, state: TaskResult["state"], score: string | undefined): TaskResult {
    return state === "completed"
        ? { task: task.id, state, output: progress.output, versions: progress.versions, score }
        : { task: task.id, state, output: "", versions: [], score: undefined };
}

/** The tasks of a job without a result. */
function unfinished({ waiting, running, scoring }: OpenJob): readonly TaskRun[] {
    return [...waiting, ...running, ...scoring];
}

function isLonger(text: ProgressSnapshot, progress: TaskProgress): boolean {
    return progress.eventCount < text.pieces.length || text.isComplete && !progress.isComplete;
}

function isTextUsable({ versions }: ProgressSnapshot, { minVersion }: Job, { singleVersion }: JobTerms): boolean {
    return versions.every(version => version >= minVersion) && (!singleVersion || versions.length <= 1);
}

function canServe(engine: EngineCapacity, { job, terms }: OpenJob): boolean {
    return engine.service === terms.service && (engine.versionOf(job.model) ?? -1) >= job.minVersion;
}
