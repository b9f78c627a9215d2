/** Reads a request's body up to a limit. A larger body is refused before all of it is buffered. */

import { type BodyRead } from "@tamarackpath/adapters";
import {
    after,
    countJsonMembers,
    type Finding,
    maxJsonMembers,
    type Problem,
    problem,
    type ServiceConfig,
} from "@tamarackpath/core";
import { type Request, type Response } from "express";
import { type Either, Left, Right } from "purify-ts";
import { type Context } from "../Context.js";

/** Upper limit in milliseconds of the time in which a body arrives, for services whose answers may take longer. */
const maxBodyMs = 60_000;

const decoder = new TextDecoder("utf-8", { fatal: true });

/** A request whose body is read, and the service that limits it. */
export interface BodySource {
    readonly req: Request;
    readonly res: Response;
    readonly service: ServiceConfig;
}

/** Reads a body within the limits of its service. */
export async function readBody(ctx: Context, { req, res, service }: BodySource): Promise<Either<Problem, Buffer>> {
    const maxBytes = service.limits.bodyBytes;
    const lateAt = after(ctx.clock.now(), Math.min(maxBodyMs, service.answerWithinMs));
    const read = await ctx.guard.readBody(req, res, { maxBytes, lateAt });
    const failures: Record<Exclude<BodyRead["kind"], "whole">, () => Problem> = {
        "too-large": () => tooLarge(maxBytes, req.header("content-length") ?? `more than ${maxBytes}`),
        "no-room": () => unavailable("Too many requests are being read."),
        "late-body": () => unavailable("The body did not arrive in time."),
        "left": () => cutOff(),
    };
    return read.kind === "whole" ? Right(read.body) : Left(failures[read.kind]());
}

/** Reads a JSON body within the limits of its service. */
export async function readJson(ctx: Context, source: BodySource): Promise<Either<Problem, unknown>> {
    const { req } = source;
    const encoding = req.header("content-encoding") ?? "identity";
    if (encoding !== "identity") {
        const findings = [{ place: "headers.Content-Encoding", read: encoding.slice(0, 80), allowed: "identity" }];
        return Left(problem("unsupported-encoding", "The body's encoding is not supported.", { findings }));
    }
    const body = await readBody(ctx, source);
    return body.chain(parse);
}

function parse(body: Buffer): Either<Problem, unknown> {
    if (countJsonMembers(body, maxJsonMembers) > maxJsonMembers) {
        const findings = [{ place: "body", read: "more members", allowed: `at most ${maxJsonMembers} members` }];
        return Left(problem("too-large", "The body has more members than the service allows.", { findings }));
    }
    try {
        return Right(JSON.parse(decoder.decode(body)) as unknown);
    }
    catch (err) {
        const detail = err instanceof Error ? err.message.slice(0, 120) : "unreadable bytes";
        return Left(malformed({ place: "body", read: detail, allowed: "a JSON document in UTF-8" }));
    }
}

function malformed(finding: Finding): Problem {
    return problem("invalid-request", "The request's body cannot be read.", { findings: [finding] });
}

/** A request that may be sent again, as it has not run. */
function unavailable(detail: string): Problem {
    return problem("unavailable", detail, { retry: { allowed: true } });
}

function cutOff(): Problem {
    return malformed({ place: "body", read: "fewer bytes than announced", allowed: "the whole body" });
}

function tooLarge(maxBytes: number, read: string): Problem {
    const findings = [{ place: "body", read: `${read} bytes`, allowed: `at most ${maxBytes} bytes` }];
    return problem("too-large", "The body is larger than the service allows.", { findings });
}
