/** Work that needs a slot of a target, its classes and their priorities. */

import { type PolicyName } from "../config/ConfigDocument.js";
import { type CallerId, type Instant, type PoolId, type RequestId, type TargetId, type WeightVersion } from "../ids.js";
import { type Lane } from "./TargetIndex.js";

/** Classes of work, the most important first. */
export const workClasses = ["answer", "step-tail", "sample", "score"] as const;

/** A class of work. */
export type WorkClass = typeof workClasses[number];

/** A piece of work that needs a slot of a target. */
export interface Work {
    readonly id: RequestId;
    readonly pool: PoolId;
    readonly caller: CallerId;
    readonly workClass: WorkClass;
    readonly policy: PolicyName;
    readonly arrivedAt: Instant;
    readonly deadline: Instant;
    /** Cost of a missed deadline, as weighted by the operators. */
    readonly lateCost: number;
    /** Relative share of the pool that the caller is entitled to; the default is 1. */
    readonly share?: number;
    /** Expected number of tokens, or undefined if there is no estimate. */
    readonly expectedTokens: number | undefined;
    /** Expected duration in milliseconds. Work that cannot end in time by this estimate is rejected. */
    readonly expectedMs?: number;
    /** Beginning of the prompt, for prefix affinity. */
    readonly prefix: string | undefined;
    /** Lowest weight version that may run the work. */
    readonly lowestVersion: WeightVersion | undefined;
    /** Targets at which an earlier attempt at the same work failed. */
    readonly excluded: readonly TargetId[];
}

const classTraits: Readonly<Record<WorkClass, { readonly lane: Lane; readonly costFactor: number; }>> = {
    "answer": { lane: "short", costFactor: 1 },
    "step-tail": { lane: "long", costFactor: 1 },
    "sample": { lane: "long", costFactor: 0.05 },
    "score": { lane: "short", costFactor: 0.05 },
};

/** The lane that the work runs in. */
export function laneOf(work: Work): Lane {
    return work.policy === "tamarack" ? classTraits[work.workClass].lane : "short";
}

/**
 * The cost of lateness by which work is ordered. Samples count less, as one late sample of many rarely delays a whole
 * step.
 */
export function importanceOf(work: Work): number {
    return work.lateCost * classTraits[work.workClass].costFactor;
}
