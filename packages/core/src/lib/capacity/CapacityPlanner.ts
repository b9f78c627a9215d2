/**
 * Decides how many engines of a service to order from the platform, by zone and kind. The load: four trainers whose steps
 * overlap, and zones that lose all their reclaimable engines at once while none are to be had anywhere. Three rules, of
 * which only the first that asks for something acts in one pass: order what is missing now; order cheaper engines to
 * replace others; give back what a longer time has not needed. The numbers are absolute, so an order may be repeated.
 */

import {
    allGroups,
    type CapacityDemand,
    type CapacityInput,
    type CapacityReason,
    countIn,
    expectedOptions,
    isBooting,
    isReclaiming,
    type PlannedOrder,
    roomsOf,
    withZoneMinimum,
} from "./CapacityInput.js";
import { capacityLimits } from "./capacityLimits.js";
import { type CapacityOption, cheapestMix } from "./CapacityMix.js";
import { giveBacks } from "./giveBacks.js";
import { idealMix } from "./idealMix.js";
import { survivorsOf, totalOf } from "./ZoneLoss.js";

/** The orders to send at `input.now`, at most one for each zone and kind. */
export function planCapacity(input: CapacityInput): readonly PlannedOrder[] {
    const { demand } = input;
    if (demand === undefined) {
        return [];
    }
    const complete = { ...input, groups: allGroups(input) };
    const missing = ordersForMissing(complete, demand);
    if (missing.length > 0) {
        return missing;
    }
    const cheaper = ordersForCheaper(complete, demand);
    return cheaper.length > 0 ? cheaper : giveBacks(complete, demand);
}

/** Orders what the present demand, the worst loss of a zone or the lower limit of a zone needs. */
function ordersForMissing(input: CapacityInput, { slots }: CapacityDemand): readonly PlannedOrder[] {
    const present = expectedOptions(input);
    const filled = withZoneMinimum(input, present);
    const engines = slots / input.slotsPerEngine;
    const isOverloaded = engines > totalOf(present) * capacityLimits.orderAbove;
    const isAtRisk = engines > survivorsOf(present);
    const need = {
        total: isOverloaded ? Math.ceil(engines / capacityLimits.orderTo) : 0,
        survivors: isAtRisk ? Math.ceil(engines / capacityLimits.afterLossTo) : 0,
        standing: 0,
    };
    const reasons: readonly (readonly [boolean, CapacityReason])[] = [
        [!isOverloaded && !isAtRisk, "minimum"],
        [isReclaiming(input), "leaving"],
        [isOverloaded, "demand"],
    ];
    const reason = reasons.find(([applies]) => applies)?.[1] ?? "zone-loss";
    return ordersTo(present, cheapestMix(filled, need, input.scaling.maxPerZone, roomsOf(input, filled)), reason);
}

/**
 * Orders reclaimable engines that can replace others, if that saves enough; the others are given back later. Nothing is
 * replaced while engines are taken away or boot.
 */
function ordersForCheaper(input: CapacityInput, demand: CapacityDemand): readonly PlannedOrder[] {
    const ideal = idealMix(input, demand);
    if (ideal === undefined || isBooting(input) || isReclaiming(input)) {
        return [];
    }
    const present = expectedOptions(input);
    const roomOf = roomsOf(input, present);
    const wanted = present.map(option => {
        const isMissing = option.kind === "reclaimable" && option.canAdd;
        const added = Math.max(0, Math.min(roomOf(option), countIn(ideal, option) - option.count));
        return isMissing ? { ...option, count: option.count + added } : option;
    });
    return ordersTo(present, wanted, "cheaper");
}

function ordersTo(
    present: readonly CapacityOption[],
    wanted: readonly CapacityOption[],
    reason: CapacityReason,
): readonly PlannedOrder[] {
    return wanted.flatMap(({ zone, kind, count }) => {
        const from = countIn(present, { zone, kind });
        return count > from ? [{ zone, kind, from, to: count, reason }] : [];
    });
}
