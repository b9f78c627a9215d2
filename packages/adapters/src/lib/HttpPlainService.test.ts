/** Tests of plain services over HTTP: which failures may be called "not run", and which answers count as whole. */

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
const patience = new AbortController().signal;

/** Listens with raw sockets, and calls `onRequest` when the end of a request's headers was read. */
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
    signal = patience,
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

    it("says that no byte left when the connection is refused", async () => {
        const target = await createTarget(reset);
        await target.close();
        expect(transmissionOf(await call(target.port))).to.equal("no-byte connect");
    });

    it("says that no byte left when it was given up before the connection opened", async () => {
        const target = await createTarget(reset);
        const res = await call(target.port, {}, createService(), AbortSignal.abort());
        expect(transmissionOf(res)).to.equal("no-byte cancelled");
    });

    it("says that no byte left of a request whose connection was reset on arrival only if the target read none", async () => {
        let read = 0;
        const target = await createTarget(() => read++, socket => void socket.resetAndDestroy());
        const handover = transmissionOf(await call(target.port));
        expect(handover).to.be.oneOf(["some-bytes cut", "no-byte connect"]);
        expect(read).to.equal(0);
    });

    const cuts: Readonly<Record<string, OnRequest>> = {
        "was reset before an answer": reset,
        "was closed before an answer": socket => void socket.end(),
        "was cut in the headers": socket => void socket.end("HTTP/1.1 200 OK\r\ncontent-le"),
        "was cut in a body of known length": socket => void socket.end(`${head}content-length: 10\r\n\r\n{"orde`),
        "was cut in a chunked body": socket => void socket.end(`${head}transfer-encoding: chunked\r\n\r\n5\r\nabc`),
        "was cut before the last chunk": socket =>
            void socket.end(`${head}transfer-encoding: chunked\r\n\r\n1\r\na\r\n`),
        "carried no HTTP": socket => void socket.end("hello\r\n\r\n"),
    };
    for (const [what, onRequest] of Object.entries(cuts)) {
        it(`leaves open whether a request ran whose answer ${what}`, async () => {
            const target = await createTarget(onRequest);
            expect(transmissionOf(await call(target.port))).to.equal("some-bytes cut");
        });
    }

    it("leaves open whether a request ran that was cut while its body was sent", async () => {
        const target = await createTarget(reset);
        const res = await call(target.port, { body: Buffer.alloc(8 * 1024 * 1024) });
        expect(transmissionOf(res)).to.match(/^some-bytes/);
    });

    it("names a deadline that passed at the target", async () => {
        const target = await createTarget(() => undefined);
        const res = await call(target.port, {}, createService(), AbortSignal.timeout(50));
        expect(transmissionOf(res)).to.equal("some-bytes deadline");
    });

    it("sends a never-repeated request over a connection that no other request has used", async () => {
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

    it("believes a 503 only when the target states that it did not run the request", async () => {
        const busy = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n";
        const vague = await createTarget(socket => void socket.write(`${busy}\r\n`));
        const clear = await createTarget(socket => void socket.write(`${busy}tamarack-run: not-run\r\n\r\n`));
        expect(transmissionOf(await call(vague.port))).to.equal("503");
        expect(transmissionOf(await call(clear.port))).to.equal("refused refused");
    });

    it("drops an answer that names another attempt", async () => {
        const target = await createTarget(socket =>
            void socket.write(`${head}content-length: 0\r\ntamarack-attempt: other\r\n\r\n`)
        );
        const res = await call(target.port, { headers: { "tamarack-attempt": "mine" } });
        expect(transmissionOf(res)).to.equal("some-bytes protocol");
    });

    it("keeps bytes, repeated headers, and answers without a body as they are", async () => {
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
});
