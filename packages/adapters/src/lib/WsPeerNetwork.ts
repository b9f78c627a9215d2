/**
 * The peer network over WebSocket with msgpack frames. Each host opens one link to each peer it asks. Both ends prove
 * that they hold the shared secret before any frame is read. Pings with a deadline find links that went silent.
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
import { type AnswerFrame, type AskFrame } from "./peerFrames.js";
import { PeerLink } from "./PeerLink.js";
import { PeerServer } from "./PeerServer.js";
import { Traffic } from "./Traffic.js";

/** Settings of the peer network. */
export interface PeerNetworkOptions {
    readonly self: HostId;
    readonly listenHost: string;
    readonly listenPort: number;
    readonly secret: string;
    readonly random: () => number;
    /** Milliseconds between pings while questions are under way on a link. */
    readonly pingIntervalMs: number;
    /** Milliseconds without a sign of life after which a link counts as silent. */
    readonly pongTimeoutMs: number;
}

type AnyHandler = (ask: unknown, from: HostId) => Promise<Either<Problem, unknown>>;

/** Reaches the other entry hosts. */
export class WsPeerNetwork implements PeerNetwork {
    readonly traffic = new Traffic();
    private readonly handlers = new Map<string, AnyHandler>();
    private readonly links = new Map<HostId, PeerLink>();
    private readonly serving = new Map<string, number>();
    private readonly endListeners: ((host: HostId) => void)[] = [];
    private readonly server: PeerServer;

    constructor(private readonly options: PeerNetworkOptions, private readonly clock: Clock) {
        this.server = new PeerServer({
            ...options,
            clock,
            traffic: this.traffic,
            serve: (ask, from) => this.serve(ask, from),
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
        const { self, secret, random, pingIntervalMs: pingEveryMs, pongTimeoutMs: silentAfterMs } = this.options;
        this.links.set(
            host,
            new PeerLink(host, address, {
                self,
                secret,
                clock: this.clock,
                random,
                traffic: this.traffic,
                pingEveryMs,
                silentAfterMs,
                onEnded: ended => this.endListeners.forEach(listener => listener(ended)),
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
            return Left({ reason: "not-sent", detail: `Host ${host} is not known.` });
        }
        const res = await link.ask(name, ask, deadline);
        return res.map(frame =>
            frame.problem === undefined
                ? Right(frame.body as PeerRequests[Name]["answer"])
                : Left(frame.problem)
        );
    }

    handle<Name extends PeerRequestName>(name: Name, handler: PeerHandler<Name>): void {
        this.handlers.set(name, handler as unknown as AnyHandler);
    }

    onLinkEnd(listener: (host: HostId) => void): void {
        this.endListeners.push(listener);
    }

    describe(): readonly PeerLinkState[] {
        return [...this.links.values()].map(link => link.describe());
    }

    /** How many requests of peers are being answered, by name. */
    activeRequestCounts(): ReadonlyMap<string, number> {
        return this.serving;
    }

    async close(): Promise<void> {
        this.links.forEach(link => link.close());
        this.links.clear();
        await this.server.close();
    }

    private async serve({ id, name, body }: AskFrame, from: HostId): Promise<AnswerFrame> {
        this.serving.set(name, (this.serving.get(name) ?? 0) + 1);
        const result = await this.runHandler(name, body, from);
        this.serving.set(name, this.serving.get(name)! - 1);
        return result.caseOf<AnswerFrame>({
            Left: found => ({ kind: "answer", id, body: undefined, problem: found }),
            Right: answer => ({ kind: "answer", id, body: answer, problem: undefined }),
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
