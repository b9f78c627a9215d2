/** Places prompt prefixes on targets by consistent hashing, so that a lost target moves only its own prefixes. */

import { type TargetId } from "../ids.js";
import { hash32 } from "../membership/rendezvous.js";

const pointsPerTarget = 32;
const maxPrefixLength = 256;

/** The points in the order of their places, apart from their targets, so that a search touches little memory. */
interface Points {
    readonly hashes: Uint32Array;
    readonly targets: readonly TargetId[];
}

/** A ring of targets; a lookup takes logarithmic time, where ranking all targets for a key would be linear. */
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

    /** The first `count` different targets for a prompt, the preferred one first. */
    targetsFor(prompt: string, count: number): readonly TargetId[] {
        const { hashes: places, targets } = this.sortedPoints();
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
            Array.from({ length: pointsPerTarget }, (unused, nth) => ({ at: hash32(`${nth}|${target}`), target }))
        )
        .sort((a, b) => a.at - b.at || (a.target < b.target ? -1 : 1));
    return { hashes: Uint32Array.from(points, ({ at }) => at), targets: points.map(({ target }) => target) };
}

function firstFrom(places: Uint32Array, at: number): number {
    let low = 0;
    let high = places.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (places[middle]! < at) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
