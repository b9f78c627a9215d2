/**
 * The targets that may be used, from the entries that they write to the store. An entry that vanished means that its
 * target is gone, except while the store has just come back from an outage: then targets have a moment to write again.
 */

import {
    after,
    type Incarnation,
    type Instant,
    type ServiceId,
    type TargetId,
    type WeightVersion,
    type ZoneId,
} from "../ids.js";

/** One target as its entry describes it. */
export interface TargetEntryView {
    readonly target: TargetId;
    readonly service: ServiceId;
    /** Host and port, such as `10.0.0.1:8080`. */
    readonly address: string;
    readonly zone: ZoneId;
    readonly slots: number;
    readonly leaving: boolean;
    /** Start of the target's process; a target that starts again may keep its id. */
    readonly incarnation: Incarnation;
    readonly models: readonly { readonly model: string; readonly version: WeightVersion; }[];
}

/** Milliseconds that targets have after an outage to write their entries again, as the platform states it. */
export const returnGraceMs = 2000;

/** Milliseconds without an answer of the store from which on an outage may have made entries lapse. */
const outageAfterMs = 1500;

/** Share of the entries that only an outage makes vanish between two readings. */
const lapseShare = 0.5;

/** Keeps the directory of one host. */
export class TargetDirectory {
    private entries = new Map<TargetId, TargetEntryView>();
    private lastReadAt: Instant | undefined;
    private lenientUntil: Instant | undefined;
    /** When the first of the failed readings since the last good one began. */
    private failingSince: Instant | undefined;
    private number = 0;

    /** Rises with each change of what may be used. */
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

    /** Takes a whole reading; returns the targets that came, changed or went. */
    applySnapshot(read: readonly TargetEntryView[], now: Instant): readonly TargetId[] {
        const next = new Map(read.map(entry => [entry.target, entry]));
        const vanished = [...this.entries.keys()].filter(target => !next.has(target)).length;
        const wasOut = this.failingSince !== undefined && now - this.failingSince > outageAfterMs;
        if (wasOut || vanished > 1 && vanished > this.entries.size * lapseShare && this.lenientUntil === undefined) {
            this.lenientUntil = after(now, returnGraceMs);
        }
        if (vanished === 0) {
            this.lenientUntil = undefined;
        }
        this.failingSince = undefined;
        this.lastReadAt = now;
        if (this.lenientUntil !== undefined && now < this.lenientUntil) {
            this.entries.forEach((entry, target) => next.has(target) || next.set(target, entry));
        }
        return this.put(next);
    }

    /** Notes that a reading begun at `startedAt` failed. */
    recordFailure(startedAt: Instant): void {
        this.failingSince ??= startedAt;
    }

    /** Takes a reading that another host made at `readAt`, if it is newer than the own one. */
    adoptSnapshot(read: readonly TargetEntryView[], readAt: Instant): readonly TargetId[] {
        if (this.lastReadAt !== undefined && readAt <= this.lastReadAt) {
            return [];
        }
        this.lastReadAt = readAt;
        return this.put(new Map(read.map(entry => [entry.target, entry])));
    }

    private put(next: Map<TargetId, TargetEntryView>): readonly TargetId[] {
        const changed = [...new Set([...next.keys(), ...this.entries.keys()])]
            .filter(target => !isSameUse(next.get(target), this.entries.get(target)));
        this.entries = next;
        this.number += changed.length > 0 ? 1 : 0;
        return changed;
    }
}

function isSameUse(a: TargetEntryView | undefined, b: TargetEntryView | undefined): boolean {
    return a !== undefined && b !== undefined && a.address === b.address && a.service === b.service
        && a.leaving === b.leaving && a.slots === b.slots && a.incarnation === b.incarnation
        && a.models.length === b.models.length
        && a.models.every(({ model, version }, nth) =>
            b.models[nth]!.model === model && b.models[nth]!.version === version
        );
}
