/** What a host has learned of one pool besides its queue: speeds, lengths, the rate of grants, the hedge budget. */

import { AdmissionControl } from "./AdmissionControl.js";
import { HedgeBudget } from "./HedgeBudget.js";
import { SpeedBook } from "./SpeedBook.js";
import { StreamMeter } from "./StreamMeter.js";

/** Operators' settings of a pool. */
export interface PoolPolicy {
    readonly reserveShortShare: number;
    readonly hedgeBudget: number;
    /** Callers' relative shares; a caller without one has 1. */
    readonly shares?: Readonly<Record<string, number>>;
}

const savedBudgetTokens = 2000;

const defaultPolicy: PoolPolicy = { reserveShortShare: 0, hedgeBudget: 0 };

/** The learned state of a pool. */
export class PoolState {
    readonly speeds = new SpeedBook();
    readonly meter = new StreamMeter();
    readonly admission = new AdmissionControl();
    readonly budget = new HedgeBudget(savedBudgetTokens);
    /** False while the pool's work uses a policy that does not judge speed. */
    judgesSpeed = false;
    private current = defaultPolicy;

    get policy(): PoolPolicy {
        return this.current;
    }

    configure(policy: PoolPolicy): void {
        this.current = policy;
        this.budget.fraction = policy.hedgeBudget;
    }
}
