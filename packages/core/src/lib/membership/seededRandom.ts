/** Pseudo-random numbers that are reproducible from a seed, for jitter and choices that tests can replay. */

import { hash32 } from "./rendezvous.js";

const increment = 0x6d2b79f5;
const uint32Range = 0x100000000;

/** Returns a generator of numbers from 0 up to but not including 1. */
export function seededRandom(seed: number | string): () => number {
    let state = typeof seed === "string" ? hash32(seed) : seed >>> 0;
    return () => {
        state = state + increment >>> 0;
        let mixed = Math.imul(state ^ state >>> 15, state | 1);
        mixed ^= mixed + Math.imul(mixed ^ mixed >>> 7, mixed | 61);
        return ((mixed ^ mixed >>> 14) >>> 0) / uint32Range;
    };
}

/** Returns up to `count` distinct items in random order. */
export function pickRandom<Item>(random: () => number, items: readonly Item[], count: number): readonly Item[] {
    const left = [...items];
    const picked: Item[] = [];
    while (picked.length < count && left.length > 0) {
        const index = Math.floor(random() * left.length);
        picked.push(left[index]!);
        left[index] = left.at(-1)!;
        left.pop();
    }
    return picked;
}
