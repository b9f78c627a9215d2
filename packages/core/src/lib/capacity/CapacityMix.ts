/**
 * Chooses zones and kinds by price: the cheapest engines to add so that there are enough, also after the loss of all
 * reclaimable engines of any one zone. Reclaimable engines cost 0.18 of others in one deployment, but each one in the zone
 * with the most of them requires one more elsewhere; so every limit of reclaimable engines per zone is tried and the
 * cheapest result taken.
 */

import { type CapacityCount, survivorsOf, totalOf, worstLoss } from "./ZoneLoss.js";

/** A zone and kind with the number that it has, and what may be added. */
export interface CapacityOption extends CapacityCount {
    /** Price of a second of one engine. */
    readonly price: number;
    readonly canAdd: boolean;
}

/** What the engines must add up to. */
export interface CapacityNeed {
    readonly total: number;
    /** Engines that must remain after the worst loss. */
    readonly survivors: number;
    /** Engines that cannot be reclaimed. */
    readonly standing: number;
}

interface Mix {
    readonly counts: readonly CapacityOption[];
    readonly missing: number;
    readonly cost: number;
}

/** Upper limit of the numbers of reclaimable engines per zone that are tried; all of them in zones of up to 64 engines. */
const maxTrials = 64;

/** Price of a second of all engines. */
export function costOf(options: readonly CapacityOption[]): number {
    return options.reduce((sum, { price, count }) => sum + price * count, 0);
}

/**
 * The cheapest numbers that are no lower than the present ones and meet `need`, with at most `maxPerZone` engines in a
 * zone; as near to `need` as possible where it cannot be met. `roomOf` returns how many engines an option's zone has room
 * for.
 */
export function cheapestMix(
    options: readonly CapacityOption[],
    need: CapacityNeed,
    maxPerZone: number,
    roomOf: (option: CapacityOption) => number,
): readonly CapacityOption[] {
    const least = worstLoss(options);
    let best: Mix | undefined;
    const step = Math.max(1, Math.ceil((maxPerZone - least) / maxTrials));
    for (let limit = least; limit <= Math.max(least, maxPerZone); limit += step) {
        const mix = mixWithin(options, need, limit, roomOf);
        if (
            best === undefined || mix.missing < best.missing || mix.missing === best.missing && mix.cost < best.cost
        ) {
            best = mix;
        }
    }
    return best!.counts;
}

/** Fills up with reclaimable engines, up to `limit` in each zone, and then with others. */
function mixWithin(
    options: readonly CapacityOption[],
    need: CapacityNeed,
    limit: number,
    roomOf: (option: CapacityOption) => number,
): Mix {
    const rooms = new Map(options.map(option => [option.zone, roomOf(option)]));
    const counts = options.map(option => ({ ...option })).sort((a, b) => a.price - b.price);
    const add = (kind: CapacityOption["kind"], maxCount: number, missing: () => number): void => {
        for (const option of counts.filter(each => each.kind === kind && each.canAdd)) {
            const room = rooms.get(option.zone)!;
            const added = Math.max(0, Math.min(missing(), room, maxCount - option.count));
            option.count += added;
            rooms.set(option.zone, room - added);
        }
    };
    const standing = (): number => totalOf(counts.filter(({ kind }) => kind === "standing"));
    const missing = (): number =>
        Math.max(need.total - totalOf(counts), need.survivors - survivorsOf(counts), need.standing - standing(), 0);
    add("standing", Infinity, () => need.standing - standing());
    add("reclaimable", limit, () => Math.max(need.total, need.survivors + limit) - totalOf(counts));
    add("standing", Infinity, missing);
    return { counts, missing: missing(), cost: costOf(counts) };
}
