/**
 * The key-value port: compare-and-swap, leases and watches of the platform's key-value service. A write may take effect
 * although its call failed; `KeyValueFailure.applied` says whether that is possible.
 */

import { type Either } from "purify-ts";
import { type Instant, type KeyRevision, type LeaseId } from "../ids.js";

/** A key with its value and the revision of its last write. */
export interface KeyValueEntry {
    readonly key: string;
    readonly value: string;
    readonly revision: KeyRevision;
}

/** Why a call failed. "unknown" means that the response to a write was lost. */
export interface KeyValueFailure {
    readonly applied: "no" | "unknown";
    readonly detail: string;
    /** True when the service itself reported the failure, as it does for an expired lease. */
    readonly answered?: boolean;
}

/** Result of a compare-and-swap that the service responded to. */
export type SwapResult =
    | { readonly swapped: true; readonly revision: KeyRevision; }
    | { readonly swapped: false; readonly current: KeyValueEntry | undefined; };

/** A granted lease. The holder must stop acting on it well before `deadline`. */
export interface Lease {
    readonly id: LeaseId;
    readonly deadline: Instant;
}

/** A change reported by a watch; `entry` is undefined when the key was deleted. */
export interface KeyValueChange {
    readonly key: string;
    readonly entry: KeyValueEntry | undefined;
}

/** Client of the key-value service. */
export interface KeyValue {
    get(key: string): Promise<Either<KeyValueFailure, KeyValueEntry | undefined>>;
    /** Lists the entries below `prefix`; with `from`, only those written at that revision or later. */
    list(prefix: string, from?: KeyRevision): Promise<Either<KeyValueFailure, readonly KeyValueEntry[]>>;
    /** Compare-and-swap: writes `value` only if the key is at revision `expected`; 0 expects an absent key. */
    swap(
        key: string,
        expected: KeyRevision,
        value: string,
        lease?: LeaseId,
    ): Promise<Either<KeyValueFailure, SwapResult>>;
    grantLease(ttlMs: number): Promise<Either<KeyValueFailure, Lease>>;
    /** Renews a lease for `ttlMs`. */
    keepAlive(id: LeaseId, ttlMs: number): Promise<Either<KeyValueFailure, Lease>>;
    revokeLease(id: LeaseId): Promise<Either<KeyValueFailure, void>>;
    /**
     * Reports changes below `prefix` since revision `from` until `signal` aborts or the connection ends; resolves with
     * the reason.
     */
    watch(
        prefix: string,
        from: KeyRevision,
        onChange: (change: KeyValueChange) => void,
        signal: AbortSignal,
    ): Promise<KeyValueFailure>;
}
