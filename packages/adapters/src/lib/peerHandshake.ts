/**
 * The handshake on a peer link. Both ends prove that they hold the shared secret with an HMAC over both names and a new
 * nonce of each end, so that a recorded handshake cannot be replayed. HMACs are compared in constant time.
 */

import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

const nonceBytes = 16;

/** The host ids of both ends of a link, and the client's nonce. */
export interface HandshakeParties {
    readonly client: string;
    readonly server: string;
    readonly clientNonce: string;
}

/** The stages at which a proof is sent: the client's upgrade request, the server's hello, the client's reply to it. */
export type HandshakeStage = "upgrade" | "server" | "client";

export function createNonce(): string {
    return randomBytes(nonceBytes).toString("base64url");
}

/** Creates the proof for one stage; at the upgrade, before the server has sent its nonce, `serverNonce` is empty. */
export function createProof(
    secret: string,
    stage: HandshakeStage,
    parties: HandshakeParties,
    serverNonce: string,
): string {
    const text = JSON.stringify(["peer", stage, parties.client, parties.server, parties.clientNonce, serverNonce]);
    return createHmac("sha256", secret).update(text).digest("base64url");
}

/** Compares a presented proof with the expected one in constant time. */
export function proofMatches(expected: string, presented: string): boolean {
    const expectedBytes = Buffer.from(expected);
    const presentedBytes = Buffer.from(presented);
    return expectedBytes.length === presentedBytes.length && timingSafeEqual(expectedBytes, presentedBytes);
}
