/**
 * The demand of the last 10 s. Steps come every 4 s and make the demand rise and fall with each; engines are given back
 * by the highest demand of a time that spans two steps, so that they are not ordered again with the next one.
 */

import { type Instant } from "../ids.js";

/** Milliseconds that the demand must have been known for before engines are given back. */
const windowMs = 10_000;

/** Milliseconds from which the peak is used to order cheaper engines, so that these serve when the window is full. */
const minKnownMs = 5000;

/** Milliseconds without a sample after which the earlier ones say nothing any more. */
const maxGapMs = 3000;

/** Keeps the samples of the window. */
export class DemandWindow {
    private samples: { readonly at: Instant; readonly slots: number; }[] = [];
    private since: Instant | undefined;

    /** Records the slots needed. The window begins with the first demand, since a start without steps shows nothing. */
    record(slots: number, now: Instant): void {
        const last = this.samples.at(-1);
        if (last !== undefined && now - last.at > maxGapMs) {
            this.since = undefined;
            this.samples = [];
        }
        if (this.since === undefined && slots <= 0) {
            return;
        }
        this.since ??= now;
        this.samples = [...this.samples.filter(({ at }) => now - at <= windowMs), { at: now, slots }];
    }

    /** The highest demand of the last 10 s in slots; undefined while it is known for less than half of that. */
    peak(now: Instant): number | undefined {
        return this.since === undefined || now - this.since < minKnownMs
            ? undefined
            : Math.max(0, ...this.samples.map(({ slots }) => slots));
    }

    /** Whether the peak covers the whole window. */
    isFull(now: Instant): boolean {
        return this.since !== undefined && now - this.since >= windowMs;
    }
}
