/** The gossiped record of a member of a zone, and the order of two records of one member. */

import { type HostId, type Incarnation, type ZoneId } from "../ids.js";
import { type Fact } from "./FactMap.js";

/** Status of a member; a "suspect" becomes "dead" at a deadline unless it refutes the suspicion. */
export type MemberStatus = "alive" | "suspect" | "dead";

/** A member as it is gossiped. */
export interface MemberRecord {
    readonly host: HostId;
    /** Address of the peer socket, as stated by the host itself. */
    readonly address: string;
    readonly incarnation: Incarnation;
    /** Incremented each time the member refutes a suspicion within one incarnation. */
    readonly refutation: number;
    readonly status: MemberStatus;
    /** The host that suspects the member or declared it dead; suspicions by different hosts are counted. */
    readonly accuser: HostId | undefined;
    /** Set by the member itself when its graceful shutdown begins; never unset within an incarnation. */
    readonly leaving: boolean;
}

/** The message of every probe, response to a probe, and gossip push. */
export interface GossipMessage {
    readonly zone: ZoneId;
    readonly sender: MemberRecord;
    /** XOR of hashes over the sender's live members and facts; equal views have equal digests. */
    readonly digest: number;
    readonly updates: readonly MemberRecord[];
    readonly facts: readonly Fact[];
}

const statusRank: Readonly<Record<MemberStatus, number>> = { alive: 0, suspect: 1, dead: 2 };

/** Returns whether `next` is newer than `known`, apart from the leaving flag. */
export function supersedes(next: MemberRecord, known: MemberRecord): boolean {
    if (next.incarnation !== known.incarnation) {
        return next.incarnation > known.incarnation;
    }
    if (next.refutation !== known.refutation) {
        return next.refutation > known.refutation;
    }
    return statusRank[next.status] > statusRank[known.status];
}

/** Returns the newer of two records of one member; the leaving flag of an incarnation is kept. */
export function mergeRecords(known: MemberRecord, next: MemberRecord): MemberRecord {
    const newer = supersedes(next, known) ? next : known;
    const leaving = newer.leaving
        || known.leaving && known.incarnation === newer.incarnation
        || next.leaving && next.incarnation === newer.incarnation;
    return leaving === newer.leaving ? newer : { ...newer, leaving };
}
