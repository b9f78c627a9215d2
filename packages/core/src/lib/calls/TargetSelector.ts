/**
 * Chooses the target of a call among those of its service: the one with the lowest expected wait, by this host's calls
 * in flight, the target's recent latency and its recent faults. After a fault a target is not used until its backoff
 * ends. If all targets are backing off, the one with the lowest sum of expected wait and remaining backoff is tried.
 */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { after, type Instant, type TargetId, type ZoneId } from "../ids.js";

/** What one host has measured of a target. */
interface TargetStats {
    attemptsInFlight: number;
    /** Smoothed latency from request to answer, in milliseconds. */
    latencyMs: number;
    /** Number of consecutive faults. */
    faults: number;
    backoffUntil: Instant;
}

/** Weight of the newest latency in the average, large enough for a few answers to change it. */
const latencySmoothingFactor = 0.3;

/** Assumed latency of a target before its first answer, in milliseconds. */
const initialLatencyMs = 30;

/** Backoff in milliseconds after the first consecutive fault, and its upper limit. It doubles with each fault. */
const faultBackoffMs = { first: 400, max: 3000 } as const;

/** Assumed additional latency of a target in another zone, in milliseconds. */
const otherZonePenaltyMs = 3;

/** Tracks the targets that one host calls, and chooses among them. */
export class TargetSelector {
    private readonly stats = new Map<TargetId, TargetStats>();

    constructor(private readonly zone: ZoneId) {}

    /**
     * The target for the next attempt, or undefined without targets. Targets in `tried` are only used if there are no
     * others.
     */
    choose(targets: readonly TargetEntryView[], tried: readonly TargetId[], now: Instant): TargetEntryView | undefined {
        const usable = usableTargets(targets, now);
        const untried = usable.filter(({ target }) => !tried.includes(target));
        const ready = untried.filter(({ target }) => this.statsOf(target).backoffUntil <= now);
        const pool = ready.length > 0 ? ready : untried.length > 0 ? untried : usable;
        return pool.length === 0
            ? undefined
            : pool.reduce((best, entry) => this.cost(entry, now) < this.cost(best, now) ? entry : best);
    }

    /** The targets in the order in which a call prefers them. */
    rank(targets: readonly TargetEntryView[], tried: readonly TargetId[], now: Instant): readonly TargetEntryView[] {
        const usable = usableTargets(targets, now).map(entry => ({
            entry,
            isTried: tried.includes(entry.target),
            cost: this.cost(entry, now),
        }));
        return usable.sort((a, b) => Number(a.isTried) - Number(b.isTried) || a.cost - b.cost)
            .map(({ entry }) => entry);
    }

    /** Whether a target is not backing off and has fewer of this host's calls than slots. */
    hasRoom({ target, slots }: TargetEntryView, now: Instant): boolean {
        const { backoffUntil, attemptsInFlight } = this.statsOf(target);
        return backoffUntil <= now && attemptsInFlight < slots;
    }

    recordStart(target: TargetId): void {
        this.statsOf(target).attemptsInFlight++;
    }

    /** Records that an attempt was answered, which ends the target's backoff. */
    recordAnswer(target: TargetId, latencyMs: number): void {
        const stats = this.statsOf(target);
        stats.attemptsInFlight--;
        stats.latencyMs += latencySmoothingFactor * (latencyMs - stats.latencyMs);
        stats.faults = 0;
        stats.backoffUntil = 0 as Instant;
    }

    /** Records that an attempt was cancelled after `waitedMs`. This can raise the average latency but not lower it. */
    recordCancelled(target: TargetId, waitedMs: number): void {
        const stats = this.statsOf(target);
        stats.attemptsInFlight--;
        stats.latencyMs = Math.max(
            stats.latencyMs,
            stats.latencyMs + latencySmoothingFactor * (waitedMs - stats.latencyMs),
        );
    }

    /** Records that an attempt failed, which begins a backoff. */
    recordFault(target: TargetId, now: Instant): void {
        const stats = this.statsOf(target);
        stats.attemptsInFlight--;
        stats.faults++;
        stats.backoffUntil = after(
            now,
            Math.min(faultBackoffMs.max, faultBackoffMs.first * 2 ** (stats.faults - 1)),
        );
    }

    /** Removes targets that are not listed. */
    removeUnlisted(listed: ReadonlySet<TargetId>): void {
        [...this.stats.keys()].filter(target => !listed.has(target)).forEach(target => this.stats.delete(target));
    }

    /** Expected wait in milliseconds, including the remaining backoff. */
    private cost(entry: TargetEntryView, now: Instant): number {
        const stats = this.statsOf(entry.target);
        const distanceMs = entry.zone === this.zone ? 0 : otherZonePenaltyMs;
        return stats.latencyMs * (1 + stats.attemptsInFlight / entry.slots) + distanceMs
            + Math.max(0, stats.backoffUntil - now);
    }

    private statsOf(target: TargetId): TargetStats {
        const known = this.stats.get(target);
        if (known !== undefined) {
            return known;
        }
        const stats = { attemptsInFlight: 0, latencyMs: initialLatencyMs, faults: 0, backoffUntil: 0 as Instant };
        this.stats.set(target, stats);
        return stats;
    }
}

/** The targets that stay; without any, those that said that they are leaving and may still be used. */
function usableTargets(targets: readonly TargetEntryView[], now: Instant): readonly TargetEntryView[] {
    const staying = targets.filter(({ leaving }) => !leaving);
    return staying.length > 0
        ? staying
        : targets.filter(({ servesUntil }) => servesUntil !== undefined && servesUntil > now);
}
