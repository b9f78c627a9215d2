/**
 * Divides a service's engines among its models. Each change of a version takes an engine out for about a second and an
 * engine changes one model at a time, so with several trainers no engine can follow every model. Shares are kept as
 * engines come and go, and a conductor that begins anew finds the shares of the one before in the engines' versions.
 */

import { type TargetId, type WeightVersion } from "../ids.js";

/** An engine, with how many versions it is behind for each model. */
export interface SharedEngine {
    readonly target: TargetId;
    readonly running: number;
    readonly behind: (model: string) => number | undefined;
}

/** Keeps the shares of one service. */
export class ModelShares {
    private readonly assigned = new Map<TargetId, string>();

    /** The model that the engine follows. */
    modelOf(target: TargetId): string | undefined {
        return this.assigned.get(target);
    }

    /** Gives every engine a model and evens the shares out, one engine at a time. */
    update(models: readonly string[], engines: readonly SharedEngine[]): void {
        const listed = new Set(engines.map(({ target }) => target));
        for (const [target, model] of this.assigned) {
            if (!listed.has(target) || !models.includes(model)) {
                this.assigned.delete(target);
            }
        }
        if (models.length === 0) {
            return;
        }
        const most = Math.ceil(engines.length / models.length);
        const newcomers = engines.filter(({ target }) => !this.assigned.has(target));
        for (const engine of [...newcomers].sort((a, b) => leastBehind(models, a) - leastBehind(models, b))) {
            const open = models.filter(model => this.count(model) < most);
            const behind = (model: string): number => engine.behind(model) ?? Infinity;
            const best = [...open].sort((a, b) => behind(a) - behind(b) || this.count(a) - this.count(b))[0];
            this.assigned.set(engine.target, best ?? models[0]!);
        }
        this.evenOut(models, engines);
    }

    private evenOut(models: readonly string[], engines: readonly SharedEngine[]): void {
        const byCount = [...models].sort((a, b) => this.count(a) - this.count(b));
        const [fewest, largest] = [byCount[0]!, byCount.at(-1)!];
        if (this.count(largest) - this.count(fewest) < 2) {
            return;
        }
        const movable = engines.filter(({ target }) => this.assigned.get(target) === largest)
            .sort((a, b) => a.running - b.running)[0];
        if (movable !== undefined) {
            this.assigned.set(movable.target, fewest);
        }
    }

    private count(model: string): number {
        return [...this.assigned.values()].filter(assigned => assigned === model).length;
    }
}

function leastBehind(models: readonly string[], engine: SharedEngine): number {
    return Math.min(...models.map(model => engine.behind(model) ?? Infinity));
}

/** How many versions `version` is behind `named`. */
export function versionsBehind(version: WeightVersion, named: WeightVersion): number {
    return Math.max(0, named - version);
}
