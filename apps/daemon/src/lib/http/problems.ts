/** Sends problems to callers as problem documents. */

import { type Problem, problem, problemStatus } from "@tamarackpath/core";
import { type ErrorRequestHandler, type Request, type Response } from "express";

/** Media type of a problem document. */
export const problemMediaType = "application/problem+json";

/** Header in which a caller states that it has not sent this request before. */
export const firstAttemptHeader = "tamarack-first-attempt";

/** Sends a problem document with its HTTP status. */
export function sendProblem(res: Response, failure: Problem): void {
    if (res.headersSent) {
        res.destroy();
        return;
    }
    if (failure.retry.notBefore !== undefined) {
        const seconds = Math.max(1, Math.ceil((failure.retry.notBefore - Date.now()) / 1000));
        res.setHeader("retry-after", String(seconds));
    }
    if (!res.req.complete) {
        res.setHeader("connection", "close");
    }
    res.status(problemStatus[failure.type]).type(problemMediaType).send(JSON.stringify(failure));
}

/** Returns whether the caller states that it has not sent this request before. */
export function isFirstAttempt(req: Request): boolean {
    return req.header(firstAttemptHeader) === "true";
}

/**
 * The problem of a request that is refused before its key or ticket is checked. An earlier attempt may have run, so
 * "not-run" is reported only for a first attempt or a request without key and ticket.
 */
export function earlyRefusal(req: Request, failure: Problem): Problem {
    const isPossibleRetry = (req.header("idempotency-key") ?? req.header("tamarack-ticket")) !== undefined
        && !isFirstAttempt(req);
    return isPossibleRetry && failure.run === "not-run" ? { ...failure, run: "unknown" } : failure;
}

/** Converts errors of the HTTP library to problems. */
export const handleHttpError: ErrorRequestHandler = (err, req, res, unusedNext) => {
    const { type, status, message } = err as { type?: string; status?: number; message?: string; };
    if (status !== undefined && status < 500) {
        const findings = [{ place: "request", read: type ?? "bytes", allowed: message ?? "a readable request" }];
        sendProblem(res, earlyRefusal(req, problem("invalid-request", "The request cannot be read.", { findings })));
        return;
    }
    sendProblem(res, problem("internal", "The host failed on the request.", { run: "unknown" }));
};
