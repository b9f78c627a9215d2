/** Recognises repeats of a request, which have another id each and may reach any host. */

import { type ForwardedCall, type RequestFingerprint } from "@tamarackpath/core";
import { createHash } from "node:crypto";

/** Number of hexadecimal digits of a fingerprint. */
const fingerprintLength = 24;

/** The fingerprint of a request; how its body was transmitted does not matter. */
export function fingerprintOf({ method, host, path, caller, body }: ForwardedCall): RequestFingerprint {
    const head = JSON.stringify([method, host.toLowerCase(), path, caller]);
    const digest = createHash("sha256").update(head).update("\n").update(body).digest("hex");
    return digest.slice(0, fingerprintLength) as RequestFingerprint;
}
