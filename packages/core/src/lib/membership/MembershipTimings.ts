/** Periods and timeouts of the membership protocol inside a zone, in milliseconds. */

/** Timings that all hosts of a zone share. */
export interface MembershipTimings {
    /** One member is probed each period. */
    readonly probeIntervalMs: number;
    /** Time for the direct answer to a probe. */
    readonly probeTimeoutMs: number;
    /** Time for other members to reach the probed one. */
    readonly relayTimeoutMs: number;
    /** Shortest time that a suspected member has to refute. */
    readonly minSuspicionTimeoutMs: number;
    /** Shortest time between two pushes of news. */
    readonly minGossipIntervalMs: number;
    /** Shortest time between two exchanges of the whole view. */
    readonly minSyncIntervalMs: number;
    /** Period in which a host that is listed but not present is tried. */
    readonly absentProbeIntervalMs: number;
    /** Time after which a dead member is forgotten. */
    readonly tombstoneTtlMs: number;
    /** Lateness of a timer from which this host takes itself for having been paused. */
    readonly pauseThresholdMs: number;
}

/** The timings of the daemon. */
export const membershipTimings: MembershipTimings = {
    probeIntervalMs: 500,
    probeTimeoutMs: 400,
    relayTimeoutMs: 800,
    minSuspicionTimeoutMs: 1000,
    minGossipIntervalMs: 200,
    minSyncIntervalMs: 10_000,
    absentProbeIntervalMs: 1000,
    tombstoneTtlMs: 600_000,
    pauseThresholdMs: 750,
};
