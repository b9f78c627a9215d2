/** State of one pool besides its queue: target speeds, open streams, the rate of grants, the hedge budget. */

import { AdmissionControl } from "./AdmissionControl.js";
import { HedgeBudget } from "./HedgeBudget.js";
import { SpeedTracker } from "./SpeedTracker.js";
import { StreamMeter } from "./StreamMeter.js";

/** Settings of a pool by its operators. */
export interface PoolPolicy {
    readonly reserveShortShare: number;
    readonly hedgeBudget: number;
    /** Relative shares by caller; the default is 1. */
    readonly shares?: Readonly<Record<string, number>>;
}

/** Maximum tokens that the hedge budget accumulates. */
const maxBudgetTokens = 2000;

const defaultPolicy: PoolPolicy = { reserveShortShare: 0, hedgeBudget: 0 };

/** Measured state and settings of a pool. */
export class PoolState {
    readonly speeds = new SpeedTracker();
    readonly meter = new StreamMeter();
    readonly admission = new AdmissionControl();
    readonly budget = new HedgeBudget(maxBudgetTokens);
    /** False while the pool's work uses a policy that ignores the targets' speed. */
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
