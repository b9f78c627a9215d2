/** Which headers travel from a caller to a target and back: end-to-end ones, but no credentials of the caller. */

import { hopByHopHeaders } from "@tamarackpath/adapters";
import { type HeaderValues } from "@tamarackpath/core";

/** Headers that could turn a call into another one at the target, or that belong to this service. */
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

const ownPrefix = "tamarack-";

/** The headers of a caller's request that go to the target. */
export function forwardedHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<
    string,
    string
> {
    const named = namedByConnection(headers["connection"]);
    const forwarded: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !withheld.has(name) && !named.has(name) && !name.startsWith(ownPrefix)) {
            forwarded[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return forwarded;
}

/** The headers of a target's answer that go to the caller. */
export function keptHeaders(headers: HeaderValues): Record<string, string | string[]> {
    const named = namedByConnection(headers["connection"]);
    return Object.fromEntries(
        Object.entries(headers).filter(([name]) =>
            !hopByHopHeaders.has(name) && !named.has(name) && !name.startsWith(ownPrefix) && name !== "content-length"
        ),
    );
}

function namedByConnection(value: string | string[] | undefined): ReadonlySet<string> {
    return new Set(String(value ?? "").split(",").map(name => name.trim().toLowerCase()));
}
