/** The routing policies by name. A policy chooses one target with room for the work. */

import { type PolicyName } from "../config/ConfigDocument.js";
import { type TargetId } from "../ids.js";
import { type IndexedHeap } from "./IndexedHeap.js";
import { outstanding, type PoolTargets, type TargetEntry, type TargetIndex, usableSlots } from "./TargetIndex.js";
import { laneOf, type Work } from "./Work.js";

/** Returns a random number from 0 up to, but not including, 1. */
export type Random = () => number;

/** The input of a policy's choice. */
export interface Choice {
    readonly index: TargetIndex;
    readonly pool: PoolTargets;
    readonly work: Work;
    /** Targets that the work's prompt prefix is placed on, the first choice first. */
    readonly preferredTargets: readonly TargetId[];
    readonly random: Random;
    /** Number of choices made before. */
    readonly turn: number;
}

/** Chooses a target, or undefined if no target that it considers is eligible for the work. */
export type Policy = (choice: Choice) => TargetEntry | undefined;

/** Maximum number of targets that one choice considers. */
const maxProbes = 8;

/** How many times the mean load of the pool a preferred target may have (bounded-load consistent hashing). */
const loadBoundFactor = 1.25;

/** Whether the work may run on the target, apart from free slots. */
export function isEligible({ view }: TargetEntry, work: Work): boolean {
    return !work.excluded.includes(view.target)
        && (work.lowestVersion === undefined || view.version === undefined || view.version >= work.lowestVersion);
}

/** The first eligible target among the next `maxProbes` of the heap from `start` on. */
function firstEligible(available: IndexedHeap<TargetEntry>, work: Work, start: number): TargetEntry | undefined {
    for (let offset = 0; offset < Math.min(maxProbes, available.size); offset++) {
        const entry = available.at((start + offset) % available.size)!;
        if (isEligible(entry, work)) {
            return entry;
        }
    }
    return undefined;
}

function randomEligible({ pool, work, random }: Choice): TargetEntry | undefined {
    const available = pool.availableFor(laneOf(work));
    return firstEligible(available, work, Math.floor(random() * available.size));
}

function nextInTurn({ pool, work, turn }: Choice): TargetEntry | undefined {
    const available = pool.availableFor(laneOf(work));
    for (let offset = 0; offset < maxProbes; offset++) {
        const entry = pool.entryForTurn(turn + offset);
        if (entry !== undefined && available.has(entry) && isEligible(entry, work)) {
            return entry;
        }
    }
    return undefined;
}

function lessLoaded(a: TargetEntry | undefined, b: TargetEntry | undefined): TargetEntry | undefined {
    if (a === undefined || b === undefined) {
        return a ?? b;
    }
    return outstanding(b) / usableSlots(b) < outstanding(a) / usableSlots(a) ? b : a;
}

function leastLoaded({ pool, work }: Choice): TargetEntry | undefined {
    return firstEligible(pool.availableFor(laneOf(work)), work, 0);
}

function isWithinBound(entry: TargetEntry, pool: PoolTargets): boolean {
    return (outstanding(entry) + 1) / usableSlots(entry) <= loadBoundFactor * pool.meanLoad + 1 / usableSlots(entry);
}

function preferredTarget({ index, pool, work, preferredTargets }: Choice): TargetEntry | undefined {
    const available = pool.availableFor(laneOf(work));
    for (const target of preferredTargets) {
        const entry = index.get(target);
        if (entry !== undefined && available.has(entry) && isEligible(entry, work) && isWithinBound(entry, pool)) {
            return entry;
        }
    }
    return undefined;
}

/** All policies by name. */
export const policies: Readonly<Record<PolicyName, Policy>> = {
    "round-robin": choice => nextInTurn(choice) ?? randomEligible(choice),
    "least-outstanding": leastLoaded,
    "power-of-two": choice => lessLoaded(randomEligible(choice), randomEligible(choice)),
    "tamarack": choice => preferredTarget(choice) ?? leastLoaded(choice),
};
