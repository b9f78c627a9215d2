/**
 * The queue on the entry side. Work is bound to a target as late as possible: only when a target has a free slot.
 * What costs more when late goes first, callers share by their weights, and each decision takes logarithmic time in
 * the number of targets and of waiting pieces of work.
 */

import { type Instant, type PoolId, type RequestId, type TargetId } from "../ids.js";
import { type Waiting } from "./Flow.js";
import { IndexedHeap } from "./IndexedHeap.js";
import { type Random } from "./policies.js";
import { PoolQueue } from "./PoolQueue.js";
import { TargetIndex } from "./TargetIndex.js";
import { type TargetView } from "./TargetView.js";
import { type Work } from "./Work.js";

/** Work with the target that it goes to. */
export interface Assignment {
    readonly work: Work;
    readonly view: TargetView;
}

const homesPerPrefix = 2;

function latestStart(work: Work): number {
    return work.deadline - (work.expectedMs ?? 0);
}

/** Holds work until a target is free. */
export class DispatchQueue {
    private readonly index = new TargetIndex();
    private readonly pools = new Map<PoolId, PoolQueue>();
    private readonly waiting = new Map<RequestId, Waiting>();
    private readonly expiring = new IndexedHeap<Waiting>((a, b) => latestStart(a.work) < latestStart(b.work));
    private serial = 0;

    constructor(private readonly random: Random) {}

    get length(): number {
        return this.waiting.size;
    }

    /** Takes a new view of a target; requests in flight from this host are counted here and not read from it. */
    setTargetView(view: TargetView): void {
        const before = this.index.get(view.target)?.view;
        this.index.observe(view);
        const isNewlyFit = before === undefined || view.version !== before.version
            || (view.reachable && !before.reachable) || (view.versionWhole && !before.versionWhole);
        if (isNewlyFit) {
            this.pool(view.pool).unpark(true);
        }
    }

    forget(target: TargetId): void {
        this.index.forget(target);
    }

    /** Sets the share of its slots that a target is trusted with. */
    setWeight(target: TargetId, weight: number): void {
        this.index.setWeight(target, weight);
    }

    /** Sets whether a target is left alone for now. */
    setResting(target: TargetId, isResting: boolean): void {
        this.index.setResting(target, isResting);
    }

    /** Sets how many requests other hosts have at a target. */
    setElsewhere(target: TargetId, count: number): void {
        this.index.setElsewhere(target, count);
    }

    /** Sets the share of a pool's slots that long work leaves free while short work is about. */
    setReserve(pool: PoolId, share: number): void {
        this.pool(pool).reserveShortShare = share;
    }

    inFlight(target: TargetId): number {
        return this.index.get(target)?.inFlight ?? 0;
    }

    add(work: Work): void {
        const { ring } = this.index.pool(work.pool);
        const usesHomes = work.policy === "tamarack" && work.prefix !== undefined;
        const item: Waiting = {
            work,
            serial: this.serial++,
            homes: usesHomes ? ring.homes(work.prefix, homesPerPrefix) : [],
            flow: this.pool(work.pool).level(work).flow(work.caller),
            isParked: false,
        };
        this.waiting.set(work.id, item);
        this.expiring.push(item);
        this.pool(work.pool).add(item, work.arrivedAt);
    }

    /** Number of waiting pieces of work that go before new work like `work`. */
    ahead(work: Work): number {
        return this.pool(work.pool).ahead(work);
    }

    remove(id: RequestId): boolean {
        const item = this.waiting.get(id);
        if (item === undefined) {
            return false;
        }
        this.pool(item.work.pool).remove(item);
        this.settle(item);
        return true;
    }

    /** Removes and returns the work that can no longer end by its deadline. */
    takeExpired(now: Instant): readonly Work[] {
        const expired: Work[] = [];
        for (;;) {
            const first = this.expiring.peek();
            if (first === undefined || latestStart(first.work) > now) {
                return expired;
            }
            expired.push(first.work);
            this.remove(first.work.id);
        }
    }

    /** Removes and returns the first work that some target can take, with that target, and takes the slot. */
    next(now: Instant, only?: PoolId): Assignment | undefined {
        for (const [pool, queue] of this.pools) {
            const grant = only === undefined || only === pool ? queue.next(now, this.random) : undefined;
            if (grant !== undefined) {
                this.settle(grant.item);
                this.index.addInFlight(grant.entry.view.target, 1);
                return { work: grant.item.work, view: grant.entry.view };
            }
        }
        return undefined;
    }

    /** Gives a slot back. */
    release(target: TargetId): void {
        const entry = this.index.get(target);
        if (entry !== undefined) {
            this.index.addInFlight(target, -1);
            this.pool(entry.view.pool).unpark(false);
        }
    }

    /** A few pieces of the waiting work, for the dump. */
    list(atMost: number): readonly Work[] {
        const works: Work[] = [];
        for (const { work } of this.waiting.values()) {
            if (works.push(work) >= atMost) {
                break;
            }
        }
        return works;
    }

    private settle(item: Waiting): void {
        this.waiting.delete(item.work.id);
        this.expiring.remove(item);
    }

    private pool(pool: PoolId): PoolQueue {
        const known = this.pools.get(pool);
        if (known !== undefined) {
            return known;
        }
        const created = new PoolQueue(this.index, this.index.pool(pool));
        this.pools.set(pool, created);
        return created;
    }
}
