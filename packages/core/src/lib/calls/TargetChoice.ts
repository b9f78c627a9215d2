/**
 * Chooses the target of a call among those of its service: the one with the least expected wait, from the calls of this
 * host under way, the target's recent latency and the faults seen lately. A target that failed rests for a moment and is
 * then tried again; when all rest, the one that rests the shortest is tried.
 */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { after, type Instant, type TargetId, type ZoneId } from "../ids.js";

interface TargetStats {
    attemptsInFlight: number;
    /** Smoothed milliseconds from request to answer. */
    latencyMs: number;
    faults: number;
    backoffUntil: Instant;
}

/** Smoothing of latencies: a few answers change the picture. */
const latencySmoothingFactor = 0.3;

/** Milliseconds that a target is taken to need before its first answer. */
const initialLatencyMs = 30;

/** Milliseconds that a target rests after its first fault in a row, and at most. */
const faultBackoffMs = { first: 400, longest: 3000 } as const;

/** Milliseconds that a target of another zone is taken to be farther away. */
const otherZonePenaltyMs = 3;

/** Keeps what one host knows of the targets that it calls. */
export class TargetChoice {
    private readonly stats = new Map<TargetId, TargetStats>();

    constructor(private readonly zone: ZoneId) {}

    /** The target for the next attempt, other than those in `tried` if there is one. */
    choose(targets: readonly TargetEntryView[], tried: readonly TargetId[], now: Instant): TargetEntryView | undefined {
        const usable = targets.filter(target => !target.leaving);
        const fresh = usable.filter(({ target }) => !tried.includes(target));
        const awake = fresh.filter(({ target }) => this.statsOf(target).backoffUntil <= now);
        const pool = awake.length > 0 ? awake : fresh.length > 0 ? fresh : usable;
        return pool.length === 0
            ? undefined
            : pool.reduce((best, entry) => this.cost(entry, now) < this.cost(best, now) ? entry : best);
    }

    noteStart(target: TargetId): void {
        this.statsOf(target).attemptsInFlight++;
    }

    noteAnswer(target: TargetId, latencyMs: number): void {
        const account = this.statsOf(target);
        account.attemptsInFlight--;
        account.latencyMs += latencySmoothingFactor * (latencyMs - account.latencyMs);
        account.faults = 0;
        account.backoffUntil = 0 as Instant;
    }

    /** The attempt was cancelled before it ended, after `waitedMs`. */
    noteCancelled(target: TargetId, waitedMs: number): void {
        const account = this.statsOf(target);
        account.attemptsInFlight--;
        account.latencyMs = Math.max(
            account.latencyMs,
            account.latencyMs + latencySmoothingFactor * (waitedMs - account.latencyMs),
        );
    }

    noteFault(target: TargetId, now: Instant): void {
        const account = this.statsOf(target);
        account.attemptsInFlight--;
        account.faults++;
        account.backoffUntil = after(
            now,
            Math.min(faultBackoffMs.longest, faultBackoffMs.first * 2 ** (account.faults - 1)),
        );
    }

    /** Forgets targets that are no longer listed. */
    keepOnly(listed: ReadonlySet<TargetId>): void {
        [...this.stats.keys()].filter(target => !listed.has(target)).forEach(target => this.stats.delete(target));
    }

    private cost(entry: TargetEntryView, now: Instant): number {
        const account = this.statsOf(entry.target);
        const distance = entry.zone === this.zone ? 0 : otherZonePenaltyMs;
        return account.latencyMs * (1 + account.attemptsInFlight / entry.slots) + distance
            + Math.max(0, account.backoffUntil - now);
    }

    private statsOf(target: TargetId): TargetStats {
        const known = this.stats.get(target);
        if (known !== undefined) {
            return known;
        }
        const account = { attemptsInFlight: 0, latencyMs: initialLatencyMs, faults: 0, backoffUntil: 0 as Instant };
        this.stats.set(target, account);
        return account;
    }
}
