/** Attempts to generate a sample, as step owners start them and hand them over. */

import { type AttemptId, type TargetId } from "../ids.js";
import { type SamplePlan } from "./StepSpec.js";

/** An attempt that the owner should start. */
export interface PlannedAttempt {
    readonly attempt: AttemptId;
    readonly plan: SamplePlan;
    /** Number of earlier attempts at the sample. */
    readonly earlierAttempts: number;
    /** Targets on which the most recent attempts failed. */
    readonly failedTargets: readonly TargetId[];
    /** True when the sample is among the last unfinished ones of its group or step, so that others wait for it. */
    readonly isTail: boolean;
}

/** An attempt that is still running at a former owner. */
export interface RunningAttempt {
    /** Index of the sample in the step. */
    readonly index: number;
    readonly attempt: AttemptId;
}
