/** Tests of the peer links over real sockets: silence, strangers, garbage, replacement and moved peers. */

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
import { newNonce, proofFor } from "./peerHandshake.js";
import { systemClock } from "./SystemClock.js";
import { WsPeerNetwork } from "./WsPeerNetwork.js";

const secret = "test-secret";
const generousMs = 20_000;
const step: StepReference = { service: asId("s"), caller: asId("c"), step: asId("x") };
const pull: StepPullRequest = { ...step, cursor: undefined, weightVersion: undefined, maxSamples: 1, waitUntil: 0 };

class Bench {
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

async function withBench(run: (bench: Bench) => Promise<void>): Promise<void> {
    const bench = new Bench();
    try {
        await run(bench);
    }
    finally {
        await bench.close();
    }
}

function soon(): Instant {
    return after(systemClock.now(), generousMs);
}

function failureOf(res: Either<PeerFailure, unknown>): string | undefined {
    return res.swap().toMaybe().extract()?.reason;
}

async function status(network: WsPeerNetwork, host: string): Promise<Either<PeerFailure, unknown>> {
    return network.ask(host as HostId, "step-status", step, soon());
}

/** Two networks, a relay between them, and a count of the questions that the far one was asked. */
async function pair(
    bench: Bench,
): Promise<{ near: WsPeerNetwork; far: WsPeerNetwork; relay: LinkStandIn; asked: string[]; }> {
    const { network: near } = await bench.network("near");
    const { network: far, address } = await bench.network("far");
    const relay = await bench.relay(address);
    const asked: string[] = [];
    far.handle("step-status", (unusedAsk, from) => {
        asked.push(from);
        return Promise.resolve(Right({ ...step } as never));
    });
    near.setAddress("far" as HostId, relay.address);
    return { near, far, relay, asked };
}

async function eventually(holds: () => boolean): Promise<void> {
    while (!holds()) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

function upgradeHeaders(names: { client: string; server: string; clientNonce: string; }): Record<string, string> {
    return {
        "x-host": names.client,
        "x-nonce": names.clientNonce,
        authorization: proofFor(secret, "upgrade", names, ""),
    };
}

describe("WsPeerNetwork", () => {
    it("carries a question and its answer, and names the asker", () =>
        withBench(async bench => {
            const { near, asked } = await pair(bench);
            expect((await status(near, "far")).isRight()).to.equal(true);
            expect(asked).to.deep.equal(["near"]);
        }));

    it("says not-sent to a peer that holds another secret, and asks it nothing", () =>
        withBench(async bench => {
            const { network: stranger } = await bench.network("near", "other-secret");
            const { network: far, address } = await bench.network("far");
            let asked = 0;
            far.handle("step-status", () => {
                asked++;
                return Promise.resolve(Right({ ...step } as never));
            });
            stranger.setAddress("far" as HostId, address);
            expect(failureOf(await status(stranger, "far"))).to.equal("not-sent");
            expect(asked).to.equal(0);
        }));

    it("does not trust a server that cannot prove itself", () =>
        withBench(async bench => {
            const { network: near } = await bench.network("near");
            const heard: string[] = [];
            const impostor = new WebSocketServer({ host: "127.0.0.1", port: 0 });
            impostor.on("connection", socket => {
                socket.on("message", data => heard.push(unpackFrame(data as Buffer)?.kind ?? "garbage"));
                socket.send(packFrame({ kind: "hello", nonce: newNonce(), proof: newNonce() }));
            });
            bench.onClose(() => new Promise(resolve => impostor.close(() => resolve())));
            await new Promise(resolve => impostor.once("listening", resolve));
            near.setAddress("far" as HostId, `127.0.0.1:${(impostor.address() as AddressInfo).port}`);
            expect(failureOf(await status(near, "far"))).to.equal("not-sent");
            expect(heard).to.deep.equal([]);
        }));

    it("does not trust a host that answers at another host's address", () =>
        withBench(async bench => {
            const { network: near } = await bench.network("near");
            const { address } = await bench.network("other");
            near.setAddress("far" as HostId, address);
            expect(failureOf(await status(near, "far"))).to.equal("not-sent");
        }));

    it("serves nothing to a replayed handshake", () =>
        withBench(async bench => {
            const { network: far, address } = await bench.network("far");
            let asked = 0;
            far.handle("step-status", () => {
                asked++;
                return Promise.resolve(Right({ ...step } as never));
            });
            const names = { client: "near", server: "far", clientNonce: newNonce() };
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
            const first = await run(nonce => proofFor(secret, "client", names, nonce));
            expect(first.answers).to.equal(1);
            const replay = await run(() => first.proof);
            expect(replay.answers).to.equal(0);
            expect(asked).to.equal(1);
        }));

    it("settles a question on a link that went silent with no-answer, and the next one goes through", () =>
        withBench(async bench => {
            const { near, far, relay } = await pair(bench);
            let pulls = 0;
            far.handle("step-pull", () => {
                pulls++;
                return new Promise(() => undefined);
            });
            await status(near, "far");
            const waiting = near.ask("far" as HostId, "step-pull", pull, soon());
            await eventually(() => pulls === 1);
            relay.stallConnections();
            expect(failureOf(await waiting)).to.equal("no-answer");
            expect((await status(near, "far")).isRight()).to.equal(true);
        }));

    it("replaces an idle link that went silent before it trusts a question to it", () =>
        withBench(async bench => {
            const { near, relay, asked } = await pair(bench);
            await status(near, "far");
            relay.stallConnections();
            await new Promise(resolve => setTimeout(resolve, 1200));
            expect((await status(near, "far")).isRight()).to.equal(true);
            expect(asked).to.have.length(2);
        }));

    it("sends each question once when two sockets of a link race", () =>
        withBench(async bench => {
            const { near, relay, asked } = await pair(bench);
            await status(near, "far");
            relay.stallConnections();
            await new Promise(resolve => setTimeout(resolve, 1200));
            const results = await Promise.all(Array.from({ length: 50 }, () => status(near, "far")));
            expect(results.every(res => res.isRight())).to.equal(true);
            expect(asked).to.have.length(51);
        }));

    it("says not-sent at once while the peer cannot be reached, and reaches it when it is back", () =>
        withBench(async bench => {
            const { near, relay } = await pair(bench);
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

    it("tells when a link that had worked ends", () =>
        withBench(async bench => {
            const { near, relay } = await pair(bench);
            const ended: string[] = [];
            near.onLinkEnd(host => ended.push(host));
            await status(near, "far");
            relay.cut();
            await eventually(() => ended.length > 0);
            expect(ended).to.deep.equal(["far"]);
        }));

    it("finishes what runs at the old address when a peer moves, and asks the new one", () =>
        withBench(async bench => {
            const { near, far, asked } = await pair(bench);
            let answer: () => void = () => undefined;
            far.handle("step-pull", () =>
                new Promise(resolve => {
                    answer = () =>
                        resolve(Right({ samples: [], cursor: "c", answers: undefined, done: true } as never));
                }));
            const waiting = near.ask("far" as HostId, "step-pull", pull, soon());
            await eventually(() => far.activeRequestCounts().get("step-pull") === 1);
            const { network: moved, address } = await bench.network("far");
            moved.handle("step-status", () => Promise.resolve(Right({ ...step, samples: 7 } as never)));
            near.setAddress("far" as HostId, address);
            expect((await status(near, "far")).isRight()).to.equal(true);
            expect(asked).to.deep.equal([]);
            answer();
            expect((await waiting).isRight()).to.equal(true);
        }));

    it("ends a connection that sends garbage, and goes on serving others", () =>
        withBench(async bench => {
            const { near } = await pair(bench);
            const { network: other, address } = await bench.network("other");
            other.handle("step-status", () => Promise.resolve(Right({ ...step } as never)));
            const names = { client: "near", server: "other", clientNonce: newNonce() };
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

    it("says not-sent to a question that is larger than a frame, and keeps the link", () =>
        withBench(async bench => {
            const { near, asked } = await pair(bench);
            const large = { ...step, step: "x".repeat(65 * 1024 * 1024) as typeof step.step };
            expect(failureOf(await near.ask("far" as HostId, "step-status", large, soon()))).to.equal("not-sent");
            expect((await status(near, "far")).isRight()).to.equal(true);
            expect(asked).to.have.length(1);
        }));

    it("closes although a connection was opened that never says anything", () =>
        withBench(async bench => {
            const { network, address } = await bench.network("far");
            const [host, port] = address.split(":");
            const silent = connect(Number(port), host);
            await new Promise(resolve => silent.once("connect", resolve));
            silent.on("error", () => undefined);
            const ended = new Promise(resolve => silent.once("close", resolve));
            await network.close();
            await ended;
        }));

    it("keeps the secret out of what it describes", () =>
        withBench(async bench => {
            const { near } = await pair(bench);
            await status(near, "far");
            expect(JSON.stringify(near.describe())).to.not.contain(secret);
        }));
});
