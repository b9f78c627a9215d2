/**
 * The targets that may be used, from the entries that they write to the store. When an entry disappears, its target is
 * gone, except after an outage of the store: then targets have a grace period to write their entries again.
 */

import {
    after,
    type Incarnation,
    type Instant,
    type ServiceId,
    type SoftwareVersion,
    type TargetId,
    type WeightVersion,
    type ZoneId,
} from "../ids.js";

import { LeavingNotices } from "./LeavingNotices.js";

/** A target as described by its entry in the store. */
export interface TargetEntryView {
    readonly target: TargetId;
    readonly service: ServiceId;
    /** Host and port, such as `10.0.0.1:8080`. */
    readonly address: string;
    readonly zone: ZoneId;
    readonly slots: number;
    readonly leaving: boolean;
    /** Start of the target's process; a restarted target may keep its id. */
    readonly incarnation: Incarnation;
    readonly models: readonly { readonly model: string; readonly version: WeightVersion; }[];
    /** The software of this incarnation; undefined when the entry does not name it. */
    readonly software?: SoftwareVersion | undefined;
    /** Number of times that this incarnation has written its entry; undefined when the entry does not count them. */
    readonly heartbeats?: number | undefined;
    /** Set if the target said in an answer that it is leaving: until when it may be used if there is no other. */
    readonly servesUntil?: Instant | undefined;
    /** Whether the platform may take it away at short notice, with all others like it in its zone. */
    readonly isReclaimable?: boolean;
}

/** Milliseconds that targets have after an outage to write their entries again, as specified by the platform. */
export const reregistrationGraceMs = 2000;

/** Milliseconds without a response from the store after which entries may have expired because of an outage. */
const minOutageMs = 1500;

/** If more than this share of the entries disappears between two reads, an outage is assumed. */
const outageLossShare = 0.5;

/** The target directory of one host. */
export class TargetDirectory {
    private entries = new Map<TargetId, TargetEntryView>();
    private lastReadAt: Instant | undefined;
    private graceUntil: Instant | undefined;
    /** Start of the first failed read since the last successful one. */
    private failingSince: Instant | undefined;
    private number = 0;
    private readonly notices = new LeavingNotices();

    /** Incremented with each change of the usable targets. */
    get revision(): number {
        return this.number;
    }

    get targets(): readonly TargetEntryView[] {
        return [...this.entries.values()];
    }

    get readAt(): Instant | undefined {
        return this.lastReadAt;
    }

    get(target: TargetId): TargetEntryView | undefined {
        return this.entries.get(target);
    }

    /**
     * Applies a complete read of the entries, and returns the targets that were added, changed or removed. Missing
     * entries are kept during the grace period after an outage.
     */
    applySnapshot(read: readonly TargetEntryView[], now: Instant): readonly TargetId[] {
        const next = new Map(read.map(entry => [entry.target, entry]));
        const missingCount = [...this.entries.keys()].filter(target => !next.has(target)).length;
        const hadOutage = this.failingSince !== undefined && now - this.failingSince > minOutageMs;
        if (
            hadOutage
            || missingCount > 1 && missingCount > this.entries.size * outageLossShare && this.graceUntil === undefined
        ) {
            this.graceUntil = after(now, reregistrationGraceMs);
        }
        if (missingCount === 0) {
            this.graceUntil = undefined;
        }
        this.failingSince = undefined;
        this.lastReadAt = now;
        if (this.graceUntil !== undefined && now < this.graceUntil) {
            this.entries.forEach((entry, target) => next.has(target) || next.set(target, entry));
        }
        return this.replaceEntries(next);
    }

    /** Records that a read begun at `startedAt` failed. */
    recordFailure(startedAt: Instant): void {
        this.failingSince ??= startedAt;
    }

    /** Applies a read that another host made at `readAt` if it is newer than the last applied one. */
    adoptSnapshot(read: readonly TargetEntryView[], readAt: Instant): readonly TargetId[] {
        if (this.lastReadAt !== undefined && readAt <= this.lastReadAt) {
            return [];
        }
        this.lastReadAt = readAt;
        return this.replaceEntries(new Map(read.map(entry => [entry.target, entry])));
    }

    /**
     * Records that this incarnation of a target said that it is leaving, and may be used until `servesUntil` if there is no
     * other; false when that is known already.
     */
    recordLeaving({ target, incarnation }: TargetEntryView, servesUntil: Instant): boolean {
        const isNew = this.notices.record(target, { incarnation, servesUntil });
        if (isNew) {
            this.replaceEntries(new Map(this.entries));
        }
        return isNew;
    }

    private withNotice(entry: TargetEntryView): TargetEntryView {
        const notice = this.notices.get(entry.target, entry.incarnation);
        return notice === undefined ? entry : { ...entry, leaving: true, servesUntil: notice.servesUntil };
    }

    private replaceEntries(read: ReadonlyMap<TargetId, TargetEntryView>): readonly TargetId[] {
        const next = new Map([...read].map(([target, entry]) => [target, this.withNotice(entry)]));
        const changed = [...new Set([...next.keys(), ...this.entries.keys()])]
            .filter(target => !isEquivalent(next.get(target), this.entries.get(target)));
        this.entries = next;
        this.number += changed.length > 0 ? 1 : 0;
        return changed;
    }
}

function isEquivalent(a: TargetEntryView | undefined, b: TargetEntryView | undefined): boolean {
    return a !== undefined && b !== undefined && a.address === b.address && a.service === b.service
        && a.leaving === b.leaving && a.software === b.software && a.slots === b.slots
        && a.incarnation === b.incarnation
        && a.models.length === b.models.length
        && a.models.every(({ model, version }, nth) =>
            b.models[nth]!.model === model && b.models[nth]!.version === version
        );
}
