/** Observes one attempt at a call, to count its request once when it began to run at a target. */

import {
    type AttemptTimes,
    type ForwardedCall,
    type ForwardOutcome,
    runBegunAt,
    type StreamHandler,
} from "@tamarackpath/core";

/** Counts callers' requests that began to run at targets. */
export interface RunCounter {
    /** Unix milliseconds. */
    timeOfDay(): number;
    /** Counts a request that began to run at `begunAt`, in Unix milliseconds; further attempts at it are ignored. */
    recordRun(call: ForwardedCall, begunAt: number): void;
}

/** The times of one attempt. */
export class AttemptRun {
    private times: AttemptTimes = { sentAt: undefined, firstPieceAt: undefined };

    constructor(private readonly counter: RunCounter | undefined, private readonly call: ForwardedCall) {}

    readonly recordSent = (): void => {
        this.times = { ...this.times, sentAt: this.counter?.timeOfDay() };
    };

    /** Passes a stream on and counts its request at the first piece, as the stream may last longer than a window of use. */
    observe(handler: StreamHandler | undefined): StreamHandler | undefined {
        return this.counter === undefined || handler === undefined ? handler : {
            onHead: head => handler.onHead(head),
            onChunk: bytes => {
                if (this.times.firstPieceAt === undefined) {
                    const firstPieceAt = this.counter?.timeOfDay();
                    this.times = { ...this.times, firstPieceAt };
                    this.record(firstPieceAt);
                }
                return handler.onChunk(bytes);
            },
        };
    }

    recordEnd(end: ForwardOutcome): void {
        this.record(runBegunAt(end, this.times));
    }

    private record(begunAt: number | undefined): void {
        if (begunAt !== undefined) {
            this.counter?.recordRun(this.call, begunAt);
        }
    }
}
