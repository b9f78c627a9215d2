/** Periods and timeouts of the membership protocol inside a zone, in milliseconds. */

/** Timings that all hosts of a zone share. */
export interface MembershipTimings {
    /** Interval at which the next member is probed. */
    readonly probeIntervalMs: number;
    /** Time limit for the direct response to a probe. */
    readonly probeTimeoutMs: number;
    /** Time limit for relays to reach the probed member. */
    readonly relayTimeoutMs: number;
    /** Minimum time that a suspected member has to refute. */
    readonly minSuspicionTimeoutMs: number;
    /** Minimum time between two gossip pushes, which are messages sent without a probe. */
    readonly minGossipIntervalMs: number;
    /** Minimum time between two exchanges of the whole view. */
    readonly minSyncIntervalMs: number;
    /** Interval between probes of a host that is listed but not present. */
    readonly absentProbeIntervalMs: number;
    /** Time after which a dead member is removed. */
    readonly tombstoneTtlMs: number;
    /** Lateness of a timer from which this host is regarded as having been paused. */
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
