/**
 * Membership inside a zone, in the manner of SWIM: one member is probed each period, others are asked to probe one
 * that does not answer, and a suspected member has until a deadline to refute. News and facts travel with the probes.
 * Pure: it takes events with the present time and returns what to do. Membership is a hint; no promise rests on it.
 */

import { after, type HostId, type Incarnation, type Instant, type ZoneId } from "../ids.js";
import { type Fact, type FactMap } from "./FactMap.js";
import { LocalHealth } from "./LocalHealth.js";
import { type GossipMessage, type MemberRecord } from "./MemberRecord.js";
import { type MembershipDecision, type MembershipEvent, type SyncMessage } from "./membershipMessages.js";
import { type MembershipTimings } from "./MembershipTimings.js";
import { type Contact, MemberTable } from "./MemberTable.js";
import { NewsQueue } from "./NewsQueue.js";
import { Prober } from "./Prober.js";
import { pickRandom } from "./seededRandom.js";
import { Suspicion } from "./Suspicion.js";
import { ViewAnnouncer } from "./ViewAnnouncer.js";

/** Who a member is, and how it works. */
export interface MembershipOptions {
    readonly host: HostId;
    readonly zone: ZoneId;
    readonly address: string;
    readonly incarnation: Incarnation;
    readonly seeds: readonly Contact[];
    readonly timings: MembershipTimings;
    readonly random: () => number;
    readonly facts: FactMap;
}

type Handlers = {
    readonly [Kind in MembershipEvent["kind"]]: (
        event: Extract<MembershipEvent, { readonly kind: Kind; }>,
        now: Instant,
    ) => void;
};

const triesWhenAlone = 3;
const pushFanOut = 2;
const membersPerSync = 256;
const factsPerSync = 256;

/** One host's part in the membership of its zone. */
export class Membership {
    private self: MemberRecord;
    private readonly table: MemberTable;
    private readonly prober: Prober;
    private readonly health = new LocalHealth();
    private readonly news: NewsQueue;
    private readonly announcer = new ViewAnnouncer();
    private decisions: MembershipDecision[] = [];
    private probeAt: Instant;
    private contactAt: Instant;
    private syncAt: Instant;
    private lastNow: Instant;

    constructor(private readonly options: MembershipOptions, now: Instant) {
        const { host, address, incarnation, random, timings } = options;
        this.self = { host, address, incarnation, refutation: 0, status: "alive", accuser: undefined, leaving: false };
        this.table = new MemberTable(options.seeds);
        this.prober = new Prober({
            timings,
            random,
            health: this.health,
            compose: to => this.composeMessage(to),
            decide: decision => this.decide(decision),
        });
        this.news = new NewsQueue(timings.minGossipIntervalMs);
        this.probeAt = after(now, random() * timings.probeIntervalMs);
        this.contactAt = now;
        this.syncAt = now;
        this.lastNow = now;
    }

    /** When the next "wake" event is due. */
    get wakeAt(): Instant {
        let earliest = Math.min(this.probeAt, this.contactAt, this.news.pushAt);
        for (const { suspicion } of this.table.present()) {
            if (suspicion !== undefined) {
                earliest = Math.min(earliest, suspicion.deadline);
            }
        }
        return earliest as Instant;
    }

    /** The hosts that can be given duties: this one too, unless it leaves and others stay. */
    get live(): readonly HostId[] {
        const others = this.table.live();
        return this.self.leaving && others.length > 0 ? [...others].sort() : [this.self.host, ...others].sort();
    }

    /** Every member that is not dead, this host and those that leave included. */
    get present(): readonly MemberRecord[] {
        return [this.self, ...this.table.present().map(({ record }) => record)];
    }

    /** This host's own record. */
    describeSelf(): MemberRecord {
        return this.self;
    }

    /** All that is known, for the dump. */
    describe(): object {
        return {
            self: this.self,
            healthMultiplier: this.health.multiplier,
            members: this.table.all().map(({ record, suspicion, deadSince }) => ({
                ...record,
                suspectedUntil: suspicion?.deadline,
                deadSince,
            })),
            absent: this.table.absent(),
            newsWaiting: this.news.length,
        };
    }

    handle(event: MembershipEvent, now: Instant): readonly MembershipDecision[] {
        this.noticePause(now);
        this.lastNow = now;
        const handler = this.handlers[event.kind] as (event: MembershipEvent, now: Instant) => void;
        handler(event, now);
        this.news.plan(now, this.table.present().length > 0);
        const decided = [...this.announcer.announce(this.table, this.self, () => this.live), ...this.decisions];
        this.decisions = [];
        return decided;
    }

    /** The message that answers, or goes to, `to`. */
    composeMessage(to: HostId | undefined): GossipMessage {
        const accused = to === undefined ? undefined : this.table.get(to)?.record;
        const { updates, facts } = this.news.take(this.table.present().length + 1);
        return {
            zone: this.options.zone,
            sender: this.self,
            digest: this.digest,
            updates: accused === undefined || accused.status === "alive" ? updates : [accused, ...updates],
            facts,
        };
    }

    /** The whole view, or a random part of a view that is too large for one message. */
    composeSyncMessage(to: HostId): SyncMessage {
        const records = this.table.present().map(({ record }) => record);
        return {
            ...this.composeMessage(to),
            facts: this.options.facts.sample(factsPerSync, this.options.random),
            members: pickRandom(this.options.random, records, membersPerSync),
        };
    }

    private get digest(): number {
        return this.table.digest(this.self) ^ this.options.facts.digest;
    }

    private readonly handlers: Handlers = {
        "wake": (unusedEvent, now) => this.wake(now),
        "listed": ({ contacts }) => this.table.list(contacts.filter(({ host }) => host !== this.self.host)),
        "heard": ({ message }, now) => this.hear(message, now),
        "probe-ended": ({ id, answer }, now) => this.endProbe(id, answer, now),
        "relay-ended": ({ id, reached }, now) => this.accuse(this.prober.relayed(id, reached, now), now),
        "synced": ({ message }, now) => {
            this.hear(message, now);
            message.members.forEach(record => this.merge(record, now));
        },
        "link-ended": ({ host }, now) => this.probePresent(host, now),
        "raise": ({ facts }) => this.takeFacts(facts),
        "leave": () => {
            this.self = { ...this.self, leaving: true };
            this.news.addRecord(this.self);
        },
    };

    private wake(now: Instant): void {
        const { timings, random } = this.options;
        this.expireSuspicions(now);
        if (now >= this.probeAt) {
            this.probeAt = after(now, timings.probeIntervalMs);
            this.probeNext(now);
        }
        if (now >= this.contactAt) {
            this.contactAt = after(now, timings.absentProbeIntervalMs * (0.75 + random() / 2));
            this.tryAbsent(now);
            this.table.reap((now - timings.tombstoneTtlMs) as Instant);
        }
        if (now >= this.news.pushAt) {
            this.pushNews(now);
        }
    }

    /** Puts off every verdict when this host was paused or its clock was set back, since it heard nobody meanwhile. */
    private noticePause(now: Instant): void {
        const { pauseThresholdMs: pauseMs, minSuspicionTimeoutMs: suspicionMs } = this.options.timings;
        const backMs = this.lastNow - now;
        const lateMs = now - Math.max(this.wakeAt, this.lastNow);
        if (lateMs < pauseMs && backMs < pauseMs) {
            return;
        }
        this.health.distrust();
        this.prober.clear();
        const shiftMs = lateMs >= pauseMs ? lateMs + suspicionMs : -backMs;
        this.table.present().forEach(({ suspicion }) => suspicion?.postpone(shiftMs));
        this.probeAt = now;
        this.contactAt = now;
        this.syncAt = now;
    }

    private probeNext(now: Instant): void {
        const host = this.prober.next(this.table.present().map(({ record }) => record.host));
        if (host !== undefined) {
            this.prober.start(host, true, now);
        }
    }

    private probePresent(host: HostId, now: Instant): void {
        const status = this.table.get(host)?.record.status ?? "dead";
        if (status !== "dead" && !this.prober.isProbing(host)) {
            this.prober.start(host, true, now);
        }
    }

    private tryAbsent(now: Instant): void {
        const absent = this.table.absent();
        const count = this.table.present().length === 0 ? triesWhenAlone : 1;
        pickRandom(this.options.random, absent, count).forEach(host => this.prober.start(host, false, now));
    }

    private endProbe(id: number, answer: GossipMessage | undefined, now: Instant): void {
        if (answer === undefined) {
            this.accuse(this.prober.unanswered(id, host => this.relaysFor(host), now), now);
            return;
        }
        this.prober.answered(id);
        this.hear(answer, now);
        this.planSync(answer, now);
    }

    private relaysFor(host: HostId): readonly HostId[] {
        return this.table.present()
            .filter(({ record }) => record.host !== host && record.status === "alive")
            .map(({ record }) => record.host);
    }

    private accuse(host: HostId | undefined, now: Instant): void {
        const record = host === undefined ? undefined : this.table.get(host)?.record;
        if (record !== undefined && record.status !== "dead") {
            this.merge({ ...record, status: "suspect", accuser: this.self.host }, now);
        }
    }

    private expireSuspicions(now: Instant): void {
        for (const { record, suspicion } of this.table.present()) {
            if (suspicion !== undefined && suspicion.deadline <= now) {
                this.merge({ ...record, status: "dead", accuser: this.self.host }, now);
            }
        }
    }

    private hear(message: GossipMessage, now: Instant): void {
        if (message.zone !== this.options.zone) {
            return;
        }
        this.merge(message.sender, now);
        message.updates.forEach(record => this.merge(record, now));
        this.takeFacts(message.facts);
    }

    private takeFacts(facts: readonly Fact[]): void {
        const raised = facts.filter(fact => this.options.facts.raise(fact));
        raised.forEach(fact => this.news.addFact(fact));
        if (raised.length > 0) {
            this.decide({ kind: "facts-raised", facts: raised });
        }
    }

    private merge(record: MemberRecord, now: Instant): void {
        if (record.host === this.self.host) {
            this.refute(record);
            return;
        }
        const isNews = this.table.merge(record, now);
        const isConfirmation = record.status === "suspect" && this.confirm(record, now);
        if (isNews) {
            this.news.addRecord(this.table.get(record.host)!.record);
        }
        else if (isConfirmation) {
            this.news.addRecord(record);
        }
    }

    /** Counts the accuser of a suspicion that is the present one, and tells whether that is news. */
    private confirm(record: MemberRecord, now: Instant): boolean {
        const member = this.table.get(record.host);
        const isPresent = member?.record.status === "suspect"
            && member.record.incarnation === record.incarnation
            && member.record.refutation === record.refutation;
        if (member === undefined || !isPresent || record.accuser === undefined) {
            return false;
        }
        const others = this.table.present().length - 1;
        const shortestMs = this.options.timings.minSuspicionTimeoutMs * Math.max(1, Math.log10(others + 1))
            * this.health.multiplier;
        const suspicion = member.suspicion ?? new Suspicion(now, shortestMs, others);
        this.table.suspect(record.host, suspicion);
        return suspicion.confirm(record.accuser);
    }

    private refute(record: MemberRecord): void {
        const { incarnation, refutation } = this.self;
        if (record.incarnation > incarnation) {
            this.self = { ...this.self, incarnation: (record.incarnation + 1) as Incarnation };
        }
        else if (record.incarnation < incarnation || record.refutation < refutation || record.status === "alive") {
            return;
        }
        else {
            this.self = { ...this.self, refutation: record.refutation + 1 };
            this.health.worsen();
        }
        this.news.addRecord(this.self);
    }

    private planSync(answer: GossipMessage, now: Instant): void {
        const { timings, random } = this.options;
        if (answer.zone !== this.options.zone || answer.digest === this.digest || now < this.syncAt) {
            return;
        }
        this.syncAt = after(now, timings.minSyncIntervalMs * (0.75 + random() / 2));
        const { host } = answer.sender;
        const deadline = after(now, timings.relayTimeoutMs * this.health.multiplier);
        this.decide({ kind: "sync", host, message: this.composeSyncMessage(host), deadline });
    }

    private pushNews(now: Instant): void {
        this.news.pushed(now);
        const present = this.table.present().map(({ record }) => record.host);
        pickRandom(this.options.random, present, pushFanOut).forEach(host =>
            this.decide({ kind: "gossip", host, message: this.composeMessage(host) })
        );
    }

    private decide(decision: MembershipDecision): void {
        this.decisions.push(decision);
    }
}
