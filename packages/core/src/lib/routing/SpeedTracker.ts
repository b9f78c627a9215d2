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

interface Account {
    weight: number;
    /** Evidence that was too thin to judge by. */
    streamMs: number;
    tokens: number;
    paceMs: number | undefined;
}

const slowRatio = 4;
const leastWeight = 0.05;
const returnPerReading = 1.3;
const tokensToJudge = 12;
const paceMemory = 0.3;
const mostSlowShare = 0.5;

/** Weights of one pool's targets. */
export class SpeedBook {
    private readonly accounts = new Map<TargetId, Account>();
    private typicalMs: number | undefined;

    /** Milliseconds that a token takes on a typical target. */
    get typicalPaceMs(): number | undefined {
        return this.typicalMs;
    }

    weight(target: TargetId): number {
        return this.accounts.get(target)?.weight ?? 1;
    }

    /** Every target that was ever read. */
    targets(): readonly TargetId[] {
        return [...this.accounts.keys()];
    }

    forget(target: TargetId): void {
        this.accounts.delete(target);
    }

    /** Takes one reading of all targets with open streams, and judges them. */
    read(readings: readonly Progress[]): void {
        readings.forEach(reading => this.collect(reading));
        this.typicalMs = median([...this.accounts.values()].flatMap(({ paceMs }) => paceMs ?? []));
        const typical = this.typicalMs;
        if (typical === undefined) {
            return;
        }
        const judged = [...this.accounts.values()].map(account => ({ account, ratio: slowness(account, typical) }));
        const slow = judged.filter(({ ratio }) => ratio > slowRatio);
        const isMostOfThePool = slow.length > mostSlowShare * judged.length;
        for (const { account, ratio } of judged) {
            account.weight = ratio > slowRatio && !isMostOfThePool
                ? Math.max(leastWeight, Math.min(account.weight, 1 / ratio))
                : Math.min(1, account.weight * returnPerReading);
        }
    }

    private collect({ target, streamMs, tokens }: Progress): void {
        const account = this.accounts.get(target) ?? { weight: 1, streamMs: 0, tokens: 0, paceMs: undefined };
        this.accounts.set(target, account);
        account.streamMs += streamMs;
        account.tokens += tokens;
        if (account.tokens >= tokensToJudge) {
            const pace = account.streamMs / account.tokens;
            account.paceMs = account.paceMs === undefined
                ? pace
                : account.paceMs + paceMemory * (pace - account.paceMs);
            account.streamMs = 0;
            account.tokens = 0;
        }
    }
}

/** How many times slower than typical: by settled pace, or by the time that has passed with too few tokens. */
function slowness(account: Account, typicalMs: number): number {
    const expected = account.streamMs / typicalMs;
    const stalled = expected >= tokensToJudge ? expected / Math.max(1, account.tokens) : 0;
    return Math.max(stalled, (account.paceMs ?? 0) / typicalMs);
}

function median(values: number[]): number | undefined {
    values.sort((a, b) => a - b);
    return values[values.length >> 1];
}
