/**
 * Weights each target by the progress of its streams compared to the other targets, because load reports lag. A slow
 * target loses weight at once and regains it in small steps. It always keeps a little work, by which its recovery
 * shows.
 */

import { type TargetId } from "../ids.js";

/** Progress of one target's streams since the last reading. */
export interface StreamProgress {
    readonly target: TargetId;
    /** Sum over the streams of the milliseconds that each was open. */
    readonly streamMs: number;
    readonly tokens: number;
}

/** Measurements and weight of a target. */
interface TargetSpeed {
    weight: number;
    /** Open time and tokens since the last sample of the pace; too few tokens for the next one. */
    streamMs: number;
    tokens: number;
    /** Smoothed milliseconds per token. */
    paceMs: number | undefined;
}

/** How many times slower than the median a target is from which it counts as slow. */
const slowRatio = 4;

/** Minimum weight, so that a slow target keeps a little work. */
const minWeight = 0.05;

/** Factor by which a recovering target regains weight with each reading. */
const recoveryFactor = 1.3;

/** Minimum number of tokens for a sample of a target's pace. */
const minTokensPerSample = 12;

/** Weight of the newest sample in the smoothed pace. */
const paceSmoothingFactor = 0.3;

/** If more than this share of the pool appears slow, no target loses weight. */
const maxSlowShare = 0.5;

/** Tracks the speed of one pool's targets, and derives their weights. */
export class SpeedTracker {
    private readonly targetSpeeds = new Map<TargetId, TargetSpeed>();
    private currentMedianMs: number | undefined;

    /** Median milliseconds per token of the targets, or undefined before the first sample. */
    get medianPaceMs(): number | undefined {
        return this.currentMedianMs;
    }

    /** Share of the target's slots to use, from `minWeight` to 1; 1 if nothing was measured. */
    weight(target: TargetId): number {
        return this.targetSpeeds.get(target)?.weight ?? 1;
    }

    /** All targets that were ever measured. */
    targets(): readonly TargetId[] {
        return [...this.targetSpeeds.keys()];
    }

    forget(target: TargetId): void {
        this.targetSpeeds.delete(target);
    }

    /** Records one reading of all targets with open streams, and updates the weights. */
    read(readings: readonly StreamProgress[]): void {
        readings.forEach(reading => this.addReading(reading));
        this.currentMedianMs = median([...this.targetSpeeds.values()].flatMap(({ paceMs }) => paceMs ?? []));
        const medianMs = this.currentMedianMs;
        if (medianMs === undefined) {
            return;
        }
        const ratios = [...this.targetSpeeds.values()].map(speed => ({ speed, ratio: slowness(speed, medianMs) }));
        const slow = ratios.filter(({ ratio }) => ratio > slowRatio);
        const isMostOfPool = slow.length > maxSlowShare * ratios.length;
        for (const { speed, ratio } of ratios) {
            speed.weight = ratio > slowRatio && !isMostOfPool
                ? Math.max(minWeight, Math.min(speed.weight, 1 / ratio))
                : Math.min(1, speed.weight * recoveryFactor);
        }
    }

    private addReading({ target, streamMs, tokens }: StreamProgress): void {
        const speed = this.targetSpeeds.get(target) ?? { weight: 1, streamMs: 0, tokens: 0, paceMs: undefined };
        this.targetSpeeds.set(target, speed);
        speed.streamMs += streamMs;
        speed.tokens += tokens;
        if (speed.tokens >= minTokensPerSample) {
            const pace = speed.streamMs / speed.tokens;
            speed.paceMs = speed.paceMs === undefined
                ? pace
                : speed.paceMs + paceSmoothingFactor * (pace - speed.paceMs);
            speed.streamMs = 0;
            speed.tokens = 0;
        }
    }
}

/** How many times slower than the median a target is: by its smoothed pace, or by its open time with too few tokens. */
function slowness(speed: TargetSpeed, medianMs: number): number {
    const expectedTokens = speed.streamMs / medianMs;
    const stallRatio = expectedTokens >= minTokensPerSample ? expectedTokens / Math.max(1, speed.tokens) : 0;
    return Math.max(stallRatio, (speed.paceMs ?? 0) / medianMs);
}

function median(values: number[]): number | undefined {
    values.sort((a, b) => a - b);
    return values[values.length >> 1];
}
