/** The faults that a run can inject. */

/** Names of the faults. */
export const faultNames = ["none", "slow-one", "slow-two", "lagging-reports", "crash", "outage"] as const;

/** Name of a fault. */
export type Fault = typeof faultNames[number];

/** How many targets each fault slows at a time. */
export const slowedTargetCounts: Readonly<Record<Fault, number>> = {
    "none": 0,
    "slow-one": 1,
    "slow-two": 2,
    "lagging-reports": 1,
    "crash": 0,
    "outage": 0,
};
