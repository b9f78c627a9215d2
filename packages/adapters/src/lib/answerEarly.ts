/**
 * Answers a request whose body has not been read and is not needed. The rest of a short body is read and dropped, so that
 * the connection stays usable. For a long one, the connection is closed a moment later, when the caller has had time to
 * read the answer: closing it at once could discard the answer.
 */

import { type IncomingMessage, type ServerResponse } from "node:http";

/** Upper limit in bytes of a body that is read to its end and dropped. */
const maxDroppedBytes = 64 * 1024;

/** Upper limits of what is dropped before a connection is closed, and of the time until then. */
const linger = { bytes: 256 * 1024, ms: 300 } as const;

/**
 * Bytes from which a piece stops the reading instead. Large pieces would be copied in vain; many tiny ones that wait in
 * memory would take more than dropping them.
 */
const minPausingBytes = 1024;

/** Sends `text` with `status` and `headers`, and closes the connection unless little of the body is left. */
export function answerEarly(
    req: IncomingMessage,
    res: ServerResponse,
    status: number,
    headers: Readonly<Record<string, string>>,
    text: string,
): void {
    const head = { ...headers, "content-length": String(Buffer.byteLength(text)) };
    if (isShort(req)) {
        res.writeHead(status, head).end(text);
        req.resume();
        return;
    }
    res.writeHead(status, { ...head, connection: "close" });
    if (text === "") {
        res.flushHeaders();
    }
    else {
        res.write(text);
    }
    let droppedBytes = 0;
    const end = (): void => {
        clearTimeout(timer);
        res.end();
    };
    const timer = setTimeout(end, linger.ms);
    req.on("data", (piece: Buffer) => {
        droppedBytes += piece.length;
        if (piece.length >= minPausingBytes) {
            req.pause();
        }
        else if (droppedBytes > linger.bytes) {
            end();
        }
    });
    req.once("close", end);
}

function isShort(req: IncomingMessage): boolean {
    const { "content-length": length = "0", "transfer-encoding": encoding } = req.headers;
    return req.complete || encoding === undefined && Number(length) <= maxDroppedBytes;
}
