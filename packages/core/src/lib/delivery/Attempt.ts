/** Attempts at samples, as owners start them and hand them over. */

import { type AttemptId, type TargetId } from "../ids.js";
import { type SamplePlan } from "./StepSpec.js";

/** An attempt that the owner should start. */
export interface PlannedAttempt {
    readonly attempt: AttemptId;
    readonly plan: SamplePlan;
    /** How many attempts at the sample went before. */
    readonly earlierAttempts: number;
    /** Targets that the last attempts failed on. */
    readonly failedTargets: readonly TargetId[];
    /** True when the sample is among the last of its group or of the step, so that others wait for it. */
    readonly isTail: boolean;
}

/** An attempt that still runs at a former owner. */
export interface RunningAttempt {
    readonly index: number;
    readonly attempt: AttemptId;
}
