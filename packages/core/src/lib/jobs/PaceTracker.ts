/**
 * Estimates how fast each engine generates events, from the gaps between the events of its runs. Reports of load lag,
 * while the gaps show within a few events that an engine is slowed down by other work on its machine. Old estimates
 * expire, so that an engine that got no work because it was slow is tried again. Engines also differ for good; their usual
 * pace is the pace at which they generate with little other work, and does not expire.
 */

import { type Instant, type TargetId } from "../ids.js";

interface Pace {
    gapMs: number;
    samples: number;
    seenAt: Instant;
    /** Gaps since the last update of `usualGapMs`. */
    windowMs: number;
    windowGaps: number;
    usualGapMs: number | undefined;
}

/**
 * Time constant of the smoothing, in milliseconds. Any engine is slow for 600 ms occasionally, which hardly changes the
 * average.
 */
const smoothingMs = 1500;

/** Minimum number of gaps for an estimate. */
const minSamples = 10;

/** Milliseconds without an event after which an engine's estimate expires. */
const paceTtlMs = 2500;

/** Number of gaps that are averaged before they change an engine's usual gap, since events may arrive in pairs. */
const gapsPerWindow = 20;

/**
 * Weight of a window in the usual gap, by whether it is faster or slower than usual. Slower ones count little, because
 * more runs at once slow each of them.
 */
const usualWeight = { faster: 0.3, slower: 0.02 } as const;

/** Milliseconds for which the median pace of all engines is kept, since it is asked for once per engine and decision. */
const medianTtlMs = 50;

/** Limits of a relative speed, so that no engine is excluded for good or gets all the work. */
const speedLimits = { min: 0.15, max: 1.3 } as const;

/** Tracks the pace of a set of engines. */
export class PaceTracker {
    private readonly paces = new Map<TargetId, Pace>();
    private median: { readonly gapMs: number | undefined; readonly at: Instant; } | undefined;

    /** Records the milliseconds between two events of a run. */
    recordGap(target: TargetId, gapMs: number, now: Instant): void {
        const known = this.paces.get(target);
        if (known === undefined) {
            const pace = { gapMs, samples: 1, seenAt: now, windowMs: 0, windowGaps: 0, usualGapMs: undefined };
            this.paces.set(target, pace);
            return;
        }
        recordUsual(known, gapMs);
        if (now - known.seenAt > paceTtlMs) {
            known.gapMs = gapMs;
            known.samples = 1;
            known.seenAt = now;
            return;
        }
        known.gapMs += (1 - Math.exp((known.seenAt - now) / smoothingMs)) * (gapMs - known.gapMs);
        known.samples++;
        known.seenAt = now;
    }

    /**
     * Speed relative to the median of the engines with a current estimate: 1 is usual, less is slower. 1 without an
     * estimate.
     */
    speedOf(target: TargetId, now: Instant): number {
        const gapMs = this.currentGapMs(target, now);
        const medianGapMs = this.medianGapMs(now);
        if (gapMs === undefined || medianGapMs === undefined) {
            return 1;
        }
        return Math.min(speedLimits.max, Math.max(speedLimits.min, medianGapMs / gapMs));
    }

    /** Milliseconds between events of a run at an engine with little other work, or undefined before the first window. */
    usualGapMs(target: TargetId): number | undefined {
        return this.paces.get(target)?.usualGapMs;
    }

    private medianGapMs(now: Instant): number | undefined {
        if (this.median === undefined || now - this.median.at > medianTtlMs || now < this.median.at) {
            this.median = { gapMs: this.computeMedianGapMs(now), at: now };
        }
        return this.median.gapMs;
    }

    private computeMedianGapMs(now: Instant): number | undefined {
        const gaps = [...this.paces.keys()].flatMap(target => this.currentGapMs(target, now) ?? []).sort((a, b) =>
            a - b
        );
        return gaps[gaps.length >> 1];
    }

    private currentGapMs(target: TargetId, now: Instant): number | undefined {
        const pace = this.paces.get(target);
        return pace !== undefined && pace.samples >= minSamples && now - pace.seenAt <= paceTtlMs
            ? pace.gapMs
            : undefined;
    }
}

function recordUsual(pace: Pace, gapMs: number): void {
    pace.windowMs += gapMs;
    pace.windowGaps++;
    if (pace.windowGaps < gapsPerWindow) {
        return;
    }
    const meanMs = pace.windowMs / pace.windowGaps;
    const usualMs = pace.usualGapMs ?? meanMs;
    pace.usualGapMs = usualMs + (meanMs < usualMs ? usualWeight.faster : usualWeight.slower) * (meanMs - usualMs);
    pace.windowMs = 0;
    pace.windowGaps = 0;
}
