/** Reads a request's body up to a limit. A larger body is refused before all of it is buffered. */

import { type Finding, type Problem, problem } from "@tamarackpath/core";
import { type Request } from "express";
import { type Either, Left, Right } from "purify-ts";

const decoder = new TextDecoder("utf-8", { fatal: true });

/** Reads a body of at most `maxBytes` bytes. */
export function readBody(req: Request, maxBytes: number): Promise<Either<Problem, Buffer>> {
    const statedBytes = Number(req.header("content-length") ?? 0);
    if (statedBytes > maxBytes) {
        return Promise.resolve(Left(tooLarge(maxBytes, String(statedBytes))));
    }
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let receivedBytes = 0;
        req.on("data", (chunk: Buffer) => {
            receivedBytes += chunk.length;
            if (receivedBytes <= maxBytes) {
                chunks.push(chunk);
                return;
            }
            req.pause();
            resolve(Left(tooLarge(maxBytes, `more than ${maxBytes}`)));
        });
        req.on("end", () => resolve(Right(Buffer.concat(chunks))));
        req.on("error", () => resolve(Left(cutOff())));
        req.on("close", () => resolve(Left(cutOff())));
    });
}

/** Reads a JSON body of at most `maxBytes` bytes. */
export async function readJson(req: Request, maxBytes: number): Promise<Either<Problem, unknown>> {
    const encoding = req.header("content-encoding") ?? "identity";
    if (encoding !== "identity") {
        const findings = [{ place: "headers.Content-Encoding", read: encoding.slice(0, 80), allowed: "identity" }];
        return Left(problem("unsupported-encoding", "The body's encoding is not supported.", { findings }));
    }
    const body = await readBody(req, maxBytes);
    return body.chain(parse);
}

function parse(body: Buffer): Either<Problem, unknown> {
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

function cutOff(): Problem {
    return malformed({ place: "body", read: "fewer bytes than announced", allowed: "the whole body" });
}

function tooLarge(maxBytes: number, read: string): Problem {
    const findings = [{ place: "body", read: `${read} bytes`, allowed: `at most ${maxBytes} bytes` }];
    return problem("too-large", "The body is larger than the service allows.", { findings });
}
