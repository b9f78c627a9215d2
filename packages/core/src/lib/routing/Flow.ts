/** The queued work of one caller at one priority level, with the caller's virtual time for fair queueing. */

import { type TargetId } from "../ids.js";
import { IndexedHeap } from "./IndexedHeap.js";
import { type Work } from "./Work.js";

/** Work in the queue, with its place in it. */
export interface QueuedWork {
    readonly work: Work;
    /** Order of arrival. */
    readonly serial: number;
    /** Targets that the prompt prefix is placed on by consistent hashing, the first choice first. */
    readonly preferredTargets: readonly TargetId[];
    readonly flow: Flow;
    /** True while targets have room but none of them is eligible for the work. */
    isParked: boolean;
}

/**
 * Minimum length of other work relative to the first work, for the other work to take its place on a target that holds
 * the other work's prefix.
 */
const minLengthRatio = 0.5;

/** One caller's queued work, in the order of `isDueBefore` or `arrivedBefore`. */
export class Flow {
    /**
     * Virtual time at which the next piece of work starts (start-time fair queueing). The flow with the lowest goes
     * first.
     */
    startTag = 0;
    private readonly waiting: IndexedHeap<QueuedWork>;
    private readonly byPreferredTarget = new Map<TargetId, IndexedHeap<QueuedWork>>();

    constructor(private readonly isBefore: (a: QueuedWork, b: QueuedWork) => boolean) {
        this.waiting = new IndexedHeap(isBefore);
    }

    get size(): number {
        return this.waiting.size;
    }

    peek(): QueuedWork | undefined {
        return this.waiting.peek();
    }

    add(item: QueuedWork): void {
        this.waiting.push(item);
        const [preferred] = item.preferredTargets;
        if (preferred !== undefined) {
            const queue = this.byPreferredTarget.get(preferred) ?? new IndexedHeap(this.isBefore);
            this.byPreferredTarget.set(preferred, queue);
            queue.push(item);
        }
    }

    remove(item: QueuedWork): boolean {
        const [preferred] = item.preferredTargets;
        const queue = preferred === undefined ? undefined : this.byPreferredTarget.get(preferred);
        queue?.remove(item);
        if (preferred !== undefined && queue?.size === 0) {
            this.byPreferredTarget.delete(preferred);
        }
        return this.waiting.remove(item);
    }

    /** Work with its prefix on `target` that may go in place of `first`: it is due no later and not much shorter. */
    equallyUrgentFor(first: QueuedWork, target: TargetId): QueuedWork | undefined {
        const found = this.byPreferredTarget.get(target)?.peek();
        return found !== undefined && found.work.deadline <= first.work.deadline
                && (found.work.expectedTokens ?? 1) >= minLengthRatio * (first.work.expectedTokens ?? 1)
            ? found
            : undefined;
    }

    /** Charges `cost` to the caller, weighted by its share. */
    charge(cost: number, share: number): void {
        this.startTag += cost / share;
    }
}

/** Order by deadline, then by length with the longest first, then by arrival. */
export function isDueBefore(a: QueuedWork, b: QueuedWork): boolean {
    const byDeadline = a.work.deadline - b.work.deadline;
    const byLength = (b.work.expectedTokens ?? 0) - (a.work.expectedTokens ?? 0);
    return (byDeadline || byLength || a.serial - b.serial) < 0;
}

/** Order by arrival, for policies that ignore deadlines. */
export function arrivedBefore(a: QueuedWork, b: QueuedWork): boolean {
    return a.serial < b.serial;
}
