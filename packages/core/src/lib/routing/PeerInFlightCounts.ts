/**
 * Sums the requests in flight at each target as last reported by other hosts. A host's counts expire if it stops
 * reporting.
 */

import { type HostId, type Instant, type TargetId } from "../ids.js";

interface PeerReport {
    readonly counts: ReadonlyMap<TargetId, number>;
    readonly until: Instant;
}

/** Tracks the other hosts' requests in flight. */
export class PeerInFlightCounts {
    private readonly hosts = new Map<HostId, PeerReport>();
    private readonly totals = new Map<TargetId, number>();

    constructor(private readonly onChange: (target: TargetId, count: number) => void) {}

    /** Replaces the counts of one host; they expire at `until`. */
    update(host: HostId, counts: Readonly<Record<string, number>>, until: Instant): void {
        const next = new Map(Object.entries(counts) as [TargetId, number][]);
        const before = this.hosts.get(host)?.counts ?? new Map<TargetId, number>();
        this.hosts.set(host, { counts: next, until });
        this.replace(before, next);
    }

    /** Removes the counts that have expired. */
    expire(now: Instant): void {
        for (const [host, { counts, until }] of this.hosts) {
            if (until <= now) {
                this.hosts.delete(host);
                this.replace(counts, new Map());
            }
        }
    }

    private replace(before: ReadonlyMap<TargetId, number>, next: ReadonlyMap<TargetId, number>): void {
        for (const target of new Set([...before.keys(), ...next.keys()])) {
            const change = (next.get(target) ?? 0) - (before.get(target) ?? 0);
            if (change !== 0) {
                const total = (this.totals.get(target) ?? 0) + change;
                this.totals.set(target, total);
                this.onChange(target, total);
            }
        }
    }
}
