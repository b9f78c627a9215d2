/** Tests of the guard of a server: answers to proper clients stay as they are, and clients beyond a limit are refused. */

import { deriveClientLimits } from "@tamarackpath/core";
import { expect } from "chai";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { answerEarly } from "./answerEarly.js";
import { ClientGuard } from "./ClientGuard.js";
import { createMonotonicClock } from "./MonotonicClock.js";

const clock = createMonotonicClock();
const maxBytes = 200_000;

describe("ClientGuard", () => {
    let server: Server;
    let guard: ClientGuard;
    let started: string[];
    let answer: (req: IncomingMessage, res: ServerResponse) => void;

    beforeEach(async () => {
        started = [];
        answer = (unusedReq, res) => void res.end("done");
        guard = new ClientGuard(deriveClientLimits(undefined, undefined), clock, () => undefined);
        server = createServer();
        guard.protect(server, 4, (req, res) => {
            started.push(String(req.url));
            answer(req, res);
        });
        await new Promise<void>(done => server.listen(0, "127.0.0.1", done));
    });

    afterEach(() => {
        server.close();
        server.closeAllConnections();
    });

    /** Sends bytes, and returns what arrives until the server closes the connection or `ms` milliseconds have passed. */
    function exchange(bytes: string, ms = 400): Promise<{ readonly text: string; readonly isClosed: boolean; }> {
        return new Promise(resolve => {
            const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
            let text = "";
            const end = (isClosed: boolean): void => {
                clearTimeout(timer);
                socket.destroy();
                resolve({ text, isClosed });
            };
            const timer = setTimeout(() => end(false), ms);
            socket.on("data", piece => text += String(piece));
            socket.on("error", () => end(true));
            socket.on("close", () => end(true));
            socket.write(bytes);
        });
    }

    const get = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;
    const statusesIn = (text: string): readonly string[] => text.match(/HTTP\/1\.1 \d+/g) ?? [];

    it("answers pipelined requests within the limit in their order, and keeps the connection", async () => {
        const count = 100;
        answer = (req, res) => void setTimeout(() => res.end(req.url), Math.random() * 5);
        const { text, isClosed } = await exchange(
            Array.from({ length: count }, (unused, nth) => get(`/p${nth}.`)).join(""),
            2000,
        );
        expect(text.match(/p\d+\./g)).to.deep.equal(Array.from({ length: count }, (unused, nth) => `p${nth}.`));
        expect(isClosed).to.equal(false);
    });

    // Guards against one connection that makes the process hold thousands of requests.
    it("runs none of very many pipelined requests that arrive at once, and closes their connection", async () => {
        const { isClosed } = await exchange(get("/x").repeat(1000), 5000);
        expect(isClosed).to.equal(true);
        expect(started).to.deep.equal([]);
        expect(guard.heldBytes.requests).to.equal(0);
    });

    const refusals: Readonly<Record<string, readonly [string, string]>> = {
        "a body above the limit by its length": [`content-length: ${maxBytes + 1}\r\n\r\n`, "413"],
        "a body above the limit in chunks": [
            `transfer-encoding: chunked\r\n\r\n${(maxBytes + 1).toString(16)}\r\n${"x".repeat(maxBytes + 1)}\r\n`,
            "413",
        ],
        "a body that stops before its end": ["content-length: 10\r\n\r\nabc", "408"],
    };
    const statuses = { "too-large": 413, "late-body": 408, "no-room": 503 } as const;
    for (const [what, [rest, status]] of Object.entries(refusals)) {
        it(`lets a server refuse ${what}, with an answer, and holds none of it`, async () => {
            answer = (req, res) =>
                void guard.readBody(req, res, { maxBytes, lateAt: clock.now() + 150 as never }).then(read => {
                    if (read.kind !== "whole" && read.kind !== "left") {
                        answerEarly(req, res, statuses[read.kind], {}, "no");
                    }
                });
            const { text } = await exchange(`POST / HTTP/1.1\r\nhost: a\r\n${rest}`, 1500);
            expect(statusesIn(text)).to.deep.equal([`HTTP/1.1 ${status}`]);
            expect(guard.heldBytes.requests).to.equal(0);
        });
    }

    it("reads a body in chunks of one byte whole", async () => {
        answer = (req, res) =>
            void guard.readBody(req, res, { maxBytes, lateAt: clock.now() + 5000 as never }).then(read =>
                res.end(read.kind === "whole" ? String(read.body) : read.kind)
            );
        const chunks = [..."abcdefghij".repeat(2000)].map(letter => `1\r\n${letter}\r\n`).join("");
        const { text } = await exchange(
            `POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`,
            3000,
        );
        expect(text).to.contain("abcdefghij".repeat(2000));
    });

    // Guards against half-open requests that keep every other client out.
    it("replaces a connection that stopped within its headers, and keeps those that serve or are idle", async () => {
        answer = (req, res) => req.url === "/long" ? undefined : void res.end("done");
        const kept = [exchange(get("/long"), 1500), exchange(get("/idle"), 1500)];
        const stopped = [exchange("GET / HT", 1500), exchange("GET / HT", 1500)];
        await new Promise(done => setTimeout(done, 700));
        const { text } = await exchange(get("/new"));
        expect(statusesIn(text)).to.deep.equal(["HTTP/1.1 200"]);
        expect((await Promise.all(kept)).map(({ isClosed }) => isClosed)).to.deep.equal([false, false]);
        expect((await Promise.all(stopped)).filter(({ isClosed }) => isClosed)).to.have.length(1);
    });

    // Guards against a loop without end when all slow clients are given up and there is still no room.
    it("refuses a body without room when all slow clients are given up", async () => {
        const small = { maxBytes: 60_000, reservedBytes: 0, maxSmallBytes: 1000 };
        const limits = { ...deriveClientLimits(undefined, undefined), requests: small };
        const tight = new ClientGuard(limits, clock, () => undefined);
        server.removeAllListeners("request");
        tight.protect(
            server,
            100,
            (req, res) =>
                void tight.readBody(req, res, { maxBytes, lateAt: clock.now() + 20_000 as never }).then(read => {
                    if (read.kind !== "whole" && read.kind !== "left") {
                        answerEarly(req, res, statuses[read.kind], {}, "no");
                    }
                }),
        );
        const post = (length: number, sent: number): string =>
            `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${length}\r\n\r\n${"x".repeat(sent)}`;
        const slow = Array.from({ length: 3 }, () => exchange(post(40_000, 25_000), 4000));
        await new Promise(done => setTimeout(done, 1500));
        const large = Array.from({ length: 3 }, () => exchange(post(150_000, 149_000), 2000));
        expect((await Promise.all(large)).flatMap(({ text }) => statusesIn(text))).to.include("HTTP/1.1 503");
        const answers = (await Promise.all(slow)).flatMap(({ text }) => statusesIn(text));
        expect(answers).to.include("HTTP/1.1 408");
    });
});
