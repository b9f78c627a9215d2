/**
 * How many slots the steps of trainers need. The load: four trainers submit a step of 100 to 150 tasks every 4 s, each due
 * after 7.5 s. All tasks of a step come at once, and the trainer asks for the next step only when this one is whole, so the
 * average of the work says too little: a step whose long tasks wait for slots delays all that follow. The open jobs say what
 * is needed now; the work and interval of each model's recent steps say what is needed at least.
 */

import { type Instant } from "../ids.js";

/** A submitted step. */
export interface StepRecord {
    readonly model: string;
    readonly submittedAt: Instant;
    /** Expected tokens of all its tasks. */
    readonly tokens: number;
}

/** The unfinished tasks of one open job. */
export interface OpenWork {
    /** By when its trainer needs the step: its due time, or that of the next step, whichever is earlier. */
    readonly wantedAt: Instant;
    readonly tasks: number;
    /** Expected tokens that are left to generate. */
    readonly tokens: number;
    /** Expected tokens of its longest task. */
    readonly longestTokens: number;
}

interface ModelSteps {
    tokens: number;
    intervalMs: number | undefined;
    lastAt: Instant;
}

/** Weight of a new step in the smoothed work, by whether it is larger or smaller: a rise must be served within a step. */
const workWeight = { larger: 0.7, smaller: 0.4 } as const;

/** Weight of a new interval between steps in the smoothed one. */
const intervalWeight = 0.4;

/** Share of the time since the last step that replaces the interval once it is longer: the trainer pauses or has ended. */
const pauseShare = 0.5;

/** Milliseconds after a model's last step from which nothing is forecast for it. */
const forgetMs = 60_000;

/** Forecasts the steps of each model from its recent ones. */
export class StepForecast {
    private readonly models = new Map<string, ModelSteps>();

    record({ model, submittedAt, tokens }: StepRecord): void {
        const known = this.models.get(model);
        if (known === undefined) {
            this.models.set(model, { tokens, intervalMs: undefined, lastAt: submittedAt });
            return;
        }
        known.tokens += (tokens > known.tokens ? workWeight.larger : workWeight.smaller) * (tokens - known.tokens);
        const intervalMs = submittedAt - known.lastAt;
        // A new conductor opens the stored jobs in any order, and a job that is opened again is not a new step.
        if (known.intervalMs === undefined && intervalMs !== 0) {
            known.intervalMs = Math.abs(intervalMs);
        }
        else if (known.intervalMs !== undefined && intervalMs > 0) {
            known.intervalMs += intervalWeight * (intervalMs - known.intervalMs);
        }
        known.lastAt = Math.max(known.lastAt, submittedAt) as Instant;
    }

    /** Milliseconds between a model's steps; undefined before the second one. */
    intervalMs(model: string): number | undefined {
        return this.models.get(model)?.intervalMs;
    }

    /** Expected tokens per millisecond of the steps to come. */
    tokensPerMs(now: Instant): number {
        let sum = 0;
        for (const [model, { tokens, intervalMs, lastAt }] of this.models) {
            if (now - lastAt > forgetMs) {
                this.models.delete(model);
            }
            else if (intervalMs !== undefined) {
                sum += tokens / Math.max(intervalMs, (now - lastAt) * pauseShare);
            }
        }
        return sum;
    }
}

/**
 * Milliseconds that tasks may wait for a slot at least. Work whose time is over needs its slots now, and no more than it
 * has tasks.
 */
const minQueueMs = 500;

/**
 * Slots that the open jobs need together. A step is as late as its last task, so its longest task has to start early enough
 * to end in time, and the time before that is what its tasks may wait for slots in.
 */
export function slotsOfOpenWork(open: readonly OpenWork[], slotMsPerToken: number, now: Instant): number {
    return open.reduce((sum, { wantedAt, tasks, tokens, longestTokens }) => {
        const queueMs = Math.max(minQueueMs, wantedAt - now - longestTokens * slotMsPerToken);
        return sum + Math.min(tasks, tokens * slotMsPerToken / queueMs);
    }, 0);
}
