/**
 * Expected time until a task would end at an engine. Engines of one service run at 0.55 to 1.2 of the usual speed, become
 * slow for 600 ms at a time, and prefill a prompt between the events of their other runs; the number of free slots alone
 * does not show which of them ends a task first. The gaps are those that this host has observed, and the number of runs
 * includes those that it has just started, since an engine's own report lags by 100 to 200 ms.
 */

import { type EngineCapacity } from "./enginePlacement.js";

/** Milliseconds between two events of a run, while no engine's pace is known. */
const assumedGapMs = 40;

/** Prompt tokens that an engine prefills in a millisecond. */
const prefillTokensPerMs = 400;

/** Share by which a run is slower at an engine whose slots are all taken. */
const maxLoadSlowdown = 0.2;

/** What is left of a task. */
export interface TaskRest {
    /** Events that its text probably has left. */
    readonly eventsLeft: number;
    /** Tokens that an engine prefills before the next event. */
    readonly promptTokensAt: (engine: EngineCapacity) => number;
}

/** Estimates of when one task would end at each of a set of engines with a free slot. */
export class FinishEstimate {
    private readonly usualGapMs: number;

    constructor(private readonly rest: TaskRest, engines: readonly EngineCapacity[]) {
        let sum = 0;
        let known = 0;
        for (const { usualGapMs } of engines) {
            if (usualGapMs !== undefined) {
                sum += usualGapMs;
                known++;
            }
        }
        this.usualGapMs = known === 0 ? assumedGapMs : sum / known;
    }

    /** Milliseconds until the task would end at the engine. The prefill also delays the engine's other runs. */
    msAt(engine: EngineCapacity): number {
        const { usualGapMs = this.usualGapMs, running, slots, speed } = engine;
        const gapMs = usualGapMs * (1 + maxLoadSlowdown * (running + 1) / slots) / Math.min(1, speed);
        const prefillMs = this.rest.promptTokensAt(engine) / prefillTokensPerMs;
        return prefillMs * (1 + running) + this.rest.eventsLeft * gapMs;
    }

    /** The engine at which the task would end first. */
    soonest(engines: readonly EngineCapacity[]): EngineCapacity {
        let best = engines[0]!;
        let bestMs = this.msAt(best);
        for (const engine of engines) {
            const ms = this.msAt(engine);
            if (ms < bestMs) {
                best = engine;
                bestMs = ms;
            }
        }
        return best;
    }
}
