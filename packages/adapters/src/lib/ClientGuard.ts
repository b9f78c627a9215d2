/**
 * Protects the servers of a process from clients that do not stay within the limits. It bounds the connections, the open
 * requests of each connection and, through budgets, the bytes of bodies and unread answers. Where room is short, the
 * connections of slow clients are closed first; then new requests are refused. It answers crowds that send bodies of legal
 * size and stop before their end, pipeline requests without reading, or send and read slowly.
 */

import { BufferBudget, type ClientLimits, type Clock, type Instant } from "@tamarackpath/core";
import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { AnswerRoom } from "./AnswerRoom.js";
import { ClientConnection, type ConnectionPhase, type OpenRequest } from "./ClientConnection.js";
import { type BodyRead, collectBody } from "./collectBody.js";

/** Why a request was refused or a connection was closed. */
export const clientRefusals = [
    "connections",
    "slow-client",
    "pipelined",
    "no-room",
    "too-large",
    "late-body",
] as const;

/** One of `clientRefusals`. */
export type ClientRefusal = typeof clientRefusals[number];

/** Receives the number of refusals of one kind, at most once a second for each kind. */
export type RefusalListener = (reason: ClientRefusal, count: number) => void;

/** Handles a request that was admitted. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** Milliseconds between samples of the connections' progress. */
const sampleIntervalMs = 500;

/** Milliseconds between reports of refusals. */
const reportIntervalMs = 1000;

/** Bytes of memory of an open request without its body. */
const requestOverheadBytes = 4 * 1024;

/** Options of `readBody`. */
export interface BodyOptions {
    readonly maxBytes: number;
    /** Time from which a body that is not whole is refused, because the request could not run in time. */
    readonly lateAt: Instant;
}

/** Guards all servers of one process. */
export class ClientGuard {
    private readonly requestBudget: BufferBudget;
    private readonly answerBudget: BufferBudget;
    /** Room for answers that are being read from their targets. */
    readonly answerRoom: AnswerRoom;
    private readonly connections = new Map<Server, Set<ClientConnection>>();
    private readonly owners = new WeakMap<ServerResponse, { connection: ClientConnection; request: OpenRequest; }>();
    private readonly counts = new Map<ClientRefusal, number>();

    constructor(
        private readonly limits: ClientLimits,
        private readonly clock: Clock,
        private readonly onRefused: RefusalListener,
    ) {
        this.requestBudget = new BufferBudget(limits.requests);
        this.answerBudget = new BufferBudget(limits.answers);
        this.answerRoom = new AnswerRoom(
            this.answerBudget,
            limits.answers.maxBytes,
            clock,
            () => this.closeSlow("answer"),
        );
        setInterval(() => this.takeSamples(), sampleIntervalMs).unref();
        setInterval(() => this.report(), reportIntervalMs).unref();
    }

    /** Bytes held by requests and by unread answers. */
    get heldBytes(): { readonly requests: number; readonly answers: number; } {
        return { requests: this.requestBudget.heldBytes, answers: this.answerBudget.heldBytes };
    }

    /** Number of open connections of all servers. */
    get connectionCount(): number {
        return [...this.connections.values()].reduce((sum, { size }) => sum + size, 0);
    }

    /** Serves the requests of `server` by `handler`, on at most `maxConnections` connections. */
    protect(server: Server, maxConnections: number, handler: RequestHandler): void {
        const open = new Set<ClientConnection>();
        const bySocket = new WeakMap<Socket, ClientConnection>();
        this.connections.set(server, open);
        // Node.js would drop further headers without notice; their size is limited by maxHeaderSize.
        server.maxHeadersCount = 0;
        server.on("connection", (socket: Socket) => {
            if (open.size >= maxConnections && !this.closeOneOf(open)) {
                this.countRefusal("connections");
                socket.destroy();
                return;
            }
            const connection = new ClientConnection(socket, this.clock.now());
            bySocket.set(socket, connection);
            open.add(connection);
            socket.once("close", () => {
                open.delete(connection);
                endRequests(connection);
            });
        });
        server.on("request", (req, res) => {
            const connection = bySocket.get(req.socket);
            if (connection !== undefined) {
                this.admit(connection, req, res, handler);
            }
        });
    }

    /** Closes the connections of `server` on which a request was answered and no further one has begun. */
    closeIdle(server: Server): void {
        [...this.connections.get(server) ?? []].filter(({ isEnding, phase }) => !isEnding && phase === "idle")
            .forEach(connection => this.close(connection));
    }

    /** Reads the body of an admitted request into memory. */
    async readBody(req: IncomingMessage, res: ServerResponse, { maxBytes, lateAt }: BodyOptions): Promise<BodyRead> {
        const owner = this.owners.get(res);
        if (owner === undefined) {
            return { kind: "left", reason: "The connection is closed." };
        }
        const { request } = owner;
        const reading = collectBody(req, maxBytes, bytes => this.makeRoom(request, bytes));
        request.endReading = reading.giveUp;
        const cancel = this.clock.callAt(lateAt, reading.giveUp);
        const read = await reading.result;
        cancel();
        request.endReading = undefined;
        if (read.kind !== "whole" && read.kind !== "left") {
            // The bytes that were read are dropped at once; the response may take longer.
            request.holding.release();
            this.countRefusal(read.kind);
        }
        return read;
    }

    /** Holds room for the bytes of an answer until its response is closed. Slow readers are closed when there is none. */
    holdAnswer(res: ServerResponse, bytes: number): void {
        const holding = this.answerBudget.open();
        holding.grow(bytes);
        res.once("close", () => holding.release());
        if (res.destroyed || res.closed) {
            holding.release();
        }
        while (this.answerBudget.isExceeded && this.closeSlow("answer")) {
            // Each pass closes one connection.
        }
    }

    private admit(
        connection: ClientConnection,
        req: IncomingMessage,
        res: ServerResponse,
        handler: RequestHandler,
    ): void {
        if (connection.isEnding) {
            return;
        }
        const holding = this.requestBudget.open();
        const request: OpenRequest = { req, res, holding, isStarted: false, isGivenUp: false, endReading: undefined };
        const isFirst = connection.requests.length === 0;
        if (isFirst) {
            holding.grow(requestOverheadBytes);
        }
        else if (
            connection.requests.length >= this.limits.maxQueuedPerConnection
            || !holding.tryGrow(requestOverheadBytes)
        ) {
            // The requests that arrived in the same read have not been passed on yet.
            this.countRefusal("pipelined");
            this.close(connection);
            return;
        }
        connection.addRequest(request);
        this.owners.set(res, { connection, request });
        res.once("close", () => {
            holding.release();
            connection.removeRequest(request);
            this.pump(connection, handler);
        });
        if (!connection.isPumpDue) {
            connection.isPumpDue = true;
            process.nextTick(() => {
                connection.isPumpDue = false;
                this.pump(connection, handler);
            });
        }
    }

    /** Starts requests of a connection up to its limit; while others wait, nothing more is read from it. */
    private pump(connection: ClientConnection, handler: RequestHandler): void {
        if (connection.isEnding) {
            return;
        }
        const startable = connection.requests.slice(0, this.limits.maxOpenPerConnection);
        startable.filter(({ isStarted }) => !isStarted).forEach(request => {
            request.isStarted = true;
            handler(request.req, request.res);
        });
        const hasWaiting = connection.requests.length > this.limits.maxOpenPerConnection;
        if (hasWaiting !== connection.isPaused) {
            connection.isPaused = hasWaiting;
            if (hasWaiting) {
                connection.socket.pause();
            }
            else {
                connection.socket.resume();
            }
        }
    }

    private makeRoom({ holding }: OpenRequest, bytes: number): boolean {
        while (!holding.tryGrow(bytes)) {
            if (!this.closeSlow("body")) {
                return false;
            }
        }
        return true;
    }

    /** Closes the slow connection in `phase` that holds most; returns whether there was one. */
    private closeSlow(phase: ConnectionPhase): boolean {
        const slow = [...this.connections.values()].flatMap(open => [...open])
            .filter(connection => connection.isSlow && connection.phase === phase && !connection.isGivenUp)
            .reduce<ClientConnection | undefined>(
                (most, each) => most === undefined || each.heldBytes > most.heldBytes ? each : most,
                undefined,
            );
        if (slow === undefined) {
            return false;
        }
        this.countRefusal("slow-client");
        const last = slow.requests.at(-1);
        if (phase === "body" && last?.endReading !== undefined) {
            // The request is refused; its bytes are free at once.
            last.holding.release();
            last.isGivenUp = true;
            last.endReading();
        }
        else {
            this.close(slow);
        }
        return true;
    }

    /**
     * Closes the connection that has waited longest for its client, to make room for a new one. Connections that serve a
     * request or are kept between requests stay.
     */
    private closeOneOf(open: ReadonlySet<ClientConnection>): boolean {
        const now = this.clock.now();
        const oldest = [...open].filter(connection => !connection.isEnding && connection.isReplaceable(now))
            .reduce<ClientConnection | undefined>(
                (found, each) => found === undefined || each.lastProgressAt < found.lastProgressAt ? each : found,
                undefined,
            );
        if (oldest === undefined) {
            return false;
        }
        this.countRefusal("slow-client");
        this.close(oldest);
        return true;
    }

    private close(connection: ClientConnection): void {
        connection.isEnding = true;
        connection.socket.destroy();
        connection.requests.forEach(({ holding }) => holding.release());
    }

    private takeSamples(): void {
        const now = this.clock.now();
        for (const open of this.connections.values()) {
            for (const connection of open) {
                connection.takeSample(now);
            }
        }
    }

    private report(): void {
        this.counts.forEach((count, reason) => this.onRefused(reason, count));
        this.counts.clear();
    }

    private countRefusal(reason: ClientRefusal): void {
        this.counts.set(reason, (this.counts.get(reason) ?? 0) + 1);
    }
}

/** Tells the responses of a closed connection that it is closed; Node.js tells only the one that was being sent. */
function endRequests(connection: ClientConnection): void {
    connection.isEnding = true;
    [...connection.requests].forEach(({ res }) => {
        if (!res.closed) {
            res.destroy();
            res.emit("close");
        }
    });
}
