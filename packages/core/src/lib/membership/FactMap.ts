/**
 * A map of numbers by key in which the highest value of a key wins; such an entry is called a fact. Two maps that
 * received the same facts are equal, in whatever order and however often the facts arrived, so that facts can be
 * gossiped without coordination.
 */

import { hash32 } from "./rendezvous.js";

/** One entry as it is gossiped, such as the incarnation of a target that is leaving. */
export interface Fact {
    readonly key: string;
    readonly value: number;
}

const maxFacts = 50_000;

/** Facts by key, in the order in which their values were last raised. Above `maxFacts` the oldest ones are dropped. */
export class FactMap {
    private readonly values = new Map<string, number>();
    private currentDigest = 0;

    get size(): number {
        return this.values.size;
    }

    /** A 32-bit XOR of hashes that is equal on hosts with equal facts. */
    get digest(): number {
        return this.currentDigest;
    }

    get(key: string): number | undefined {
        return this.values.get(key);
    }

    /** Raises the value of a fact, and returns whether that changed it. */
    raise({ key, value }: Fact): boolean {
        const known = this.values.get(key);
        if (known !== undefined && known >= value) {
            return false;
        }
        this.remove(key);
        this.values.set(key, value);
        this.currentDigest ^= hashFact(key, value);
        if (this.values.size > maxFacts) {
            this.remove(this.values.keys().next().value!);
        }
        return true;
    }

    /**
     * Returns up to `count` facts: half of them the newest, the others consecutive ones from a random position, so that
     * every fact is sent at some time.
     */
    sample(count: number, random: () => number): readonly Fact[] {
        const all = [...this.values].map(([key, value]) => ({ key, value })).reverse();
        if (all.length <= count) {
            return all;
        }
        const newest = all.slice(0, Math.ceil(count / 2));
        const offset = newest.length + Math.floor(random() * (all.length - newest.length));
        const rest = [...all.slice(offset), ...all.slice(newest.length, offset)];
        return [...newest, ...rest.slice(0, count - newest.length)];
    }

    private remove(key: string): void {
        const known = this.values.get(key);
        if (known !== undefined) {
            this.values.delete(key);
            this.currentDigest ^= hashFact(key, known);
        }
    }
}

function hashFact(key: string, value: number): number {
    return hash32(`${key}=${value}`);
}
