/** Hop-by-hop headers: they apply to a single connection and are never forwarded. */

/** Names of the hop-by-hop headers, in lower case. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Whether `name` is a hop-by-hop header, in any case. */
export function isHopByHopHeader(name: string): boolean {
    return hopByHopHeaders.has(name.toLowerCase());
}
