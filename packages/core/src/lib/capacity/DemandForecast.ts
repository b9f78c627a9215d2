/**
 * How many slots the steps of trainers need. The load: four trainers submit a step of 100 to 150 tasks every 4 s, each due
 * after 7.5 s, so steps overlap and the open tasks alone vary by a factor of two within a step. The steady need follows
 * from the work and interval of each model's recent steps; the open tasks count when they need more than that.
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
    readonly dueAt: Instant;
    readonly tasks: number;
    /** Expected tokens that are left to generate. */
    readonly tokens: number;
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
 * Slots that the open jobs need to end by their due times. Engines that are ordered now serve after `bootMs`, so work
 * that is due earlier, or late, is spread over that time. A task uses one slot at a time.
 */
export function slotsOfOpenWork(
    open: readonly OpenWork[],
    slotMsPerToken: number,
    bootMs: number,
    now: Instant,
): number {
    let needed = 0;
    let tasks = 0;
    let slotMs = 0;
    for (const work of [...open].sort((a, b) => a.dueAt - b.dueAt)) {
        tasks += work.tasks;
        slotMs += work.tokens * slotMsPerToken;
        needed = Math.max(needed, Math.min(tasks, slotMs / Math.max(bootMs, work.dueAt - now)));
    }
    return needed;
}
