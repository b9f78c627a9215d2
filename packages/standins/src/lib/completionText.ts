/** Text and length of a stand-in engine's completions, derived from prompt and seed so that reruns give the same. */

import { hash32 } from "@tamarackpath/core";

const medianTokens = 24;
const tailExponent = 1.3;
const maxOverMedian = 30;
const hashRange = 0x1_0000_0000;

/**
 * Length of a completion in tokens. Its distribution has the median `medianTokens` and a heavy tail that ends at
 * `maxOverMedian` times the median. A prompt with `[tokens=N]` fixes the length.
 */
export function completionLength(prompt: string, seed: number): number {
    const fixed = /\[tokens=(\d+)\]/.exec(prompt);
    if (fixed !== null) {
        return Number(fixed[1]);
    }
    const uniform = (hash32(`${prompt}|${seed}|length`) + 1) / (hashRange + 1);
    const overMedian = Math.pow(2 * uniform, -1 / tailExponent);
    return Math.max(1, Math.round(medianTokens * Math.min(maxOverMedian, overMedian)));
}

/** Text of the `nth` token of a completion. */
export function completionText(prompt: string, seed: number, nth: number): string {
    return `${hash32(`${prompt}|${seed}|${nth}`).toString(36)} `;
}
