/** Routes for callers of plain services: tickets, and calls that are forwarded to a target. */

import { type CallPath, parseCallPath, type Problem, problem, type StoredResponse } from "@tamarackpath/core";
import { type Response } from "express";
import { type Either, Left, Right } from "purify-ts";
import { forwardedHeaders } from "../answers/headers.js";
import { type Context } from "../Context.js";
import { callerDisconnected } from "../limitSignal.js";
import { type AnswerTask, type PlainCall } from "../tasks/AnswerTask.js";
import { readDeadline } from "./deadlines.js";
import { readPriority } from "./priorities.js";
import { earlyRefusal, isFirstAttempt } from "./problems.js";
import { fail, reply, type ServiceRequest, type ServiceRoutes } from "./ServiceRoutes.js";

const maxKeyLength = 255;
const callPattern = /^\/v1\/services\/[^/]+\/calls(\/.*)$/;

/** The methods of the answer task that the routes use. */
export type CallCommands = Pick<AnswerTask, "call" | "issueTicket">;

/** The routes for tickets and calls. */
export function callRoutes(ctx: Context, answers: CallCommands): ServiceRoutes {
    return {
        "/tickets": {
            POST: {
                body: "none",
                handle: call => {
                    reply(ctx, call, answers.issueTicket(call.service.service, call.caller));
                    return Promise.resolve();
                },
            },
        },
        "/calls/*path": { "*": { body: "bytes", handle: (call, body) => serveCall(ctx, answers, call, body) } },
    };
}

async function serveCall(ctx: Context, answers: CallCommands, call: ServiceRequest, body: Buffer): Promise<void> {
    const arrivedAt = ctx.clock.now();
    const read = readCall(ctx, call, body);
    const outcome = await read.caseOf<Promise<Either<Problem, StoredResponse>>>({
        Left: failure => Promise.resolve(Left(earlyRefusal(call.req, failure))),
        Right: plain => answers.call(plain),
    });
    outcome.ifLeft(failure => fail(ctx, call.res, failure));
    outcome.ifRight(answer => {
        ctx.metrics.observeAnswer("plain", arrivedAt, ctx.clock.now());
        ctx.guard.holdAnswer(call.res, answer.bodyBase64.length);
        sendOutcome(call.res, answer);
    });
}

function sendOutcome(res: Response, { status, headers, bodyBase64 }: StoredResponse): void {
    res.status(status);
    for (const [name, value] of Object.entries(headers)) {
        res.setHeader(name, value);
    }
    res.end(Buffer.from(bodyBase64, "base64"));
}

function readCall(ctx: Context, call: ServiceRequest, body: Buffer): Either<Problem, PlainCall> {
    const { service, caller, req, res } = call;
    return readPath(req.originalUrl).chain(({ path, query }) =>
        readDeadline(ctx.clock.now(), service.answerWithinMs, req.header("tamarack-deadline")).chain(deadline =>
            readPriority(req.header("tamarack-priority")).chain(priority =>
                readKey(req.header("idempotency-key")).map(idempotencyKey => ({
                    service,
                    caller,
                    req: {
                        method: req.method,
                        path: `${path}${query}`,
                        headers: { ...forwardedHeaders(req.headers), "tamarack-caller": caller },
                        body: body.length > 0 ? body : undefined,
                    },
                    deadline,
                    priority,
                    signal: disconnectSignal(res),
                    ticket: req.header("tamarack-ticket"),
                    idempotencyKey,
                    isFirst: isFirstAttempt(req),
                }))
            )
        )
    );
}

function readPath(url: string): Either<Problem, CallPath> {
    const raw = callPattern.exec(url)?.[1] ?? "";
    return parseCallPath(raw)
        .mapLeft(finding => problem("invalid-request", "The path cannot be called.", { findings: [finding] }));
}

function readKey(key: string | undefined): Either<Problem, string | undefined> {
    if (key === undefined || (key.length > 0 && key.length <= maxKeyLength)) {
        return Right(key);
    }
    return Left(problem("invalid-request", "The idempotency key cannot be used.", {
        findings: [{
            place: "headers.Idempotency-Key",
            read: `${key.length} characters`,
            allowed: `1 to ${maxKeyLength} characters`,
        }],
    }));
}

/** A signal that aborts when the caller disconnects before the answer is sent. */
export function disconnectSignal(res: Response): AbortSignal {
    const gone = new AbortController();
    res.once("close", () => {
        if (!res.writableFinished) {
            gone.abort(callerDisconnected);
        }
    });
    return gone.signal;
}
