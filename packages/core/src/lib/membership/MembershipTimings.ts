/** Periods and timeouts of the membership protocol inside a zone, in milliseconds. */

/** Timings that all hosts of a zone share. */
export interface MembershipTimings {
    /** Interval between probes, each of one member. */
    readonly probeEveryMs: number;
    /** Time limit for the direct response to a probe. */
    readonly probeTimeoutMs: number;
    /** Time limit for relays to reach the probed member. */
    readonly relayTimeoutMs: number;
    /** Minimum time that a suspected member has to refute. */
    readonly suspicionMs: number;
    /** Minimum time between two gossip pushes. */
    readonly gossipEveryMs: number;
    /** Minimum time between two exchanges of the whole view. */
    readonly syncEveryMs: number;
    /** Interval between probes of a host that is listed but not present. */
    readonly contactEveryMs: number;
    /** Time after which a dead member is removed. */
    readonly reapAfterMs: number;
    /** Lateness of a timer that means that this host was paused. */
    readonly pauseMs: number;
}

/** The timings of the daemon. */
export const membershipTimings: MembershipTimings = {
    probeEveryMs: 500,
    probeTimeoutMs: 400,
    relayTimeoutMs: 800,
    suspicionMs: 1000,
    gossipEveryMs: 200,
    syncEveryMs: 10_000,
    contactEveryMs: 1000,
    reapAfterMs: 600_000,
    pauseMs: 750,
};
