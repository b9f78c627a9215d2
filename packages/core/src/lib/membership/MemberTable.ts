/** One host's view of the other members of its zone and of their addresses. */

import { type HostId, type Instant } from "../ids.js";
import { type MemberRecord, mergeRecords, supersedes } from "./MemberRecord.js";
import { hash32 } from "./rendezvous.js";
import { type Suspicion } from "./Suspicion.js";

/** A host of the zone that the platform or the settings name; it becomes a member with its first record. */
export interface Contact {
    readonly host: HostId;
    readonly address: string;
    /** Whether the platform lists the host as leaving. */
    readonly leaving: boolean;
}

/** The state of one member. */
export interface Member {
    readonly record: MemberRecord;
    readonly suspicion: Suspicion | undefined;
    /** When this host recorded the member as dead. */
    readonly deadSince: Instant | undefined;
}

/** The other members of a zone. */
export class MemberTable {
    private readonly members = new Map<HostId, Member>();
    private listed = new Map<HostId, Contact>();
    /** Hosts that restarted with another address than the one that the platform lists. */
    private readonly moved = new Set<HostId>();
    private changeCount = 0;
    private cachedPresent: readonly Member[] | undefined;
    private cachedPresentDigest: number | undefined;

    constructor(private readonly seeds: readonly Contact[]) {}

    /** Incremented with every change. */
    get revision(): number {
        return this.changeCount;
    }

    get(host: HostId): Member | undefined {
        return this.members.get(host);
    }

    all(): readonly Member[] {
        return [...this.members.values()];
    }

    /** Returns the members that are not dead. */
    present(): readonly Member[] {
        this.cachedPresent ??= this.all().filter(({ record }) => record.status !== "dead");
        return this.cachedPresent;
    }

    /** Returns the members that can be assigned roles: those that are neither dead nor leaving. */
    live(): readonly HostId[] {
        return this.present()
            .filter(({ record }) => !record.leaving && this.listed.get(record.host)?.leaving !== true)
            .map(({ record }) => record.host);
    }

    /** Returns the hosts that the platform, the settings or a tombstone name and that are not present. */
    absent(): readonly HostId[] {
        const named = new Set([
            ...this.seeds.map(seed => seed.host),
            ...this.listed.keys(),
            ...this.members.keys(),
        ]);
        return [...named].filter(host => (this.members.get(host)?.record.status ?? "dead") === "dead");
    }

    /** Returns every host that can be contacted, with its address. */
    addresses(): ReadonlyMap<HostId, string> {
        const known = new Map<HostId, string>();
        this.seeds.forEach(({ host, address }) => known.set(host, address));
        this.members.forEach(({ record }) => known.set(record.host, record.address));
        for (const { host, address } of this.listed.values()) {
            if (!this.moved.has(host)) {
                known.set(host, address);
            }
        }
        return known;
    }

    /** Applies a snapshot of the platform's list. */
    setListed(contacts: readonly Contact[]): void {
        for (const { host, address } of contacts) {
            if (this.listed.get(host)?.address !== address) {
                this.moved.delete(host);
            }
        }
        this.listed = new Map(contacts.map(contact => [contact.host, contact]));
        this.recordChange();
    }

    /** Merges a record, and returns whether that changed the member. */
    merge(next: MemberRecord, now: Instant): boolean {
        const known = this.members.get(next.host);
        if (known === undefined) {
            return next.status !== "dead" && this.store({ record: next, suspicion: undefined, deadSince: undefined });
        }
        const merged = mergeRecords(known.record, next);
        if (merged === known.record) {
            return false;
        }
        if (merged.incarnation > known.record.incarnation && merged.address !== known.record.address) {
            this.moved.add(merged.host);
        }
        const isNewer = supersedes(next, known.record);
        return this.store({
            record: merged,
            suspicion: isNewer ? undefined : known.suspicion,
            deadSince: merged.status === "dead" ? known.deadSince ?? now : undefined,
        });
    }

    /** Sets the suspicion of a member. */
    suspect(host: HostId, suspicion: Suspicion): void {
        const member = this.members.get(host);
        if (member !== undefined) {
            this.store({ ...member, suspicion });
        }
    }

    /** Removes members that have been dead since before `before`. */
    removeDead(before: Instant): void {
        for (const { record, deadSince } of this.all()) {
            if (deadSince !== undefined && deadSince < before) {
                this.members.delete(record.host);
                this.moved.delete(record.host);
                this.recordChange();
            }
        }
    }

    /** Returns the XOR of hashes over the present members and `self`; equal views have equal digests. */
    digest(self: MemberRecord): number {
        this.cachedPresentDigest ??= this.present().reduce((sum, { record }) => sum ^ hashRecord(record), 0);
        return this.cachedPresentDigest ^ hashRecord(self);
    }

    private store(member: Member): boolean {
        this.members.set(member.record.host, member);
        this.recordChange();
        return true;
    }

    private recordChange(): void {
        this.changeCount++;
        this.cachedPresent = undefined;
        this.cachedPresentDigest = undefined;
    }
}

function hashRecord({ host, incarnation, leaving }: MemberRecord): number {
    return hash32(`${host}/${incarnation}/${leaving}`);
}
