/**
 * Room for the answers of targets that are read into memory. An answer without room is not refused, because its request has
 * run: reading it goes on when other answers have been sent. It bounds the memory of many large answers at once.
 */

import { after, type BufferBudget, type BufferHolding, type Clock, sleepUntil } from "@tamarackpath/core";

/** Milliseconds between checks for room. */
const checkIntervalMs = 20;

/** Share of the budget up to which unread answers let the oldest answer that is being read exceed it. */
const maxUnreadShare = 0.5;

/** An answer that is being read. */
export interface AnswerReading {
    /** Resolves when `bytes` more may be kept. Throws when `signal` is aborted. */
    take(bytes: number, signal: AbortSignal): Promise<void>;
    /** Ends the reading; who sends the answer holds its bytes from then on. */
    release(): void;
}

/** Admits the bytes of answers by a budget. */
export class AnswerRoom {
    /** The answers that are being read, the oldest first. */
    private readonly readings = new Set<BufferHolding>();

    /** `closeSlowReader` closes the connection of one slow reader and returns whether there was one. */
    constructor(
        private readonly budget: BufferBudget,
        private readonly maxBytes: number,
        private readonly clock: Clock,
        private readonly closeSlowReader: () => boolean,
    ) {}

    /** Begins the reading of an answer. */
    open(): AnswerReading {
        const holding = this.budget.open();
        this.readings.add(holding);
        return {
            take: (bytes, signal) => this.take(holding, bytes, signal),
            release: () => {
                this.readings.delete(holding);
                holding.release();
            },
        };
    }

    private async take(holding: BufferHolding, bytes: number, signal: AbortSignal): Promise<void> {
        while (!holding.tryGrow(bytes)) {
            if (this.closeSlowReader()) {
                continue;
            }
            if (this.mayExceed(holding)) {
                holding.grow(bytes);
                return;
            }
            await sleepUntil(this.clock, after(this.clock.now(), checkIntervalMs), signal);
            signal.throwIfAborted();
        }
    }

    /** The oldest answer may exceed the budget, so that answers that are read in part do not wait for each other. */
    private mayExceed(holding: BufferHolding): boolean {
        const [oldest] = this.readings;
        const readBytes = [...this.readings].reduce((sum, { bytes }) => sum + bytes, 0);
        return holding === oldest && this.budget.heldBytes - readBytes <= this.maxBytes * maxUnreadShare;
    }
}
