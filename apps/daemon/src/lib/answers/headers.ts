/** Selects the headers that pass between caller and target: end-to-end headers, without the caller's credentials. */

import { hopByHopHeaders } from "@tamarackpath/adapters";
import { type HeaderValues } from "@tamarackpath/core";

/** Headers that are not forwarded: they could change the meaning of a call at the target, or are for this service. */
const withheld = new Set([
    ...hopByHopHeaders,
    "authorization",
    "content-length",
    "expect",
    "host",
    "x-http-method",
    "x-http-method-override",
    "x-method-override",
    "x-original-url",
    "x-rewrite-url",
]);

const ownHeaderPrefix = "tamarack-";

/** The headers of a caller's request that are sent to the target. */
export function forwardedHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<
    string,
    string
> {
    const named = headersNamedByConnection(headers["connection"]);
    const forwarded: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !withheld.has(name) && !named.has(name) && !name.startsWith(ownHeaderPrefix)) {
            forwarded[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return forwarded;
}

/** The headers of a target's answer that are kept and sent to the caller. */
export function keptHeaders(headers: HeaderValues): Record<string, string | string[]> {
    const named = headersNamedByConnection(headers["connection"]);
    return Object.fromEntries(
        Object.entries(headers).filter(([name]) =>
            !hopByHopHeaders.has(name) && !named.has(name) && !name.startsWith(ownHeaderPrefix)
            && name !== "content-length"
        ),
    );
}

function headersNamedByConnection(value: string | string[] | undefined): ReadonlySet<string> {
    return new Set(String(value ?? "").split(",").map(name => name.trim().toLowerCase()));
}
