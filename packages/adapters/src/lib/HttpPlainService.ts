/** Implements the ports of plain services and scorers over HTTP. Only a response that arrived completely is accepted. */

import {
    type HeaderValues,
    type Instant,
    type PlainRequest,
    type PlainResponse,
    type PlainServicePort,
    type ScorerPort,
    type TargetAddress,
    type TargetFailure,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type Dispatcher, request } from "undici";
import * as z from "zod";
import { OneShotConnection } from "./OneShotConnection.js";
import { toTargetFailure } from "./targetFailures.js";

const scoreSchema = z.object({ score: z.number() });
const busyStatuses = new Set([429, 503]);
const minServerErrorStatus = 500;

/** Header with which a target that responds with 429 or 503 states that it did not run the request. */
export const runStateHeader = "tamarack-run";

/** Header with the attempt's id. A target may return it; a response that returns another id is dropped. */
export const attemptHeader = "tamarack-attempt";

/** HTTP client of plain services and scorers. */
export class HttpPlainService implements PlainServicePort, ScorerPort {
    constructor(private readonly dispatcher: Dispatcher) {}

    async call(
        address: TargetAddress,
        req: PlainRequest,
        signal: AbortSignal,
    ): Promise<Either<TargetFailure, PlainResponse>> {
        if (req.neverRepeat !== true) {
            return await this.sendRequest(address, req, signal, this.dispatcher, () => true);
        }
        const connection = new OneShotConnection(address.url, signal);
        try {
            return await this.sendRequest(address, req, signal, connection.client, () => connection.mayHaveSent);
        }
        finally {
            connection.close();
        }
    }

    async probe(address: TargetAddress, deadline: Instant): Promise<Either<TargetFailure, void>> {
        const signal = AbortSignal.timeout(Math.max(1, deadline - Date.now()));
        const res = await this.call(address, { method: "GET", path: "/health", headers: {}, body: undefined }, signal);
        return res.chain(answer =>
            answer.status < minServerErrorStatus ? Right(undefined) : Left(busyFailure(answer.status))
        );
    }

    private async sendRequest(
        address: TargetAddress,
        req: PlainRequest,
        signal: AbortSignal,
        dispatcher: Dispatcher,
        mayHaveSent: () => boolean,
    ): Promise<Either<TargetFailure, PlainResponse>> {
        try {
            const res = await request(`${address.url}${req.path}`, {
                method: req.method as Dispatcher.HttpMethod,
                dispatcher,
                headers: req.headers,
                body: req.body ?? null,
                signal,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            const body = new Uint8Array(await res.body.arrayBuffer());
            return checkResponse(req, { status: res.statusCode, headers: definedHeaders(res.headers), body });
        }
        catch (err) {
            return Left(toTargetFailure(err, signal, mayHaveSent()));
        }
    }

    async score(
        address: TargetAddress,
        prompt: string,
        text: string,
        signal: AbortSignal,
    ): Promise<Either<TargetFailure, number>> {
        const body = Buffer.from(JSON.stringify({ prompt, text }));
        const headers = { "content-type": "application/json" };
        const res = await this.call(address, { method: "POST", path: "/score", headers, body }, signal);
        return res.chain(answer => {
            if (busyStatuses.has(answer.status)) {
                return Left(busyFailure(answer.status));
            }
            const parsed = scoreSchema.safeParse(parseBody(answer.body));
            return parsed.success
                ? Right(parsed.data.score)
                : Left<TargetFailure, number>({
                    transmission: "some-bytes",
                    reason: "protocol",
                    detail: "The scorer's response has an unexpected form.",
                });
        });
    }
}

function parseBody(body: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(body).toString("utf8"));
    }
    catch {
        return undefined;
    }
}

function checkResponse(req: PlainRequest, answer: PlainResponse): Either<TargetFailure, PlainResponse> {
    const echoedAttempt = answer.headers[attemptHeader];
    if (echoedAttempt !== undefined && echoedAttempt !== req.headers[attemptHeader]) {
        return Left({
            transmission: "some-bytes",
            reason: "protocol",
            detail: "The response belongs to another attempt.",
        });
    }
    return busyStatuses.has(answer.status) && answer.headers[runStateHeader] === "not-run"
        ? Left(busyFailure(answer.status))
        : Right(answer);
}

function busyFailure(status: number): TargetFailure {
    return { transmission: "refused", reason: "refused", detail: `The target responded with status ${status}.` };
}

function definedHeaders(headers: Record<string, string | string[] | undefined>): HeaderValues {
    const defined: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined) {
            defined[name] = value;
        }
    }
    return defined;
}
