/** Derives from an error of the HTTP client how much of the request may have reached the target. */

import { type TargetFailure } from "@tamarackpath/core";

/** Codes of errors that occur before any byte of the request is sent. */
const unsentErrorCodes = new Set([
    "ECONNREFUSED",
    "UND_ERR_CONNECT_TIMEOUT",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EMFILE",
    "UND_ERR_INVALID_ARG",
]);

/**
 * Converts an error thrown by the HTTP client to a failure. A connection reset does not show how much of the request
 * was received, so it is reported as "some-bytes" unless `mayHaveSent` is false, because the connection never opened.
 */
export function toTargetFailure(err: unknown, signal: AbortSignal, mayHaveSent = true): TargetFailure {
    const code = (err as { code?: string; }).code ?? "";
    const detail = err instanceof Error ? err.message : String(err);
    if (unsentErrorCodes.has(code) || !mayHaveSent) {
        return { transmission: "no-byte", reason: signal.aborted ? abortReason(signal) : "connect", detail };
    }
    return { transmission: "some-bytes", reason: signal.aborted ? abortReason(signal) : "cut", detail };
}

function abortReason(signal: AbortSignal): "deadline" | "cancelled" {
    return (signal.reason as { name?: string; } | undefined)?.name === "TimeoutError" ? "deadline" : "cancelled";
}
