/** Tokens that prove that a process holds the shared secret: an HMAC over its name, compared in constant time. */

import { createHmac, timingSafeEqual } from "node:crypto";

/** Creates the token of the process `name`. */
export function peerToken(secret: string, name: string): string {
    return createHmac("sha256", secret).update(name).digest("hex");
}

/** Whether `token` is the token of the process `name`. */
export function tokenMatches(secret: string, name: string, token: string): boolean {
    const expected = Buffer.from(peerToken(secret, name));
    const presented = Buffer.from(token);
    return expected.length === presented.length && timingSafeEqual(expected, presented);
}

/** Name for which the operators' token is created. */
export const operatorName = "operator";

/** Creates the operators' token. */
export function operatorToken(secret: string): string {
    return peerToken(secret, operatorName);
}
