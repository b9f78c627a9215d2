/** Lets an engine rest for a moment after a fault, longer after each further one, until it serves again. */

import { after, type Incarnation, type Instant, type TargetEntryView, type TargetId } from "@tamarackpath/core";

/** Milliseconds that an engine rests after its first fault in a row, and at most. */
const restMs = { first: 150, longest: 2000 } as const;

/** Milliseconds before an engine that refused work is asked again: a change of weights takes several times as long. */
const refusedMs = 150;

interface Rest {
    readonly incarnation: Incarnation;
    readonly faults: number;
    readonly until: Instant;
}

/** Keeps the rests of one host's engines. */
export class EngineRests {
    private readonly rests = new Map<TargetId, Rest>();

    isResting({ target, incarnation }: TargetEntryView, now: Instant): boolean {
        const rest = this.rests.get(target);
        return rest !== undefined && rest.incarnation === incarnation && now < rest.until;
    }

    /** Notes a fault and returns the milliseconds that the engine rests. */
    noteFault({ target, incarnation }: TargetEntryView, now: Instant): number {
        const known = this.rests.get(target);
        const faults = known?.incarnation === incarnation ? known.faults : 0;
        if (known !== undefined && faults > 0 && now < known.until) {
            return known.until - now;
        }
        const ms = Math.min(restMs.longest, restMs.first * 2 ** faults);
        this.rests.set(target, { incarnation, faults: faults + 1, until: after(now, ms) });
        return ms;
    }

    /** Notes that an engine refused work; it is asked again after a moment, without a longer rest for each refusal. */
    noteRefusal({ target, incarnation }: TargetEntryView, now: Instant): void {
        const faults = this.rests.get(target)?.faults ?? 0;
        this.rests.set(target, { incarnation, faults, until: after(now, refusedMs) });
    }

    noteServed(target: TargetId): void {
        this.rests.delete(target);
    }

    /** When the next resting engine may be used again. */
    nextAt(now: Instant): Instant | undefined {
        const times = [...this.rests.values()].map(({ until }) => until).filter(until => until > now);
        return times.length === 0 ? undefined : Math.min(...times) as Instant;
    }
}
