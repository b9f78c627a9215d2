/** The usual work of a model's steps, by which the engines of a service are shared among its models. */

import { type Job } from "@tamarackpath/core";

/** Weight of the newest step in the average work of a model's steps. */
const workSmoothingFactor = 0.3;

/** Averages the work of steps. */
export class StepWork {
    /** Smoothed sum of the expected tokens of a step, by model. */
    private readonly workByModel = new Map<string, number>();

    /** Expected tokens of a model's steps, or undefined before its first step. */
    of(model: string): number | undefined {
        return this.workByModel.get(model);
    }

    record({ model, tasks }: Job): void {
        const work = tasks.reduce((sum, { expectedTokens, tokens }) => sum + (expectedTokens ?? tokens), 0);
        const known = this.workByModel.get(model) ?? work;
        this.workByModel.set(model, known + workSmoothingFactor * (work - known));
    }
}
