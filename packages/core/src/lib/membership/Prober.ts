/** Probes members: directly at first, then through others, and says who is to be suspected. */

import { after, type HostId, type Instant } from "../ids.js";
import { type LocalHealth } from "./LocalHealth.js";
import { type GossipMessage } from "./MemberRecord.js";
import { type MembershipDecision } from "./membershipMessages.js";
import { type MembershipTimings } from "./MembershipTimings.js";
import { ProbeBook } from "./ProbeBook.js";
import { pickRandom } from "./seededRandom.js";

/** What a prober needs of its host. */
export interface ProberOptions {
    readonly timings: MembershipTimings;
    readonly random: () => number;
    readonly health: LocalHealth;
    /** Makes the message that goes to a host. */
    readonly compose: (to: HostId) => GossipMessage;
    readonly decide: (decision: MembershipDecision) => void;
}

const relaysPerProbe = 3;

/** The probes of one host. */
export class Prober {
    private readonly probes: ProbeBook;

    constructor(private readonly options: ProberOptions) {
        this.probes = new ProbeBook(options.random);
    }

    /** Drops every probe that is under way. */
    clear(): void {
        this.probes.clear();
    }

    /** The member whose turn it is. */
    next(members: readonly HostId[]): HostId | undefined {
        return this.probes.next(members);
    }

    isProbing(host: HostId): boolean {
        return this.probes.isProbing(host);
    }

    /** Starts a probe; only a decisive one can end in a suspicion. */
    start(host: HostId, decisive: boolean, now: Instant): void {
        const { timings, health, compose, decide } = this.options;
        const deadline = after(now, timings.probeTimeoutMs * health.multiplier);
        const id = this.probes.open({ host, deadline, relaysLeft: undefined, decisive });
        decide({ kind: "probe", id, host, message: compose(host), deadline });
    }

    /** Notes a direct answer. */
    answered(id: number): void {
        this.probes.close(id);
        this.options.health.improve();
    }

    /** Notes that no direct answer came, and asks some of `others`; returns the host when nobody can be asked. */
    unanswered(id: number, others: (host: HostId) => readonly HostId[], now: Instant): HostId | undefined {
        const probe = this.probes.get(id);
        if (probe === undefined || !probe.decisive || this.isTooLate(probe.deadline, now)) {
            this.probes.close(id);
            return undefined;
        }
        const relays = pickRandom(this.options.random, others(probe.host), relaysPerProbe);
        if (relays.length === 0) {
            this.probes.close(id);
            return probe.host;
        }
        this.askRelays(id, probe.host, relays, now);
        return undefined;
    }

    /** Notes a relay's answer; returns the host once every relay failed to reach it. */
    relayed(id: number, reached: boolean | undefined, now: Instant): HostId | undefined {
        const probe = this.probes.get(id);
        if (probe?.relaysLeft === undefined) {
            return undefined;
        }
        if (reached === undefined) {
            this.options.health.worsen();
        }
        if (reached === true || this.isTooLate(probe.deadline, now)) {
            this.probes.close(id);
            return undefined;
        }
        this.probes.replace(id, { ...probe, relaysLeft: probe.relaysLeft - 1 });
        if (probe.relaysLeft > 1) {
            return undefined;
        }
        this.probes.close(id);
        return probe.host;
    }

    private askRelays(id: number, host: HostId, relays: readonly HostId[], now: Instant): void {
        const { timings, health, compose, decide } = this.options;
        const deadline = after(now, timings.relayTimeoutMs * health.multiplier);
        this.probes.replace(id, { host, deadline, relaysLeft: relays.length, decisive: true });
        relays.forEach(via => decide({ kind: "relay", id, via, host, message: compose(via), deadline }));
    }

    /** Tells whether a report came so late that this host itself must have been too busy. */
    private isTooLate(deadline: Instant, now: Instant): boolean {
        const isLate = now - deadline > this.options.timings.pauseThresholdMs;
        if (isLate) {
            this.options.health.worsen();
        }
        return isLate;
    }
}
