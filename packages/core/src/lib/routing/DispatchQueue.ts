/**
 * The queue of an entry host. Work is bound to a target as late as possible: only when a target has a free slot.
 * Work that costs more when it is late goes first, callers share the slots by their weights (fair queueing), and each
 * decision takes logarithmic time in the number of targets and of queued pieces of work.
 */

import { type Instant, type PoolId, type RequestId, type TargetId } from "../ids.js";
import { type QueuedWork } from "./Flow.js";
import { IndexedHeap } from "./IndexedHeap.js";
import { type Random } from "./policies.js";
import { PoolQueue } from "./PoolQueue.js";
import { TargetIndex } from "./TargetIndex.js";
import { type TargetView } from "./TargetView.js";
import { type Work } from "./Work.js";

/** Work with the target that it is assigned to. */
export interface Assignment {
    readonly work: Work;
    readonly view: TargetView;
}

/** Number of preferred targets for a prompt prefix. */
const targetsPerPrefix = 2;

/** The latest start with which the work is expected to end by its deadline. */
function latestStart(work: Work): number {
    return work.deadline - (work.expectedMs ?? 0);
}

/** Holds work until a target has a free slot. */
export class DispatchQueue {
    private readonly index = new TargetIndex();
    private readonly pools = new Map<PoolId, PoolQueue>();
    private readonly waiting = new Map<RequestId, QueuedWork>();
    private readonly expiring = new IndexedHeap<QueuedWork>((a, b) => latestStart(a.work) < latestStart(b.work));
    private serial = 0;

    constructor(private readonly random: Random) {}

    get length(): number {
        return this.waiting.size;
    }

    /** Sets the view of a target. This host's requests in flight are counted here and not read from the view. */
    setTargetView(view: TargetView): void {
        const before = this.index.get(view.target)?.view;
        this.index.setTargetView(view);
        const canServeMoreWork = before === undefined || view.version !== before.version
            || (view.reachable && !before.reachable) || (view.versionWhole && !before.versionWhole);
        if (canServeMoreWork) {
            this.pool(view.pool).unpark(true);
        }
    }

    /** Removes a target. */
    forget(target: TargetId): void {
        this.index.forget(target);
    }

    /** Sets the share of a target's slots that this host uses. */
    setWeight(target: TargetId, weight: number): void {
        this.index.setWeight(target, weight);
    }

    /** Sets whether a target is backing off, so that it gets no work. */
    setBackingOff(target: TargetId, isBackingOff: boolean): void {
        this.index.setBackingOff(target, isBackingOff);
    }

    /** Sets how many requests other hosts have in flight at a target. */
    setPeerInFlight(target: TargetId, count: number): void {
        this.index.setPeerInFlight(target, count);
    }

    /** Sets the share of a pool's slots that long work leaves free while there is short work. */
    setReserve(pool: PoolId, share: number): void {
        this.pool(pool).reserveShortShare = share;
    }

    inFlight(target: TargetId): number {
        return this.index.get(target)?.inFlight ?? 0;
    }

    add(work: Work): void {
        const { ring } = this.index.pool(work.pool);
        const hasPreferredTargets = work.policy === "tamarack" && work.prefix !== undefined;
        const item: QueuedWork = {
            work,
            serial: this.serial++,
            preferredTargets: hasPreferredTargets ? ring.targetsFor(work.prefix, targetsPerPrefix) : [],
            flow: this.pool(work.pool).level(work).flow(work.caller),
            isParked: false,
        };
        this.waiting.set(work.id, item);
        this.expiring.push(item);
        this.pool(work.pool).add(item, work.arrivedAt);
    }

    /** Number of queued pieces of work that would go before `work`. */
    countAhead(work: Work): number {
        return this.pool(work.pool).countAhead(work);
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

    /**
     * Removes and returns the work whose latest start is not after `now`, so that it cannot be expected to end in time.
     */
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

    /** Removes and returns the first work that a target has room for, with that target, and takes the slot. */
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

    /** Frees a slot of a target. */
    release(target: TargetId): void {
        const entry = this.index.get(target);
        if (entry !== undefined) {
            this.index.addInFlight(target, -1);
            this.pool(entry.view.pool).unpark(false);
        }
    }

    /** Up to `max` pieces of the queued work, for the dump. */
    list(max: number): readonly Work[] {
        const works: Work[] = [];
        for (const { work } of this.waiting.values()) {
            if (works.push(work) >= max) {
                break;
            }
        }
        return works;
    }

    private settle(item: QueuedWork): void {
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
