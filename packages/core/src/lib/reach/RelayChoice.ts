/**
 * Chooses the host through which requests go while this host reaches no target: one that says that it reaches targets, in
 * the same zone if there is any, in turn, so that the load of a zone that is cut off is shared out. A host that did not
 * take a request is left out for a while.
 */

import { after, type HostId, type Instant, type ZoneId } from "../ids.js";

/** A host that reaches targets. */
export interface RelayHost {
    readonly host: HostId;
    readonly zone: ZoneId;
}

/** Milliseconds for which a host that did not take a request is left out. */
const refusalTtlMs = 500;

/** Chooses relays for one host. */
export class RelayChoice {
    private readonly refusedUntil = new Map<HostId, Instant>();
    private hosts: readonly RelayHost[] = [];
    private turn: number;

    constructor(private readonly zone: ZoneId, random: () => number) {
        this.turn = Math.floor(random() * 1000);
    }

    /** Sets the hosts that reach targets, as of the newest view. */
    setHosts(hosts: readonly RelayHost[]): void {
        this.hosts = hosts;
        const listed = new Set(hosts.map(({ host }) => host));
        [...this.refusedUntil.keys()].filter(host => !listed.has(host)).forEach(host => this.refusedUntil.delete(host));
    }

    /** Whether any host is known through which requests may go. */
    hasAny(now: Instant): boolean {
        return this.usable(now).length > 0;
    }

    /** The host for the next request that is not in `tried`, or undefined if there is none. */
    choose(tried: ReadonlySet<HostId>, now: Instant): HostId | undefined {
        const usable = this.usable(now).filter(({ host }) => !tried.has(host));
        const near = usable.filter(({ zone }) => zone === this.zone);
        const pool = near.length > 0 ? near : usable;
        return pool.length === 0 ? undefined : pool[this.turn++ % pool.length]!.host;
    }

    /** Records that a host did not take a request. */
    recordRefusal(host: HostId, now: Instant): void {
        this.refusedUntil.set(host, after(now, refusalTtlMs));
    }

    private usable(now: Instant): readonly RelayHost[] {
        return this.hosts.filter(({ host }) => (this.refusedUntil.get(host) ?? 0) <= now);
    }
}
