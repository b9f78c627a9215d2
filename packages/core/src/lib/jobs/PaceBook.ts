/**
 * How fast each engine makes events, from the gaps between the events of its runs. Reports of load lag, but the events
 * themselves show within a few gaps that a neighbour slows an engine down. What was seen long ago is forgotten, so that
 * an engine that was left alone is tried again. Engines also differ for good; that shows over seconds and is kept longer.
 */

import { type Instant, type TargetId } from "../ids.js";

interface Pace {
    gapMs: number;
    /** The last gaps, oldest first; their middle does not show what passes in a moment. */
    readonly gaps: number[];
    lastingGapMs: number | undefined;
    /** Gaps noted in all. */
    noted: number;
    samples: number;
    seenAt: Instant;
}

/** Milliseconds over which gaps are smoothed, so that a slow half-second of one engine does not change the picture. */
const smoothingMs = 900;

/** Milliseconds after which a lasting pace is forgotten: several steps, between which an engine may be left alone. */
const lastingMemoryMs = 30_000;

/** Gaps of which the middle is an engine's lasting pace: about two seconds of a busy engine. */
const lastingSamples = 256;

/** Gaps after which the middle is looked for again, as that sorts all of them. */
const lastingEvery = 64;

/** Gaps after which an engine's pace is taken for known. */
const leastSamples = 10;

/** Milliseconds after which a pace is forgotten. */
const memoryMs = 2500;

/** Bounds of an engine's speed, so that no engine is shut out for good or takes everything. */
const speedBounds = { least: 0.15, most: 1.3 } as const;

/** Keeps the paces of a set of engines. */
export class PaceBook {
    private readonly paces = new Map<TargetId, Pace>();

    /** Notes the milliseconds between two events of a run. */
    note(target: TargetId, gapMs: number, now: Instant): void {
        const known = this.paces.get(target);
        if (known === undefined || now - known.seenAt > lastingMemoryMs) {
            this.paces.set(target, {
                gapMs,
                gaps: [gapMs],
                lastingGapMs: undefined,
                noted: 1,
                samples: 1,
                seenAt: now,
            });
            return;
        }
        const isForgotten = now - known.seenAt > memoryMs;
        const passedMs = now - known.seenAt;
        known.gapMs = isForgotten ? gapMs : smooth(known.gapMs, gapMs, passedMs, smoothingMs);
        known.samples = isForgotten ? 1 : known.samples + 1;
        known.gaps.push(gapMs);
        if (known.gaps.length > lastingSamples) {
            known.gaps.shift();
        }
        known.noted++;
        if (known.noted >= lastingSamples && known.noted % lastingEvery === 0) {
            known.lastingGapMs = middleOf(known.gaps);
        }
        known.seenAt = now;
    }

    /** Speed against the middle of the engines seen lately: 1 for a usual one, less for a slower one. */
    speedOf(target: TargetId, now: Instant): number {
        return this.speed(target, other => this.known(other, now));
    }

    /** The same over seconds: the speed that an engine has for good. */
    lastingSpeedOf(target: TargetId, now: Instant): number {
        return this.speed(target, other => this.knownLasting(other, now));
    }

    private speed(target: TargetId, gapOf: (target: TargetId) => number | undefined): number {
        const gap = gapOf(target);
        const middle = middleOf([...this.paces.keys()].flatMap(other => gapOf(other) ?? []));
        if (gap === undefined || middle === undefined) {
            return 1;
        }
        return Math.min(speedBounds.most, Math.max(speedBounds.least, middle / gap));
    }

    private known(target: TargetId, now: Instant): number | undefined {
        const pace = this.paces.get(target);
        return pace !== undefined && pace.samples >= leastSamples && now - pace.seenAt <= memoryMs
            ? pace.gapMs
            : undefined;
    }

    private knownLasting(target: TargetId, now: Instant): number | undefined {
        const pace = this.paces.get(target);
        return pace !== undefined && now - pace.seenAt <= lastingMemoryMs ? pace.lastingGapMs : undefined;
    }
}

function smooth(old: number, value: number, passedMs: number, overMs: number): number {
    return old + (1 - Math.exp(-passedMs / overMs)) * (value - old);
}

function middleOf(values: readonly number[]): number | undefined {
    return [...values].sort((a, b) => a - b)[values.length >> 1];
}
