/**
 * The link to one peer. It connects on the first request. A socket that has received nothing for a while is pinged
 * before a request is sent on it, and is replaced by a new socket when nothing arrives. While requests are in flight the
 * socket is pinged at intervals, and closed when it does not respond. A failed request gets "not-sent" when no byte of
 * it was sent, else "no-answer".
 */

import { after, type Clock, type HostId, type Instant, type PeerFailure, type PeerLinkState } from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { maxFrameBytes, packFrame, type ResponseFrame } from "./peerFrames.js";
import { PeerSocket } from "./PeerSocket.js";
import { type TrafficCounters } from "./TrafficCounters.js";

/** Options of a link. */
export interface PeerLinkOptions {
    readonly self: HostId;
    readonly secret: string;
    readonly clock: Clock;
    readonly random: () => number;
    readonly traffic: TrafficCounters;
    /** Milliseconds between pings while requests are in flight. */
    readonly pingIntervalMs: number;
    /** Timeout in milliseconds of a handshake and of the response to a ping; a socket that exceeds it is closed. */
    readonly pongTimeoutMs: number;
    /** Called when an authenticated socket closes unexpectedly. */
    readonly onEnded: (host: HostId) => void;
}

type LinkResult = Either<PeerFailure, ResponseFrame>;

interface PendingRequest {
    readonly frame: Buffer;
    /** The socket that the request was sent on; undefined while it is unsent. */
    socket: PeerSocket | undefined;
    readonly settle: (result: LinkResult) => void;
}

/** Time after the last receipt in which a socket is used without a liveness check. */
const livenessTtlMs = 1000;
/** Time that a liveness check waits for data from the peer before another socket is opened. */
const livenessCheckTimeoutMs = 250;
/** Time without requests after which the socket is closed. */
const idleCloseTimeoutMs = 120_000;
/**
 * A timer that fires later than this indicates that this process itself was paused, so that a missing response does not
 * prove that the peer is dead.
 */
const maxTimerLatenessMs = 500;
const maxPendingRequests = 4096;
const maxBufferedBytes = 2 * maxFrameBytes;
const initialBackoffMs = 50;
const maxBackoffMs = 1000;

/** The client's link to one peer. */
export class PeerLink {
    private current: PeerSocket | undefined;
    private readonly sockets = new Set<PeerSocket>();
    private readonly pendingRequests = new Map<number, PendingRequest>();
    private nextRequestId = 0;
    private failures = 0;
    private nextConnectAt = 0 as Instant;
    private lastUsedAt: Instant;
    private cancelTimer: (() => void) | undefined;
    private timerAt: Instant | undefined;
    private cancelLivenessCheck: (() => void) | undefined;
    private isRetired = false;

    constructor(readonly host: HostId, readonly address: string, private readonly options: PeerLinkOptions) {
        this.lastUsedAt = options.clock.now();
    }

    /** Sends a request; resolves with the response, or with a failure at `deadline` at the latest. */
    ask(name: string, body: unknown, deadline: Instant): Promise<LinkResult> {
        const id = this.nextRequestId++;
        const frame = packFrame({ kind: "ask", id, name, body });
        const refusalReason = this.refusalReason(frame);
        if (refusalReason !== undefined) {
            return Promise.resolve(Left({ reason: "not-sent", detail: refusalReason }));
        }
        return new Promise(resolve => {
            const cancelDeadline = this.options.clock.callAt(
                deadline,
                () => this.failRequest(id, "The peer did not respond in time."),
            );
            const settle = (result: LinkResult): void => {
                cancelDeadline();
                this.pendingRequests.delete(id);
                this.closeUnusedSockets();
                resolve(result);
            };
            this.pendingRequests.set(id, { frame, socket: undefined, settle });
            this.lastUsedAt = this.options.clock.now();
            this.sendPending();
            this.scheduleTimer();
        });
    }

    describe(): PeerLinkState {
        const state = this.current === undefined ? "idle" : this.current.isAuthenticated ? "open" : "connecting";
        return {
            host: this.host,
            address: this.address,
            state,
            inFlight: this.pendingRequests.size,
            heardAt: this.current?.lastReceivedAt,
        };
    }

    /** Closes the link once the requests in flight have finished; unsent requests fail, and no new ones are accepted. */
    retire(): void {
        this.isRetired = true;
        this.failUnsent("The peer has a new address.");
        this.closeUnusedSockets();
    }

    close(): void {
        this.isRetired = true;
        this.cancelTimer?.();
        this.cancelLivenessCheck?.();
        this.failUnsent("The link is closed.");
        this.sockets.forEach(socket => socket.terminate());
    }

    private refusalReason(frame: Buffer): string | undefined {
        if (this.isRetired) {
            return "The link is closed.";
        }
        if (frame.length > maxFrameBytes) {
            return "The request exceeds the maximum frame size.";
        }
        if (this.pendingRequests.size >= maxPendingRequests || (this.current?.bufferedBytes ?? 0) > maxBufferedBytes) {
            return "Too many requests are pending for the peer.";
        }
        if (this.current === undefined && this.options.clock.now() < this.nextConnectAt) {
            return "The link is backing off after a failed connection attempt to the peer.";
        }
        return undefined;
    }

    /** Sends the unsent requests once the socket is authenticated and known to be alive. */
    private sendPending(): void {
        const socket = this.current ?? this.open();
        if (
            !socket.isAuthenticated || ![...this.pendingRequests.values()].some(request => request.socket === undefined)
        ) {
            return;
        }
        if (this.options.clock.now() - socket.lastReceivedAt > livenessTtlMs) {
            this.checkLiveness(socket);
            return;
        }
        for (const request of this.pendingRequests.values()) {
            if (request.socket === undefined) {
                request.socket = socket;
                socket.send(request.frame);
            }
        }
    }

    /** Pings the socket and opens another one when nothing arrives in time. */
    private checkLiveness(socket: PeerSocket): void {
        if (this.cancelLivenessCheck !== undefined) {
            return;
        }
        const { clock } = this.options;
        const at = after(clock.now(), livenessCheckTimeoutMs);
        socket.ping();
        this.cancelLivenessCheck = clock.callAt(at, () => {
            this.cancelLivenessCheck = undefined;
            if (this.current !== socket) {
                return;
            }
            if (clock.now() - at > maxTimerLatenessMs) {
                this.checkLiveness(socket);
                return;
            }
            this.open();
            this.closeUnusedSockets();
        });
    }

    private endLivenessCheck(): void {
        this.cancelLivenessCheck?.();
        this.cancelLivenessCheck = undefined;
    }

    private open(): PeerSocket {
        const { self, secret, clock, pongTimeoutMs, traffic } = this.options;
        const socket = new PeerSocket({
            self,
            host: this.host,
            address: this.address,
            secret,
            clock,
            traffic,
            handshakeTimeoutMs: pongTimeoutMs,
            onAuthenticated: () => {
                this.failures = 0;
            },
            onResponse: response => this.pendingRequests.get(response.id)?.settle(Right(response)),
            onReceived: receiver => {
                if (receiver === this.current) {
                    this.endLivenessCheck();
                    this.sendPending();
                }
            },
            onClosed: closed => this.onClosed(closed),
        });
        this.current = socket;
        this.sockets.add(socket);
        return socket;
    }

    private failRequest(id: number, detail: string): void {
        const request = this.pendingRequests.get(id);
        request?.settle(Left({ reason: request.socket === undefined ? "not-sent" : "no-answer", detail }));
    }

    private failUnsent(detail: string): void {
        for (const [id, request] of this.pendingRequests) {
            if (request.socket === undefined) {
                this.failRequest(id, detail);
            }
        }
    }

    private onClosed(socket: PeerSocket): void {
        this.sockets.delete(socket);
        for (const [id, request] of this.pendingRequests) {
            if (request.socket === socket) {
                this.failRequest(id, "The connection to the peer closed.");
            }
        }
        if (this.current !== socket) {
            return;
        }
        this.current = undefined;
        this.endLivenessCheck();
        if (socket.isAuthenticated && !this.isRetired) {
            this.reconnect();
            return;
        }
        this.backOff();
        this.failUnsent("Cannot reach the peer.");
    }

    /** Opens a new socket after an authenticated one closed, for the requests of which no byte was sent. */
    private reconnect(): void {
        this.options.onEnded(this.host);
        if (this.pendingRequests.size > 0) {
            this.sendPending();
        }
    }

    private backOff(): void {
        const maxDelayMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** this.failures);
        this.failures++;
        const delayMs = maxDelayMs * (0.5 + this.options.random() / 2);
        this.nextConnectAt = after(this.options.clock.now(), delayMs);
    }

    private scheduleTimer(): void {
        const { clock, pingIntervalMs } = this.options;
        const at = after(clock.now(), this.pendingRequests.size > 0 ? pingIntervalMs : idleCloseTimeoutMs);
        if (this.timerAt !== undefined && this.timerAt <= at) {
            return;
        }
        this.cancelTimer?.();
        this.timerAt = at;
        this.cancelTimer = clock.callAt(at, () => {
            this.timerAt = undefined;
            this.checkSockets(clock.now() - at > maxTimerLatenessMs);
        });
    }

    /** Closes sockets that did not respond to a ping in time, and pings those with requests in flight. */
    private checkSockets(isTimerLate: boolean): void {
        const now = this.options.clock.now();
        const socketsInUse = new Set([...this.pendingRequests.values()].map(request => request.socket));
        for (const socket of this.sockets) {
            if (!socket.isAuthenticated || !socketsInUse.has(socket) && socket === this.current) {
                continue;
            }
            if (isTimerLate) {
                socket.restartPing();
            }
            else if (now - (socket.pendingPingAt ?? now) >= this.options.pongTimeoutMs) {
                socket.terminate();
            }
            else {
                socket.ping();
            }
        }
        const isIdle = this.pendingRequests.size === 0 && now - this.lastUsedAt >= idleCloseTimeoutMs;
        if (isIdle) {
            this.closeIdle();
        }
        else if (this.sockets.size > 0) {
            this.scheduleTimer();
        }
    }

    private closeIdle(): void {
        const { current } = this;
        this.current = undefined;
        current?.terminate();
    }

    private closeUnusedSockets(): void {
        for (const socket of this.sockets) {
            const isInUse = [...this.pendingRequests.values()].some(request => request.socket === socket);
            if (!isInUse && (this.isRetired || socket !== this.current)) {
                socket.terminate();
            }
        }
    }
}
