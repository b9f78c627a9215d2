/** Tests of the callers' interface: typed refusals, limits, streams, and arbitrary bytes. */

import { problem, type StoredResponse } from "@tamarackpath/core";
import { expect } from "chai";
import fc from "fast-check";
import { connect } from "node:net";
import { Left, Right } from "purify-ts";
import {
    type CallerServerHarness,
    rawRequest,
    readRaw,
    sendRaw,
    startCallerServer,
    testLimits,
    wholeCompletion,
} from "./fixtures.js";

const servicePath = "/v1/services/desk";
const order = { "idempotency-key": "k" };
/** Milliseconds after which the caller ends a connection on which it gets no answer or sent less than it announced. */
const disconnectDelayMs = 20;
let harness: CallerServerHarness;

interface ProblemBody {
    readonly type: string;
    readonly run: string;
}

async function ask(
    method: string,
    path: string,
    headers: Readonly<Record<string, string>> = {},
    body = "",
): Promise<{ status: number; headers: string; body: string; }> {
    return readRaw(await sendRaw(harness.port, rawRequest(method, path, headers, body)));
}

function problemIn(body: string): ProblemBody {
    return JSON.parse(body) as ProblemBody;
}

async function refusal(
    method: string,
    path: string,
    headers: Readonly<Record<string, string>> = {},
    body = "",
): Promise<string> {
    const answer = await ask(method, path, headers, body);
    expect(answer.headers.toLowerCase()).to.contain("content-type: application/problem+json");
    const { type, run } = problemIn(answer.body);
    return `${answer.status} ${type} ${run}`;
}

describe("the callers' interface", () => {
    beforeEach(async () => {
        harness = await startCallerServer();
    });
    afterEach(() => harness.close());

    it("refuses unknown routes and methods, and lists the allowed methods", async () => {
        expect(await refusal("GET", "/nothing")).to.equal("404 not-found not-run");
        expect(await refusal("GET", "/v1/services/other/steps/s")).to.equal("404 not-found not-run");
        const answer = await ask("PATCH", `${servicePath}/steps/s`);
        expect(answer.status).to.equal(405);
        expect(answer.headers).to.match(/\r\nallow: PUT, GET, DELETE/i);
        expect(await refusal("GET", `${servicePath}/steps/%zz`)).to.equal("400 invalid-request not-run");
    });

    it("refuses unauthenticated requests before reading their bodies", async () => {
        const wrongToken = { authorization: "Bearer no" };
        expect(await refusal("PUT", `${servicePath}/steps/s`, wrongToken, "{")).to.equal("403 forbidden not-run");
        expect(await refusal("PUT", `${servicePath}/steps/s`, { authorization: "" })).to.equal(
            "401 unauthenticated not-run",
        );
    });

    const badBodies: Readonly<Record<string, readonly [string, Record<string, string>, string]>> = {
        "malformed JSON": ["{", {}, "400 invalid-request not-run"],
        "an empty body": ["", {}, "400 invalid-request not-run"],
        "another form": ["{\"groups\":7}", {}, "400 invalid-request not-run"],
        "bytes that are no UTF-8": ["{\"prompt\":\"\u0000\"}", {}, "400 invalid-request not-run"],
        "a compressed body": ["{}", { "content-encoding": "gzip" }, "415 unsupported-encoding not-run"],
        "a large body": ["x".repeat(testLimits.bodyBytes + 1), {}, "413 too-large not-run"],
        "an expectation": ["{}", { expect: "miracle" }, "417 expectation-failed not-run"],
        "deep nesting": ["[".repeat(4000), {}, "400 invalid-request not-run"],
    };
    for (const [what, [body, headers, expected]] of Object.entries(badBodies)) {
        it(`refuses ${what}`, async () => {
            expect(await refusal("POST", `${servicePath}/completions`, headers, body)).to.equal(expected);
        });
    }

    it("refuses a large body before it has arrived, also without a stated length", async () => {
        const stated = rawRequest("POST", `${servicePath}/completions`, { "content-length": "1000000000" });
        expect(readRaw(await sendRaw(harness.port, stated)).status).to.equal(413);
        const headers = { "transfer-encoding": "chunked", "content-length": undefined as never };
        const head = rawRequest("POST", `${servicePath}/completions`, headers).replace(
            "content-length: undefined\r\n",
            "",
        );
        const chunk = `2000\r\n${"x".repeat(0x2000)}\r\n`;
        expect(readRaw(await sendRaw(harness.port, head + chunk)).status).to.equal(413);
    });

    it("refuses headers that are too large and bytes that are no request", async () => {
        expect(await refusal("GET", servicePath, { "x-large": "x".repeat(20_000) })).to.equal(
            "431 headers-too-large not-run",
        );
        const answer = readRaw(await sendRaw(harness.port, "no request at all\r\n\r\n"));
        expect(answer.status).to.equal(400);
        expect(problemIn(answer.body).type).to.equal("invalid-request");
    });

    it("does not answer pipelined garbage in the place of the request before it", async () => {
        let release: () => void = () => undefined;
        harness.answerWith = () =>
            new Promise(resolve => {
                release = () => resolve(Right({ status: 200, headers: {}, bodyBase64: "eWVz" }));
            });
        const first = rawRequest("GET", `${servicePath}/calls/quotes/gravel`, { connection: "keep-alive" });
        const reading = sendRaw(harness.port, `${first}garbage\r\n\r\n`);
        while (harness.calls.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        await new Promise(resolve => setTimeout(resolve, 20));
        release();
        const text = await reading;
        expect(text.match(/HTTP\/1\.1/g)).to.have.length(1);
        expect(readRaw(text)).to.include({ status: 200, body: "yes" });
    });

    it("reports \"not run\" for a request with a key only when it is the first attempt", async () => {
        const path = `${servicePath}/calls/orders`;
        const bad = { ...order, "tamarack-deadline": "soon" };
        expect(await refusal("POST", path, bad)).to.equal("400 invalid-request unknown");
        expect(await refusal("POST", path, { ...bad, "tamarack-first-attempt": "true" }))
            .to.equal("400 invalid-request not-run");
        expect(await refusal("POST", path, { ...order, "tamarack-deadline": "1000" }))
            .to.equal("504 deadline-exceeded unknown");
        expect(await refusal("POST", path, { ...order, "tamarack-priority": "11" }))
            .to.equal("400 invalid-request unknown");
        expect(harness.calls).to.have.length(0);
    });

    it("refuses paths that lead out of the service's calls", async () => {
        for (const path of ["/../orders", "//orders", "/%2e%2e/orders", "/a%2f..%2forders", "/orders%00", "/a\\b"]) {
            expect(await refusal("POST", `${servicePath}/calls${path}`), path).to.match(/^4\d\d /);
        }
        const encoded = await ask("POST", "/v1/services/%64esk/calls/%6frders?a=%2F&b=1", order, "{}");
        expect(encoded.status).to.equal(200);
        expect(harness.calls.map(call => call.req.path)).to.deep.equal(["/orders?a=%2F&b=1"]);
    });

    it("passes on end-to-end headers and bytes, and no credentials", async () => {
        const outcome: StoredResponse = {
            status: 207,
            headers: { "set-cookie": ["a=1", "b=2"], "content-type": "x/y" },
            bodyBase64: "AP+A",
        };
        harness.answerWith = () => Promise.resolve(Right(outcome));
        const headers = { connection: "close, x-hop", "x-hop": "1", "x-end": "2", "x-http-method-override": "GET" };
        const answer = await ask("POST", `${servicePath}/calls/quotes`, headers, "\u0000body");
        expect(answer.status).to.equal(207);
        expect(answer.headers).to.match(/set-cookie: a=1\r\nset-cookie: b=2/i);
        expect(Buffer.from(answer.body, "latin1")).to.deep.equal(Buffer.from([0, 255, 128]));
        expect(Object.keys(harness.calls[0]!.req.headers).sort()).to.deep.equal(["tamarack-caller", "x-end"]);
    });

    it("limits the open requests of one caller, and not those of another", async () => {
        harness.answerWith = call =>
            call.caller === "a" ? new Promise(() => undefined) : Promise.resolve(Left(problem("gone", "")));
        const path = `${servicePath}/calls/quotes`;
        const held = [1, 2].map(() => connect(harness.port, "127.0.0.1"));
        held.forEach(socket => socket.write(rawRequest("GET", path, {})));
        while (harness.calls.length < 2) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        expect(await refusal("GET", path)).to.equal("429 too-many-requests not-run");
        expect(await refusal("GET", path, { authorization: "Bearer token-b" })).to.equal("410 gone not-run");
        held.forEach(socket => socket.destroy());
        harness.answerWith = () => Promise.resolve(Left(problem("gone", "")));
        let last = "";
        while (last !== "410 gone not-run") {
            last = await refusal("GET", path);
        }
    });

    it("limits the groups and samples of a step", async () => {
        const group = { group: "g", prompt: "p", samples: 1, maxTokens: 1, seed: 1 };
        const body = (groups: object[]): string =>
            JSON.stringify({ weightVersion: 1, deadline: Date.now() + 9000, groups });
        const three = ["a", "b", "c"].map(name => ({ ...group, group: name }));
        expect(await refusal("PUT", `${servicePath}/steps/s`, {}, body(three))).to.equal("413 too-large not-run");
        expect(await refusal("PUT", `${servicePath}/steps/s`, {}, body([{ ...group, samples: 4 }])))
            .to.equal("413 too-large not-run");
    });

    it("applies backpressure while the caller reads slowly, and cancels when the caller disconnects", async () => {
        let sent = 0;
        let isPaused = false;
        harness.complete = async (call, onChunk) => {
            for (; !call.signal.aborted; sent++) {
                const passedOn = onChunk("x".repeat(10_000));
                isPaused = passedOn !== undefined;
                await passedOn;
                await new Promise(resolve => setImmediate(resolve));
            }
            return Left(problem("gone", "The caller has gone."));
        };
        const socket = connect(harness.port, "127.0.0.1");
        socket.write(rawRequest("POST", `${servicePath}/completions`, {}, "{\"prompt\":\"p\"}"));
        socket.pause();
        while (!isPaused) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        const sentWhenPaused = sent;
        await new Promise(resolve => setTimeout(resolve, 30));
        expect(sent).to.equal(sentWhenPaused);
        socket.destroy();
        while (!harness.completions[0]!.signal.aborted) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    });

    it("ends a stream whole or with an error event, and answers without a stream at once", async () => {
        const body = "{\"prompt\":\"p\"}";
        harness.complete = async (unused, onChunk) => {
            await onChunk("whole");
            return Right(wholeCompletion);
        };
        expect((await ask("POST", `${servicePath}/completions`, {}, body)).body).to.contain("data: [DONE]");
        harness.complete = async (unused, onChunk) => {
            await onChunk("wh");
            return Left(problem("target-failed", "The engine died.", { run: "unknown" }));
        };
        const cut = (await ask("POST", `${servicePath}/completions`, {}, body)).body;
        expect(cut).to.contain("event: error").and.not.contain("[DONE]");
        const whole = "{\"prompt\":\"p\",\"stream\":false}";
        expect(await refusal("POST", `${servicePath}/completions`, {}, whole)).to.equal("502 target-failed unknown");
    });

    it("answers arbitrary bytes with a typed error or no answer, and stays up", async () => {
        const method = fc.constantFrom("GET", "PUT", "POST", "DELETE", "HEAD", "PATCH", "CONNECT", "BREW");
        const path = fc.oneof(
            fc.constantFrom("steps/s", "steps/s/pull", "weights", "tickets", "completions", "calls/orders", "calls/")
                .map(rest => `${servicePath}/${rest}`),
            fc.webPath(),
            fc.string({ maxLength: 30 }),
        );
        const body = fc.oneof(fc.string(), fc.json(), fc.constant("x".repeat(10_000)), fc.string({ unit: "binary" }));
        const headers = fc.dictionary(
            fc.constantFrom("content-length", "content-encoding", "expect", "tamarack-deadline", "idempotency-key"),
            fc.oneof(fc.constantFrom("0", "5", "99999999", "gzip", "100-continue", "-1", "k"), fc.string()),
        );
        await fc.assert(
            fc.asyncProperty(method, path, headers, body, async (verb, url, given, text) => {
                const bytes = Buffer.from(rawRequest(verb, url, given, text), "utf8");
                const answer = readRaw(
                    (await sendRaw(harness.port, bytes, disconnectDelayMs)).replace(/^HTTP\/1\.1 100[^]*?\r\n\r\n/, ""),
                );
                if (answer.status >= 400 && verb !== "HEAD") {
                    expect(answer.headers.toLowerCase()).to.contain("application/problem+json");
                    expect(problemIn(answer.body).run).to.be.a("string");
                }
            }),
            { seed: 11, numRuns: Number(process.env["TAMARACK_RUNS"] ?? 400) },
        );
        expect((await ask("GET", "/healthz")).status).to.equal(200);
    });
});
