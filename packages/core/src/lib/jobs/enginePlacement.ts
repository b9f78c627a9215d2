/**
 * Chooses the engine at which a task runs. A step's tasks are placed within milliseconds: each goes to the engine that
 * holds its group's prompt unless that is clearly busier than another, or would end it much later. Engines of one service
 * run at 0.55 to 1.2 of the usual speed: the longest tasks, for which a step waits, go where they end first, and others
 * go to slow engines as long as they end there at about the same time. Later, single long samples are placed again after
 * a fault or a change of weights; the step waits for these, so they go to the engine that generates fastest.
 */

import { type Incarnation, type ServiceId, type SoftwareVersion, type TargetId, type WeightVersion } from "../ids.js";
import { FinishEstimate, type TaskRest } from "./FinishEstimate.js";
import { type TaskRun } from "./JobScheduler.js";

/** An engine with its slots and its load, as input to scheduling. */
export interface EngineCapacity {
    readonly target: TargetId;
    readonly service: ServiceId;
    readonly slots: number;
    /** Number of tasks that this host runs there. */
    readonly running: number;
    /** The version of a model that the engine serves, or undefined while it serves none. */
    readonly versionOf: (model: string) => WeightVersion | undefined;
    /** Relative speed: 1 for an engine at full speed, less for a slower one. */
    readonly speed: number;
    /** Milliseconds between events of a run there while it has little other work; undefined while that is unknown. */
    readonly usualGapMs: number | undefined;
    readonly incarnation: Incarnation;
    /** The engine's software, or undefined while it is unknown. */
    readonly software: SoftwareVersion | undefined;
    /** Its memory in tokens; undefined or 0 while that is unknown. */
    readonly memoryTokens?: number | undefined;
    /** Whether a release replaces the engines with this software. */
    readonly isBeingReplaced?: boolean;
}

/**
 * How much higher an engine's load may be than the lowest load, as a share of its slots, to keep a group together
 * there.
 */
const groupAffinityLoadMargin = 0.25;

/**
 * The same, without regard to speed, for tasks that describe their prompt: more runs slow an engine by a fifth at most,
 * while each further engine of a group prefills and stores the shared prompt again.
 */
const describedAffinityLoadMargin = 0.75;

/**
 * Number of events from which a run that is placed again goes to the fastest engine, since its step probably waits for
 * it.
 */
const minLongEvents = 15;

/** Share by which a run is slower at an engine whose slots are all taken. */
const maxLoadSlowdown = 0.2;

/** Expected events of a task, relative to the mean of its job, from which it goes where it ends first. */
const longTaskRatio = 1.5;

/**
 * How much later than at the best engine a task may end, as a factor: one for which the step probably waits, one that
 * stays at the engine of its group, and any other one.
 */
const maxDelayFactor = { long: 1.1, group: 2, other: 1.3 } as const;

/**
 * Chooses the engine of a run's next attempt among `engines`, which have a free slot each. `groupTarget` is the engine
 * that holds the prompt of the run's group, if there is one; `rest` is what the run has left.
 */
export function chooseEngine(
    run: TaskRun,
    engines: readonly EngineCapacity[],
    groupTarget: TargetId | undefined,
    rest: TaskRest,
): EngineCapacity {
    const meant = engines.find(engine => engine.target === run.preferredTarget);
    if (meant !== undefined) {
        return meant;
    }
    const others = engines.filter(engine => engine.target !== run.lastFailedTarget);
    const candidates = others.length > 0 ? others : engines;
    if (run.progress.eventCount >= minLongEvents) {
        return fastest(candidates);
    }
    const leastLoaded = candidates.reduce((best, engine) => loadOf(engine) < loadOf(best) ? engine : best);
    const preferred = candidates.find(engine => engine.target === groupTarget);
    if (run.size !== undefined) {
        return chooseByFinish(run, candidates, leastLoaded, preferred, rest);
    }
    return preferred !== undefined && loadOf(preferred) <= loadOf(leastLoaded) + groupAffinityLoadMargin
        ? preferred
        : leastLoaded;
}

/** The engine of a run that describes its prompt. `preferred` is the engine that holds the prompt of its group. */
function chooseByFinish(
    run: TaskRun,
    candidates: readonly EngineCapacity[],
    leastLoaded: EngineCapacity,
    preferred: EngineCapacity | undefined,
    rest: TaskRest,
): EngineCapacity {
    const estimate = new FinishEstimate(rest, candidates);
    const soonest = estimate.soonest(candidates);
    const soonestMs = estimate.msAt(soonest);
    const { expectedTokens } = run.task;
    const isLong = expectedTokens !== undefined && expectedTokens > longTaskRatio * run.job.meanTokens;
    const maxGroupMs = maxDelayFactor[isLong ? "long" : "group"] * soonestMs;
    const maxLoad = leastLoaded.running / leastLoaded.slots + describedAffinityLoadMargin;
    const keepsGroup = preferred !== undefined && preferred.running / preferred.slots <= maxLoad
        && estimate.msAt(preferred) <= maxGroupMs;
    if (keepsGroup) {
        return preferred;
    }
    return isLong || estimate.msAt(leastLoaded) > maxDelayFactor.other * soonestMs ? soonest : leastLoaded;
}

/** The engine at which one more run probably generates fastest: a busy one is slower by up to a fifth. */
function fastest(engines: readonly EngineCapacity[]): EngineCapacity {
    const known = engines.flatMap(({ usualGapMs }) => usualGapMs ?? []);
    const averageGapMs = known.reduce((sum, gapMs) => sum + gapMs, 0) / Math.max(1, known.length) || 1;
    const gapOf = ({ usualGapMs = averageGapMs, running, slots, speed }: EngineCapacity): number =>
        usualGapMs * (1 + maxLoadSlowdown * (running + 1) / slots) / Math.min(1, speed);
    return engines.reduce((best, engine) => gapOf(engine) < gapOf(best) ? engine : best);
}

/** Load of an engine with one more task, as a share of its slots, weighted by its speed. */
function loadOf(engine: EngineCapacity): number {
    return (engine.running + 1) / engine.slots / engine.speed;
}
