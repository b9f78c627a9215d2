/** Updates about members and facts that this host has to gossip, and when it next pushes them without a probe. */

import { after, type Instant } from "../ids.js";
import { type Fact } from "./FactMap.js";
import { GossipQueue, maxSendsPerUpdate } from "./GossipQueue.js";
import { type MemberRecord } from "./MemberRecord.js";

const maxUpdatesPerMessage = 8;
const maxFactsPerMessage = 8;
/** Delay of a push, so that updates which occur together are sent in one message. */
const coalesceDelayMs = 20;
const never = Number.POSITIVE_INFINITY as Instant;

/** The updates for one message. */
export interface GossipPart {
    readonly updates: readonly MemberRecord[];
    readonly facts: readonly Fact[];
}

/** The pending updates of one host. */
export class PendingGossip {
    private readonly records = new GossipQueue<MemberRecord>();
    private readonly facts = new GossipQueue<Fact>();
    private lastPushAt = 0 as Instant;
    private nextPushAt = never;

    constructor(private readonly minPushIntervalMs: number) {}

    get length(): number {
        return this.records.length + this.facts.length;
    }

    /** When the next push is due; infinity when none is scheduled. */
    get pushAt(): Instant {
        return this.nextPushAt;
    }

    addRecord(record: MemberRecord): void {
        this.records.add(record.host, record);
    }

    addFact(fact: Fact): void {
        this.facts.add(fact.key, fact);
    }

    /** Returns up to a fixed number of updates for one message in a zone of `members` members. */
    take(members: number): GossipPart {
        const maxSends = maxSendsPerUpdate(members);
        return {
            updates: this.records.take(maxUpdatesPerMessage, maxSends),
            facts: this.facts.take(maxFactsPerMessage, maxSends),
        };
    }

    /** Schedules the next push if there are updates and members to send them to. */
    schedulePush(now: Instant, hasMembers: boolean): void {
        if (this.length === 0 || !hasMembers) {
            this.nextPushAt = never;
        }
        else if (this.nextPushAt === never) {
            const earliest = after(this.lastPushAt, this.minPushIntervalMs);
            this.nextPushAt = Math.max(earliest, after(now, coalesceDelayMs)) as Instant;
        }
    }

    /** Records that updates are pushed at `now`. */
    recordPush(now: Instant): void {
        this.lastPushAt = now;
        this.nextPushAt = never;
    }
}
