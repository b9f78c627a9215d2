/**
 * How fast each engine makes events, from the gaps between the events of its runs. Reports of load lag, but the events
 * themselves show within a few gaps that a neighbour slows an engine down. What was seen long ago is forgotten, so that
 * an engine that was left alone is tried again.
 */

import { type Instant, type TargetId } from "../ids.js";

interface Pace {
    gapMs: number;
    samples: number;
    seenAt: Instant;
}

/** Milliseconds over which gaps are smoothed: an engine that is slow for 600 ms, as any is now and then, hardly shows. */
const smoothingMs = 1500;

/** Gaps after which an engine's pace is taken for known. */
const leastSamples = 10;

/** Milliseconds after which a pace is forgotten. */
const memoryMs = 2500;

/** Bounds of an engine's speed, so that no engine is shut out for good or takes everything. */
const speedBounds = { least: 0.15, most: 1.3 } as const;

/** Keeps the paces of a set of engines. */
export class PaceTracker {
    private readonly paces = new Map<TargetId, Pace>();

    /** Notes the milliseconds between two events of a run. */
    recordGap(target: TargetId, gapMs: number, now: Instant): void {
        const known = this.paces.get(target);
        if (known === undefined || now - known.seenAt > memoryMs) {
            this.paces.set(target, { gapMs, samples: 1, seenAt: now });
            return;
        }
        known.gapMs += (1 - Math.exp((known.seenAt - now) / smoothingMs)) * (gapMs - known.gapMs);
        known.samples++;
        known.seenAt = now;
    }

    /** Speed against the middle of the engines seen lately: 1 for a usual one, less for a slower one. */
    speedOf(target: TargetId, now: Instant): number {
        const pace = this.known(target, now);
        const middle = this.middle(now);
        if (pace === undefined || middle === undefined) {
            return 1;
        }
        return Math.min(speedBounds.most, Math.max(speedBounds.least, middle / pace));
    }

    private middle(now: Instant): number | undefined {
        const gaps = [...this.paces.keys()].flatMap(target => this.known(target, now) ?? []).sort((a, b) => a - b);
        return gaps[gaps.length >> 1];
    }

    private known(target: TargetId, now: Instant): number | undefined {
        const pace = this.paces.get(target);
        return pace !== undefined && pace.samples >= leastSamples && now - pace.seenAt <= memoryMs
            ? pace.gapMs
            : undefined;
    }
}
