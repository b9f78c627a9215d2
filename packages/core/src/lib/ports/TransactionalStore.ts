/**
 * The port to a store with transactions over several keys, leases and watches. Unlike in `KeyValue`, values are bytes
 * and a commit may write many keys. A failure states whether the call may have taken effect or may do so later.
 */

import { type Either } from "purify-ts";
import { type Instant, type KeyRevision, type LeaseId } from "../ids.js";
import { type KeyValueFailure } from "./KeyValue.js";

/** Purposes of calls to the store; calls are counted by them in the metrics label `duty`. */
export const storeCallPurposes = [
    "config",
    "targets",
    "conductor",
    "jobs",
    "results",
    "retire",
    "lease",
    "streams",
    "duties",
] as const;

/** Purpose of a call to the store. */
export type StoreCallPurpose = typeof storeCallPurposes[number];

/** A stored item. */
export interface StoredItem {
    readonly key: string;
    readonly value: Uint8Array;
    /** Revision of its last write. */
    readonly revision: KeyRevision;
}

/** Items below a prefix, with the revision of the store at the read of the first page. */
export interface StoredRange {
    readonly items: readonly StoredItem[];
    readonly asOf: KeyRevision;
}

/** Some of the items below a prefix, in the order of their keys, with the revision of the store at the read. */
export interface StoredPage extends StoredRange {
    /** Whether items follow after the last one. */
    readonly hasMore: boolean;
}

/** One change reported by a watch; `item` is undefined when the key was removed. */
export interface StoredChange {
    readonly key: string;
    readonly item: StoredItem | undefined;
}

/** Changes after a revision; "compacted" means that the store has discarded them and the range must be read again. */
export type StoredChanges =
    | { readonly kind: "changes"; readonly changes: readonly StoredChange[]; readonly asOf: KeyRevision; }
    | { readonly kind: "compacted"; };

/** A write that takes effect as a whole, and only if each expected key is at its revision; 0 expects an absent key. */
export interface Commit {
    readonly expected: readonly { readonly key: string; readonly revision: KeyRevision; }[];
    readonly puts: readonly { readonly key: string; readonly value: Uint8Array; readonly lease?: LeaseId; }[];
    readonly removes: readonly string[];
}

/** Result of a commit that the store responded to. */
export type CommitResult =
    | { readonly kind: "committed"; readonly revision: KeyRevision; }
    /** `current` holds those of the expected keys that exist. */
    | { readonly kind: "conflict"; readonly current: readonly StoredItem[]; }
    | { readonly kind: "lease-ended"; };

/** A lease. `deadline` is computed from the time before the call was sent, so the store ends the lease no earlier. */
export interface StoreLease {
    readonly id: LeaseId;
    readonly deadline: Instant;
}

/** Result of a call to the store. */
export type StoreResult<Value> = Promise<Either<KeyValueFailure, Value>>;

/** Client of the store. */
export interface TransactionalStore {
    get(key: string, purpose: StoreCallPurpose): StoreResult<StoredItem | undefined>;
    range(prefix: string, purpose: StoreCallPurpose): StoreResult<StoredRange>;
    /** The first items below a prefix, as many as the store gives at once, or those after the key `after`. */
    page(prefix: string, after: string | undefined, purpose: StoreCallPurpose): StoreResult<StoredPage>;
    /** Resolves with the changes after revision `after`, or with none after `waitMs`. */
    changes(prefix: string, after: KeyRevision, waitMs: number, purpose: StoreCallPurpose): StoreResult<StoredChanges>;
    commit(commit: Commit, purpose: StoreCallPurpose): StoreResult<CommitResult>;
    grantLease(ttlMs: number): StoreResult<StoreLease>;
    /** Resolves with undefined when the lease has ended. */
    renewLease(id: LeaseId, ttlMs: number): StoreResult<StoreLease | undefined>;
    /** Whether the store responded to the last call. */
    readonly isReachable: boolean;
    /**
     * The latest time at which the store is known to have been unavailable to this host; undefined if it never was, or has
     * answered since. A call that failed because this process was slow shows nothing.
     */
    readonly lastOutageAt: Instant | undefined;
}
