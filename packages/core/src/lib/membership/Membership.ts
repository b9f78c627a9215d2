/**
 * Membership within a zone, following SWIM: one member is probed each period, other members relay the probe to one that
 * does not respond, and a suspected member has until a deadline to refute. Updates and facts are piggybacked on probes.
 * A pure state machine: it takes events with the current time and returns decisions. Membership is only a hint; no
 * guarantee of the system depends on it.
 */

import { after, type HostId, type Incarnation, type Instant, type ZoneId } from "../ids.js";
import { type Fact, type FactMap } from "./FactMap.js";
import { LocalHealth } from "./LocalHealth.js";
import { type GossipMessage, type MemberRecord } from "./MemberRecord.js";
import { type MembershipDecision, type MembershipEvent, type SyncMessage } from "./membershipMessages.js";
import { type MembershipTimings } from "./MembershipTimings.js";
import { type Contact, MemberTable } from "./MemberTable.js";
import { PendingGossip } from "./PendingGossip.js";
import { Prober } from "./Prober.js";
import { pickRandom } from "./seededRandom.js";
import { Suspicion } from "./Suspicion.js";
import { ViewChangeDetector } from "./ViewChangeDetector.js";

/** Identity and settings of the local member. */
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

/** Number of absent hosts to probe at a time while no other member is present. */
const absentProbesWhenAlone = 3;
const gossipFanOut = 2;
const maxMembersPerSync = 256;
const maxFactsPerSync = 256;

/** The membership state machine of one host. */
export class Membership {
    private self: MemberRecord;
    private readonly table: MemberTable;
    private readonly prober: Prober;
    private readonly health = new LocalHealth();
    private readonly gossip: PendingGossip;
    private readonly changeDetector = new ViewChangeDetector();
    private decisions: MembershipDecision[] = [];
    private nextProbeAt: Instant;
    private nextAbsentProbeAt: Instant;
    private nextSyncAt: Instant;
    private lastEventAt: Instant;

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
        this.gossip = new PendingGossip(timings.minGossipIntervalMs);
        this.nextProbeAt = after(now, random() * timings.probeIntervalMs);
        this.nextAbsentProbeAt = now;
        this.nextSyncAt = now;
        this.lastEventAt = now;
    }

    /** When the next "wake" event is due. */
    get wakeAt(): Instant {
        let earliest = Math.min(this.nextProbeAt, this.nextAbsentProbeAt, this.gossip.pushAt);
        for (const { suspicion } of this.table.present()) {
            if (suspicion !== undefined) {
                earliest = Math.min(earliest, suspicion.deadline);
            }
        }
        return earliest as Instant;
    }

    /** The hosts that can be assigned roles; this host is included unless it is leaving and there are others. */
    get live(): readonly HostId[] {
        const others = this.table.live();
        return this.self.leaving && others.length > 0 ? [...others].sort() : [this.self.host, ...others].sort();
    }

    /** Every member that is not dead, including this host and leaving members. */
    get present(): readonly MemberRecord[] {
        return [this.self, ...this.table.present().map(({ record }) => record)];
    }

    /** Returns this host's own record. */
    describeSelf(): MemberRecord {
        return this.self;
    }

    /** Returns the state for the dump. */
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
            newsWaiting: this.gossip.length,
        };
    }

    /** Applies an event, and returns the actions that this host should take. */
    handle(event: MembershipEvent, now: Instant): readonly MembershipDecision[] {
        this.detectPause(now);
        this.lastEventAt = now;
        const handler = this.handlers[event.kind] as (event: MembershipEvent, now: Instant) => void;
        handler(event, now);
        this.gossip.schedulePush(now, this.table.present().length > 0);
        const decided = [
            ...this.changeDetector.detectChanges(this.table, this.self, () => this.live),
            ...this.decisions,
        ];
        this.decisions = [];
        return decided;
    }

    /**
     * Composes a message to `to`. It contains the record of `to` if that is suspect or dead, so that `to` can refute.
     */
    composeMessage(to: HostId | undefined): GossipMessage {
        const record = to === undefined ? undefined : this.table.get(to)?.record;
        const { updates, facts } = this.gossip.take(this.table.present().length + 1);
        return {
            zone: this.options.zone,
            sender: this.self,
            digest: this.digest,
            updates: record === undefined || record.status === "alive" ? updates : [record, ...updates],
            facts,
        };
    }

    /** Composes a message with the whole view, or with a random part of it if it is too large for one message. */
    composeSyncMessage(to: HostId): SyncMessage {
        const records = this.table.present().map(({ record }) => record);
        return {
            ...this.composeMessage(to),
            facts: this.options.facts.sample(maxFactsPerSync, this.options.random),
            members: pickRandom(this.options.random, records, maxMembersPerSync),
        };
    }

    private get digest(): number {
        return this.table.digest(this.self) ^ this.options.facts.digest;
    }

    private readonly handlers: Handlers = {
        "wake": (unusedEvent, now) => this.wake(now),
        "listed": ({ contacts }) => this.table.setListed(contacts.filter(({ host }) => host !== this.self.host)),
        "received": ({ message }, now) => this.receive(message, now),
        "probe-ended": ({ id, answer }, now) => this.endProbe(id, answer, now),
        "relay-ended": ({ id, reached }, now) => this.suspect(this.prober.relayed(id, reached, now), now),
        "synced": ({ message }, now) => {
            this.receive(message, now);
            message.members.forEach(record => this.merge(record, now));
        },
        "link-ended": ({ host }, now) => this.probePresent(host, now),
        "raise": ({ facts }) => this.raiseFacts(facts),
        "leave": () => {
            this.self = { ...this.self, leaving: true };
            this.gossip.addRecord(this.self);
        },
    };

    private wake(now: Instant): void {
        const { timings, random } = this.options;
        this.expireSuspicions(now);
        if (now >= this.nextProbeAt) {
            this.nextProbeAt = after(now, timings.probeIntervalMs);
            this.probeNext(now);
        }
        if (now >= this.nextAbsentProbeAt) {
            this.nextAbsentProbeAt = after(now, timings.absentProbeIntervalMs * (0.75 + random() / 2));
            this.probeAbsent(now);
            this.table.removeDead((now - timings.tombstoneTtlMs) as Instant);
        }
        if (now >= this.gossip.pushAt) {
            this.pushGossip(now);
        }
    }

    /** Postpones all suspicions if this host was paused or its clock set back, since it received nothing meanwhile. */
    private detectPause(now: Instant): void {
        const { pauseThresholdMs, minSuspicionTimeoutMs } = this.options.timings;
        const setBackMs = this.lastEventAt - now;
        const lateMs = now - Math.max(this.wakeAt, this.lastEventAt);
        if (lateMs < pauseThresholdMs && setBackMs < pauseThresholdMs) {
            return;
        }
        this.health.setWorst();
        this.prober.clear();
        const shiftMs = lateMs >= pauseThresholdMs ? lateMs + minSuspicionTimeoutMs : -setBackMs;
        this.table.present().forEach(({ suspicion }) => suspicion?.postpone(shiftMs));
        this.nextProbeAt = now;
        this.nextAbsentProbeAt = now;
        this.nextSyncAt = now;
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

    private probeAbsent(now: Instant): void {
        const absent = this.table.absent();
        const count = this.table.present().length === 0 ? absentProbesWhenAlone : 1;
        pickRandom(this.options.random, absent, count).forEach(host => this.prober.start(host, false, now));
    }

    private endProbe(id: number, answer: GossipMessage | undefined, now: Instant): void {
        if (answer === undefined) {
            this.suspect(this.prober.unanswered(id, host => this.relaysFor(host), now), now);
            return;
        }
        this.prober.answered(id);
        this.receive(answer, now);
        this.syncIfDue(answer, now);
    }

    private relaysFor(host: HostId): readonly HostId[] {
        return this.table.present()
            .filter(({ record }) => record.host !== host && record.status === "alive")
            .map(({ record }) => record.host);
    }

    private suspect(host: HostId | undefined, now: Instant): void {
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

    private receive(message: GossipMessage, now: Instant): void {
        if (message.zone !== this.options.zone) {
            return;
        }
        this.merge(message.sender, now);
        message.updates.forEach(record => this.merge(record, now));
        this.raiseFacts(message.facts);
    }

    private raiseFacts(facts: readonly Fact[]): void {
        const raised = facts.filter(fact => this.options.facts.raise(fact));
        raised.forEach(fact => this.gossip.addFact(fact));
        if (raised.length > 0) {
            this.decide({ kind: "facts-raised", facts: raised });
        }
    }

    private merge(record: MemberRecord, now: Instant): void {
        if (record.host === this.self.host) {
            this.refute(record);
            return;
        }
        const hasChanged = this.table.merge(record, now);
        const isConfirmation = record.status === "suspect" && this.addAccuser(record, now);
        if (hasChanged) {
            this.gossip.addRecord(this.table.get(record.host)!.record);
        }
        else if (isConfirmation) {
            this.gossip.addRecord(record);
        }
    }

    /** Adds the accuser if the record is about the current suspicion, and returns whether it was added. */
    private addAccuser(record: MemberRecord, now: Instant): boolean {
        const member = this.table.get(record.host);
        const isCurrent = member?.record.status === "suspect"
            && member.record.incarnation === record.incarnation
            && member.record.refutation === record.refutation;
        if (member === undefined || !isCurrent || record.accuser === undefined) {
            return false;
        }
        const others = this.table.present().length - 1;
        const minTimeoutMs = this.options.timings.minSuspicionTimeoutMs * Math.max(1, Math.log10(others + 1))
            * this.health.multiplier;
        const suspicion = member.suspicion ?? new Suspicion(now, minTimeoutMs, others);
        this.table.suspect(record.host, suspicion);
        return suspicion.addAccuser(record.accuser);
    }

    /** Takes a higher incarnation or refutation number if a record of this host contradicts its own. */
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
        this.gossip.addRecord(this.self);
    }

    private syncIfDue(answer: GossipMessage, now: Instant): void {
        const { timings, random } = this.options;
        if (answer.zone !== this.options.zone || answer.digest === this.digest || now < this.nextSyncAt) {
            return;
        }
        this.nextSyncAt = after(now, timings.minSyncIntervalMs * (0.75 + random() / 2));
        const { host } = answer.sender;
        const deadline = after(now, timings.relayTimeoutMs * this.health.multiplier);
        this.decide({ kind: "sync", host, message: this.composeSyncMessage(host), deadline });
    }

    private pushGossip(now: Instant): void {
        this.gossip.recordPush(now);
        const present = this.table.present().map(({ record }) => record.host);
        pickRandom(this.options.random, present, gossipFanOut).forEach(host =>
            this.decide({ kind: "gossip", host, message: this.composeMessage(host) })
        );
    }

    private decide(decision: MembershipDecision): void {
        this.decisions.push(decision);
    }
}
