/** What a host has learned of one pool besides its queue: speeds, lengths, the rate of grants, the hedge budget. */

import { Admission } from "./Admission.js";
import { HedgeBudget } from "./HedgeBudget.js";
import { SpeedTracker } from "./SpeedTracker.js";
import { StreamMeter } from "./StreamMeter.js";

/** Operators' settings of a pool. */
export interface PoolPolicy {
    readonly reserveShortShare: number;
    readonly hedgeBudget: number;
    /** Callers' relative shares; a caller without one has 1. */
    readonly shares?: Readonly<Record<string, number>>;
}

const maxBudgetTokens = 2000;

const defaultPolicy: PoolPolicy = { reserveShortShare: 0, hedgeBudget: 0 };

/** The learned state of a pool. */
export class PoolState {
    readonly speeds = new SpeedTracker();
    readonly meter = new StreamMeter();
    readonly admission = new Admission();
    readonly budget = new HedgeBudget(maxBudgetTokens);
    /** False while the pool's work uses a policy that does not judge speed. */
    tracksSpeed = false;
    private current = defaultPolicy;

    get policy(): PoolPolicy {
        return this.current;
    }

    configure(policy: PoolPolicy): void {
        this.current = policy;
        this.budget.fraction = policy.hedgeBudget;
    }
}
