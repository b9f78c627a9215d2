/**
 * Estimates the weight version of the trainer at the end of a sample that starts now, from the intervals between
 * published versions and the durations of finished samples. The estimate only affects placement: the staleness bound is
 * checked at completion and at delivery in any case.
 */

import { type Instant, type WeightVersion } from "../ids.js";

const maxDurations = 128;
const durationQuantile = 0.9;
const intervalSmoothing = 0.3;

/** Estimates durations and versions for one service. */
export class FreshnessEstimator {
    private readonly durations: number[] = [];
    private nextDurationIndex = 0;
    private publishedVersion: WeightVersion | undefined;
    private publishedAt: Instant | undefined;
    private intervalMs: number | undefined;

    /** Records how long a sample took from dispatch to completion. */
    recordDuration(ms: number): void {
        this.durations[this.nextDurationIndex] = ms;
        this.nextDurationIndex = (this.nextDurationIndex + 1) % maxDurations;
    }

    /** Records a published version; versions that are not higher than the last one are ignored. */
    recordVersion(version: WeightVersion, now: Instant): void {
        if (version <= (this.publishedVersion ?? -1)) {
            return;
        }
        if (this.publishedAt !== undefined) {
            const interval = (now - this.publishedAt) / (version - this.publishedVersion!);
            this.intervalMs = (this.intervalMs ?? interval) * (1 - intervalSmoothing) + interval * intervalSmoothing;
        }
        this.publishedVersion = version;
        this.publishedAt = now;
    }

    /** Returns a high quantile of the recorded durations in milliseconds; undefined when none is recorded. */
    expectedDurationMs(): number | undefined {
        const sorted = [...this.durations].sort((a, b) => a - b);
        return sorted[Math.floor(sorted.length * durationQuantile)];
    }

    /** Estimates the trainer's version when a sample that starts at `now` ends; at least `current`. */
    estimateVersionAtEnd(current: WeightVersion, now: Instant): WeightVersion {
        const durationMs = this.expectedDurationMs();
        const { publishedAt, intervalMs } = this;
        if (durationMs === undefined || publishedAt === undefined || intervalMs === undefined || intervalMs <= 0) {
            return current;
        }
        const elapsedIntervals = Math.floor((now - publishedAt) / intervalMs);
        const newVersions = Math.floor((now + durationMs - publishedAt) / intervalMs) - elapsedIntervals;
        return (current + newVersions) as WeightVersion;
    }
}

/**
 * Returns the lowest version that an attempt may start on. It is fresh at the end of the attempt if any version that
 * engines offer is; in any case it is fresh at the start.
 */
export function minStartVersion(
    minFreshNow: WeightVersion,
    minFreshAtEnd: WeightVersion,
    offered: readonly WeightVersion[],
): WeightVersion {
    const isFreshAtEndOffered = offered.some(version => version >= minFreshAtEnd);
    return isFreshAtEndOffered ? Math.max(minFreshNow, minFreshAtEnd) as WeightVersion : minFreshNow;
}
