/**
 * Estimates how fast each engine generates events, from the gaps between the events of its runs. Reports of load lag,
 * while the gaps show within a few events that an engine is slowed down by other work on its machine. Old estimates
 * expire, so that an engine that got no work because it was slow is tried again.
 */

import { type Instant, type TargetId } from "../ids.js";

interface Pace {
    gapMs: number;
    samples: number;
    seenAt: Instant;
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

/** Limits of a relative speed, so that no engine is excluded for good or gets all the work. */
const speedLimits = { min: 0.15, max: 1.3 } as const;

/** Tracks the pace of a set of engines. */
export class PaceTracker {
    private readonly paces = new Map<TargetId, Pace>();

    /** Records the milliseconds between two events of a run. */
    recordGap(target: TargetId, gapMs: number, now: Instant): void {
        const known = this.paces.get(target);
        if (known === undefined || now - known.seenAt > paceTtlMs) {
            this.paces.set(target, { gapMs, samples: 1, seenAt: now });
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

    private medianGapMs(now: Instant): number | undefined {
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
