/** A fake clock with a queue of actions ordered by time, for simulations that run without real time. */

import { type Instant } from "@tamarackpath/core";

interface ScheduledAction {
    readonly at: Instant;
    readonly order: number;
    readonly run: () => void;
}

/** Runs scheduled actions; the clock jumps from the time of one action to the time of the next. */
export class EventLoop {
    private readonly heap: ScheduledAction[] = [];
    private order = 0;
    private time: Instant;

    constructor(start: Instant) {
        this.time = start;
    }

    get now(): Instant {
        return this.time;
    }

    /** Schedules `run` for the time `at`. Actions with the same time run in the order in which they were scheduled. */
    scheduleAt(at: number, run: () => void): void {
        this.order++;
        this.heap.push({ at: Math.max(at, this.time) as Instant, order: this.order, run });
        this.siftUp(this.heap.length - 1);
    }

    /** Runs every action that is due by `end`, and sets the clock to `end`. */
    runUntil(end: Instant): void {
        while (this.heap.length > 0 && this.heap[0]!.at <= end) {
            const { at, run } = this.popFirst();
            this.time = at;
            run();
        }
        this.time = end;
    }

    private popFirst(): ScheduledAction {
        const first = this.heap[0]!;
        const last = this.heap.pop()!;
        if (this.heap.length > 0) {
            this.heap[0] = last;
            this.siftDown(0);
        }
        return first;
    }

    private siftUp(index: number): void {
        const parent = Math.floor((index - 1) / 2);
        if (index > 0 && this.isBefore(index, parent)) {
            this.swap(index, parent);
            this.siftUp(parent);
        }
    }

    private siftDown(index: number): void {
        const left = 2 * index + 1;
        const right = left + 1;
        const child = right < this.heap.length && this.isBefore(right, left) ? right : left;
        if (child < this.heap.length && this.isBefore(child, index)) {
            this.swap(index, child);
            this.siftDown(child);
        }
    }

    private isBefore(a: number, b: number): boolean {
        const first = this.heap[a]!;
        const second = this.heap[b]!;
        return first.at < second.at || first.at === second.at && first.order < second.order;
    }

    private swap(a: number, b: number): void {
        [this.heap[a], this.heap[b]] = [this.heap[b]!, this.heap[a]!];
    }
}
