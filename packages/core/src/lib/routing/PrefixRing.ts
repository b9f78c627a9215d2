/**
 * Maps prompt prefixes to targets by consistent hashing, so that losing a target moves only the prefixes that it had.
 */

import { type TargetId } from "../ids.js";
import { hash32 } from "../membership/rendezvous.js";

/** Points of the ring that each target takes. */
const pointsPerTarget = 32;

/** Characters of a prompt that are hashed. */
const maxPrefixLength = 256;

/**
 * Points of the ring in ascending order. Places (hash values) and targets are in separate arrays, so that a search
 * touches little memory.
 */
interface Points {
    readonly places: Uint32Array;
    readonly targets: readonly TargetId[];
}

/** A hash ring of targets. A lookup takes logarithmic time, while ranking all targets for a key would be linear. */
export class PrefixRing {
    private readonly members = new Set<TargetId>();
    private points: Points | undefined;

    add(target: TargetId): void {
        if (!this.members.has(target)) {
            this.members.add(target);
            this.points = undefined;
        }
    }

    remove(target: TargetId): void {
        if (this.members.delete(target)) {
            this.points = undefined;
        }
    }

    /** The first `count` distinct targets for a prompt, in order of preference. */
    targetsFor(prompt: string, count: number): readonly TargetId[] {
        const { places, targets } = this.sortedPoints();
        const start = firstFrom(places, hash32(prompt.slice(0, maxPrefixLength)));
        const found: TargetId[] = [];
        for (let offset = 0; offset < targets.length && found.length < count; offset++) {
            const target = targets[(start + offset) % targets.length]!;
            if (!found.includes(target)) {
                found.push(target);
            }
        }
        return found;
    }

    private sortedPoints(): Points {
        this.points ??= sortPoints([...this.members]);
        return this.points;
    }
}

function sortPoints(members: readonly TargetId[]): Points {
    const points = members
        .flatMap(target =>
            Array.from({ length: pointsPerTarget }, (unused, nth) => ({ hash: hash32(`${nth}|${target}`), target }))
        )
        .sort((a, b) => a.hash - b.hash || (a.target < b.target ? -1 : 1));
    return { places: Uint32Array.from(points, ({ hash }) => hash), targets: points.map(({ target }) => target) };
}

/** Index of the first of the ascending `places` that is at least `hash`, or their number if there is none. */
function firstFrom(places: Uint32Array, hash: number): number {
    let low = 0;
    let high = places.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (places[middle]! < hash) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
