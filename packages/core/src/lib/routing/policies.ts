/** The routing policies, by name. A policy picks one target with room for the work. */

import { type PolicyName } from "../config/ConfigDocument.js";
import { type TargetId } from "../ids.js";
import { type IndexedHeap } from "./IndexedHeap.js";
import { outstanding, type PoolTargets, type TargetEntry, type TargetIndex, usableSlots } from "./TargetIndex.js";
import { laneOf, type Work } from "./Work.js";

/** A source of numbers from 0 up to, but without, 1. */
export type Random = () => number;

/** What a policy decides on. */
export interface Choice {
    readonly index: TargetIndex;
    readonly pool: PoolTargets;
    readonly work: Work;
    /** Targets that the work's prompt prefix is placed on, the preferred one first. */
    readonly preferredTargets: readonly TargetId[];
    readonly random: Random;
    /** Counts up with each choice. */
    readonly turn: number;
}

/** Picks a target, or none when no target of the pool suits the work. */
export type Policy = (choice: Choice) => TargetEntry | undefined;

const maxProbes = 8;
const loadBoundFactor = 1.25;

/** Tells whether the work may run on the target at all, room aside. */
export function isEligible({ view }: TargetEntry, work: Work): boolean {
    return !work.excluded.includes(view.target)
        && (work.lowestVersion === undefined || view.version === undefined || view.version >= work.lowestVersion);
}

/** Walks a few positions of the heap from `start` on for a target that suits. */
function firstEligible(open: IndexedHeap<TargetEntry>, work: Work, start: number): TargetEntry | undefined {
    for (let offset = 0; offset < Math.min(maxProbes, open.size); offset++) {
        const entry = open.at((start + offset) % open.size)!;
        if (isEligible(entry, work)) {
            return entry;
        }
    }
    return undefined;
}

function randomEligible({ pool, work, random }: Choice): TargetEntry | undefined {
    const open = pool.availableFor(laneOf(work));
    return firstEligible(open, work, Math.floor(random() * open.size));
}

function nextInTurn({ pool, work, turn }: Choice): TargetEntry | undefined {
    const open = pool.availableFor(laneOf(work));
    for (let offset = 0; offset < maxProbes; offset++) {
        const entry = pool.entryForTurn(turn + offset);
        if (entry !== undefined && open.has(entry) && isEligible(entry, work)) {
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

function preferredTarget({ index, pool, work, preferredTargets: homes }: Choice): TargetEntry | undefined {
    const open = pool.availableFor(laneOf(work));
    for (const target of homes) {
        const entry = index.get(target);
        if (entry !== undefined && open.has(entry) && isEligible(entry, work) && isWithinBound(entry, pool)) {
            return entry;
        }
    }
    return undefined;
}

/** Every policy, by its name. */
export const policies: Readonly<Record<PolicyName, Policy>> = {
    "round-robin": choice => nextInTurn(choice) ?? randomEligible(choice),
    "least-outstanding": leastLoaded,
    "power-of-two": choice => lessLoaded(randomEligible(choice), randomEligible(choice)),
    "tamarack": choice => preferredTarget(choice) ?? leastLoaded(choice),
};
