/**
 * Which engines to give back: the dearest first, one in a zone and pass, because the platform chooses which one leaves and
 * its tasks must move. Only engines that serve count. Nothing is given back while the platform takes engines away, or
 * while a step is late.
 */

import {
    type CapacityDemand,
    type CapacityInput,
    type CapacityReason,
    countIn,
    inZone,
    isReclaiming,
    peakEngines,
    type PlannedOrder,
    servingOptions,
} from "./CapacityInput.js";
import { capacityLimits } from "./capacityLimits.js";
import { type CapacityOption } from "./CapacityMix.js";
import { canDecrease, isDecreasing, stayingCount } from "./EngineGroup.js";
import { survivorsOf, totalOf } from "./ZoneLoss.js";

/** The orders that reduce a number, at most one for each zone; engines dearer than those in `ideal` are replaced by them. */
export function giveBacks(
    input: CapacityInput,
    demand: CapacityDemand,
    ideal: readonly CapacityOption[] | undefined,
): readonly PlannedOrder[] {
    const { scaling, groups, now } = input;
    if (!demand.isPeakCertain || demand.isLate || isReclaiming(input)) {
        return [];
    }
    const replacement = replacementServing(input, ideal);
    const orders: PlannedOrder[] = [];
    let serving = servingOptions(input);
    for (const { zone, kind } of [...serving].sort((a, b) => b.price - a.price)) {
        const option = serving.find(each => each.zone === zone && each.kind === kind)!;
        const less = serving.map(each => each === option ? { ...each, count: each.count - 1 } : each);
        const own = groups.filter(group => group.zone === zone);
        const isFree = orders.every(order => order.zone !== zone)
            && own.every(group =>
                group.kind === kind ? canDecrease(group, scaling, now) : !isDecreasing(group, scaling, now)
            );
        const reason = reasonFor(input, demand, { option, serving, ideal, replacement });
        if (reason !== undefined && isFree && isEnough(input, demand, less, option)) {
            // The platform counts engines that restart; without them, the order would take away more than one.
            const from = stayingCount(own.find(group => group.kind === kind)!);
            orders.push({ zone, kind, from, to: from - 1, reason });
            serving = less;
        }
    }
    return orders;
}

/**
 * `ideal` if at least half of its reclaimable engines serve. The others need room that dearer engines take, and each of
 * these goes only while the engines that serve are as many as those in `ideal`.
 */
function replacementServing(
    input: CapacityInput,
    ideal: readonly CapacityOption[] | undefined,
): readonly CapacityOption[] | undefined {
    const reclaimable = (counts: readonly CapacityOption[]): number =>
        totalOf(counts.filter(({ kind }) => kind === "reclaimable"));
    const isServing = ideal !== undefined
        && reclaimable(servingOptions(input)) >= reclaimable(ideal) * capacityLimits.minReplacedShare;
    return isServing ? ideal : undefined;
}

/** One engine that might go, and the engines to compare with. */
interface GiveBackChoice {
    readonly option: CapacityOption;
    readonly serving: readonly CapacityOption[];
    readonly ideal: readonly CapacityOption[] | undefined;
    readonly replacement: readonly CapacityOption[] | undefined;
}

/** Why one engine of a zone and kind may go; undefined if it may not. */
function reasonFor(
    input: CapacityInput,
    demand: CapacityDemand,
    { option, serving, ideal, replacement }: GiveBackChoice,
): CapacityReason | undefined {
    const { kind, zone, count } = option;
    // A reclaimable engine that `ideal` contains would be ordered again at once.
    const isWanted = kind === "reclaimable" && ideal !== undefined && count <= countIn(ideal, option);
    if (count === 0 || isWanted) {
        return undefined;
    }
    if (peakEngines(input, demand) < totalOf(serving) * capacityLimits.giveBackBelow) {
        return "idle";
    }
    const isReplaced = replacement !== undefined && kind === "standing"
        && count > countIn(replacement, { zone, kind }) && totalOf(serving) > totalOf(replacement);
    return isReplaced ? "cheaper" : undefined;
}

/** Whether `less` engines are enough for the highest demand, also after the worst loss, and for the zone's limit. */
function isEnough(
    input: CapacityInput,
    demand: CapacityDemand,
    less: readonly CapacityOption[],
    { zone, kind }: CapacityOption,
): boolean {
    const { scaling, slotsPerEngine } = input;
    const engines = peakEngines(input, demand);
    const standing = totalOf(less.filter(option => option.kind === "standing"));
    const keepsStanding = kind !== "standing" || scaling.reclaimablePrice === undefined
        || standing >= engines * capacityLimits.minStandingShare;
    return keepsStanding
        && totalOf(inZone(less, zone)) >= scaling.minPerZone
        && totalOf(less) >= Math.max(1, demand.slots / slotsPerEngine * capacityLimits.giveBackReserve)
        && totalOf(less) * slotsPerEngine >= demand.busySlots
        && survivorsOf(less) * capacityLimits.afterLossTo >= engines;
}
