/** Tests of plain services over HTTP: which failures may be reported as "not run", and which responses are complete. */

import { type PlainRequest, type PlainResponse, type TargetFailure, type TargetId } from "@tamarackpath/core";
import { expect } from "chai";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { type Either } from "purify-ts";
import { Agent } from "undici";
import { HttpPlainService } from "./HttpPlainService.js";

type OnRequest = (socket: Socket, nth: number) => void;

interface Target {
    readonly port: number;
    readonly connections: number;
    close(): Promise<void>;
}

const servers: Target[] = [];
const agents: Agent[] = [];
const neverAborted = new AbortController().signal;

/** Creates a target that listens with raw sockets, and calls `onRequest` when it has read the headers of a request. */
async function createTarget(onRequest: OnRequest, onOpen: (socket: Socket) => void = () => undefined): Promise<Target> {
    let connections = 0;
    let requests = 0;
    const sockets = new Set<Socket>();
    const server: Server = createServer(socket => {
        connections++;
        sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("data", data => {
            if (data.includes("\r\n\r\n")) {
                onRequest(socket, ++requests);
            }
        });
        onOpen(socket);
    });
    await new Promise<void>(resolve => void server.listen(0, "127.0.0.1", () => resolve()));
    const target: Target = {
        port: (server.address() as AddressInfo).port,
        get connections() {
            return connections;
        },
        close: () => {
            sockets.forEach(socket => socket.destroy());
            return new Promise(resolve => void server.close(() => resolve()));
        },
    };
    servers.push(target);
    return target;
}

function createService(): HttpPlainService {
    const agent = new Agent();
    agents.push(agent);
    return new HttpPlainService(agent);
}

function call(
    port: number,
    req: Partial<PlainRequest> = {},
    service = createService(),
    signal = neverAborted,
): Promise<Either<TargetFailure, PlainResponse>> {
    const full = { method: "POST", path: "/orders", headers: {}, body: Buffer.from("{}"), neverRepeat: true, ...req };
    return service.call({ target: "t" as TargetId, url: `http://127.0.0.1:${port}` }, full, signal);
}

function transmissionOf(res: Either<TargetFailure, PlainResponse>): string {
    return res.caseOf({
        Left: failure => `${failure.transmission} ${failure.reason}`,
        Right: ({ status }) => `${status}`,
    });
}

const reset: OnRequest = socket => void socket.resetAndDestroy();
const head = "HTTP/1.1 200 OK\r\n";

describe("plain services over HTTP", () => {
    afterEach(async () => {
        await Promise.all([
            ...servers.splice(0).map(target => target.close()),
            ...agents.splice(0).map(a => a.destroy()),
        ]);
    });

    it("reports that no byte was sent when the connection is refused", async () => {
        const target = await createTarget(reset);
        await target.close();
        expect(transmissionOf(await call(target.port))).to.equal("no-byte connect");
    });

    it("reports that no byte was sent when the request is aborted before the connection opens", async () => {
        const target = await createTarget(reset);
        const res = await call(target.port, {}, createService(), AbortSignal.abort());
        expect(transmissionOf(res)).to.equal("no-byte cancelled");
    });

    it("reports that no byte was sent over a connection that is reset on arrival only if the target read none", async () => {
        let read = 0;
        const target = await createTarget(() => read++, socket => void socket.resetAndDestroy());
        const transmission = transmissionOf(await call(target.port));
        expect(transmission).to.be.oneOf(["some-bytes cut", "no-byte connect"]);
        expect(read).to.equal(0);
    });

    const brokenResponses: Readonly<Record<string, OnRequest>> = {
        "is missing because the connection was reset": reset,
        "is missing because the connection was closed": socket => void socket.end(),
        "ends within the headers": socket => void socket.end("HTTP/1.1 200 OK\r\ncontent-le"),
        "ends within a body of known length": socket => void socket.end(`${head}content-length: 10\r\n\r\n{"orde`),
        "ends within a chunk of the body": socket =>
            void socket.end(`${head}transfer-encoding: chunked\r\n\r\n5\r\nabc`),
        "ends before the last chunk": socket => void socket.end(`${head}transfer-encoding: chunked\r\n\r\n1\r\na\r\n`),
        "is not valid HTTP": socket => void socket.end("hello\r\n\r\n"),
    };
    for (const [what, onRequest] of Object.entries(brokenResponses)) {
        it(`reports an unknown outcome for a request whose response ${what}`, async () => {
            const target = await createTarget(onRequest);
            expect(transmissionOf(await call(target.port))).to.equal("some-bytes cut");
        });
    }

    it("reports an unknown outcome for a request whose connection is reset while its body is sent", async () => {
        const target = await createTarget(reset);
        const res = await call(target.port, { body: Buffer.alloc(8 * 1024 * 1024) });
        expect(transmissionOf(res)).to.match(/^some-bytes/);
    });

    it("reports a deadline that passes while the target runs the request", async () => {
        const target = await createTarget(() => undefined);
        const res = await call(target.port, {}, createService(), AbortSignal.timeout(50));
        expect(transmissionOf(res)).to.equal("some-bytes deadline");
    });

    it("sends a request that must not be repeated over a connection that no other request has used", async () => {
        const target = await createTarget((socket, nth) => {
            socket.write(`${head}content-length: 2\r\n\r\nok`);
            if (nth === 1) {
                setImmediate(() => socket.resetAndDestroy());
            }
        });
        const service = createService();
        expect(transmissionOf(await call(target.port, { neverRepeat: false }, service))).to.equal("200");
        expect(transmissionOf(await call(target.port, {}, service))).to.equal("200");
        expect(transmissionOf(await call(target.port, {}, service))).to.equal("200");
        expect(target.connections).to.equal(3);
    });

    it("treats a 503 as a refusal only when the target states that it did not run the request", async () => {
        const busy = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n";
        const unstated = await createTarget(socket => void socket.write(`${busy}\r\n`));
        const stated = await createTarget(socket => void socket.write(`${busy}tamarack-run: not-run\r\n\r\n`));
        expect(transmissionOf(await call(unstated.port))).to.equal("503");
        expect(transmissionOf(await call(stated.port))).to.equal("refused refused");
    });

    it("drops a response that names another attempt", async () => {
        const target = await createTarget(socket =>
            void socket.write(`${head}content-length: 0\r\ntamarack-attempt: other\r\n\r\n`)
        );
        const res = await call(target.port, { headers: { "tamarack-attempt": "mine" } });
        expect(transmissionOf(res)).to.equal("some-bytes protocol");
    });

    it("preserves bytes, repeated headers, and responses without a body", async () => {
        const target = await createTarget(socket =>
            void socket.write(Buffer.concat([
                Buffer.from(`${head}set-cookie: a=1\r\nset-cookie: b=2\r\ncontent-length: 3\r\n\r\n`),
                Buffer.from([0, 255, 128]),
            ]))
        );
        const answer = (await call(target.port)).unsafeCoerce();
        expect([...answer.body]).to.deep.equal([0, 255, 128]);
        expect(answer.headers["set-cookie"]).to.deep.equal(["a=1", "b=2"]);
        for (const [method, line] of [["HEAD", "200 OK"], ["GET", "204 No"], ["GET", "304 Same"]] as const) {
            const bare = await createTarget(socket => void socket.write(`HTTP/1.1 ${line}\r\netag: "1"\r\n\r\n`));
            const res = (await call(bare.port, { method, body: undefined })).unsafeCoerce();
            expect(res.body).to.have.length(0);
            expect(res.headers["etag"]).to.equal("\"1\"");
        }
    });

    // Guards against an answer of a target in trouble that a caller gets with a status that is none.
    it("takes an answer whose status is none for no answer", async () => {
        for (const status of ["000", "001", "099", "101", "199", "2x0", "1000"]) {
            const target = await createTarget(socket => {
                socket.write(`HTTP/1.1 ${status} Trouble\r\ncontent-length: 2\r\n\r\nok`);
            });
            const failure = (await call(target.port)).swap().toMaybe().extract();
            expect(failure?.transmission, `at ${status}`).to.equal("some-bytes");
        }
    });
});
