/**
 * Implements the peer network over WebSocket with msgpack frames. Each host opens one link to each peer to which it
 * sends requests. Both ends prove that they hold the shared secret before any frame is read. Pings with a timeout detect
 * dead links.
 */

import {
    type Clock,
    type HostId,
    type Instant,
    type PeerFailure,
    type PeerHandler,
    type PeerLinkState,
    type PeerNetwork,
    type PeerRequestName,
    type PeerRequests,
    type Problem,
    problem,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type RequestFrame, type ResponseFrame } from "./peerFrames.js";
import { PeerLink } from "./PeerLink.js";
import { PeerServer } from "./PeerServer.js";
import { TrafficCounters } from "./TrafficCounters.js";

/** Settings of the peer network. */
export interface PeerNetworkOptions {
    readonly self: HostId;
    readonly listenHost: string;
    readonly listenPort: number;
    readonly secret: string;
    readonly random: () => number;
    /** Milliseconds between pings while requests are in flight on a link. */
    readonly pingIntervalMs: number;
    /** Timeout in milliseconds of a handshake and of the response to a ping; a socket that exceeds it is closed. */
    readonly pongTimeoutMs: number;
}

type UntypedHandler = (ask: unknown, from: HostId) => Promise<Either<Problem, unknown>>;

/** Sends requests to the other entry hosts and handles theirs. */
export class WsPeerNetwork implements PeerNetwork {
    readonly traffic = new TrafficCounters();
    private readonly handlers = new Map<string, UntypedHandler>();
    private readonly links = new Map<HostId, PeerLink>();
    private readonly activeRequests = new Map<string, number>();
    private readonly linkEndListeners: ((host: HostId) => void)[] = [];
    private readonly server: PeerServer;

    constructor(private readonly options: PeerNetworkOptions, private readonly clock: Clock) {
        this.server = new PeerServer({
            ...options,
            clock,
            traffic: this.traffic,
            handle: (request, from) => this.handleRequest(request, from),
        });
    }

    /** Starts to listen for peers and returns the port. */
    listen(): Promise<number> {
        return this.server.listen();
    }

    setAddress(host: HostId, address: string): void {
        const link = this.links.get(host);
        if (link?.address === address || host === this.options.self) {
            return;
        }
        link?.retire();
        const { self, secret, random, pingIntervalMs, pongTimeoutMs } = this.options;
        this.links.set(
            host,
            new PeerLink(host, address, {
                self,
                secret,
                clock: this.clock,
                random,
                traffic: this.traffic,
                pingIntervalMs,
                pongTimeoutMs,
                onEnded: ended => this.linkEndListeners.forEach(listener => listener(ended)),
            }),
        );
    }

    removeAddress(host: HostId): void {
        this.links.get(host)?.retire();
        this.links.delete(host);
    }

    async ask<Name extends PeerRequestName>(
        host: HostId,
        name: Name,
        ask: PeerRequests[Name]["ask"],
        deadline: Instant,
    ): Promise<Either<PeerFailure, Either<Problem, PeerRequests[Name]["answer"]>>> {
        const link = this.links.get(host);
        if (link === undefined) {
            return Left({ reason: "not-sent", detail: `Host ${host} has no known address.` });
        }
        const res = await link.ask(name, ask, deadline);
        return res.map(frame =>
            frame.problem === undefined
                ? Right(frame.body as PeerRequests[Name]["answer"])
                : Left(frame.problem)
        );
    }

    handle<Name extends PeerRequestName>(name: Name, handler: PeerHandler<Name>): void {
        this.handlers.set(name, handler as unknown as UntypedHandler);
    }

    onLinkEnd(listener: (host: HostId) => void): void {
        this.linkEndListeners.push(listener);
    }

    describe(): readonly PeerLinkState[] {
        return [...this.links.values()].map(link => link.describe());
    }

    /** The number of peers' requests that are being handled, by name. */
    activeRequestCounts(): ReadonlyMap<string, number> {
        return this.activeRequests;
    }

    async close(): Promise<void> {
        this.links.forEach(link => link.close());
        this.links.clear();
        await this.server.close();
    }

    private async handleRequest({ id, name, body }: RequestFrame, from: HostId): Promise<ResponseFrame> {
        this.activeRequests.set(name, (this.activeRequests.get(name) ?? 0) + 1);
        const result = await this.runHandler(name, body, from);
        this.activeRequests.set(name, this.activeRequests.get(name)! - 1);
        return result.caseOf<ResponseFrame>({
            Left: found => ({ kind: "answer", id, body: undefined, problem: found }),
            Right: response => ({ kind: "answer", id, body: response, problem: undefined }),
        });
    }

    private async runHandler(name: string, body: unknown, from: HostId): Promise<Either<Problem, unknown>> {
        const handler = this.handlers.get(name);
        if (handler === undefined) {
            return Left(problem("not-found", `The peer does not answer "${name}".`));
        }
        try {
            return await handler(body, from);
        }
        catch (err) {
            return Left(problem("internal", String(err), { run: "unknown" }));
        }
    }
}
