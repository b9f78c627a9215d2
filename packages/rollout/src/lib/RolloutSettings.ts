/** Settings of the rollout tasks, with their defaults. Durations are in milliseconds. */

/** What can be tuned. */
export interface RolloutSettings {
    /**
     * Lifetime of the conductor's claim without renewal, after which another host takes over: four renewals, of which some
     * may get no answer.
     */
    readonly claimTtlMs: number;
    /** Time between renewals; above the 220 ms that a store slowed fifty times takes for an answer. */
    readonly claimRenewMs: number;
    /**
     * Time after a claim that was not handed over before the first order: what the platform counts as taking turns,
     * less the time before the lease's end at which the holder before stopped to order.
     */
    readonly orderCalmMs: number;
    /** Time between readings of the targets' documents. */
    readonly pollMs: number;
    /** Age of the conductor's news from which on a host reads the documents itself. */
    readonly staleViewMs: number;
    /** Time for which finished results are gathered into one write while the trainer still waits for others. */
    readonly gatherMs: number;
    /** Time without an event after which a run is taken up elsewhere. */
    readonly stallMs: number;
    /** Time without an event after which a run is moved to another engine with room. */
    readonly silentMs: number;
    /** The same before a run's first event. */
    readonly silentAtStartMs: number;
    /** Share of a model's engines that may change weights at once. */
    readonly changingShare: number;
    /** Time that a change of weights takes: the platform's 0.9 s, and the order's way with some slack. */
    readonly changeMs: number;
    /** Share of a call's target latency after which an idempotent call is sent to a second target. */
    readonly hedgeShare: number;
    /** Time for which an ended job's results stay readable. */
    readonly keepResultsMs: number;
}

/** The defaults. */
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
    keepResultsMs: 120_000,
};
