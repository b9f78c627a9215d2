/** Headers that concern one connection only, and are never forwarded. */

/** Names in lower case. */
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

/** Whether the header `name` concerns one connection only. */
export function isHopByHopHeader(name: string): boolean {
    return hopByHopHeaders.has(name.toLowerCase());
}
