/** Settings of the rollout tasks, with their defaults. Durations are in milliseconds. */

/** Which calls to the platform one host makes at a time. */
export interface RolloutDuties {
    readonly reportsUsage: boolean;
    readonly ordersCapacity: boolean;
    /** Length of a window of the reports of use. */
    readonly usageWindowMs: number;
    /** Upper limit of the calls per second of all hosts together. */
    readonly maxCallsPerSecond: number;
}

/** Settings of the rollout tasks. */
export interface RolloutSettings {
    /**
     * Lifetime of the conductor's claim without renewal, after which another host may take it: time for four renewals,
     * so that some of them may stay unanswered.
     */
    readonly claimTtlMs: number;
    /**
     * Time between renewals: above the 220 ms that the store takes for an answer when it is slowed by a factor of
     * fifty.
     */
    readonly claimRenewMs: number;
    /**
     * Time before the first order after a claim that was not handed over. The platform counts the orders of two holders
     * within a certain interval as alternating. This is that interval, less the time before its lease's end at which
     * the previous holder stops ordering.
     */
    readonly orderCalmMs: number;
    /** Time between reads of the targets' documents. */
    readonly pollMs: number;
    /** Age of a host's view from which it reads the documents itself. */
    readonly staleViewMs: number;
    /** Time for which results are gathered into one write while the trainer waits for others. */
    readonly gatherMs: number;
    /** Time without an event after which a run ends as broken and is resumed, at another engine if possible. */
    readonly stallMs: number;
    /** Time without an event after which a run is moved to another engine with free slots. */
    readonly silentMs: number;
    /** The same before a run's first event. */
    readonly silentAtStartMs: number;
    /** Share of a model's engines that may change weights at once. */
    readonly changingShare: number;
    /** Time that a change of weights takes: 0.9 s on the platform, plus the transmission of the order and a margin. */
    readonly changeMs: number;
    /** Share of a route's target latency after which an idempotent call is hedged at a second target. */
    readonly hedgeShare: number;
    /**
     * Time for which an end of a job that another host wrote to the store may be unknown to the conductor; no task starts
     * after that.
     */
    readonly maxUnknownEndMs: number;
    /**
     * Time after the answer in which a target said that it is leaving for which it is still used if there is no other
     * target.
     */
    readonly leavingNoticeMs: number;
    /** Time for which an ended job's results stay readable. */
    readonly keepResultsMs: number;
    /** Time within which every host must refuse a revoked credential; undefined if that is not demanded. */
    readonly revocationMs: number | undefined;
    /** Undefined if there are no such calls. */
    readonly duties: RolloutDuties | undefined;
}

/** The default settings. */
export const defaultRolloutSettings: RolloutSettings = {
    claimTtlMs: 1500,
    claimRenewMs: 350,
    orderCalmMs: 2500,
    pollMs: 900,
    staleViewMs: 1600,
    gatherMs: 700,
    stallMs: 2500,
    silentMs: 600,
    silentAtStartMs: 900,
    changingShare: 0.25,
    changeMs: 1050,
    hedgeShare: 0.45,
    maxUnknownEndMs: 2400,
    leavingNoticeMs: 1500,
    keepResultsMs: 120_000,
    revocationMs: undefined,
    duties: undefined,
};
