/**
 * Chooses the engine at which a task runs. A step's tasks are placed within milliseconds: each goes to the engine that
 * holds its group's prompt unless that is clearly busier than another. Later, single long samples are placed again after
 * a fault or a change of weights; the step waits for these, so they go to the engine that generates fastest.
 */

import { type Incarnation, type ServiceId, type SoftwareVersion, type TargetId, type WeightVersion } from "../ids.js";
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
    /** Whether a release replaces the engines with this software. */
    readonly isBeingReplaced?: boolean;
}

/**
 * How much higher an engine's load may be than the lowest load, as a share of its slots, to keep a group together
 * there.
 */
const groupAffinityLoadMargin = 0.25;

/**
 * Number of events from which a run that is placed again goes to the fastest engine, since its step probably waits for
 * it.
 */
const minLongEvents = 15;

/** Share by which a run is slower at an engine whose slots are all taken. */
const maxLoadSlowdown = 0.2;

/**
 * Chooses the engine of a run's next attempt among `engines`, which have a free slot each. `groupTarget` is the engine
 * that holds the prompt of the run's group, if there is one.
 */
export function chooseEngine(
    run: TaskRun,
    engines: readonly EngineCapacity[],
    groupTarget: TargetId | undefined,
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
    return preferred !== undefined && loadOf(preferred) <= loadOf(leastLoaded) + groupAffinityLoadMargin
        ? preferred
        : leastLoaded;
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
