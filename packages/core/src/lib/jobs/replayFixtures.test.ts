/**
 * Replays a load through the scheduler's decisions without a network: engines that prefill prompts in chunks between the
 * events of their runs, steps of trainers, and engines that are slow or gone for a time.
 */

import {
    after,
    asId,
    type GroupId,
    type Incarnation,
    type Instant,
    type ServiceId,
    type SoftwareVersion,
    type TargetId,
    type WeightVersion,
} from "../ids.js";
import { type EngineCapacity } from "./enginePlacement.js";
import { type Job, type TaskResult } from "./Job.js";
import { JobLog } from "./JobLog.js";
import { JobScheduler, type JobTerms, type TaskAssignment, type TaskRun } from "./JobScheduler.js";
import { planMoves, planUpgrades } from "./MovePlan.js";
import { PaceTracker } from "./PaceTracker.js";
import { type PromptSize, promptSizeOf } from "./promptSize.js";

const noSize: PromptSize = { sharedTokens: 0, ownTokens: 0, outputTokens: 0 };
const moveIntervalMs = 150;
const moveLimits = { silentMs: 600, silentAtStartMs: 900 } as const;
const chunkTokens = 2048;
const prefillTokensPerMs = 400;
/** One-way time between the host and an engine. */
const networkMs = 3;

/** A period in which an engine is slower or gone. */
export interface EngineTrouble {
    readonly from: number;
    readonly until: number;
    /** Factor on the duration of each of its steps; undefined while it is gone. */
    readonly slowFactor: number | undefined;
}

export interface ReplayEngineSpec {
    readonly name: string;
    readonly slots: number;
    readonly memoryTokens: number;
    /** Milliseconds between events of a run without prefills. */
    readonly gapMs: number;
    readonly troubles?: readonly EngineTrouble[];
}

/** A run at a replayed engine. */
export interface ReplayRun {
    readonly run: TaskRun;
    readonly startedAt: number;
    prefillTokens: number;
    hasEvents: boolean;
    lastEventAt: number;
    isStopped: boolean;
}

interface ReplayEngine extends ReplayEngineSpec {
    readonly target: TargetId;
    readonly runs: ReplayRun[];
    readonly cachedGroups: Set<GroupId>;
    isStepping: boolean;
    incarnation: number;
    busyMs: number;
}

/** How a task went, in milliseconds. */
export interface ReplayTiming {
    readonly submittedAt: number;
    firstEventAt: number | undefined;
    endedAt: number | undefined;
}

/** A pseudo-random generator of numbers from 0 to 1. */
export function randomFixture(seed: number): () => number {
    let state = seed * 7919 + 17;
    return () => {
        state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
        return state / 2_147_483_648;
    };
}

/** Replays jobs on engines. `outputEvents` is the true number of events of a task. */
export class Replay {
    now = 0;
    readonly scheduler: JobScheduler;
    readonly paces = new PaceTracker();
    readonly engines: readonly ReplayEngine[];
    readonly timings = new Map<string, ReplayTiming>();
    /** When each job had as many complete groups as its trainer waits for. */
    readonly completedAt = new Map<string, number>();
    readonly results: TaskResult[] = [];
    prefilledTokens = 0;
    repeatedTokens = 0;
    mostUsedShare = 0;
    mostRunning = 0;
    /** Number of interrupted runs by reason. */
    readonly interrupted = new Map<string, number>();
    started = 0;
    /** The time in the clock of the due times; a time long ago gives every job slack enough. */
    wallNow: () => number = () => this.now;
    /** Called after each dispatch. */
    onDispatched: () => void = () => undefined;

    private readonly events: { readonly at: number; readonly act: () => void; }[] = [];
    private readonly byTarget = new Map<TargetId, ReplayEngine>();
    private readonly prefilledGroups = new Set<GroupId>();
    private retryAt: number | undefined;

    private readonly sizes = new Map<string, PromptSize>();

    /** `describesPrompts` is false for a scheduler that is not told the prompts, as those of earlier software. */
    constructor(
        engines: readonly ReplayEngineSpec[],
        private readonly outputEvents: (task: string) => number,
        private readonly describesPrompts = true,
    ) {
        let serial = 0;
        this.scheduler = new JobScheduler(() => ++serial);
        this.engines = engines.map(spec => ({
            ...spec,
            target: asId<TargetId>(spec.name),
            runs: [],
            cachedGroups: new Set(),
            isStepping: false,
            incarnation: 1,
            busyMs: 0,
        }));
        for (const engine of this.engines) {
            this.byTarget.set(engine.target, engine);
            engine.troubles?.filter(({ slowFactor }) => slowFactor === undefined).forEach(({ from, until }) => {
                this.at(from, () => this.breakRuns(engine));
                this.at(until, () => this.dispatch());
            });
        }
    }

    at(at: number, act: () => void): void {
        let nth = this.events.length;
        while (nth > 0 && this.events[nth - 1]!.at <= at) {
            nth--;
        }
        this.events.splice(nth, 0, { at, act });
    }

    /** Submits a job at `at`; it ends when as many groups are complete as its trainer waits for, or not at all. */
    submit(at: number, job: Job, terms: JobTerms, endsWhenComplete: boolean): void {
        this.at(at, () => {
            const tasks = this.describesPrompts
                ? job.tasks
                : job.tasks.map(task => ({ ...task, prompt: undefined, usage: undefined }));
            const open = this.scheduler.add({ ...job, tasks }, terms, new JobLog());
            for (const task of job.tasks) {
                const { id } = task;
                this.sizes.set(id, promptSizeOf(task) ?? noSize);
                this.timings.set(id, { submittedAt: at, firstEventAt: undefined, endedAt: undefined });
            }
            const left = new Map<GroupId, number>();
            job.tasks.forEach(({ group }) => left.set(group, (left.get(group) ?? 0) + 1));
            const groupOf = new Map(job.tasks.map(({ id, group }) => [id, group]));
            let completeGroups = 0;
            this.onResult.set(job.id, result => {
                open.log.add(result);
                const group = groupOf.get(result.task)!;
                left.set(group, left.get(group)! - 1);
                completeGroups += left.get(group) === 0 ? 1 : 0;
                if (completeGroups === job.targetGroups && !this.completedAt.has(job.id)) {
                    this.completedAt.set(job.id, this.now);
                    if (endsWhenComplete) {
                        this.scheduler.remove(job.id).forEach(run => this.stop(run));
                    }
                }
            });
            this.dispatch();
        });
    }

    run(untilMs: number): void {
        for (let next = this.events.pop(); next !== undefined && next.at <= untilMs; next = this.events.pop()) {
            this.now = next.at;
            next.act();
        }
    }

    capacities(): EngineCapacity[] {
        return this.engines.flatMap(engine =>
            this.isGone(engine) ? [] : [{
                target: engine.target,
                service: asId<ServiceId>("s"),
                slots: engine.slots,
                running: engine.runs.length,
                versionOf: () => 1 as WeightVersion,
                speed: this.paces.speedOf(engine.target, this.now as Instant),
                usualGapMs: this.paces.usualGapMs(engine.target),
                incarnation: engine.incarnation as Incarnation,
                software: asId<SoftwareVersion>("v1"),
                memoryTokens: engine.memoryTokens,
            }]
        );
    }

    /** Moves runs to other engines every 150 ms from `at` on, as the conductor does. */
    moveRunsFrom(at: number): void {
        this.at(at, () => {
            this.moveRuns();
            this.moveRunsFrom(at + moveIntervalMs);
        });
    }

    private moveRuns(): void {
        const now = this.now as Instant;
        const engines = this.capacities();
        const movable = this.engines.flatMap(({ target, runs }) => runs.map(replayed => ({ ...replayed, target })))
            .map(replayed => ({
                ...replayed,
                startedAt: replayed.startedAt as Instant,
                lastEventAt: replayed.lastEventAt as Instant,
                eventsLeft: this.scheduler.eventsLeft(replayed.run),
            }));
        const available = engines.map(({ target, speed, software, slots, running }) => ({
            target,
            speed,
            software,
            freeSlots: slots - running,
        }));
        const speedOf = (target: TargetId): number => this.paces.speedOf(target, now);
        const limits = { ...moveLimits, usualGapMs: this.paces.medianGapMs(now) };
        const moves = planMoves(movable, available, speedOf, new Set(), limits, now);
        const moved = moves.map(({ run }) => run);
        moves.forEach(({ run, reason, remainingMs }) => this.interrupt(run, reason, remainingMs));
        if (!this.scheduler.open.some(({ waiting }) => waiting.length > 0)) {
            const paced = this.capacities().map(({ target, slots, running, usualGapMs, software }) => ({
                target,
                slots,
                software,
                freeSlots: slots - running,
                usualGapMs,
            }));
            const left = movable.filter(({ run }) => !moved.includes(run));
            for (const { run, to, remainingMs } of planUpgrades(left, paced, new Set(), now)) {
                run.preferredTarget = to;
                this.interrupt(run, "upgraded", remainingMs);
            }
        }
        this.dispatch();
    }

    /** Stops a run so that it resumes elsewhere. */
    private interrupt(run: TaskRun, reason: string, remainingMs: number): void {
        this.interrupted.set(reason, (this.interrupted.get(reason) ?? 0) + 1);
        run.stayUntil = after(this.now as Instant, remainingMs);
        this.stop(run);
        this.scheduler.end(run, "broken", this.now as Instant);
    }

    dispatch(): void {
        const now = this.now as Instant;
        const capacities = this.capacities();
        const places = new Map(capacities.map(({ target }, nth) => [target, nth]));
        for (;;) {
            const next = this.scheduler.next(capacities, now, undefined, this.wallNow() as Instant);
            if (next === undefined) {
                break;
            }
            this.start(next);
            const nth = places.get(next.target)!;
            capacities[nth] = { ...capacities[nth]!, running: capacities[nth]!.running + 1 };
        }
        this.onDispatched();
        const retryAt = this.scheduler.nextRetryAt(now);
        if (retryAt !== undefined && (this.retryAt === undefined || this.retryAt <= now || retryAt < this.retryAt)) {
            this.retryAt = retryAt;
            this.at(retryAt + 0.01, () => this.dispatch());
        }
    }

    private readonly onResult = new Map<string, (result: TaskResult) => void>();

    private start({ run, target }: TaskAssignment): void {
        const engine = this.byTarget.get(target)!;
        this.started++;
        const replayed: ReplayRun = {
            run,
            startedAt: this.now,
            prefillTokens: -1,
            hasEvents: false,
            lastEventAt: this.now,
            isStopped: false,
        };
        engine.runs.push(replayed);
        this.mostRunning = Math.max(this.mostRunning, engine.runs.length / engine.slots);
        this.mostUsedShare = Math.max(this.mostUsedShare, this.usedTokens(engine) / engine.memoryTokens);
        this.at(this.now + networkMs, () => {
            if (!engine.isStepping) {
                this.step(engine);
            }
        });
    }

    /** One step of an engine: a chunk of prompts, first come, first served, and an event of each run that decodes. */
    private step(engine: ReplayEngine): void {
        engine.isStepping = engine.runs.length > 0 && !this.isGone(engine);
        if (!engine.isStepping) {
            return;
        }
        const decoding = engine.runs.filter(({ prefillTokens }) => prefillTokens === 0);
        let leftTokens = chunkTokens;
        for (const replayed of engine.runs) {
            if (leftTokens === 0) {
                break;
            }
            if (replayed.prefillTokens < 0) {
                replayed.prefillTokens = this.tokensToPrefill(engine, replayed.run);
            }
            const tokens = Math.min(leftTokens, replayed.prefillTokens);
            replayed.prefillTokens -= tokens;
            leftTokens -= tokens;
            if (replayed.prefillTokens === 0) {
                engine.cachedGroups.add(replayed.run.task.group);
            }
        }
        const prefillMs = (chunkTokens - leftTokens) / prefillTokensPerMs;
        const stepMs = (prefillMs + (decoding.length > 0 ? engine.gapMs : 0) || 0.1) * this.slowFactorOf(engine);
        engine.busyMs += stepMs;
        const { incarnation } = engine;
        this.at(this.now + stepMs, () => {
            if (engine.incarnation === incarnation) {
                decoding.forEach(replayed => this.at(this.now + networkMs, () => this.receive(engine, replayed)));
                this.step(engine);
            }
        });
    }

    private tokensToPrefill(engine: ReplayEngine, { task, progress }: TaskRun): number {
        const size = this.sizes.get(task.id)!;
        const isCached = engine.cachedGroups.has(task.group);
        const sharedTokens = isCached ? 0 : size.sharedTokens;
        if (sharedTokens > 0) {
            this.repeatedTokens += this.prefilledGroups.has(task.group) ? sharedTokens : 0;
            this.prefilledGroups.add(task.group);
        }
        this.prefilledTokens += sharedTokens + size.ownTokens;
        return sharedTokens + size.ownTokens + progress.eventCount;
    }

    private receive(engine: ReplayEngine, replayed: ReplayRun): void {
        const { run } = replayed;
        if (replayed.isStopped) {
            return;
        }
        const now = this.now as Instant;
        if (replayed.hasEvents) {
            this.paces.recordGap(engine.target, now - replayed.lastEventAt, now);
        }
        replayed.lastEventAt = now;
        const timing = this.timings.get(run.task.id)!;
        timing.firstEventAt ??= now;
        run.progress.append({ id: run.progress.nextEventId, data: "x" }, 1 as WeightVersion);
        const isFirst = !replayed.hasEvents;
        replayed.hasEvents = true;
        if (run.progress.eventCount >= this.outputEvents(run.task.id)) {
            this.stop(run);
            timing.endedAt ??= now;
            const result = this.scheduler.end(run, "completed", now);
            if (result !== undefined) {
                this.results.push(result);
                this.onResult.get(run.job.job.id)!(result);
            }
            this.dispatch();
        }
        else if (isFirst && this.scheduler.recordFirstEvent(run)) {
            this.dispatch();
        }
    }

    private stop(run: TaskRun): void {
        const engine = run.target === undefined ? undefined : this.byTarget.get(run.target);
        const nth = engine?.runs.findIndex(replayed => replayed.run === run) ?? -1;
        if (nth >= 0) {
            engine!.runs.splice(nth, 1)[0]!.isStopped = true;
        }
    }

    private breakRuns(engine: ReplayEngine): void {
        const broken = engine.runs.map(({ run }) => run);
        broken.forEach(run => this.stop(run));
        engine.incarnation++;
        engine.isStepping = false;
        engine.cachedGroups.clear();
        broken.forEach(run => this.scheduler.end(run, "broken", this.now as Instant));
        this.dispatch();
    }

    private isGone({ troubles }: ReplayEngine): boolean {
        return troubles?.some(({ from, until, slowFactor }) =>
            slowFactor === undefined && from <= this.now && this.now < until
        ) === true;
    }

    private slowFactorOf({ troubles }: ReplayEngine): number {
        return troubles?.find(({ from, until }) => from <= this.now && this.now < until)?.slowFactor ?? 1;
    }

    /** Tokens of the prompts and texts at an engine, at their upper limit; a shared prompt counts once. */
    private usedTokens({ runs }: ReplayEngine): number {
        const groups = new Set<GroupId>();
        return runs.reduce((sum, { run: { task } }) => {
            const { sharedTokens, ownTokens, outputTokens } = this.sizes.get(task.id)!;
            const isCounted = groups.has(task.group);
            groups.add(task.group);
            return sum + ownTokens + outputTokens + (isCounted ? 0 : sharedTokens);
        }, 0);
    }
}
