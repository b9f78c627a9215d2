/**
 * Reads the body of a request into one buffer. Pieces are copied as they arrive, since a body may come in chunks of one
 * byte, each of which would be an object of its own.
 */

import { type IncomingMessage } from "node:http";

/** How the reading of a body ended. */
export type BodyRead =
    | { readonly kind: "whole"; readonly body: Buffer; }
    | { readonly kind: "too-large"; }
    /** The process has no room for it at present. */
    | { readonly kind: "no-room"; }
    /** It did not arrive in time. */
    | { readonly kind: "late-body"; }
    /** The caller closed the connection. */
    | { readonly kind: "left"; readonly reason: string; };

/** A body that is being read. */
export interface BodyReading {
    readonly result: Promise<BodyRead>;
    /** Ends the reading because it takes too long. */
    readonly giveUp: () => void;
}

const firstBytes = 16 * 1024;

/** Factor by which the buffer grows. Memory that no byte was written to is not resident. */
const growthFactor = 4;

/** Collects a body of at most `maxBytes`; `makeRoom` returns whether that many more bytes may be kept. */
export function collectBody(
    req: IncomingMessage,
    maxBytes: number,
    makeRoom: (bytes: number) => boolean,
): BodyReading {
    const stated = Number(req.headers["content-length"] ?? 0);
    const capacity = Math.min(maxBytes, stated > 0 ? stated : maxBytes);
    let buffer = Buffer.alloc(0);
    let length = 0;
    let settle: (read: BodyRead) => void = () => undefined;
    let isSettled = false;
    const result = new Promise<BodyRead>(resolve => settle = resolve);
    const end = (read: BodyRead): void => {
        isSettled = true;
        buffer = Buffer.alloc(0);
        settle(read);
    };
    const append = (piece: Buffer): void => {
        if (length + piece.length > buffer.length) {
            const grown = Math.max(firstBytes, growthFactor * buffer.length, length + piece.length);
            const next = Buffer.allocUnsafeSlow(Math.min(grown, Math.max(capacity, length + piece.length)));
            buffer.copy(next, 0, 0, length);
            buffer = next;
        }
        piece.copy(buffer, length);
        length += piece.length;
    };
    if (stated > maxBytes) {
        end({ kind: "too-large" });
        return { result, giveUp: () => undefined };
    }
    req.on("data", (piece: Buffer) => {
        // What arrives after a refusal is read and dropped until the connection is closed.
        if (isSettled) {
            return;
        }
        if (length + piece.length > maxBytes) {
            end({ kind: "too-large" });
        }
        else if (!makeRoom(piece.length)) {
            end({ kind: "no-room" });
        }
        else {
            append(piece);
        }
    });
    req.once("end", () => isSettled || end({ kind: "whole", body: buffer.subarray(0, length) }));
    req.once("error", err => isSettled || end({ kind: "left", reason: String(err) }));
    req.once("close", () => isSettled || end({ kind: "left", reason: "The connection was closed." }));
    return { result, giveUp: () => isSettled || end({ kind: "late-body" }) };
}
