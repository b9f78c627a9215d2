/**
 * Divides a service's engines among its models. Each change of a version takes an engine out of service for about a
 * second and an engine changes one model at a time, so with several trainers no engine can follow every model. Steps of
 * one trainer may hold many times the work of another's: each model gets engines in proportion to the square root of the
 * work of its steps, which makes the sum of the steps' times shortest when slots are what they wait for. The assignment
 * is kept stable as engines come and go. A new conductor derives the assignment of its predecessor from the engines'
 * versions.
 */

import { type TargetId, type WeightVersion } from "../ids.js";

/** An engine, with its load and how many versions it is behind for each model. */
export interface AssignableEngine {
    readonly target: TargetId;
    /** Number of tasks that this host runs there. */
    readonly running: number;
    /** Versions that the engine is behind for a model, or undefined if it does not serve the model. */
    readonly versionsBehind: (model: string) => number | undefined;
}

/**
 * How far two models' numbers of engines may differ from their shares, added up, before an engine changes its model:
 * above 1, so that no rounding moves it back.
 */
const minSurplusDifference = 1.5;

/** Assigns a model to each engine of one service. */
export class ModelShares {
    private readonly assigned = new Map<TargetId, string>();

    /** The model whose versions the engine follows, or undefined if none is assigned. */
    modelOf(target: TargetId): string | undefined {
        return this.assigned.get(target);
    }

    /**
     * Assigns a model to every engine that has none, and corrects the shares by at most one engine per call. `workOf`
     * returns the work of a model's steps in any one unit, or undefined while it is unknown.
     */
    update(
        models: readonly string[],
        engines: readonly AssignableEngine[],
        workOf: (model: string) => number | undefined,
    ): void {
        const listed = new Set(engines.map(({ target }) => target));
        for (const [target, model] of this.assigned) {
            if (!listed.has(target) || !models.includes(model)) {
                this.assigned.delete(target);
            }
        }
        if (models.length === 0) {
            return;
        }
        const quotas = quotasOf(models, engines.length, workOf);
        // Before its first step a new conductor keeps what the engines' versions show of its predecessor's shares.
        const isWorkKnown = models.some(model => workOf(model) !== undefined);
        const unassigned = engines.filter(({ target }) => !this.assigned.has(target));
        for (
            const engine of [...unassigned].sort((a, b) => minVersionsBehind(models, a) - minVersionsBehind(models, b))
        ) {
            const available = isWorkKnown
                ? models.filter(model => this.count(model) < Math.ceil(quotas.get(model)!))
                : models;
            const behind = (model: string): number => engine.versionsBehind(model) ?? Infinity;
            const best = [...available].sort((a, b) => behind(a) - behind(b) || this.count(a) - this.count(b))[0];
            this.assigned.set(engine.target, best ?? models[0]!);
        }
        if (isWorkKnown) {
            this.rebalance(models, engines, quotas);
        }
    }

    private rebalance(
        models: readonly string[],
        engines: readonly AssignableEngine[],
        quotas: ReadonlyMap<string, number>,
    ): void {
        const surplusOf = (model: string): number => this.count(model) - quotas.get(model)!;
        const bySurplus = [...models].sort((a, b) => surplusOf(a) - surplusOf(b));
        const [smallest, largest] = [bySurplus[0]!, bySurplus.at(-1)!];
        if (surplusOf(largest) - surplusOf(smallest) < minSurplusDifference) {
            return;
        }
        const movable = engines.filter(({ target }) => this.assigned.get(target) === largest)
            .sort((a, b) => a.running - b.running)[0];
        if (movable !== undefined && this.count(largest) > 1) {
            this.assigned.set(movable.target, smallest);
        }
    }

    private count(model: string): number {
        return [...this.assigned.values()].filter(assigned => assigned === model).length;
    }
}

/** The exact number of engines for each model; a model whose work is unknown counts as an average one. */
function quotasOf(
    models: readonly string[],
    engineCount: number,
    workOf: (model: string) => number | undefined,
): ReadonlyMap<string, number> {
    const known = models.flatMap(model => Math.sqrt(workOf(model) ?? 0) || []);
    const average = known.length === 0 ? 1 : known.reduce((sum, root) => sum + root, 0) / known.length;
    const roots = models.map(model => Math.sqrt(workOf(model) ?? 0) || average);
    const total = roots.reduce((sum, root) => sum + root, 0);
    return new Map(models.map((model, nth) => [model, engineCount * roots[nth]! / total]));
}

function minVersionsBehind(models: readonly string[], engine: AssignableEngine): number {
    return Math.min(...models.map(model => engine.versionsBehind(model) ?? Infinity));
}

/** Number of versions that `version` is behind `requested`. */
export function versionsBehind(version: WeightVersion, requested: WeightVersion): number {
    return Math.max(0, requested - version);
}
