/** Creates a token for a caller, and the hash of it for the questionnaire. */

import { createHash, randomBytes } from "node:crypto";

const tokenBytes = 24;

/** Prints a new token and its hash. */
export function newToken(isJson: boolean): void {
    const token = randomBytes(tokenBytes).toString("base64url");
    const sha256 = createHash("sha256").update(token).digest("hex");
    if (isJson) {
        console.log(JSON.stringify({ token, sha256 }));
        return;
    }
    console.log(`token:  ${token}`);
    console.log(`sha256: ${sha256}`);
    console.log("Give the token to the caller, and write the hash into the questionnaire.");
}
