/** Reads from an error of the HTTP client how much of the request may have reached the target. */

import { type TargetFailure } from "@tamarackpath/core";

const neverSentCodes = new Set([
    "ECONNREFUSED",
    "UND_ERR_CONNECT_TIMEOUT",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EMFILE",
    "UND_ERR_INVALID_ARG",
]);

/**
 * Turns an error thrown by the HTTP client into a failure. A reset says nothing about how far the request came, so it
 * counts as "some-bytes" unless `mayHaveSent` is false: then the connection never opened.
 */
export function toTargetFailure(err: unknown, signal: AbortSignal, mayHaveSent = true): TargetFailure {
    const code = (err as { code?: string; }).code ?? "";
    const detail = err instanceof Error ? err.message : String(err);
    if (neverSentCodes.has(code) || !mayHaveSent) {
        return { transmission: "no-byte", reason: signal.aborted ? reasonOf(signal) : "connect", detail };
    }
    return { transmission: "some-bytes", reason: signal.aborted ? reasonOf(signal) : "cut", detail };
}

function reasonOf(signal: AbortSignal): "deadline" | "cancelled" {
    return (signal.reason as { name?: string; } | undefined)?.name === "TimeoutError" ? "deadline" : "cancelled";
}
