/**
 * The targets of each pool, ordered by load for each lane of work. Long work leaves some slots of each target free for
 * short work. Operations on one target take logarithmic time in the number of targets.
 */

import { type PoolId, type TargetId } from "../ids.js";
import { IndexedHeap } from "./IndexedHeap.js";
import { PrefixRing } from "./PrefixRing.js";
import { acceptsWork, type TargetView } from "./TargetView.js";

/** Lanes of work: short work may use every slot, long work leaves the reserved slots free. */
export const lanes = ["short", "long"] as const;

/** A lane. */
export type Lane = typeof lanes[number];

/** A target with this host's counts and settings for it. */
export interface TargetEntry {
    view: TargetView;
    /** Requests that this host has in flight there. */
    inFlight: number;
    /** Requests in flight there as last reported by other hosts. */
    peerInFlight: number;
    /** Share of the target's slots that this host uses, above 0 and at most 1. */
    weight: number;
    /** True for a short time after the target refused work; it gets no work then. */
    isBackingOff: boolean;
    /** This target's part of its pool's totals. */
    countedOutstanding: number;
    countedSlots: number;
}

/**
 * Weight of peers' requests in the check for room. Their counts lag by a gossip period, so they block less than own
 * ones.
 */
const peerCountWeight = 0.8;

/** Number of requests in flight at the target, as counted here and reported by other hosts. */
export function outstanding(entry: TargetEntry): number {
    return entry.inFlight + entry.peerInFlight;
}

/** Number of slots of the target that this host uses: fewer while the target is slow, but at least one. */
export function usableSlots(entry: TargetEntry): number {
    return Math.max(1, Math.floor(entry.view.slots * entry.weight));
}

/** Load of the target with one more request, as a share of its usable slots. */
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

    /** Targets with room for work of the lane, the least loaded first. */
    availableFor(lane: Lane): IndexedHeap<TargetEntry> {
        return this.open[lane];
    }

    /** Share of the pool's usable slots that are taken; 0 without usable slots. */
    get meanLoad(): number {
        return this.slotsTotal === 0 ? 0 : this.outstandingTotal / this.slotsTotal;
    }

    /** The target for a turn of round robin over all of the pool's targets. */
    entryForTurn(turn: number): TargetEntry | undefined {
        return this.entries[turn % Math.max(1, this.entries.length)];
    }

    /** Updates the totals, the ring and the heaps after the entry has changed. */
    place(entry: TargetEntry): void {
        const isUsable = acceptsWork(entry.view) && !entry.isBackingOff;
        this.count(entry, isUsable);
        if (isUsable) {
            this.ring.add(entry.view.target);
        }
        else {
            this.ring.remove(entry.view.target);
        }
        for (const lane of lanes) {
            this.reindexLane(
                lane,
                entry,
                isUsable && entry.inFlight + peerCountWeight * entry.peerInFlight < this.limit(entry, lane),
            );
        }
    }

    addEntry(entry: TargetEntry): void {
        this.entries.push(entry);
    }

    removeEntry(entry: TargetEntry): void {
        this.entries.splice(this.entries.indexOf(entry), 1);
        this.count(entry, false);
        this.ring.remove(entry.view.target);
        lanes.forEach(lane => this.open[lane].remove(entry));
    }

    /** Sets the share of slots that long work leaves free. */
    setReserve(share: number): void {
        if (share !== this.reserveShare) {
            this.reserveShare = share;
            this.entries.forEach(entry => this.place(entry));
        }
    }

    private limit(entry: TargetEntry, lane: Lane): number {
        const slots = usableSlots(entry);
        return lane === "short" ? slots : Math.max(1, slots - Math.ceil(entry.view.slots * this.reserveShare));
    }

    private reindexLane(lane: Lane, entry: TargetEntry, hasRoom: boolean): void {
        const heap = this.open[lane];
        if (!hasRoom) {
            heap.remove(entry);
        }
        else if (heap.has(entry)) {
            heap.update(entry);
        }
        else {
            heap.push(entry);
        }
    }

    private count(entry: TargetEntry, isUsable: boolean): void {
        const taken = isUsable ? outstanding(entry) : 0;
        const slots = isUsable ? usableSlots(entry) : 0;
        this.outstandingTotal += taken - entry.countedOutstanding;
        this.slotsTotal += slots - entry.countedSlots;
        entry.countedOutstanding = taken;
        entry.countedSlots = slots;
    }
}

/** All targets in a host's view. */
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

    /** Sets the view of a target. This host's requests in flight are counted here and not read from the view. */
    setTargetView(view: TargetView): void {
        const entry = this.entries.get(view.target) ?? this.create(view);
        if (entry.view.pool !== view.pool) {
            this.pool(entry.view.pool).removeEntry(entry);
            this.pool(view.pool).addEntry(entry);
        }
        entry.view = view;
        this.pool(view.pool).place(entry);
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
            this.pool(entry.view.pool).place(entry);
        }
    }

    /** Sets whether the target is backing off, so that it gets no work. */
    setBackingOff(target: TargetId, isBackingOff: boolean): void {
        const entry = this.entries.get(target);
        if (entry !== undefined && entry.isBackingOff !== isBackingOff) {
            entry.isBackingOff = isBackingOff;
            this.pool(entry.view.pool).place(entry);
        }
    }

    /** Sets how many requests other hosts have in flight at the target. */
    setPeerInFlight(target: TargetId, count: number): void {
        const entry = this.entries.get(target);
        if (entry !== undefined && entry.peerInFlight !== count) {
            entry.peerInFlight = count;
            this.pool(entry.view.pool).place(entry);
        }
    }

    /** Adds `change` to the number of requests that this host has in flight at the target. */
    addInFlight(target: TargetId, change: number): void {
        const entry = this.entries.get(target);
        if (entry !== undefined) {
            entry.inFlight = Math.max(0, entry.inFlight + change);
            this.pool(entry.view.pool).place(entry);
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
