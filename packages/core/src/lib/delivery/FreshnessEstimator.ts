/**
 * Forecasts at which weight version the trainer will be when a sample that starts now ends. It learns from the time
 * between publications and from how long samples took. It only steers where work goes; the bound is checked at
 * completion and at delivery whatever the forecast said.
 */

import { type Instant, type WeightVersion } from "../ids.js";

const keptDurations = 128;
const cautiousQuantile = 0.9;
const smoothing = 0.3;

/** Learns the rhythm of one service. */
export class FreshnessEstimator {
    private readonly durations: number[] = [];
    private nextSlot = 0;
    private publishedVersion: WeightVersion | undefined;
    private publishedAt: Instant | undefined;
    private intervalMs: number | undefined;

    /** Notes how long a sample took from dispatch to completion. */
    recordDuration(ms: number): void {
        this.durations[this.nextSlot] = ms;
        this.nextSlot = (this.nextSlot + 1) % keptDurations;
    }

    /** Notes a published version; only rising ones count. */
    recordVersion(version: WeightVersion, now: Instant): void {
        if (version <= (this.publishedVersion ?? -1)) {
            return;
        }
        if (this.publishedAt !== undefined) {
            const interval = (now - this.publishedAt) / (version - this.publishedVersion!);
            this.intervalMs = (this.intervalMs ?? interval) * (1 - smoothing) + interval * smoothing;
        }
        this.publishedVersion = version;
        this.publishedAt = now;
    }

    /** Milliseconds that a sample takes, with caution; undefined before the first one. */
    expectedDurationMs(): number | undefined {
        const sorted = [...this.durations].sort((a, b) => a - b);
        return sorted[Math.floor(sorted.length * cautiousQuantile)];
    }

    /** The version at which the trainer will be when a sample that starts at `now` ends; at least `current`. */
    estimateVersionAtEnd(current: WeightVersion, now: Instant): WeightVersion {
        const durationMs = this.expectedDurationMs();
        const { publishedAt, intervalMs } = this;
        if (durationMs === undefined || publishedAt === undefined || intervalMs === undefined || intervalMs <= 0) {
            return current;
        }
        const overdue = Math.floor((now - publishedAt) / intervalMs);
        const coming = Math.floor((now + durationMs - publishedAt) / intervalMs) - overdue;
        return (current + coming) as WeightVersion;
    }
}

/**
 * The lowest version that an attempt may start on: high enough to be fresh when it ends, if any of the versions that
 * engines offer is, and never below what is fresh now.
 */
export function minStartVersion(
    lowestFreshNow: WeightVersion,
    lowestFreshAtEnd: WeightVersion,
    offered: readonly WeightVersion[],
): WeightVersion {
    const isReachable = offered.some(version => version >= lowestFreshAtEnd);
    return isReachable ? Math.max(lowestFreshNow, lowestFreshAtEnd) as WeightVersion : lowestFreshNow;
}
