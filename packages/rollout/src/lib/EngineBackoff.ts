/** Lets an engine rest for a moment after a fault, longer after each further one, until it serves again. */

import { after, type Incarnation, type Instant, type TargetEntryView, type TargetId } from "@tamarackpath/core";

/** Milliseconds that an engine rests after its first fault in a row, and at most. */
const backoffMs = { first: 150, max: 2000 } as const;

/** Milliseconds before an engine that refused work is asked again: a change of weights takes several times as long. */
const refusalBackoffMs = 150;

interface Backoff {
    readonly incarnation: Incarnation;
    readonly faults: number;
    readonly until: Instant;
}

/** Keeps the rests of one host's engines. */
export class EngineBackoff {
    private readonly backoffs = new Map<TargetId, Backoff>();

    isBackingOff({ target, incarnation }: TargetEntryView, now: Instant): boolean {
        const backoff = this.backoffs.get(target);
        return backoff !== undefined && backoff.incarnation === incarnation && now < backoff.until;
    }

    /** Notes a fault and returns the milliseconds that the engine rests. */
    recordFault({ target, incarnation }: TargetEntryView, now: Instant): number {
        const known = this.backoffs.get(target);
        const faults = known?.incarnation === incarnation ? known.faults : 0;
        if (known !== undefined && faults > 0 && now < known.until) {
            return known.until - now;
        }
        const ms = Math.min(backoffMs.max, backoffMs.first * 2 ** faults);
        this.backoffs.set(target, { incarnation, faults: faults + 1, until: after(now, ms) });
        return ms;
    }

    /** Notes that an engine refused work; it is asked again after a moment, without a longer rest for each refusal. */
    recordRefusal({ target, incarnation }: TargetEntryView, now: Instant): void {
        const faults = this.backoffs.get(target)?.faults ?? 0;
        this.backoffs.set(target, { incarnation, faults, until: after(now, refusalBackoffMs) });
    }

    recordSuccess(target: TargetId): void {
        this.backoffs.delete(target);
    }

    /** When the next resting engine may be used again. */
    nextRetryAt(now: Instant): Instant | undefined {
        const times = [...this.backoffs.values()].map(({ until }) => until).filter(until => until > now);
        return times.length === 0 ? undefined : Math.min(...times) as Instant;
    }
}
