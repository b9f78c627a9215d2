/**
 * One host's view of the other zones. Only a few representatives of each zone, chosen among its live hosts by
 * rendezvous hashing, send messages across zones: they exchange a summary of every zone and a sample of their facts,
 * which is larger when the facts of the two zones differ. A pure state machine.
 */

import { after, type HostId, type Instant, type ZoneId } from "../ids.js";
import { type Fact, type FactMap } from "./FactMap.js";
import { rankNodes } from "./rendezvous.js";
import { pickRandom } from "./seededRandom.js";

/** A host of another zone, with the address of its peer socket. */
export interface ZoneContact {
    readonly host: HostId;
    readonly address: string;
}

/** A zone as its representatives describe it. */
export interface ZoneSummary {
    readonly zone: ZoneId;
    /** When a representative of the zone composed the summary; a later one replaces it. */
    readonly madeAt: Instant;
    readonly liveHosts: number;
    /** The zone's representatives. */
    readonly contacts: readonly ZoneContact[];
}

/** The message that representatives of two zones send each other. */
export interface ZoneMessage {
    /** Zone of the sender. */
    readonly zone: ZoneId;
    readonly summaries: readonly ZoneSummary[];
    /** XOR of hashes over the sender's facts. */
    readonly digest: number;
    readonly facts: readonly Fact[];
}

/** An exchange that is due: `message` is to be sent to `contact`, a host of `zone`. */
export interface ZoneExchange {
    readonly zone: ZoneId;
    readonly contact: ZoneContact;
    readonly message: ZoneMessage;
    readonly deadline: Instant;
}

/** Dependencies of a zone directory. */
export interface ZoneDirectoryOptions {
    readonly host: HostId;
    readonly zone: ZoneId;
    readonly facts: FactMap;
    readonly random: () => number;
}

const representativesPerZone = 2;
const maxListedContacts = 4;
const exchangeIntervalMs = 2000;
const minExchangeIntervalMs = 300;
const exchangeTimeoutMs = 1500;
const maxFactsPerExchange = 64;
const maxFactsWhenInSync = 16;
const zonesPerEarlyExchange = 2;

/** Summaries and contacts of the other zones, and the schedule of exchanges. */
export class ZoneDirectory {
    private readonly summaries = new Map<ZoneId, ZoneSummary>();
    private readonly lastReceivedAt = new Map<ZoneId, Instant>();
    private listed = new Map<ZoneId, readonly ZoneContact[]>();
    /** Zones whose facts differed at the last exchange. */
    private readonly outOfSync = new Set<ZoneId>();
    private nextExchangeAt: Instant;
    private lastExchangeAt = 0 as Instant;
    private hasRaisedFacts = false;

    constructor(private readonly options: ZoneDirectoryOptions, now: Instant) {
        this.nextExchangeAt = after(now, options.random() * exchangeIntervalMs);
    }

    get wakeAt(): Instant {
        return this.nextExchangeAt;
    }

    /** Returns the hosts that represent a zone with these live hosts. */
    static representatives(zone: ZoneId, live: readonly HostId[]): readonly HostId[] {
        return rankNodes(`representative/${zone}`, live).slice(0, representativesPerZone);
    }

    /** Sets the hosts of the other zones as the platform lists them. */
    setListedContacts(contacts: ReadonlyMap<ZoneId, readonly ZoneContact[]>): void {
        this.listed = new Map([...contacts].filter(([zone]) => zone !== this.options.zone));
    }

    /** Brings the next exchange forward after facts were raised. */
    scheduleFactExchange(now: Instant): void {
        this.hasRaisedFacts = true;
        this.nextExchangeAt = Math.min(
            this.nextExchangeAt,
            Math.max(now, after(this.lastExchangeAt, minExchangeIntervalMs)),
        ) as Instant;
    }

    /** Returns the exchanges that are due; `members` are the live hosts of this zone. */
    takeDueExchanges(members: readonly ZoneContact[], now: Instant): readonly ZoneExchange[] {
        if (now < this.nextExchangeAt) {
            return [];
        }
        const { host, zone, random } = this.options;
        const count = this.hasRaisedFacts ? zonesPerEarlyExchange : 1;
        this.hasRaisedFacts = false;
        this.lastExchangeAt = now;
        this.nextExchangeAt = after(now, exchangeIntervalMs * (0.75 + random() / 2));
        const representatives = ZoneDirectory.representatives(zone, members.map(member => member.host));
        if (!representatives.includes(host)) {
            return [];
        }
        this.mergeSummary({
            zone,
            madeAt: now,
            liveHosts: members.length,
            contacts: members.filter(member => representatives.includes(member.host)),
        });
        const zones = new Set([...this.listed.keys(), ...this.summaries.keys()]);
        zones.delete(zone);
        return pickRandom(random, [...zones], count).flatMap(other => this.exchangeWith(other, now));
    }

    /** Merges a message from another zone, and returns its facts, which are to be passed to `Membership` as "raise". */
    receive(zone: ZoneId, message: ZoneMessage, now: Instant): readonly Fact[] {
        message.summaries.filter(summary => summary.zone !== this.options.zone).forEach(summary =>
            this.mergeSummary(summary)
        );
        this.lastReceivedAt.set(zone, now);
        return message.facts;
    }

    /** Compares the other zone's digest with this host's facts, after those of the exchange were added to them. */
    settle(zone: ZoneId, digest: number): void {
        if (digest === this.options.facts.digest) {
            this.outOfSync.delete(zone);
        }
        else {
            this.outOfSync.add(zone);
        }
    }

    /** Composes the response to a message with `digest`. */
    answer(digest: number): ZoneMessage {
        return this.composeMessage(digest === this.options.facts.digest ? 0 : maxFactsPerExchange);
    }

    /** Returns the summaries for the dump. */
    describe(): object {
        return [...this.summaries.values()].map(summary => ({
            ...summary,
            heardAt: this.lastReceivedAt.get(summary.zone),
        }));
    }

    private mergeSummary(summary: ZoneSummary): void {
        if (summary.madeAt > (this.summaries.get(summary.zone)?.madeAt ?? 0)) {
            this.summaries.set(summary.zone, summary);
        }
    }

    private exchangeWith(zone: ZoneId, now: Instant): readonly ZoneExchange[] {
        const contact = pickRandom(this.options.random, this.contactsOf(zone), 1)[0];
        return contact === undefined ? [] : [{
            zone,
            contact,
            message: this.composeMessage(this.outOfSync.has(zone) ? maxFactsPerExchange : maxFactsWhenInSync),
            deadline: after(now, exchangeTimeoutMs),
        }];
    }

    /**
     * Returns the representatives in the zone's summary, and the first listed hosts in rendezvous order, which are
     * representatives if they are alive. A listed address takes precedence.
     */
    private contactsOf(zone: ZoneId): readonly ZoneContact[] {
        const listed = this.listed.get(zone) ?? [];
        const addresses = new Map(listed.map(({ host, address }) => [host, address]));
        const listedRepresentatives = rankNodes(`representative/${zone}`, [...addresses.keys()]).slice(
            0,
            maxListedContacts,
        );
        const known = this.summaries.get(zone)?.contacts ?? [];
        const all = new Map(known.map(({ host, address }) => [host, address]));
        listedRepresentatives.forEach(host => all.set(host, addresses.get(host)!));
        return [...all].map(([host, address]) => ({ host, address: addresses.get(host) ?? address }));
    }

    private composeMessage(maxFacts: number): ZoneMessage {
        return {
            zone: this.options.zone,
            summaries: [...this.summaries.values()],
            digest: this.options.facts.digest,
            facts: this.options.facts.sample(maxFacts, this.options.random),
        };
    }
}
