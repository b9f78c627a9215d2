/** Probes members, first directly and then through relays, and returns the members to suspect. */

import { after, type HostId, type Instant } from "../ids.js";
import { type LocalHealth } from "./LocalHealth.js";
import { type GossipMessage } from "./MemberRecord.js";
import { type MembershipDecision } from "./membershipMessages.js";
import { type MembershipTimings } from "./MembershipTimings.js";
import { ProbeRegistry } from "./ProbeRegistry.js";
import { pickRandom } from "./seededRandom.js";

/** Dependencies of a prober. */
export interface ProberOptions {
    readonly timings: MembershipTimings;
    readonly random: () => number;
    readonly health: LocalHealth;
    /** Composes the message to a host. */
    readonly compose: (to: HostId) => GossipMessage;
    readonly decide: (decision: MembershipDecision) => void;
}

const maxRelaysPerProbe = 3;

/** The probes of one host. */
export class Prober {
    private readonly probes: ProbeRegistry;

    constructor(private readonly options: ProberOptions) {
        this.probes = new ProbeRegistry(options.random);
    }

    /** Drops every probe in progress. */
    clear(): void {
        this.probes.clear();
    }

    /** Returns the next member to probe. */
    next(members: readonly HostId[]): HostId | undefined {
        return this.probes.next(members);
    }

    isProbing(host: HostId): boolean {
        return this.probes.isProbing(host);
    }

    /** Starts a probe; it can end in a suspicion only if `canRaiseSuspicion` is true. */
    start(host: HostId, canRaiseSuspicion: boolean, now: Instant): void {
        const { timings, health, compose, decide } = this.options;
        const deadline = after(now, timings.probeTimeoutMs * health.multiplier);
        const id = this.probes.open({ host, deadline, pendingRelays: undefined, canRaiseSuspicion });
        decide({ kind: "probe", id, host, message: compose(host), deadline });
    }

    /** Records the direct response to probe `id`. */
    answered(id: number): void {
        this.probes.close(id);
        this.options.health.improve();
    }

    /** Handles a missing direct response: probes through some of `others`, or returns the host to suspect if none. */
    unanswered(id: number, others: (host: HostId) => readonly HostId[], now: Instant): HostId | undefined {
        const probe = this.probes.get(id);
        if (probe === undefined || !probe.canRaiseSuspicion || this.isTooLate(probe.deadline, now)) {
            this.probes.close(id);
            return undefined;
        }
        const relays = pickRandom(this.options.random, others(probe.host), maxRelaysPerProbe);
        if (relays.length === 0) {
            this.probes.close(id);
            return probe.host;
        }
        this.probeThroughRelays(id, probe.host, relays, now);
        return undefined;
    }

    /** Records a relay's response; returns the host to suspect once every relay has failed to reach it. */
    relayed(id: number, reached: boolean | undefined, now: Instant): HostId | undefined {
        const probe = this.probes.get(id);
        if (probe?.pendingRelays === undefined) {
            return undefined;
        }
        if (reached === undefined) {
            this.options.health.worsen();
        }
        if (reached === true || this.isTooLate(probe.deadline, now)) {
            this.probes.close(id);
            return undefined;
        }
        this.probes.update(id, { ...probe, pendingRelays: probe.pendingRelays - 1 });
        if (probe.pendingRelays > 1) {
            return undefined;
        }
        this.probes.close(id);
        return probe.host;
    }

    private probeThroughRelays(id: number, host: HostId, relays: readonly HostId[], now: Instant): void {
        const { timings, health, compose, decide } = this.options;
        const deadline = after(now, timings.relayTimeoutMs * health.multiplier);
        this.probes.update(id, { host, deadline, pendingRelays: relays.length, canRaiseSuspicion: true });
        relays.forEach(via => decide({ kind: "relay", id, via, host, message: compose(via), deadline }));
    }

    /** Returns whether a result came so late that this host itself must have been too busy. */
    private isTooLate(deadline: Instant, now: Instant): boolean {
        const isLate = now - deadline > this.options.timings.pauseThresholdMs;
        if (isLate) {
            this.options.health.worsen();
        }
        return isLate;
    }
}
