/**
 * Finds requests that end each target which runs them, and decides when no target gets them any more. Evidence is the
 * loss of the connection on which a target ran the request. A lost connection alone proves little: targets also end
 * because a rack is lost, and connections are reset. So the losses of three targets count, any complete answer to the
 * request clears them, and a loss does not count if its target answers another request within a second, as a process that
 * has ended cannot. A request that is blocked gets single trials at growing intervals, so that a wrong decision ends.
 */

import { type Brand, type Incarnation, type Instant, type TargetId } from "../ids.js";

/** Identifies requests of one caller with the same method, path and body. */
export type RequestFingerprint = Brand<string, "RequestFingerprint">;

/** A target whose connection was lost while it ran a request. */
export interface TargetLoss {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    readonly at: Instant;
    /** Set once the target has shown that it had not ended, so that the loss does not count. */
    readonly isVoid?: boolean;
}

/** What is recorded of one request, as it is merged between hosts. */
export interface CrashRecord {
    readonly fingerprint: RequestFingerprint;
    readonly losses: readonly TargetLoss[];
    /** When a target last answered the request completely; losses until then do not count. */
    readonly answeredAt: Instant | undefined;
    readonly trials: number;
    /** When the last trial was permitted. */
    readonly trialAt: Instant | undefined;
}

/** A record as it is sent to another host, whose clock differs: ages in milliseconds instead of times. */
export interface CrashReport {
    readonly fingerprint: RequestFingerprint;
    readonly losses: readonly (Omit<TargetLoss, "at"> & { readonly ageMs: number; })[];
    readonly answeredAgeMs: number | undefined;
    readonly trials: number;
    readonly trialAgeMs: number | undefined;
}

/**
 * What a host may do with a request. "suspect": it may be sent, but not to two targets at once; "blocked": it must not be
 * sent; "trial": the conductor may permit one attempt.
 */
export type CrashVerdict = "sound" | "suspect" | "blocked" | "trial";

/** Targets that a request must have ended before it is blocked. */
const maxLosses = 3;

/** Losses kept for a request that do not count. */
const maxVoidLosses = 8;

/** Milliseconds from the last loss or trial to the next trial. The time is multiplied by `factor` after each trial. */
const trialDelayMs = { first: 4000, factor: 6, max: 600_000 } as const;

/** Milliseconds within which an answer of a target shows that it has not ended. */
const aliveWindowMs = 1000;

/** Milliseconds for which losses count that have not blocked the request. */
const lossTtlMs = 120_000;

/** Milliseconds after which a blocked request that does not come again is forgotten. */
const blockTtlMs = 3_600_000;

/** Maximum number of records; the one that changed least recently is removed first. */
const maxRecords = 1000;

/** The losses of targets by request. */
export class CrashTable {
    private readonly records = new Map<RequestFingerprint, CrashRecord>();
    private readonly revisions = new Map<RequestFingerprint, number>();
    private number = 0;

    /** Increases with each change. */
    get revision(): number {
        return this.number;
    }

    /** Whether any request is recorded, so that requests need not be identified while none is. */
    get isEmpty(): boolean {
        return this.records.size === 0;
    }

    get(fingerprint: RequestFingerprint): CrashRecord | undefined {
        return this.records.get(fingerprint);
    }

    get all(): readonly CrashRecord[] {
        return [...this.records.values()];
    }

    changesSince(revision: number): readonly CrashRecord[] {
        return this.all.filter(({ fingerprint }) => this.revisions.get(fingerprint)! > revision);
    }

    verdict(fingerprint: RequestFingerprint, now: Instant): CrashVerdict {
        const record = this.records.get(fingerprint);
        const losses = record?.losses.filter(({ isVoid }) => isVoid !== true) ?? [];
        if (record === undefined || losses.length === 0) {
            return "sound";
        }
        const lastAt = Math.max(...losses.map(({ at }) => at), record.trialAt ?? -Infinity);
        if (losses.length < maxLosses) {
            return now - lastAt < lossTtlMs ? "suspect" : "sound";
        }
        const delayMs = Math.min(trialDelayMs.max, trialDelayMs.first * trialDelayMs.factor ** record.trials);
        return now - lastAt < delayMs ? "blocked" : "trial";
    }

    /** Records that a target's connection was lost while it ran a request; true if that was not recorded yet. */
    recordLoss(fingerprint: RequestFingerprint, loss: TargetLoss): boolean {
        return this.merge({ ...this.recordOf(fingerprint), losses: [loss] });
    }

    /** Records that a target answered a request, which therefore does not end each target; true if it was recorded. */
    recordAnswer(fingerprint: RequestFingerprint, answeredAt: Instant): boolean {
        const known = this.records.get(fingerprint);
        return known !== undefined && known.losses.length > 0 && this.merge({ ...known, answeredAt });
    }

    /**
     * Voids the losses of a target that answered a request which was sent after them; returns the requests concerned.
     */
    recordAlive(
        target: TargetId,
        incarnation: Incarnation,
        sentAt: Instant,
        now: Instant,
    ): readonly RequestFingerprint[] {
        const isShownAlive = (loss: TargetLoss): boolean =>
            loss.isVoid !== true && isSame(loss, { target, incarnation }) && loss.at < sentAt
            && now - loss.at < aliveWindowMs;
        const concerned = this.all.filter(({ losses }) => losses.some(isShownAlive));
        for (const record of concerned) {
            const losses = record.losses.map(loss => isShownAlive(loss) ? { ...loss, isVoid: true } : loss);
            this.store({ ...record, losses });
        }
        return concerned.map(({ fingerprint }) => fingerprint);
    }

    /** Records that one attempt is permitted as a trial. */
    recordTrial(fingerprint: RequestFingerprint, now: Instant): void {
        const record = this.recordOf(fingerprint);
        this.store({ ...record, trials: record.trials + 1, trialAt: now });
    }

    /** Merges what another host recorded; true if it changed this host's record. The order of merges does not matter. */
    merge(next: CrashRecord): boolean {
        const known = this.recordOf(next.fingerprint);
        const answeredAt = latest(known.answeredAt, next.answeredAt);
        const losses = new Map(known.losses.map(loss => [keyOf(loss), loss]));
        for (const loss of next.losses) {
            const before = losses.get(keyOf(loss));
            losses.set(keyOf(loss), before === undefined || loss.isVoid === true ? loss : before);
        }
        const current = [...losses.values()].filter(({ at }) => at > (answeredAt ?? -Infinity))
            .sort((x, y) => x.at - y.at);
        // Of the losses that count, the first ones are enough; void ones are kept so that other hosts do not restore them.
        const counted = current.filter(({ isVoid }) => isVoid !== true).slice(0, maxLosses);
        const voided = current.filter(({ isVoid }) => isVoid === true).slice(-maxVoidLosses);
        const trials = counted.length === 0 ? 0 : Math.max(known.trials, next.trials);
        const merged: CrashRecord = {
            fingerprint: next.fingerprint,
            losses: [...counted, ...voided],
            answeredAt,
            trials,
            trialAt: latest(known.trialAt, next.trialAt),
        };
        const stateOf = (each: readonly TargetLoss[]): string =>
            each.map(loss => `${keyOf(loss)} ${loss.isVoid ?? false}`).sort().join();
        const isChanged = stateOf(merged.losses) !== stateOf(known.losses) || trials !== known.trials;
        if (isChanged) {
            this.store(merged);
        }
        return isChanged;
    }

    /** Drops records that have expired. */
    expire(now: Instant): void {
        for (const { fingerprint, losses, answeredAt, trialAt } of this.all) {
            const lastAt = Math.max(...losses.map(({ at }) => at), answeredAt ?? -Infinity, trialAt ?? -Infinity);
            const counted = losses.filter(({ isVoid }) => isVoid !== true).length;
            if (now - lastAt > (counted < maxLosses ? lossTtlMs : blockTtlMs)) {
                this.remove(fingerprint);
            }
        }
    }

    private recordOf(fingerprint: RequestFingerprint): CrashRecord {
        return this.records.get(fingerprint)
            ?? { fingerprint, losses: [], answeredAt: undefined, trials: 0, trialAt: undefined };
    }

    private store(record: CrashRecord): void {
        const { fingerprint } = record;
        this.records.delete(fingerprint);
        this.records.set(fingerprint, record);
        this.number++;
        this.revisions.set(fingerprint, this.number);
        for (const oldest of this.records.keys()) {
            if (this.records.size <= maxRecords) {
                break;
            }
            this.remove(oldest);
        }
    }

    private remove(fingerprint: RequestFingerprint): void {
        this.records.delete(fingerprint);
        this.revisions.delete(fingerprint);
    }
}

function keyOf({ target, incarnation }: Omit<TargetLoss, "at">): string {
    return `${target} ${incarnation}`;
}

function isSame(a: Omit<TargetLoss, "at">, b: Omit<TargetLoss, "at">): boolean {
    return a.target === b.target && a.incarnation === b.incarnation;
}

function latest(a: Instant | undefined, b: Instant | undefined): Instant | undefined {
    return a === undefined || b !== undefined && b > a ? b : a;
}
