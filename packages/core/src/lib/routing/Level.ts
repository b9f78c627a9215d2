/** A priority level of the queue: callers' flows share the free slots in proportion to the callers' shares. */

import { type CallerId } from "../ids.js";
import { arrivedBefore, Flow, isDueBefore, type QueuedWork } from "./Flow.js";
import { IndexedHeap } from "./IndexedHeap.js";
import { type Lane } from "./TargetIndex.js";
import { importanceOf, laneOf, type Work, workClasses } from "./Work.js";

/** Identifies a level of a pool's queue. */
export interface LevelKey {
    readonly importance: number;
    /** Rank of the work class among those of equal importance; the lowest goes first. */
    readonly rank: number;
    readonly lane: Lane;
}

/** Minimum tokens that a piece of work is charged with. */
const minCost = 1;

/** One level of a pool's queue, with start-time fair queueing among the callers. */
export class Level {
    private readonly flows = new Map<CallerId, Flow>();
    private readonly active = new IndexedHeap<Flow>((a, b) => a.startTag < b.startTag);
    private virtualTime = 0;
    private count = 0;

    constructor(readonly key: LevelKey, private readonly usesDeadlines: boolean) {}

    get size(): number {
        return this.count;
    }

    /** The flow that work of `caller` belongs to; without deadlines all callers share one flow. */
    flow(caller: CallerId): Flow {
        const known = this.flows.get(this.usesDeadlines ? caller : "" as CallerId);
        if (known !== undefined) {
            return known;
        }
        const created = new Flow(this.usesDeadlines ? isDueBefore : arrivedBefore);
        this.flows.set(this.usesDeadlines ? caller : "" as CallerId, created);
        return created;
    }

    add(item: QueuedWork): void {
        const { flow } = item;
        flow.add(item);
        this.count++;
        if (flow.size === 1) {
            flow.startTag = Math.max(flow.startTag, this.virtualTime);
            this.active.push(flow);
        }
    }

    remove(item: QueuedWork): boolean {
        if (!item.flow.remove(item)) {
            return false;
        }
        this.count--;
        if (item.flow.size === 0) {
            this.active.remove(item.flow);
        }
        return true;
    }

    first(): QueuedWork | undefined {
        return this.active.peek()?.peek();
    }

    /**
     * Charges granted work to its caller, whose virtual time advances by the work's cost divided by the caller's share.
     */
    charge({ flow, work }: QueuedWork): void {
        this.virtualTime = Math.max(this.virtualTime, flow.startTag);
        flow.charge(Math.max(minCost, work.expectedTokens ?? minCost), work.share ?? 1);
        this.active.update(flow);
    }
}

/** The level that work belongs to. Baseline policies use one level only. */
export function levelKeyOf(work: Work): LevelKey {
    if (work.policy !== "tamarack") {
        return { importance: 0, rank: 0, lane: laneOf(work) };
    }
    return { importance: importanceOf(work), rank: workClasses.indexOf(work.workClass), lane: laneOf(work) };
}

/** The order of levels: higher importance first, then by rank, then short work first. */
export function compareLevels(a: LevelKey, b: LevelKey): number {
    return b.importance - a.importance || a.rank - b.rank || (a.lane < b.lane ? 1 : a.lane > b.lane ? -1 : 0);
}
