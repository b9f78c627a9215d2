/** What the capacity planner decides on, and how it counts engines. */

import { type Instant, type ZoneId } from "../ids.js";
import { type CapacityOption } from "./CapacityMix.js";
import {
    canIncrease,
    type EngineGroup,
    expectedCount,
    isReduced,
    priceOf,
    servingCount,
    stayingCount,
} from "./EngineGroup.js";
import { type CapacityKind, type Scaling } from "./Scaling.js";
import { type CapacityCount, totalOf } from "./ZoneLoss.js";

/** Slots that a service's tasks need. */
export interface CapacityDemand {
    /** Slots needed now. */
    readonly slots: number;
    /** The highest need of the last 10 s; undefined while it is known for less than half of that. */
    readonly peakSlots: number | undefined;
    /** Whether the need is known for 10 s, from when on engines may be given back. */
    readonly isPeakCertain: boolean;
    /** Whether an open job is past its due time, or needs more slots than there are to end by it. */
    readonly isLate: boolean;
    /** Slots in use. Tasks run as early as there are slots, so these may be more than are needed. */
    readonly busySlots: number;
}

/** What the planner decides on. */
export interface CapacityInput {
    readonly now: Instant;
    readonly scaling: Scaling;
    readonly slotsPerEngine: number;
    /** The engines by zone and kind; a zone and kind without engines may be left out. */
    readonly groups: readonly EngineGroup[];
    /** Undefined while it is not known; then nothing is ordered. */
    readonly demand: CapacityDemand | undefined;
}

/** Why a number changes. */
export type CapacityReason = "demand" | "leaving" | "zone-loss" | "minimum" | "cheaper" | "idle";

/** An order, with the number that it replaces. Both count engines as the platform does: those that start and restart are among them. */
export interface PlannedOrder {
    readonly zone: ZoneId;
    readonly kind: CapacityKind;
    readonly from: number;
    readonly to: number;
    readonly reason: CapacityReason;
}

/** Every zone and kind that has a price, those without engines included. */
export function allGroups({ scaling, groups }: Pick<CapacityInput, "scaling" | "groups">): readonly EngineGroup[] {
    const kinds: readonly CapacityKind[] = scaling.reclaimablePrice === undefined
        ? ["standing"]
        : ["standing", "reclaimable"];
    return scaling.zonePrices.flatMap(({ zone }) =>
        kinds.map(kind =>
            groups.find(group => group.zone === zone && group.kind === kind)
                ?? { zone, kind, ready: 0, leaving: 0, missing: 0, lastOrder: undefined, blockedUntil: undefined }
        )
    );
}

/** Engines that serve, start or restart. */
export function expectedOptions(input: CapacityInput): readonly CapacityOption[] {
    return input.groups.map(group => optionOf(group, expectedCount(group, input.scaling, input.now), input));
}

/** Engines that serve. */
export function servingOptions(input: CapacityInput): readonly CapacityOption[] {
    return input.groups.map(group => optionOf(group, servingCount(group, input.scaling, input.now), input));
}

/** Whether the platform takes engines away. Those that leave because an order names fewer do not count. */
export function isReclaiming({ groups }: CapacityInput): boolean {
    return groups.some(group => group.kind === "reclaimable" && group.leaving > 0 && !isReduced(group));
}

/** The highest demand that is known, in engines. */
export function peakEngines({ slotsPerEngine }: CapacityInput, { slots, peakSlots = 0 }: CapacityDemand): number {
    return Math.max(slots, peakSlots) / slotsPerEngine;
}

export function countIn(counts: readonly CapacityCount[], { zone, kind }: Omit<CapacityCount, "count">): number {
    return counts.find(each => each.zone === zone && each.kind === kind)?.count ?? 0;
}

export function inZone<Count extends CapacityCount>(counts: readonly Count[], zone: ZoneId): readonly Count[] {
    return counts.filter(each => each.zone === zone);
}

/**
 * How many engines may be added to a zone that has the engines in `options`. Those that leave, or that an order takes away,
 * count until they are gone; those that restart count although they are not listed.
 */
export function roomsOf(
    { scaling, groups }: CapacityInput,
    options: readonly CapacityOption[],
): (option: CapacityOption) => number {
    return ({ zone }) =>
        scaling.maxPerZone - inZone(options, zone).reduce((sum, { kind, count }) => {
            const group = groups.find(each => each.zone === zone && each.kind === kind);
            return sum + Math.max(count, group === undefined ? 0 : stayingCount(group)) + (group?.leaving ?? 0);
        }, 0);
}

/** Adds the cheapest engines to each zone that has fewer than the lower limit. */
export function withZoneMinimum(input: CapacityInput, options: readonly CapacityOption[]): readonly CapacityOption[] {
    const { minPerZone, zonePrices } = input.scaling;
    const roomOf = roomsOf(input, options);
    return zonePrices.flatMap(({ zone }) => {
        const own = [...inZone(options, zone)].sort((a, b) => a.price - b.price);
        const cheapest = own.find(({ canAdd }) => canAdd);
        const room = cheapest === undefined ? 0 : roomOf(cheapest);
        const added = Math.max(0, Math.min(room, minPerZone - totalOf(own)));
        return own.map(option => option === cheapest ? { ...option, count: option.count + added } : option);
    });
}

function optionOf(group: EngineGroup, count: number, { scaling, now }: CapacityInput): CapacityOption {
    const { zone, kind, blockedUntil = -Infinity } = group;
    const canAdd = canIncrease(group, scaling, now) && now >= blockedUntil;
    return { zone, kind, count, price: priceOf(scaling, zone, kind) ?? Infinity, canAdd };
}
