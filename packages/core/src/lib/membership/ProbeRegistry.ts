/** The probes in progress, and the order in which members are probed. */

import { type HostId, type Instant } from "../ids.js";

/** A probe in progress. */
export interface Probe {
    readonly host: HostId;
    /** When the result is due. A failure that is reported much later is ignored, since this host was too busy then. */
    readonly deadline: Instant;
    /** Number of outstanding relay responses; undefined during the direct probe. */
    readonly pendingRelays: number | undefined;
    /** Whether a failure makes the member suspect; false for a probe of an absent host. */
    readonly canRaiseSuspicion: boolean;
}

/** Probes by id, and the members that remain to be probed in the current round. */
export class ProbeRegistry {
    private readonly pending = new Map<number, Probe>();
    private remainingInRound: HostId[] = [];
    private lastId = 0;

    constructor(private readonly random: () => number) {}

    open(probe: Probe): number {
        this.lastId++;
        this.pending.set(this.lastId, probe);
        return this.lastId;
    }

    get(id: number): Probe | undefined {
        return this.pending.get(id);
    }

    update(id: number, probe: Probe): void {
        this.pending.set(id, probe);
    }

    close(id: number): void {
        this.pending.delete(id);
    }

    /** Drops every probe; later results are ignored. */
    clear(): void {
        this.pending.clear();
    }

    isProbing(host: HostId): boolean {
        return [...this.pending.values()].some(probe => probe.host === host);
    }

    /** Returns the next member to probe: each one once per round, in random order. */
    next(members: readonly HostId[]): HostId | undefined {
        const present = new Set(members);
        for (;;) {
            const host = this.remainingInRound.pop();
            if (host !== undefined && present.has(host)) {
                return host;
            }
            if (host === undefined) {
                this.remainingInRound = this.shuffle(members);
                return this.remainingInRound.pop();
            }
        }
    }

    private shuffle(members: readonly HostId[]): HostId[] {
        return members
            .map(host => ({ host, at: this.random() }))
            .sort((a, b) => a.at - b.at)
            .map(({ host }) => host);
    }
}
