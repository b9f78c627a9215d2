/** The frames on a peer link and their msgpack encoding. */

import { type Problem } from "@tamarackpath/core";
import { pack, unpack } from "msgpackr";

/** A request to a peer. */
export interface RequestFrame {
    readonly kind: "ask";
    readonly id: number;
    readonly name: string;
    readonly body: unknown;
}

/** A peer's response; `problem` is set when the request failed. */
export interface ResponseFrame {
    readonly kind: "answer";
    readonly id: number;
    readonly body: unknown;
    readonly problem: Problem | undefined;
}

/** The server's part of the handshake. */
export interface HelloFrame {
    readonly kind: "hello";
    readonly nonce: string;
    readonly proof: string;
}

/** The client's part of the handshake. */
export interface ProofFrame {
    readonly kind: "proof";
    readonly proof: string;
}

/** Any frame on a peer link. */
export type Frame = RequestFrame | ResponseFrame | HelloFrame | ProofFrame;

/** Maximum size of a frame that is sent or accepted, in bytes. */
export const maxFrameBytes = 64 * 1024 * 1024;

const frameKinds = ["ask", "answer", "hello", "proof"] as const;

export function packFrame(frame: Frame): Buffer {
    const kind = frameKinds.indexOf(frame.kind);
    switch (frame.kind) {
        case "ask":
            return pack([kind, frame.id, frame.name, frame.body]);
        case "answer":
            return pack([kind, frame.id, frame.body, frame.problem]);
        case "hello":
            return pack([kind, frame.nonce, frame.proof]);
        case "proof":
            return pack([kind, frame.proof]);
    }
}

/** Decodes a frame; returns undefined when the bytes are not a valid frame. */
export function unpackFrame(data: Buffer): Frame | undefined {
    try {
        const fields: unknown = unpack(data);
        return Array.isArray(fields) ? toFrame(fields) : undefined;
    }
    catch {
        return undefined;
    }
}

function toFrame([kind, first, second, third]: readonly unknown[]): Frame | undefined {
    switch (frameKinds[kind as number]) {
        case "ask":
            return typeof first === "number" && typeof second === "string"
                ? { kind: "ask", id: first, name: second, body: third }
                : undefined;
        case "answer":
            return typeof first === "number"
                ? { kind: "answer", id: first, body: second, problem: third as Problem | undefined ?? undefined }
                : undefined;
        case "hello":
            return typeof first === "string" && typeof second === "string"
                ? { kind: "hello", nonce: first, proof: second }
                : undefined;
        case "proof":
            return typeof first === "string" ? { kind: "proof", proof: first } : undefined;
        default:
            return undefined;
    }
}
