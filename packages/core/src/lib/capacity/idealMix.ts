/** The engines that a service would have if every one could be ordered anew, and whether they are worth a change. */

import { type CapacityDemand, type CapacityInput, inZone, peakEngines, withZoneMinimum } from "./CapacityInput.js";
import { capacityLimits } from "./capacityLimits.js";
import { type CapacityNeed, type CapacityOption, cheapestMix, costOf } from "./CapacityMix.js";
import { totalOf } from "./ZoneLoss.js";

/**
 * The cheapest engines for the highest demand of the window, without regard to those in `present`; undefined while that
 * demand is not known, or when the present ones cost little more, so that small changes of the demand replace nothing.
 */
export function idealMix(
    input: CapacityInput,
    demand: CapacityDemand,
    present: readonly CapacityOption[],
): readonly CapacityOption[] | undefined {
    const { scaling } = input;
    if (demand.peakSlots === undefined || scaling.reclaimablePrice === undefined) {
        return undefined;
    }
    const engines = peakEngines(input, demand);
    const empty = present.map(option => ({ ...option, count: 0, canAdd: true }));
    const filled = withZoneMinimum({ ...input, groups: [] }, empty);
    const need: CapacityNeed = {
        total: Math.max(1, Math.ceil(engines / capacityLimits.replaceTo)),
        survivors: Math.ceil(engines / capacityLimits.afterLossTo),
        standing: Math.ceil(engines * capacityLimits.minStandingShare),
    };
    const ideal = cheapestMix(
        filled,
        need,
        scaling.maxPerZone,
        ({ zone }) => scaling.maxPerZone - totalOf(inZone(filled, zone)),
    );
    return costOf(ideal) > costOf(present) * (1 - capacityLimits.minSaving) ? undefined : ideal;
}
