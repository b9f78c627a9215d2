/**
 * The samples of a step that wait for an attempt. Retried samples come first, because the other samples of their group
 * are already under way; the others follow in the order of the step, so that groups are completed one after another.
 */

/** Queue of sample indices; each operation takes amortized constant time. */
export class WaitingQueue {
    private readonly retries: number[] = [];
    private retryHead = 0;
    private nextUnstarted = 0;

    constructor(private readonly sampleCount: number) {}

    /** Queues a sample again that was removed before. */
    requeue(index: number): void {
        this.retries.push(index);
    }

    /** Removes and returns the first sample for which `isWaiting` holds, and drops those before it. */
    take(isWaiting: (index: number) => boolean): number | undefined {
        for (;;) {
            const index = this.shift();
            if (index === undefined || isWaiting(index)) {
                return index;
            }
        }
    }

    private shift(): number | undefined {
        if (this.retryHead < this.retries.length) {
            const index = this.retries[this.retryHead++]!;
            this.compact();
            return index;
        }
        return this.nextUnstarted < this.sampleCount ? this.nextUnstarted++ : undefined;
    }

    private compact(): void {
        if (this.retryHead * 2 >= this.retries.length) {
            this.retries.splice(0, this.retryHead);
            this.retryHead = 0;
        }
    }
}
