/** Sums what the other hosts last said they have in flight at each target. A host that falls silent is forgotten. */

import { type HostId, type Instant, type TargetId } from "../ids.js";

interface PeerReport {
    readonly counts: ReadonlyMap<TargetId, number>;
    readonly until: Instant;
}

/** The other hosts' requests in flight. */
export class PeerInFlightCounts {
    private readonly hosts = new Map<HostId, PeerReport>();
    private readonly totals = new Map<TargetId, number>();

    constructor(private readonly onChange: (target: TargetId, count: number) => void) {}

    /** Takes one host's counts in place of its last ones. */
    update(host: HostId, counts: Readonly<Record<string, number>>, until: Instant): void {
        const next = new Map(Object.entries(counts) as [TargetId, number][]);
        const before = this.hosts.get(host)?.counts ?? new Map<TargetId, number>();
        this.hosts.set(host, { counts: next, until });
        this.replace(before, next);
    }

    /** Forgets the hosts that have been silent for too long. */
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
