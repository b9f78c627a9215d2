/**
 * Judges each target by the progress of its streams against its peers, because load reports lag. A target that falls
 * behind loses weight at once and gains it back in small steps; it always keeps a little work, which shows recovery.
 */

import { type TargetId } from "../ids.js";

/** Progress of one target's streams since the last reading. */
export interface Progress {
    readonly target: TargetId;
    /** Sum over the streams of the milliseconds that each was open. */
    readonly streamMs: number;
    readonly tokens: number;
}

interface TargetSpeed {
    weight: number;
    /** Evidence that was too thin to judge by. */
    streamMs: number;
    tokens: number;
    paceMs: number | undefined;
}

const slowRatio = 4;
const minWeight = 0.05;
const recoveryFactor = 1.3;
const minTokensPerSample = 12;
const paceSmoothingFactor = 0.3;
const maxSlowShare = 0.5;

/** Weights of one pool's targets. */
export class SpeedTracker {
    private readonly targetSpeeds = new Map<TargetId, TargetSpeed>();
    private typicalMs: number | undefined;

    /** Milliseconds that a token takes on a typical target. */
    get typicalPaceMs(): number | undefined {
        return this.typicalMs;
    }

    weight(target: TargetId): number {
        return this.targetSpeeds.get(target)?.weight ?? 1;
    }

    /** Every target that was ever read. */
    targets(): readonly TargetId[] {
        return [...this.targetSpeeds.keys()];
    }

    forget(target: TargetId): void {
        this.targetSpeeds.delete(target);
    }

    /** Takes one reading of all targets with open streams, and judges them. */
    read(readings: readonly Progress[]): void {
        readings.forEach(reading => this.collect(reading));
        this.typicalMs = median([...this.targetSpeeds.values()].flatMap(({ paceMs }) => paceMs ?? []));
        const typical = this.typicalMs;
        if (typical === undefined) {
            return;
        }
        const judged = [...this.targetSpeeds.values()].map(account => ({ account, ratio: slowness(account, typical) }));
        const slow = judged.filter(({ ratio }) => ratio > slowRatio);
        const isMostOfThePool = slow.length > maxSlowShare * judged.length;
        for (const { account, ratio } of judged) {
            account.weight = ratio > slowRatio && !isMostOfThePool
                ? Math.max(minWeight, Math.min(account.weight, 1 / ratio))
                : Math.min(1, account.weight * recoveryFactor);
        }
    }

    private collect({ target, streamMs, tokens }: Progress): void {
        const account = this.targetSpeeds.get(target) ?? { weight: 1, streamMs: 0, tokens: 0, paceMs: undefined };
        this.targetSpeeds.set(target, account);
        account.streamMs += streamMs;
        account.tokens += tokens;
        if (account.tokens >= minTokensPerSample) {
            const pace = account.streamMs / account.tokens;
            account.paceMs = account.paceMs === undefined
                ? pace
                : account.paceMs + paceSmoothingFactor * (pace - account.paceMs);
            account.streamMs = 0;
            account.tokens = 0;
        }
    }
}

/** How many times slower than typical: by settled pace, or by the time that has passed with too few tokens. */
function slowness(account: TargetSpeed, typicalMs: number): number {
    const expected = account.streamMs / typicalMs;
    const stalled = expected >= minTokensPerSample ? expected / Math.max(1, account.tokens) : 0;
    return Math.max(stalled, (account.paceMs ?? 0) / typicalMs);
}

function median(values: number[]): number | undefined {
    values.sort((a, b) => a - b);
    return values[values.length >> 1];
}
