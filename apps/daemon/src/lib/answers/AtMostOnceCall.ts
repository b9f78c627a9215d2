/** A call that must run at most once, and the hashes that identify it. */

import { type CallerId, type Instant, type PlainRequest, type Problem, type StoredResponse } from "@tamarackpath/core";
import { type ServiceId } from "@tamarackpath/core";
import { createHash } from "node:crypto";
import { type Either } from "purify-ts";

/** A call that must not be repeated: it runs at most once. */
export interface AtMostOnceCall {
    readonly service: ServiceId;
    readonly caller: CallerId;
    readonly req: PlainRequest;
    readonly deadline: Instant;
    /** True when the caller states that it has not sent this request before. */
    readonly isFirst: boolean;
}

/** Sends a call to one target, at most once, and resolves when its outcome is known or lost. */
export type RunOnce = (call: AtMostOnceCall) => Promise<Either<Problem, StoredResponse>>;

/** The owner of a call's tickets and keys: its service and caller. */
export function ownerOf(call: AtMostOnceCall): string {
    return `${call.service}/${call.caller}`;
}

/** Hash that distinguishes a repeated request from a different one. */
export function fingerprintOf({ method, path, body }: PlainRequest): string {
    return createHash("sha256").update(`${method} ${path}\n`).update(body ?? "").digest("base64url");
}

/** Hash of an idempotency key; keys of different owners have different hashes. */
export function keyHash(owner: string, idempotencyKey: string): string {
    return createHash("sha256").update(JSON.stringify([owner, idempotencyKey])).digest("base64url");
}
