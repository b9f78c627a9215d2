/** The waiting work of one caller at one level of importance, with the caller's account of what it has used. */

import { type TargetId } from "../ids.js";
import { IndexedHeap } from "./IndexedHeap.js";
import { type Work } from "./Work.js";

/** Work in the queue. */
export interface QueuedWork {
    readonly work: Work;
    /** Order of arrival. */
    readonly serial: number;
    /** Targets that the prompt prefix is placed on. */
    readonly preferredTargets: readonly TargetId[];
    readonly flow: Flow;
    /** True while no target suits the work, though some have room. */
    isParked: boolean;
}

const minLengthRatio = 0.5;

/** One caller's waiting work: earliest deadline first, then the longest, then in order of arrival. */
export class Flow {
    /** Virtual time at which the next piece of work starts; the flow with the lowest goes first. */
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
        const [home] = item.preferredTargets;
        if (home !== undefined) {
            const atHome = this.byPreferredTarget.get(home) ?? new IndexedHeap(this.isBefore);
            this.byPreferredTarget.set(home, atHome);
            atHome.push(item);
        }
    }

    remove(item: QueuedWork): boolean {
        const [home] = item.preferredTargets;
        const atHome = home === undefined ? undefined : this.byPreferredTarget.get(home);
        atHome?.remove(item);
        if (home !== undefined && atHome?.size === 0) {
            this.byPreferredTarget.delete(home);
        }
        return this.waiting.remove(item);
    }

    /** Work that `target` holds the prefix of and that may go as well as the first, because it is due no later. */
    equallyUrgentFor(first: QueuedWork, target: TargetId): QueuedWork | undefined {
        const found = this.byPreferredTarget.get(target)?.peek();
        return found !== undefined && found.work.deadline <= first.work.deadline
                && (found.work.expectedTokens ?? 1) >= minLengthRatio * (first.work.expectedTokens ?? 1)
            ? found
            : undefined;
    }

    /** Charges `cost` to the caller's share. */
    charge(cost: number, share: number): void {
        this.startTag += cost / share;
    }
}

/** The order within a flow. */
export function isDueBefore(a: QueuedWork, b: QueuedWork): boolean {
    const byDeadline = a.work.deadline - b.work.deadline;
    const byLength = (b.work.expectedTokens ?? 0) - (a.work.expectedTokens ?? 0);
    return (byDeadline || byLength || a.serial - b.serial) < 0;
}

/** The order of policies that know no deadlines. */
export function arrivedBefore(a: QueuedWork, b: QueuedWork): boolean {
    return a.serial < b.serial;
}
