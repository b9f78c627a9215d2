/**
 * Divides a service's engines among its models. Each change of a version takes an engine out of service for about a
 * second and an engine changes one model at a time, so with several trainers no engine can follow every model. The
 * assignment is kept stable as engines come and go. A new conductor derives the assignment of its predecessor from the
 * engines' versions.
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

/** Assigns a model to each engine of one service. */
export class ModelShares {
    private readonly assigned = new Map<TargetId, string>();

    /** The model whose versions the engine follows, or undefined if none is assigned. */
    modelOf(target: TargetId): string | undefined {
        return this.assigned.get(target);
    }

    /** Assigns a model to every engine that has none, and evens the shares out by at most one engine per call. */
    update(models: readonly string[], engines: readonly AssignableEngine[]): void {
        const listed = new Set(engines.map(({ target }) => target));
        for (const [target, model] of this.assigned) {
            if (!listed.has(target) || !models.includes(model)) {
                this.assigned.delete(target);
            }
        }
        if (models.length === 0) {
            return;
        }
        const maxPerModel = Math.ceil(engines.length / models.length);
        const unassigned = engines.filter(({ target }) => !this.assigned.has(target));
        for (
            const engine of [...unassigned].sort((a, b) => minVersionsBehind(models, a) - minVersionsBehind(models, b))
        ) {
            const available = models.filter(model => this.count(model) < maxPerModel);
            const behind = (model: string): number => engine.versionsBehind(model) ?? Infinity;
            const best = [...available].sort((a, b) => behind(a) - behind(b) || this.count(a) - this.count(b))[0];
            this.assigned.set(engine.target, best ?? models[0]!);
        }
        this.rebalance(models, engines);
    }

    private rebalance(models: readonly string[], engines: readonly AssignableEngine[]): void {
        const byCount = [...models].sort((a, b) => this.count(a) - this.count(b));
        const [smallest, largest] = [byCount[0]!, byCount.at(-1)!];
        if (this.count(largest) - this.count(smallest) < 2) {
            return;
        }
        const movable = engines.filter(({ target }) => this.assigned.get(target) === largest)
            .sort((a, b) => a.running - b.running)[0];
        if (movable !== undefined) {
            this.assigned.set(movable.target, smallest);
        }
    }

    private count(model: string): number {
        return [...this.assigned.values()].filter(assigned => assigned === model).length;
    }
}

function minVersionsBehind(models: readonly string[], engine: AssignableEngine): number {
    return Math.min(...models.map(model => engine.versionsBehind(model) ?? Infinity));
}

/** Number of versions that `version` is behind `requested`. */
export function versionsBehind(version: WeightVersion, requested: WeightVersion): number {
    return Math.max(0, requested - version);
}
