/** One connection of a client: its requests in order, and whether the client is slow to send or to read. */

import { type BufferHolding, type Instant } from "@tamarackpath/core";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Socket } from "node:net";

/** What a connection waits for; a connection that serves a request or is kept idle waits for nothing of its client. */
export type ConnectionPhase = "head" | "body" | "answer" | "serving" | "idle";

/** A request whose response has not ended. */
export interface OpenRequest {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    /** Bytes of the body and overhead of the request. */
    readonly holding: BufferHolding;
    isStarted: boolean;
    /** Whether its body is no longer read, because its client is too slow. */
    isGivenUp: boolean;
    /** Ends the reading of the body when the client is too slow. */
    endReading: (() => void) | undefined;
}

/** Bytes that a client sends or reads between two samples if it is not slow. */
const minProgressBytes = 8 * 1024;

/** Milliseconds from which a connection on which no request was begun may be closed for another one. */
const minHeadAgeMs = 500;

/** State of one connection. */
export class ClientConnection {
    /** Requests without an ended response, in the order of their arrival. */
    readonly requests: OpenRequest[] = [];
    isPumpDue = false;
    isPaused = false;
    /** Whether its client is to get no more answers. */
    isEnding = false;
    private bytesAtRest = 0;
    private lastRequest: IncomingMessage | undefined;
    private sample = { key: "", sent: 0, received: 0 };
    private slow = false;
    private progressAt: Instant;

    constructor(readonly socket: Socket, private readonly openedAt: Instant) {
        this.progressAt = openedAt;
    }

    get phase(): ConnectionPhase {
        const last = this.lastRequest;
        if (last === undefined) {
            return "head";
        }
        if (!last.complete) {
            return "body";
        }
        if (this.requests.length === 0) {
            return this.socket.bytesRead <= this.bytesAtRest ? "idle" : "head";
        }
        return this.socket.writableLength > 0 ? "answer" : "serving";
    }

    /** Whether the client made little progress between the last two samples, both in the same phase. */
    get isSlow(): boolean {
        return this.slow;
    }

    /** Whether it needs no further action to be freed: it is closed, or the reading of its body has ended. */
    get isGivenUp(): boolean {
        return this.isEnding || this.requests.at(-1)?.isGivenUp === true;
    }

    /** Time of the last progress that a sample saw. */
    get lastProgressAt(): Instant {
        return this.progressAt;
    }

    /** Whether it may be closed at `now` to make room for another connection. */
    isReplaceable(now: Instant): boolean {
        return this.lastRequest === undefined ? now - this.openedAt >= minHeadAgeMs : this.slow;
    }

    /** Bytes that the bodies of its requests hold. */
    get heldBytes(): number {
        return this.requests.reduce((sum, { holding }) => sum + holding.bytes, 0);
    }

    addRequest(request: OpenRequest): void {
        this.lastRequest = request.req;
        this.requests.push(request);
    }

    removeRequest(request: OpenRequest): void {
        const at = this.requests.indexOf(request);
        if (at >= 0) {
            this.requests.splice(at, 1);
            this.bytesAtRest = this.socket.bytesRead;
        }
    }

    /** Compares the progress with that at the last sample. */
    takeSample(now: Instant): void {
        const { phase, socket } = this;
        const key = `${phase} ${this.requests.length}`;
        const sent = socket.bytesWritten - socket.writableLength;
        const received = socket.bytesRead;
        const progress = phase === "answer" ? sent - this.sample.sent : received - this.sample.received;
        const isWaiting = phase === "head" || phase === "body" || phase === "answer";
        this.slow = isWaiting && key === this.sample.key && progress < minProgressBytes;
        if (!isWaiting || progress > 0 || key !== this.sample.key) {
            this.progressAt = now;
        }
        this.sample = { key, sent, received };
    }
}
