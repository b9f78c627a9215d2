/** Seeded random numbers for arrivals and lengths. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Creates a generator of numbers from 0 (inclusive) to 1 (exclusive); the same seed gives the same sequence. */
export function seededRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}

/** Draws an exponentially distributed value with the given mean. */
export function exponential(random: () => number, mean: number): number {
    return -Math.log(1 - random()) * mean;
}

/** Draws a Pareto-distributed factor with median 1, capped at `maxFactor`. */
export function heavyTailed(random: () => number, maxFactor: number): number {
    const exponent = 1.3;
    return Math.min(maxFactor, Math.pow(2 * (1 - random()), -1 / exponent));
}
