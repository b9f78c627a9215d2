/**
 * The client's end of one WebSocket to a peer: connects, performs the handshake, and records when data was last
 * received. The link that owns the socket decides about the requests that are sent on it.
 */

import { type Clock, type HostId, type Instant } from "@tamarackpath/core";
import { WebSocket } from "ws";
import { maxFrameBytes, packFrame, type ResponseFrame, unpackFrame } from "./peerFrames.js";
import { createNonce, createProof, type HandshakeParties, proofMatches } from "./peerHandshake.js";
import { type TrafficCounters } from "./TrafficCounters.js";

/** Options of a socket. */
export interface PeerSocketOptions {
    readonly self: HostId;
    readonly host: HostId;
    readonly address: string;
    readonly secret: string;
    readonly clock: Clock;
    readonly handshakeTimeoutMs: number;
    readonly traffic: TrafficCounters;
    /** Called when the peer is authenticated, so that requests may be sent. */
    readonly onAuthenticated: (socket: PeerSocket) => void;
    readonly onResponse: (response: ResponseFrame) => void;
    /** Called when anything is received on an authenticated socket. */
    readonly onReceived: (socket: PeerSocket) => void;
    readonly onClosed: (socket: PeerSocket) => void;
}

/** One socket to a peer. */
export class PeerSocket {
    isAuthenticated = false;
    lastReceivedAt: Instant;
    /** When the oldest ping was sent after which nothing was received. */
    pendingPingAt: Instant | undefined;
    private readonly socket: WebSocket;
    private readonly parties: HandshakeParties;
    private readonly cancelHandshake: () => void;

    constructor(private readonly options: PeerSocketOptions) {
        const { self: client, host: server, address, secret, clock, handshakeTimeoutMs } = options;
        this.parties = { client, server, clientNonce: createNonce() };
        this.lastReceivedAt = clock.now();
        this.socket = new WebSocket(`ws://${address}`, {
            headers: {
                "x-host": client,
                "x-nonce": this.parties.clientNonce,
                authorization: createProof(secret, "upgrade", this.parties, ""),
            },
            perMessageDeflate: false,
            maxPayload: maxFrameBytes,
        });
        this.cancelHandshake = clock.callAt((clock.now() + handshakeTimeoutMs) as Instant, () => {
            if (!this.isAuthenticated) {
                this.terminate();
            }
        });
        this.socket.on("message", data => this.onMessage(data as Buffer));
        this.socket.on("pong", () => this.recordReceipt());
        this.socket.on("error", () => this.socket.terminate());
        this.socket.on("close", () => {
            this.cancelHandshake();
            options.onClosed(this);
        });
    }

    send(frame: Buffer): void {
        this.options.traffic.countSent(frame.length);
        this.socket.send(frame);
    }

    /** Bytes that are queued for sending. */
    get bufferedBytes(): number {
        return this.socket.bufferedAmount;
    }

    /** Sends a ping, to check that the peer is alive. */
    ping(): void {
        this.pendingPingAt ??= this.options.clock.now();
        this.socket.ping();
    }

    /** Sends a ping and restarts its timeout, because this process itself was paused. */
    restartPing(): void {
        this.pendingPingAt = undefined;
        this.ping();
    }

    terminate(): void {
        this.socket.terminate();
    }

    private recordReceipt(): void {
        this.lastReceivedAt = this.options.clock.now();
        this.pendingPingAt = undefined;
        if (this.isAuthenticated) {
            this.options.onReceived(this);
        }
    }

    private onMessage(data: Buffer): void {
        this.options.traffic.countReceived(data.length);
        const frame = unpackFrame(data);
        if (this.isAuthenticated && frame?.kind === "answer") {
            this.recordReceipt();
            this.options.onResponse(frame);
            return;
        }
        if (!this.isAuthenticated && frame?.kind === "hello" && this.isValidProof(frame.nonce, frame.proof)) {
            this.isAuthenticated = true;
            this.send(packFrame({
                kind: "proof",
                proof: createProof(this.options.secret, "client", this.parties, frame.nonce),
            }));
            this.options.onAuthenticated(this);
            this.recordReceipt();
            return;
        }
        this.terminate();
    }

    private isValidProof(nonce: string, proof: string): boolean {
        return proofMatches(createProof(this.options.secret, "server", this.parties, nonce), proof);
    }
}
