/**
 * One request that a host sends to a target for another host: collects the parts of the response until the other host
 * takes them, and ends the request when that host does not ask for them any more.
 */

import {
    after,
    type Clock,
    type ForwardOutcome,
    type RelayStep,
    type ResponseHead,
    type StreamHandler,
} from "@tamarackpath/core";

/** Upper limit in bytes of the parts that wait to be taken; beyond it the target's stream is not read. */
const maxWaitingBytes = 262_144;

/** Milliseconds without a question from the other host after which the request is ended. */
const idleTimeoutMs = 3000;

/** The parts of one response that another host takes step by step. */
export class RelaySession implements StreamHandler {
    private readonly stop = new AbortController();
    private head: ResponseHead | undefined;
    private chunks: Uint8Array[] = [];
    private waitingBytes = 0;
    private outcome: ForwardOutcome | undefined;
    private wake: () => void = () => undefined;
    private resume: () => void = () => undefined;
    private cancelIdle: (() => void) | undefined;

    /** `onEnd` is called once the other host has taken the last part, or does not take it. */
    constructor(private readonly clock: Clock, private readonly onEnd: () => void) {}

    /** Aborts when the request is to be ended. */
    get signal(): AbortSignal {
        return this.stop.signal;
    }

    onHead(head: ResponseHead): void {
        this.head = head;
        this.wake();
    }

    onChunk(bytes: Uint8Array): Promise<void> {
        this.chunks.push(bytes);
        this.waitingBytes += bytes.length;
        this.wake();
        return this.waitingBytes < maxWaitingBytes ? Promise.resolve() : new Promise(resolve => {
            this.resume = resolve;
        });
    }

    finish(outcome: ForwardOutcome): void {
        this.outcome ??= outcome;
        this.wake();
    }

    /** Ends the request for the other host, which learns that it may have run. */
    end(reason: string): void {
        this.finish({ kind: "unknown", detail: reason });
        this.stop.abort();
        this.resume();
    }

    /** Ends the request. */
    abort(): void {
        this.cancelIdle?.();
        this.stop.abort();
        this.resume();
        this.onEnd();
    }

    /** Resolves with what has arrived since the last step, once there is something. */
    async take(): Promise<RelayStep> {
        this.cancelIdle?.();
        if (this.head === undefined && this.chunks.length === 0 && this.outcome === undefined) {
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
        const step: RelayStep = { head: this.head, chunks: this.chunks, outcome: this.outcome };
        this.head = undefined;
        this.chunks = [];
        this.waitingBytes = 0;
        this.resume();
        if (step.outcome !== undefined) {
            this.onEnd();
        }
        else {
            this.cancelIdle = this.clock.callAt(after(this.clock.now(), idleTimeoutMs), () => this.abort());
        }
        return step;
    }
}
