/**
 * Which values have been in force for each subject, and when: the software versions of a service, and the services of a
 * route. With one value for longer than a stream lives, the value that served a stream is known without a record of the
 * stream. Histories of several hosts and runs are merged; a merge only widens periods, so that it never excludes a value
 * that was in force.
 */

import { after, type Instant } from "../ids.js";

/** When a value was in force; open while `until` is undefined. */
export interface ServingPeriod {
    readonly value: string;
    readonly since: Instant;
    readonly until: Instant | undefined;
}

/** A history as it is stored. */
export interface ServingDocument {
    /** The history is complete from this time on. */
    readonly knownSince: Instant;
    readonly subjects: readonly (readonly [subject: string, periods: readonly ServingPeriod[]])[];
}

/** Milliseconds by which hosts learn of a change later than others, and for which they still use the old value. */
const propagationMs = 5000;

/** The value of a target whose entry does not name its software. */
export const unknownValue = "";

/** Keeps the history of all subjects for `retentionMs`. */
export class ServingHistory {
    private readonly periods = new Map<string, ServingPeriod[]>();

    constructor(private knownSince: Instant, private readonly retentionMs: number) {}

    /**
     * Sets the values of a subject that are in force at `now`; returns whether that is a change. At the first look at a
     * history that is complete from its beginning, the values have been in force since then.
     */
    observe(subject: string, values: ReadonlySet<string>, now: Instant, isFirstLook: boolean): boolean {
        const known = this.periods.get(subject) ?? [];
        const open = new Set(known.filter(({ until }) => until === undefined).map(({ value }) => value));
        const begun = [...values].filter(value => !open.has(value));
        const ended = [...open].filter(value => !values.has(value));
        const kept = known.filter(({ until }) => until === undefined || until > now - this.retentionMs);
        if (begun.length + ended.length === 0 && kept.length === known.length) {
            return false;
        }
        const since = isFirstLook && known.length === 0 ? this.knownSince : now;
        const next = [
            ...kept.map(period =>
                period.until === undefined && ended.includes(period.value) ? { ...period, until: now } : period
            ),
            ...begun.map(value => ({ value, since, until: undefined })),
        ];
        if (next.length === 0) {
            this.periods.delete(subject);
        }
        else {
            this.periods.set(subject, next);
        }
        return begun.length + ended.length > 0;
    }

    /** Subjects of which the history knows a value. */
    get subjects(): readonly string[] {
        return [...this.periods.keys()];
    }

    /** Adds what another host, or an earlier run, has recorded. */
    merge({ knownSince, subjects }: ServingDocument): void {
        this.knownSince = Math.min(this.knownSince, knownSince) as Instant;
        for (const [subject, periods] of subjects) {
            const own = this.periods.get(subject) ?? [];
            const values = new Set([...own, ...periods].map(({ value }) => value));
            this.periods.set(subject, [...values].map(value => union([...own, ...periods], value)));
        }
    }

    /**
     * The values that may have been in force for a subject since `from`, as other hosts saw them too; undefined when the
     * history does not reach back as far.
     */
    valuesSince(subject: string, from: Instant): ReadonlySet<string> | undefined {
        const periods = this.periods.get(subject) ?? [];
        const isCovered = this.knownSince <= from && periods.some(({ since }) => since <= from);
        const values = periods.filter(({ until }) => until === undefined || after(until, propagationMs) >= from)
            .map(({ value }) => value);
        return isCovered && !values.includes(unknownValue) ? new Set(values) : undefined;
    }

    /** The history as it is stored. */
    get document(): ServingDocument {
        return { knownSince: this.knownSince, subjects: [...this.periods] };
    }
}

/** One period that covers all periods of `value`. */
function union(periods: readonly ServingPeriod[], value: string): ServingPeriod {
    const same = periods.filter(period => period.value === value);
    const isOpen = same.some(({ until }) => until === undefined);
    return {
        value,
        since: Math.min(...same.map(({ since }) => since)) as Instant,
        until: isOpen ? undefined : Math.max(...same.map(({ until }) => until!)) as Instant,
    };
}
