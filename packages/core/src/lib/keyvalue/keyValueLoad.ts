/** Estimates the calls of a fleet to the key-value service, from its size and the cost of each event. */

/** Number of reads and writes that one event causes. */
export interface CallCost {
    readonly reads: number;
    readonly writes: number;
}

/** The size of a fleet and the frequency of events in it. */
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

/** Costs of the events. */
export interface EventCosts {
    readonly configChange: CallCost;
    readonly hostRestart: CallCost;
    /** One roll-out of a version in one pool and zone. */
    readonly rollOut: CallCost;
    readonly versionPublished: CallCost;
    /** One poll by one watching host. */
    readonly pollRound: CallCost;
    /** Number of watches that one watching host keeps open. */
    readonly watchesPerWatcher: number;
    readonly watchersPerZone: number;
    readonly pollIntervalSeconds: number;
}

/** Calls per second, and the number of permanently open watches. */
export interface KeyValueLoad {
    readonly readsPerSecond: number;
    readonly writesPerSecond: number;
    readonly openWatches: number;
}

const secondsPerDay = 86_400;

/** Estimates the average load of a fleet, without claims, which grow with the callers' requests. */
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
