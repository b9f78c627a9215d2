/** Headers that concern one connection only, and are never forwarded. */

/** Names in lower case. */
export const connectionHeaders: ReadonlySet<string> = new Set([
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
export function isConnectionHeader(name: string): boolean {
    return connectionHeaders.has(name.toLowerCase());
}
