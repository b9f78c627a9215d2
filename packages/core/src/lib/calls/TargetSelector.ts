/**
 * Chooses the target of a call among those of its service: the one with the least expected wait, from the calls of this
 * host under way, the target's recent latency and the faults seen lately. A target that failed rests for a moment and is
 * then tried again; when all rest, the one that rests the shortest is tried.
 */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { after, type Instant, type TargetId, type ZoneId } from "../ids.js";

interface Account {
    under: number;
    /** Smoothed milliseconds from request to answer. */
    latencyMs: number;
    faults: number;
    restUntil: Instant;
}

/** Smoothing of latencies: a few answers change the picture. */
const latencyShare = 0.3;

/** Milliseconds that a target is taken to need before its first answer. */
const initialLatencyMs = 30;

/** Milliseconds that a target rests after its first fault in a row, and at most. */
const restMs = { first: 400, longest: 3000 } as const;

/** Milliseconds that a target of another zone is taken to be farther away. */
const otherZoneMs = 3;

/** Keeps what one host knows of the targets that it calls. */
export class TargetSelector {
    private readonly accounts = new Map<TargetId, Account>();

    constructor(private readonly zone: ZoneId) {}

    /** The target for the next attempt, other than those in `tried` if there is one. */
    choose(targets: readonly TargetEntryView[], tried: readonly TargetId[], now: Instant): TargetEntryView | undefined {
        const usable = targets.filter(target => !target.leaving);
        const fresh = usable.filter(({ target }) => !tried.includes(target));
        const awake = fresh.filter(({ target }) => this.accountOf(target).restUntil <= now);
        const pool = awake.length > 0 ? awake : fresh.length > 0 ? fresh : usable;
        return pool.length === 0
            ? undefined
            : pool.reduce((best, entry) => this.cost(entry, now) < this.cost(best, now) ? entry : best);
    }

    recordStart(target: TargetId): void {
        this.accountOf(target).under++;
    }

    recordAnswer(target: TargetId, latencyMs: number): void {
        const account = this.accountOf(target);
        account.under--;
        account.latencyMs += latencyShare * (latencyMs - account.latencyMs);
        account.faults = 0;
        account.restUntil = 0 as Instant;
    }

    /** The attempt was cancelled before it ended, after `waitedMs`. */
    recordCancelled(target: TargetId, waitedMs: number): void {
        const account = this.accountOf(target);
        account.under--;
        account.latencyMs = Math.max(
            account.latencyMs,
            account.latencyMs + latencyShare * (waitedMs - account.latencyMs),
        );
    }

    recordFault(target: TargetId, now: Instant): void {
        const account = this.accountOf(target);
        account.under--;
        account.faults++;
        account.restUntil = after(now, Math.min(restMs.longest, restMs.first * 2 ** (account.faults - 1)));
    }

    /** Forgets targets that are no longer listed. */
    keepOnly(listed: ReadonlySet<TargetId>): void {
        [...this.accounts.keys()].filter(target => !listed.has(target)).forEach(target => this.accounts.delete(target));
    }

    private cost(entry: TargetEntryView, now: Instant): number {
        const account = this.accountOf(entry.target);
        const distance = entry.zone === this.zone ? 0 : otherZoneMs;
        return account.latencyMs * (1 + account.under / entry.slots) + distance + Math.max(0, account.restUntil - now);
    }

    private accountOf(target: TargetId): Account {
        const known = this.accounts.get(target);
        if (known !== undefined) {
            return known;
        }
        const account = { under: 0, latencyMs: initialLatencyMs, faults: 0, restUntil: 0 as Instant };
        this.accounts.set(target, account);
        return account;
    }
}
