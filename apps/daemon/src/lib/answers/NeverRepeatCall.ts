/** A call that must not be repeated, and the hashes by which it is recognised. */

import { type CallerId, type Instant, type PlainRequest, type Problem, type StoredResponse } from "@tamarackpath/core";
import { type ServiceId } from "@tamarackpath/core";
import { createHash } from "node:crypto";
import { type Either } from "purify-ts";

/** A call that must not be repeated. */
export interface NeverRepeatCall {
    readonly service: ServiceId;
    readonly caller: CallerId;
    readonly req: PlainRequest;
    readonly deadline: Instant;
    /** True when the caller states that it has sent this request never before. */
    readonly isFirst: boolean;
}

/** Hands a call to one target, at most once, and resolves when its outcome is known or lost. */
export type RunOnce = (call: NeverRepeatCall) => Promise<Either<Problem, StoredResponse>>;

/** Names the owner of a call's tickets and keys. */
export function ownerOf(call: NeverRepeatCall): string {
    return `${call.service}/${call.caller}`;
}

/** Hash by which a repeated request is told from another one. */
export function fingerprintOf({ method, path, body }: PlainRequest): string {
    return createHash("sha256").update(`${method} ${path}\n`).update(body ?? "").digest("base64url");
}

/** Hash of an idempotency key within its owner. */
export function keyHash(owner: string, idempotencyKey: string): string {
    return createHash("sha256").update(JSON.stringify([owner, idempotencyKey])).digest("base64url");
}
