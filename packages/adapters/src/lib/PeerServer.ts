/**
 * The server's end of the peer links: accepts peers that prove that they hold the shared secret, reads their requests
 * and sends the responses. An invalid frame closes the connection.
 */

import { type Clock, type HostId, type Instant } from "@tamarackpath/core";
import { createServer, type IncomingMessage } from "node:http";
import { type AddressInfo } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import { maxFrameBytes, packFrame, type RequestFrame, type ResponseFrame, unpackFrame } from "./peerFrames.js";
import { createNonce, createProof, type HandshakeParties, proofMatches } from "./peerHandshake.js";
import { type TrafficCounters } from "./TrafficCounters.js";

/** Options of the server. */
export interface PeerServerOptions {
    readonly self: HostId;
    readonly listenHost: string;
    readonly listenPort: number;
    readonly secret: string;
    readonly clock: Clock;
    readonly traffic: TrafficCounters;
    /** Handles a request of the host `from`. */
    readonly handle: (request: RequestFrame, from: HostId) => Promise<ResponseFrame>;
}

/** Time that a peer has for its part of the handshake. */
const proofTimeoutMs = 2000;
/** Time without requests and pings after which a connection is closed. */
const idleTimeoutMs = 300_000;
const maxBufferedBytes = 2 * maxFrameBytes;

/** Accepts the peers' connections. */
export class PeerServer {
    private readonly http = createServer();
    private server: WebSocketServer | undefined;

    constructor(private readonly options: PeerServerOptions) {}

    /** Starts to listen and returns the port. */
    listen(): Promise<number> {
        const { listenHost: host, listenPort: port } = this.options;
        const server = new WebSocketServer({
            server: this.http,
            maxPayload: maxFrameBytes,
            perMessageDeflate: false,
            verifyClient: ({ req }: { req: IncomingMessage; }) => this.hasValidProof(req),
        });
        this.server = server;
        server.on("connection", (socket, req) => this.accept(socket, this.partiesOf(req)));
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            this.http.listen(port, host, () => resolve((this.http.address() as AddressInfo).port));
        });
    }

    /** Stops listening and closes all connections, also those that never sent a byte. */
    async close(): Promise<void> {
        this.server?.clients.forEach(client => client.terminate());
        this.server?.close();
        await new Promise<void>(resolve => {
            this.http.close(() => resolve());
            this.http.closeAllConnections();
        });
    }

    private partiesOf(req: IncomingMessage): HandshakeParties {
        return {
            client: String(req.headers["x-host"]),
            server: this.options.self,
            clientNonce: String(req.headers["x-nonce"]),
        };
    }

    /** Rejects peers without the shared secret before any of their frames is read. */
    private hasValidProof(req: IncomingMessage): boolean {
        const expected = createProof(this.options.secret, "upgrade", this.partiesOf(req), "");
        return proofMatches(expected, String(req.headers["authorization"]));
    }

    private accept(socket: WebSocket, parties: HandshakeParties): void {
        const { clock, secret } = this.options;
        const nonce = createNonce();
        let isAuthenticated = false;
        let cancelTimer = this.terminateAfter(socket, proofTimeoutMs);
        const restartIdleTimer = (): void => {
            cancelTimer();
            cancelTimer = this.terminateAfter(socket, idleTimeoutMs);
        };
        let idleTimerStartedAt = clock.now();
        // Restarts the timer at most once per half timeout.
        const recordReceipt = (): void => {
            if (isAuthenticated && clock.now() - idleTimerStartedAt > idleTimeoutMs / 2) {
                idleTimerStartedAt = clock.now();
                restartIdleTimer();
            }
        };
        socket.on("error", () => socket.terminate());
        socket.on("close", () => cancelTimer());
        socket.on("ping", recordReceipt);
        socket.on("message", data => {
            const bytes = data as Buffer;
            this.options.traffic.countReceived(bytes.length);
            const frame = unpackFrame(bytes);
            if (isAuthenticated && frame?.kind === "ask") {
                recordReceipt();
                void this.respond(socket, frame, parties.client as HostId);
                return;
            }
            if (
                !isAuthenticated && frame?.kind === "proof"
                && proofMatches(createProof(secret, "client", parties, nonce), frame.proof)
            ) {
                isAuthenticated = true;
                restartIdleTimer();
                return;
            }
            socket.terminate();
        });
        this.send(socket, packFrame({ kind: "hello", nonce, proof: createProof(secret, "server", parties, nonce) }));
    }

    private async respond(socket: WebSocket, request: RequestFrame, from: HostId): Promise<void> {
        const response = await this.options.handle(request, from);
        if (socket.bufferedAmount > maxBufferedBytes) {
            socket.terminate();
        }
        if (socket.readyState === socket.OPEN) {
            this.send(socket, packFrame(response));
        }
    }

    private send(socket: WebSocket, bytes: Buffer): void {
        this.options.traffic.countSent(bytes.length);
        socket.send(bytes);
    }

    private terminateAfter(socket: WebSocket, ms: number): () => void {
        const { clock } = this.options;
        return clock.callAt((clock.now() + ms) as Instant, () => socket.terminate());
    }
}
