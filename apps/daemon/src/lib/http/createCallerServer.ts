/**
 * The HTTP server of the callers' interface. Bytes that are not an HTTP request are also answered with a problem
 * document, but not while an earlier request on the same connection waits for its answer: the caller could mistake one
 * answer for the other.
 */

import { type ClientGuard } from "@tamarackpath/adapters";
import { type Problem, problem, problemStatus } from "@tamarackpath/core";
import { type Express } from "express";
import { createServer, type IncomingMessage, type Server, STATUS_CODES } from "node:http";
import { type Duplex } from "node:stream";
import { problemMediaType } from "./problems.js";

/** Upper limit of a request's headers, in bytes. */
export const maxHeaderBytes = 16 * 1024;

interface ConnectionState {
    unanswered: number;
    hasInvalidBytes: boolean;
}

/** Creates the server of the callers' interface, which `guard` limits to `maxConnections` connections. */
export function createCallerServer(app: Express, guard: ClientGuard, maxConnections: number): Server {
    const connections = new WeakMap<Duplex, ConnectionState>();
    const server = createServer({ maxHeaderSize: maxHeaderBytes });
    server.on("request", (req, res) => {
        const state = connections.get(req.socket) ?? { unanswered: 0, hasInvalidBytes: false };
        connections.set(req.socket, state);
        state.unanswered++;
        res.once("close", () => {
            state.unanswered--;
            if (state.hasInvalidBytes && state.unanswered === 0) {
                req.socket.destroySoon();
            }
        });
    });
    guard.protect(server, maxConnections, (req, res) => void app(req, res));
    server.on("clientError", (err: NodeJS.ErrnoException, socket) => {
        const state = connections.get(socket);
        if (state !== undefined && state.unanswered > 0) {
            state.hasInvalidBytes = true;
            return;
        }
        sendRaw(socket, problemOf(err.code ?? ""));
    });
    server.on("checkExpectation", (req, res) => {
        const body = JSON.stringify(expectationFailed(req));
        res.writeHead(problemStatus["expectation-failed"], {
            "content-type": problemMediaType,
            "content-length": Buffer.byteLength(body),
            connection: "close",
        });
        res.end(body);
    });
    return server;
}

function expectationFailed({ headers }: IncomingMessage): Problem {
    const isPossibleRetry = headers["idempotency-key"] !== undefined || headers["tamarack-ticket"] !== undefined;
    return problem("expectation-failed", "Only the expectation \"100-continue\" is met.", {
        run: isPossibleRetry ? "unknown" : "not-run",
    });
}

function problemOf(code: string): Problem {
    if (code === "HPE_HEADER_OVERFLOW") {
        return problem("headers-too-large", `The headers are larger than ${maxHeaderBytes} bytes.`);
    }
    const findings = [{ place: "request", read: code, allowed: "an HTTP/1.1 request" }];
    return problem("invalid-request", "The bytes are no HTTP request.", { findings });
}

function sendRaw(socket: Duplex, failure: Problem): void {
    if (!socket.writable) {
        socket.destroy();
        return;
    }
    const status = problemStatus[failure.type];
    const body = JSON.stringify(failure);
    socket.end([
        `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? "Error"}`,
        `content-type: ${problemMediaType}`,
        `content-length: ${Buffer.byteLength(body)}`,
        "connection: close",
        "",
        body,
    ].join("\r\n"));
}
