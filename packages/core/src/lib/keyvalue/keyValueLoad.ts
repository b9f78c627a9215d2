/** Works out the calls that a fleet of a given size makes to the key-value service from what each event costs. */

/** Reads and writes of one event. */
export interface CallCost {
    readonly reads: number;
    readonly writes: number;
}

/** The size of a fleet and how often things happen to it. */
export interface FleetSize {
    readonly zones: number;
    readonly hosts: number;
    /** Engine pools that have engines in a zone. */
    readonly poolsPerZone: number;
    readonly trainers: number;
    readonly configChangesPerDay: number;
    readonly hostRestartsPerDay: number;
    readonly secondsBetweenVersions: number;
}

/** What each event costs. */
export interface EventCosts {
    readonly configChange: CallCost;
    readonly hostRestart: CallCost;
    /** One roll-out of a version in one pool and zone. */
    readonly rollOut: CallCost;
    readonly versionPublished: CallCost;
    /** One poll round of one watching host. */
    readonly pollRound: CallCost;
    /** Watches that one watching host keeps open. */
    readonly watchesPerWatcher: number;
    readonly watchersPerZone: number;
    readonly pollIntervalSeconds: number;
}

/** Calls a second, and the watches that are open all the time. */
export interface KeyValueLoad {
    readonly readsPerSecond: number;
    readonly writesPerSecond: number;
    readonly openWatches: number;
}

const secondsPerDay = 86_400;

/** The average load of a fleet without its claims, which grow with the callers' requests. */
export function estimateKeyValueLoad(size: FleetSize, costs: EventCosts): KeyValueLoad {
    const watchers = size.zones * costs.watchersPerZone;
    const rates: readonly (readonly [number, CallCost])[] = [
        [size.configChangesPerDay / secondsPerDay, costs.configChange],
        [size.hostRestartsPerDay / secondsPerDay, costs.hostRestart],
        [size.zones * size.poolsPerZone / size.secondsBetweenVersions, costs.rollOut],
        [size.trainers / size.secondsBetweenVersions, costs.versionPublished],
        [watchers / costs.pollIntervalSeconds, costs.pollRound],
    ];
    return {
        readsPerSecond: rates.reduce((sum, [perSecond, cost]) => sum + perSecond * cost.reads, 0),
        writesPerSecond: rates.reduce((sum, [perSecond, cost]) => sum + perSecond * cost.writes, 0),
        openWatches: watchers * costs.watchesPerWatcher,
    };
}
