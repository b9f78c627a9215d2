/** Fixtures for tests of the callers' interface: the real app with in-memory tasks, and raw HTTP requests. */

import { ClientGuard, systemClock } from "@tamarackpath/adapters";
import {
    asId,
    type Completion,
    configPrefix,
    ConfigRegistry,
    deriveClientLimits,
    FactMap,
    type Instant,
    LeavingTargetRegistry,
    type Problem,
    problem,
    type RequestId,
    type StepStatus,
    type StoredResponse,
} from "@tamarackpath/core";
import Emittery from "emittery";
import { createHash } from "node:crypto";
import { type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { type Either, Left, Right } from "purify-ts";
import { type Context, type DaemonEvents, type Ports } from "../Context.js";
import { Logs } from "../Log.js";
import { Metrics } from "../Metrics.js";
import { type PlainCall } from "../tasks/AnswerTask.js";
import { type CompletionCall } from "../tasks/CompletionTask.js";
import { createCallerApp } from "./callerApp.js";
import { createCallerServer } from "./createCallerServer.js";
import { OpenRequests } from "./OpenRequests.js";

const testClientLimits = deriveClientLimits(undefined, undefined);

export const testToken = "token-a";
export const testLimits = { bodyBytes: 4096, groupsPerStep: 2, samplesPerGroup: 3, openStreamsPerCaller: 2 };

/** The app under test, and the calls that its tasks received. */
export interface CallerServerHarness {
    readonly port: number;
    readonly calls: PlainCall[];
    readonly completions: CompletionCall[];
    /** Answers the next calls. */
    answerWith: (call: PlainCall) => Promise<Either<Problem, StoredResponse>>;
    complete: (call: CompletionCall, onChunk: (text: string) => void | Promise<void>) => Promise<
        Either<Problem, Completion>
    >;
    close(): Promise<void>;
}

export const wholeCompletion: Completion = {
    text: "whole",
    tokens: 1,
    spans: [],
    areVersionsKnown: false,
    finish: "stop",
};

/** Starts the callers' interface with in-memory tasks. */
export async function startCallerServer(): Promise<CallerServerHarness> {
    const calls: PlainCall[] = [];
    const completions: CompletionCall[] = [];
    const noStep = (): Promise<Either<Problem, StepStatus>> =>
        Promise.resolve(Left(problem("not-found", "The step is not known.")));
    const ctx = createContext();
    const app = createCallerApp(ctx, {
        steps: { put: noStep, status: noStep, cancel: noStep, pull: async () => (await noStep()).map(() => never()) },
        weights: { publish: () => Promise.resolve() },
        answers: {
            issueTicket: () => Right({ ticket: asId<RequestId>("t~leon-1~1~1~0"), validUntil: 1 }),
            call: call => {
                calls.push(call);
                return harness.answerWith(call);
            },
        },
        completions: {
            run: (call, onChunk) => {
                completions.push(call);
                return harness.complete(call, text => onChunk({ text, tokens: 1, version: undefined }));
            },
        },
        requests: new OpenRequests(),
        isReady: () => true,
    });
    const server = createCallerServer(app, ctx.guard, testClientLimits.maxCallerConnections);
    const port = await listen(server);
    const harness: CallerServerHarness = {
        port,
        calls,
        completions,
        answerWith: () => Promise.resolve(Right({ status: 200, headers: {}, bodyBase64: "" })),
        complete: () => Promise.resolve(Right(wholeCompletion)),
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
    return harness;
}

/** The parts of a raw HTTP answer. */
export interface RawAnswer {
    readonly status: number;
    readonly headers: string;
    readonly body: string;
}

/** Sends bytes over a new connection and reads until the server closes it; ends its side after `disconnectDelayMs`. */
export function sendRaw(port: number, bytes: string | Buffer, disconnectDelayMs?: number): Promise<string> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        const pieces: Buffer[] = [];
        socket.on("data", piece => pieces.push(piece));
        socket.on("close", () => resolve(Buffer.concat(pieces).toString("latin1")));
        socket.on("error", () => socket.destroy());
        socket.write(bytes);
        if (disconnectDelayMs !== undefined) {
            setTimeout(() => socket.end(), disconnectDelayMs);
        }
    });
}

/** Writes a request that closes its connection. */
export function rawRequest(method: string, path: string, headers: Readonly<Record<string, string>>, body = ""): string {
    const all = {
        host: "desk",
        connection: "close",
        authorization: `Bearer ${testToken}`,
        "content-length": String(Buffer.byteLength(body)),
        ...headers,
    };
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
    return [`${method} ${path} HTTP/1.1`, ...lines, "", body].join("\r\n");
}

/** Parses the first answer in `text`. */
export function readRaw(text: string): RawAnswer {
    const [headers = "", ...body] = text.split("\r\n\r\n");
    const length = /^content-length: (\d+)/im.exec(headers)?.[1];
    return {
        status: Number(/^HTTP\/1\.1 (\d{3})/.exec(headers)?.[1]),
        headers,
        body: body.join("\r\n\r\n").slice(0, length === undefined ? undefined : Number(length)),
    };
}

function never(): never {
    throw new Error("No step is known.");
}

function listen(server: Server): Promise<number> {
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => resolve((server.address() as AddressInfo).port));
    });
}

function createContext(): Context {
    const logs = new Logs("leon-1", "error");
    const config = new ConfigRegistry();
    config.offer(`${configPrefix}test`, JSON.stringify(testConfig()), 1 as Instant);
    const facts = new FactMap();
    return {
        host: asId("leon-1"),
        zone: asId("leon"),
        incarnation: asId(1),
        clock: { now: () => Date.now() as Instant, callAt: () => () => undefined },
        random: () => 0.5,
        bus: new Emittery<DaemonEvents>(),
        ports: {} as Ports,
        config,
        metrics: new Metrics(),
        guard: new ClientGuard(testClientLimits, systemClock, () => undefined),
        log: prefix => logs.forPrefix(prefix),
        facts,
        leaving: new LeavingTargetRegistry(facts),
    };
}

function testConfig(): object {
    const caller = (name: string, token: string): object => ({
        caller: name,
        tokenSha256: createHash("sha256").update(token).digest("hex"),
    });
    return {
        name: "test",
        revision: 1,
        operationId: "test",
        pools: [],
        services: [{
            service: "desk",
            kind: "answer",
            callers: [caller("a", testToken), caller("b", "token-b")],
            answerWithinMs: 5000,
            lateCost: 1,
            neverRepeat: ["POST /orders"],
            limits: testLimits,
        }],
    };
}
