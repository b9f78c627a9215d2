/**
 * Decides how many engines of a service to order from the platform, by zone and kind. The load: four trainers whose steps
 * overlap, and zones that lose all their reclaimable engines at once while none are to be had anywhere. Three rules: order
 * what is missing now, order cheaper engines to replace others, and give back what a longer time has not needed. The
 * numbers are absolute, so an order may be repeated; asked again with the orders in place, the planner asks for nothing.
 */

import {
    allGroups,
    type CapacityDemand,
    type CapacityInput,
    type CapacityReason,
    countIn,
    expectedOptions,
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
    const present = expectedOptions(complete);
    const enough = withMissing(complete, demand, present);
    const ideal = idealMix(complete, demand, enough);
    const cheaper = ideal === undefined || isReclaiming(complete) ? enough : withCheaper(complete, enough, ideal);
    const added = [...ordersTo(present, enough, reasonOf(complete, demand)), ...ordersTo(enough, cheaper, "cheaper")];
    const fewer = giveBacks(complete, demand, ideal);
    // A zone and kind for which both rules ask gets one order, with the reason of the first.
    const byGroup = new Map<string, PlannedOrder>();
    for (const order of [...added, ...fewer]) {
        const key = `${order.zone} ${order.kind}`;
        const known = byGroup.get(key);
        byGroup.set(key, known === undefined ? order : { ...known, to: Math.max(known.to, order.to) });
    }
    return [...byGroup.values()];
}

/** Adds what the present demand, the worst loss of a zone or the lower limit of a zone needs. */
function withMissing(
    input: CapacityInput,
    { slots }: CapacityDemand,
    present: readonly CapacityOption[],
): readonly CapacityOption[] {
    const filled = withZoneMinimum(input, present);
    const engines = slots / input.slotsPerEngine;
    const need = {
        total: isOverloaded(engines, present) ? Math.ceil(engines / capacityLimits.orderTo) : 0,
        survivors: isAtRisk(engines, present) ? Math.ceil(engines / capacityLimits.afterLossTo) : 0,
        standing: 0,
    };
    return cheapestMix(filled, need, input.scaling.maxPerZone, roomsOf(input, filled));
}

function isOverloaded(engines: number, present: readonly CapacityOption[]): boolean {
    return engines > totalOf(present) * capacityLimits.orderAbove;
}

/** Whether the worst loss of a zone would leave too few engines. */
function isAtRisk(engines: number, present: readonly CapacityOption[]): boolean {
    return engines > survivorsOf(present);
}

function reasonOf(input: CapacityInput, { slots }: CapacityDemand): CapacityReason {
    const present = expectedOptions(input);
    const engines = slots / input.slotsPerEngine;
    const reasons: readonly (readonly [boolean, CapacityReason])[] = [
        [!isOverloaded(engines, present) && !isAtRisk(engines, present), "minimum"],
        [isReclaiming(input), "leaving"],
        [isOverloaded(engines, present), "demand"],
    ];
    return reasons.find(([applies]) => applies)?.[1] ?? "zone-loss";
}

/** Adds the reclaimable engines of `ideal` as far as there is room; dearer ones are given back once these serve. */
function withCheaper(
    input: CapacityInput,
    present: readonly CapacityOption[],
    ideal: readonly CapacityOption[],
): readonly CapacityOption[] {
    const roomOf = roomsOf(input, present);
    return present.map(option => {
        const added = Math.max(0, Math.min(roomOf(option), countIn(ideal, option) - option.count));
        return option.kind === "reclaimable" && option.canAdd ? { ...option, count: option.count + added } : option;
    });
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
