/**
 * The targets of every pool, ordered by load, for each lane of work. Long work leaves some slots of each target free
 * for short work. All operations take logarithmic time in the number of targets.
 */

import { type PoolId, type TargetId } from "../ids.js";
import { IndexedHeap } from "./IndexedHeap.js";
import { PrefixRing } from "./PrefixRing.js";
import { acceptsWork, type TargetView } from "./TargetView.js";

/** Lanes of work: short work may use every slot, long work leaves the reserved ones free. */
export const lanes = ["short", "long"] as const;

/** Names a lane. */
export type Lane = typeof lanes[number];

/** A target with this host's account of it. */
export interface TargetEntry {
    view: TargetView;
    inFlight: number;
    /** Requests that other hosts last said they have there. */
    peerInFlight: number;
    /** Share of its slots that the target is trusted with, from just above 0 up to 1. */
    weight: number;
    /** True for a moment after the target refused work. */
    isBackingOff: boolean;
    /** What of this target is in its pool's sums. */
    countedOutstanding: number;
    countedSlots: number;
}

/** Peers' counts are out of date by a gossip period, so they block less than this host's own. */
const peerCountWeight = 0.8;

/** How many requests the target works on, as far as this host knows. */
export function outstanding(entry: TargetEntry): number {
    return entry.inFlight + entry.peerInFlight;
}

/** Slots of the target that this host uses now: fewer while the target is slow, but never none. */
export function usableSlots(entry: TargetEntry): number {
    return Math.max(1, Math.floor(entry.view.slots * entry.weight));
}

function relativeLoad(entry: TargetEntry): number {
    return (outstanding(entry) + 1) / (entry.view.slots * entry.weight);
}

/** The targets of one pool. */
export class PoolTargets {
    readonly ring = new PrefixRing();
    /** Share of each target's slots that long work leaves free. */
    reserveShare = 0;
    private readonly entries: TargetEntry[] = [];
    private readonly open: Readonly<Record<Lane, IndexedHeap<TargetEntry>>> = {
        short: new IndexedHeap(isLessLoaded),
        long: new IndexedHeap(isLessLoaded),
    };
    private outstandingTotal = 0;
    private slotsTotal = 0;

    /** Targets with room for the lane. */
    availableFor(lane: Lane): IndexedHeap<TargetEntry> {
        return this.open[lane];
    }

    /** Share of the pool's usable slots that are taken. */
    get meanLoad(): number {
        return this.slotsTotal === 0 ? 0 : this.outstandingTotal / this.slotsTotal;
    }

    /** The target whose turn it is when all of the pool's targets take turns. */
    entryForTurn(turn: number): TargetEntry | undefined {
        return this.entries[turn % Math.max(1, this.entries.length)];
    }

    /** Puts the entry where its present load belongs. */
    reindex(entry: TargetEntry): void {
        const usable = acceptsWork(entry.view) && !entry.isBackingOff;
        this.updateTotals(entry, usable);
        if (usable) {
            this.ring.add(entry.view.target);
        }
        else {
            this.ring.remove(entry.view.target);
        }
        for (const lane of lanes) {
            this.reindexLane(
                lane,
                entry,
                usable && entry.inFlight + peerCountWeight * entry.peerInFlight < this.limit(entry, lane),
            );
        }
    }

    addEntry(entry: TargetEntry): void {
        this.entries.push(entry);
    }

    removeEntry(entry: TargetEntry): void {
        this.entries.splice(this.entries.indexOf(entry), 1);
        this.updateTotals(entry, false);
        this.ring.remove(entry.view.target);
        lanes.forEach(lane => this.open[lane].remove(entry));
    }

    /** Changes the share of slots that long work leaves free. */
    setReserve(share: number): void {
        if (share !== this.reserveShare) {
            this.reserveShare = share;
            this.entries.forEach(entry => this.reindex(entry));
        }
    }

    private limit(entry: TargetEntry, lane: Lane): number {
        const slots = usableSlots(entry);
        return lane === "short" ? slots : Math.max(1, slots - Math.ceil(entry.view.slots * this.reserveShare));
    }

    private reindexLane(lane: Lane, entry: TargetEntry, isOpen: boolean): void {
        const heap = this.open[lane];
        if (!isOpen) {
            heap.remove(entry);
        }
        else if (heap.has(entry)) {
            heap.update(entry);
        }
        else {
            heap.push(entry);
        }
    }

    private updateTotals(entry: TargetEntry, usable: boolean): void {
        const taken = usable ? outstanding(entry) : 0;
        const slots = usable ? usableSlots(entry) : 0;
        this.outstandingTotal += taken - entry.countedOutstanding;
        this.slotsTotal += slots - entry.countedSlots;
        entry.countedOutstanding = taken;
        entry.countedSlots = slots;
    }
}

/** Every target that a host knows of. */
export class TargetIndex {
    private readonly entries = new Map<TargetId, TargetEntry>();
    private readonly pools = new Map<PoolId, PoolTargets>();

    pool(pool: PoolId): PoolTargets {
        const known = this.pools.get(pool);
        if (known !== undefined) {
            return known;
        }
        const created = new PoolTargets();
        this.pools.set(pool, created);
        return created;
    }

    get(target: TargetId): TargetEntry | undefined {
        return this.entries.get(target);
    }

    /** Takes a new view; the requests in flight are counted here and not read from the view. */
    observe(view: TargetView): void {
        const entry = this.entries.get(view.target) ?? this.create(view);
        if (entry.view.pool !== view.pool) {
            this.pool(entry.view.pool).removeEntry(entry);
            this.pool(view.pool).addEntry(entry);
        }
        entry.view = view;
        this.pool(view.pool).reindex(entry);
    }

    forget(target: TargetId): void {
        const entry = this.entries.get(target);
        if (entry !== undefined) {
            this.entries.delete(target);
            this.pool(entry.view.pool).removeEntry(entry);
        }
    }

    setWeight(target: TargetId, weight: number): void {
        const entry = this.entries.get(target);
        if (entry !== undefined && entry.weight !== weight) {
            entry.weight = weight;
            this.pool(entry.view.pool).reindex(entry);
        }
    }

    /** Sets whether the target is left alone for now. */
    setBackingOff(target: TargetId, isResting: boolean): void {
        const entry = this.entries.get(target);
        if (entry !== undefined && entry.isBackingOff !== isResting) {
            entry.isBackingOff = isResting;
            this.pool(entry.view.pool).reindex(entry);
        }
    }

    /** Sets the requests that other hosts have at the target. */
    setPeerInFlight(target: TargetId, count: number): void {
        const entry = this.entries.get(target);
        if (entry !== undefined && entry.peerInFlight !== count) {
            entry.peerInFlight = count;
            this.pool(entry.view.pool).reindex(entry);
        }
    }

    /** Adds `change` to the requests that this host has at the target. */
    addInFlight(target: TargetId, change: number): void {
        const entry = this.entries.get(target);
        if (entry !== undefined) {
            entry.inFlight = Math.max(0, entry.inFlight + change);
            this.pool(entry.view.pool).reindex(entry);
        }
    }

    private create(view: TargetView): TargetEntry {
        const entry = {
            view,
            inFlight: 0,
            peerInFlight: 0,
            weight: 1,
            isBackingOff: false,
            countedOutstanding: 0,
            countedSlots: 0,
        };
        this.entries.set(view.target, entry);
        this.pool(view.pool).addEntry(entry);
        return entry;
    }
}

function isLessLoaded(a: TargetEntry, b: TargetEntry): boolean {
    return relativeLoad(a) < relativeLoad(b);
}
