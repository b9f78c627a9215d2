/**
 * What a zone knows of the other zones. Only a few representatives of each zone, placed by rendezvous among its live
 * hosts, talk across zones: they exchange a summary of every zone and the facts in which they differ. Pure.
 */

import { after, type HostId, type Instant, type ZoneId } from "../ids.js";
import { type Fact, type FactMap } from "./FactMap.js";
import { rankNodes } from "./rendezvous.js";
import { pickRandom } from "./seededRandom.js";

/** A host of another zone and where it listens for peers. */
export interface ZoneContact {
    readonly host: HostId;
    readonly address: string;
}

/** A zone as its representatives describe it. */
export interface ZoneSummary {
    readonly zone: ZoneId;
    /** When a representative of the zone made the summary; a later one replaces it. */
    readonly madeAt: Instant;
    readonly liveHosts: number;
    /** The zone's representatives. */
    readonly contacts: readonly ZoneContact[];
}

/** What representatives of two zones tell each other. */
export interface ZoneMessage {
    /** Zone of the sender. */
    readonly zone: ZoneId;
    readonly summaries: readonly ZoneSummary[];
    /** Sum over the sender's facts. */
    readonly digest: number;
    readonly facts: readonly Fact[];
}

/** An exchange that is due. */
export interface ZoneExchange {
    readonly zone: ZoneId;
    readonly contact: ZoneContact;
    readonly message: ZoneMessage;
    readonly deadline: Instant;
}

/** What a directory needs. */
export interface ZoneDirectoryOptions {
    readonly host: HostId;
    readonly zone: ZoneId;
    readonly facts: FactMap;
    readonly random: () => number;
}

const representativesPerZone = 2;
const listedContactsTried = 4;
const exchangeEveryMs = 2000;
const soonestMs = 300;
const exchangeTimeoutMs = 1500;
const factsPerExchange = 64;
const freshFacts = 16;
const zonesPerNews = 2;

/** The other zones as one host knows them. */
export class ZoneDirectory {
    private readonly summaries = new Map<ZoneId, ZoneSummary>();
    private readonly heardAt = new Map<ZoneId, Instant>();
    private listed = new Map<ZoneId, readonly ZoneContact[]>();
    /** Zones whose facts differed at the last exchange. */
    private readonly differing = new Set<ZoneId>();
    private dueAt: Instant;
    private lastAt = 0 as Instant;
    private hasNews = false;

    constructor(private readonly options: ZoneDirectoryOptions, now: Instant) {
        this.dueAt = after(now, options.random() * exchangeEveryMs);
    }

    get wakeAt(): Instant {
        return this.dueAt;
    }

    /** The hosts that talk to other zones for a zone with these live hosts. */
    static representatives(zone: ZoneId, live: readonly HostId[]): readonly HostId[] {
        return rankNodes(`representative/${zone}`, live).slice(0, representativesPerZone);
    }

    /** Takes the hosts of the other zones as the platform lists them. */
    setListedContacts(contacts: ReadonlyMap<ZoneId, readonly ZoneContact[]>): void {
        this.listed = new Map([...contacts].filter(([zone]) => zone !== this.options.zone));
    }

    /** Notes that facts were raised, which go to other zones soon. */
    scheduleFactExchange(now: Instant): void {
        this.hasNews = true;
        this.dueAt = Math.min(this.dueAt, Math.max(now, after(this.lastAt, soonestMs))) as Instant;
    }

    /** The exchanges that are due, given the live hosts of this zone with their addresses. */
    takeDueExchanges(members: readonly ZoneContact[], now: Instant): readonly ZoneExchange[] {
        if (now < this.dueAt) {
            return [];
        }
        const { host, zone, random } = this.options;
        const count = this.hasNews ? zonesPerNews : 1;
        this.hasNews = false;
        this.lastAt = now;
        this.dueAt = after(now, exchangeEveryMs * (0.75 + random() / 2));
        const representatives = ZoneDirectory.representatives(zone, members.map(member => member.host));
        if (!representatives.includes(host)) {
            return [];
        }
        this.take({
            zone,
            madeAt: now,
            liveHosts: members.length,
            contacts: members.filter(member => representatives.includes(member.host)),
        });
        const zones = new Set([...this.listed.keys(), ...this.summaries.keys()]);
        zones.delete(zone);
        return pickRandom(random, [...zones], count).flatMap(other => this.exchangeWith(other, now));
    }

    /** Takes what another zone says; the facts in it are for the caller to raise. */
    receive(zone: ZoneId, message: ZoneMessage, now: Instant): readonly Fact[] {
        message.summaries.filter(summary => summary.zone !== this.options.zone).forEach(summary => this.take(summary));
        this.heardAt.set(zone, now);
        return message.facts;
    }

    /** Notes after an exchange, once its facts were raised, whether the two zones know the same. */
    settle(zone: ZoneId, digest: number): void {
        if (digest === this.options.facts.digest) {
            this.differing.delete(zone);
        }
        else {
            this.differing.add(zone);
        }
    }

    /** What to answer to a message with `digest`. */
    answer(digest: number): ZoneMessage {
        return this.compose(digest === this.options.facts.digest ? 0 : factsPerExchange);
    }

    describe(): object {
        return [...this.summaries.values()].map(summary => ({
            ...summary,
            heardAt: this.heardAt.get(summary.zone),
        }));
    }

    private take(summary: ZoneSummary): void {
        if (summary.madeAt > (this.summaries.get(summary.zone)?.madeAt ?? 0)) {
            this.summaries.set(summary.zone, summary);
        }
    }

    private exchangeWith(zone: ZoneId, now: Instant): readonly ZoneExchange[] {
        const contact = pickRandom(this.options.random, this.contactsOf(zone), 1)[0];
        return contact === undefined ? [] : [{
            zone,
            contact,
            message: this.compose(this.differing.has(zone) ? factsPerExchange : freshFacts),
            deadline: after(now, exchangeTimeoutMs),
        }];
    }

    /** The zone's representatives and the hosts that would be if all listed ones lived; a listed address wins. */
    private contactsOf(zone: ZoneId): readonly ZoneContact[] {
        const listed = this.listed.get(zone) ?? [];
        const addresses = new Map(listed.map(({ host, address }) => [host, address]));
        const likely = rankNodes(`representative/${zone}`, [...addresses.keys()]).slice(0, listedContactsTried);
        const known = this.summaries.get(zone)?.contacts ?? [];
        const all = new Map(known.map(({ host, address }) => [host, address]));
        likely.forEach(host => all.set(host, addresses.get(host)!));
        return [...all].map(([host, address]) => ({ host, address: addresses.get(host) ?? address }));
    }

    private compose(facts: number): ZoneMessage {
        return {
            zone: this.options.zone,
            summaries: [...this.summaries.values()],
            digest: this.options.facts.digest,
            facts: this.options.facts.sample(facts, this.options.random),
        };
    }
}
