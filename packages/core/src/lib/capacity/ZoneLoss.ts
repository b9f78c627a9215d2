/**
 * Safety against the loss of a zone's reclaimable engines. The load: a third of the engines leaves at once 2 to 3 s after
 * a notice, less than a new engine takes to start, and for some seconds no zone has others to give. So the engines that
 * remain after the worst such loss must carry the demand by themselves.
 */

import { type ZoneId } from "../ids.js";
import { type CapacityKind } from "./Scaling.js";

/** A number of engines of a zone and kind. */
export interface CapacityCount {
    readonly zone: ZoneId;
    readonly kind: CapacityKind;
    readonly count: number;
}

/** Most engines that leave at once. */
export function worstLoss(counts: readonly CapacityCount[]): number {
    return Math.max(0, ...counts.filter(({ kind }) => kind === "reclaimable").map(({ count }) => count));
}

export function totalOf(counts: readonly CapacityCount[]): number {
    return counts.reduce((sum, { count }) => sum + count, 0);
}

/** Engines that remain after the worst loss. */
export function survivorsOf(counts: readonly CapacityCount[]): number {
    return totalOf(counts) - worstLoss(counts);
}
