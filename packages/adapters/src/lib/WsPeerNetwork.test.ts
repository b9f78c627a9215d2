/** Tests of the peer links over real sockets: dead links, failed authentication, invalid frames, and peers that move. */

import {
    after,
    asId,
    type HostId,
    type Instant,
    type PeerFailure,
    type StepPullRequest,
    type StepReference,
} from "@tamarackpath/core";
import { LinkStandIn } from "@tamarackpath/standins";
import { expect } from "chai";
import { type AddressInfo, connect } from "node:net";
import { type Either, Right } from "purify-ts";
import { WebSocket, WebSocketServer } from "ws";
import { packFrame, unpackFrame } from "./peerFrames.js";
import { createNonce, createProof } from "./peerHandshake.js";
import { systemClock } from "./SystemClock.js";
import { WsPeerNetwork } from "./WsPeerNetwork.js";

const secret = "test-secret";
const requestTimeoutMs = 20_000;
const step: StepReference = { service: asId("s"), caller: asId("c"), step: asId("x") };
const pull: StepPullRequest = {
    ...step,
    cursor: undefined,
    weightVersion: undefined,
    maxSamples: 1,
    waitUntil: 0,
};

class PeerHarness {
    private readonly closers: (() => Promise<void>)[] = [];

    async network(name: string, withSecret = secret): Promise<{ network: WsPeerNetwork; address: string; }> {
        const network = new WsPeerNetwork({
            self: name as HostId,
            listenHost: "127.0.0.1",
            listenPort: 0,
            secret: withSecret,
            random: () => 0.5,
            pingIntervalMs: 100,
            pongTimeoutMs: 300,
        }, systemClock);
        this.closers.push(() => network.close());
        return { network, address: `127.0.0.1:${await network.listen()}` };
    }

    async relay(address: string): Promise<LinkStandIn> {
        const link = await LinkStandIn.start(address);
        this.closers.push(() => link.close());
        return link;
    }

    onClose(closer: () => Promise<void>): void {
        this.closers.push(closer);
    }

    async close(): Promise<void> {
        await Promise.all(this.closers.map(closer => closer()));
    }
}

async function withHarness(run: (harness: PeerHarness) => Promise<void>): Promise<void> {
    const harness = new PeerHarness();
    try {
        await run(harness);
    }
    finally {
        await harness.close();
    }
}

function requestDeadline(): Instant {
    return after(systemClock.now(), requestTimeoutMs);
}

function failureOf(res: Either<PeerFailure, unknown>): string | undefined {
    return res.swap().toMaybe().extract()?.reason;
}

async function status(network: WsPeerNetwork, host: string): Promise<Either<PeerFailure, unknown>> {
    return network.ask(host as HostId, "step-status", step, requestDeadline());
}

/** Creates two networks with a relay between them, and a list of the senders of the requests that the far one received. */
async function connectedPair(
    harness: PeerHarness,
): Promise<{ near: WsPeerNetwork; far: WsPeerNetwork; relay: LinkStandIn; senders: string[]; }> {
    const { network: near } = await harness.network("near");
    const { network: far, address } = await harness.network("far");
    const relay = await harness.relay(address);
    const senders: string[] = [];
    far.handle("step-status", (unusedAsk, from) => {
        senders.push(from);
        return Promise.resolve(Right({ ...step } as never));
    });
    near.setAddress("far" as HostId, relay.address);
    return { near, far, relay, senders };
}

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

function upgradeHeaders(names: { client: string; server: string; clientNonce: string; }): Record<string, string> {
    return {
        "x-host": names.client,
        "x-nonce": names.clientNonce,
        authorization: createProof(secret, "upgrade", names, ""),
    };
}

describe("WsPeerNetwork", () => {
    it("carries a request and its response, and passes the sender to the handler", () =>
        withHarness(async harness => {
            const { near, senders } = await connectedPair(harness);
            expect((await status(near, "far")).isRight()).to.equal(true);
            expect(senders).to.deep.equal(["near"]);
        }));

    it("reports not-sent to a host that holds another secret, and sends none of its requests", () =>
        withHarness(async harness => {
            const { network: outsider } = await harness.network("near", "other-secret");
            const { network: far, address } = await harness.network("far");
            let requestCount = 0;
            far.handle("step-status", () => {
                requestCount++;
                return Promise.resolve(Right({ ...step } as never));
            });
            outsider.setAddress("far" as HostId, address);
            expect(failureOf(await status(outsider, "far"))).to.equal("not-sent");
            expect(requestCount).to.equal(0);
        }));

    it("sends nothing to a server that cannot prove that it holds the secret", () =>
        withHarness(async harness => {
            const { network: near } = await harness.network("near");
            const receivedKinds: string[] = [];
            const impostor = new WebSocketServer({ host: "127.0.0.1", port: 0 });
            impostor.on("connection", socket => {
                socket.on("message", data => receivedKinds.push(unpackFrame(data as Buffer)?.kind ?? "garbage"));
                socket.send(packFrame({ kind: "hello", nonce: createNonce(), proof: createNonce() }));
            });
            harness.onClose(() => new Promise(resolve => impostor.close(() => resolve())));
            await new Promise(resolve => impostor.once("listening", resolve));
            near.setAddress("far" as HostId, `127.0.0.1:${(impostor.address() as AddressInfo).port}`);
            expect(failureOf(await status(near, "far"))).to.equal("not-sent");
            expect(receivedKinds).to.deep.equal([]);
        }));

    it("rejects a host that listens at another host's address", () =>
        withHarness(async harness => {
            const { network: near } = await harness.network("near");
            const { address } = await harness.network("other");
            near.setAddress("far" as HostId, address);
            expect(failureOf(await status(near, "far"))).to.equal("not-sent");
        }));

    it("handles no request after a replayed handshake", () =>
        withHarness(async harness => {
            const { network: far, address } = await harness.network("far");
            let requestCount = 0;
            far.handle("step-status", () => {
                requestCount++;
                return Promise.resolve(Right({ ...step } as never));
            });
            const names = { client: "near", server: "far", clientNonce: createNonce() };
            const run = (proofOf: (nonce: string) => string): Promise<{ proof: string; answers: number; }> =>
                new Promise(resolve => {
                    let proof = "";
                    let answers = 0;
                    const socket = new WebSocket(`ws://${address}`, { headers: upgradeHeaders(names) });
                    socket.on("message", data => {
                        const frame = unpackFrame(data as Buffer);
                        if (frame?.kind === "hello") {
                            proof = proofOf(frame.nonce);
                            socket.send(packFrame({ kind: "proof", proof }));
                            socket.send(packFrame({ kind: "ask", id: 1, name: "step-status", body: step }));
                            return;
                        }
                        answers++;
                        socket.close();
                    });
                    socket.on("error", () => undefined);
                    socket.on("close", () => resolve({ proof, answers }));
                });
            const first = await run(nonce => createProof(secret, "client", names, nonce));
            expect(first.answers).to.equal(1);
            const replay = await run(() => first.proof);
            expect(replay.answers).to.equal(0);
            expect(requestCount).to.equal(1);
        }));

    it("reports no-answer for a request on a dead link, and delivers the next request", () =>
        withHarness(async harness => {
            const { near, far, relay } = await connectedPair(harness);
            let pulls = 0;
            far.handle("step-pull", () => {
                pulls++;
                return new Promise(() => undefined);
            });
            await status(near, "far");
            const waiting = near.ask("far" as HostId, "step-pull", pull, requestDeadline());
            await waitUntil(() => pulls === 1);
            relay.stallConnections();
            expect(failureOf(await waiting)).to.equal("no-answer");
            expect((await status(near, "far")).isRight()).to.equal(true);
        }));

    it("replaces a dead idle link before it sends a request", () =>
        withHarness(async harness => {
            const { near, relay, senders } = await connectedPair(harness);
            await status(near, "far");
            relay.stallConnections();
            await new Promise(resolve => setTimeout(resolve, 1200));
            expect((await status(near, "far")).isRight()).to.equal(true);
            expect(senders).to.have.length(2);
        }));

    it("sends each request once when two sockets of a link compete", () =>
        withHarness(async harness => {
            const { near, relay, senders } = await connectedPair(harness);
            await status(near, "far");
            relay.stallConnections();
            await new Promise(resolve => setTimeout(resolve, 1200));
            const results = await Promise.all(Array.from({ length: 50 }, () => status(near, "far")));
            expect(results.every(res => res.isRight())).to.equal(true);
            expect(senders).to.have.length(51);
        }));

    it("reports not-sent at once while the peer is unreachable, and reconnects when it is reachable again", () =>
        withHarness(async harness => {
            const { near, relay } = await connectedPair(harness);
            relay.disconnect();
            expect(failureOf(await status(near, "far"))).to.equal("not-sent");
            expect(failureOf(await status(near, "far"))).to.equal("not-sent");
            relay.restore();
            let isBack = false;
            while (!isBack) {
                isBack = (await status(near, "far")).isRight();
                await new Promise(resolve => setTimeout(resolve, 20));
            }
        }));

    it("notifies the listeners when an established link ends", () =>
        withHarness(async harness => {
            const { near, relay } = await connectedPair(harness);
            const ended: string[] = [];
            near.onLinkEnd(host => ended.push(host));
            await status(near, "far");
            relay.cut();
            await waitUntil(() => ended.length > 0);
            expect(ended).to.deep.equal(["far"]);
        }));

    it("finishes the requests in flight at the old address when a peer moves, and sends new ones to the new address", () =>
        withHarness(async harness => {
            const { near, far, senders } = await connectedPair(harness);
            let answer: () => void = () => undefined;
            far.handle("step-pull", () =>
                new Promise(resolve => {
                    answer = () =>
                        resolve(Right({ samples: [], cursor: "c", answers: undefined, done: true } as never));
                }));
            const waiting = near.ask("far" as HostId, "step-pull", pull, requestDeadline());
            await waitUntil(() => far.activeRequestCounts().get("step-pull") === 1);
            const { network: moved, address } = await harness.network("far");
            moved.handle("step-status", () => Promise.resolve(Right({ ...step, samples: 7 } as never)));
            near.setAddress("far" as HostId, address);
            expect((await status(near, "far")).isRight()).to.equal(true);
            expect(senders).to.deep.equal([]);
            answer();
            expect((await waiting).isRight()).to.equal(true);
        }));

    it("closes a connection that sends invalid data, and keeps serving others", () =>
        withHarness(async harness => {
            const { near } = await connectedPair(harness);
            const { network: other, address } = await harness.network("other");
            other.handle("step-status", () => Promise.resolve(Right({ ...step } as never)));
            const names = { client: "near", server: "other", clientNonce: createNonce() };
            for (
                const garbage of [
                    "text",
                    Buffer.from([0xc1]),
                    packFrame({ kind: "ask", id: 1, name: "step-status", body: step }),
                ]
            ) {
                await new Promise<void>(resolve => {
                    const socket = new WebSocket(`ws://${address}`, { headers: upgradeHeaders(names) });
                    socket.on("open", () => socket.send(garbage));
                    socket.on("error", () => undefined);
                    socket.on("close", () => resolve());
                });
            }
            near.setAddress("other" as HostId, address);
            expect((await status(near, "other")).isRight()).to.equal(true);
        }));

    it("reports not-sent for a request above the maximum frame size, and keeps the link", () =>
        withHarness(async harness => {
            const { near, senders } = await connectedPair(harness);
            const large = { ...step, step: "x".repeat(65 * 1024 * 1024) as typeof step.step };
            expect(failureOf(await near.ask("far" as HostId, "step-status", large, requestDeadline()))).to.equal(
                "not-sent",
            );
            expect((await status(near, "far")).isRight()).to.equal(true);
            expect(senders).to.have.length(1);
        }));

    it("closes although a connection is open that never sends anything", () =>
        withHarness(async harness => {
            const { network, address } = await harness.network("far");
            const [host, port] = address.split(":");
            const idleSocket = connect(Number(port), host);
            await new Promise(resolve => idleSocket.once("connect", resolve));
            idleSocket.on("error", () => undefined);
            const ended = new Promise(resolve => idleSocket.once("close", resolve));
            await network.close();
            await ended;
        }));

    it("keeps the secret out of its description", () =>
        withHarness(async harness => {
            const { near } = await connectedPair(harness);
            await status(near, "far");
            expect(JSON.stringify(near.describe())).to.not.contain(secret);
        }));
});
