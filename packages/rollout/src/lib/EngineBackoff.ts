/** Exponential backoff of engines after faults; a completed task resets it. */

import { after, type Incarnation, type Instant, type TargetEntryView, type TargetId } from "@tamarackpath/core";

/**
 * Milliseconds that an engine is not used after its first consecutive fault, and the upper limit after further ones.
 */
const backoffMs = { first: 150, max: 2000 } as const;

/**
 * Milliseconds before an engine that refused work gets a task again; a change of weights takes several times as long.
 */
const refusalBackoffMs = 150;

interface Backoff {
    readonly incarnation: Incarnation;
    readonly faults: number;
    readonly until: Instant;
}

/** Tracks the backoff of each engine. */
export class EngineBackoff {
    private readonly backoffs = new Map<TargetId, Backoff>();

    isBackingOff({ target, incarnation }: TargetEntryView, now: Instant): boolean {
        const backoff = this.backoffs.get(target);
        return backoff !== undefined && backoff.incarnation === incarnation && now < backoff.until;
    }

    /** Records a fault and returns the milliseconds until the engine is used again. */
    recordFault({ target, incarnation }: TargetEntryView, now: Instant): number {
        const current = this.backoffs.get(target);
        const faults = current?.incarnation === incarnation ? current.faults : 0;
        if (current !== undefined && faults > 0 && now < current.until) {
            return current.until - now;
        }
        const ms = Math.min(backoffMs.max, backoffMs.first * 2 ** faults);
        this.backoffs.set(target, { incarnation, faults: faults + 1, until: after(now, ms) });
        return ms;
    }

    /** Records that an engine refused work; its backoff does not grow with each refusal. */
    recordRefusal({ target, incarnation }: TargetEntryView, now: Instant): void {
        const faults = this.backoffs.get(target)?.faults ?? 0;
        this.backoffs.set(target, { incarnation, faults, until: after(now, refusalBackoffMs) });
    }

    recordSuccess(target: TargetId): void {
        this.backoffs.delete(target);
    }

    /** When the first engine's backoff ends, or undefined when none backs off. */
    nextRetryAt(now: Instant): Instant | undefined {
        const times = [...this.backoffs.values()].map(({ until }) => until).filter(until => until > now);
        return times.length === 0 ? undefined : Math.min(...times) as Instant;
    }
}
