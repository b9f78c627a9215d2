/**
 * The port towards a store with transactions over several keys, leases and watches. Unlike `KeyValue` its values are
 * bytes and a commit may touch many keys. A failed call says whether it may still take effect, now or later.
 */

import { type Either } from "purify-ts";
import { type Instant, type KeyRevision, type LeaseId } from "../ids.js";
import { type KeyValueFailure } from "./KeyValue.js";

/** What a call to the store serves; calls are counted by it. */
export const storeCallPurposes = ["config", "targets", "conductor", "jobs", "results", "retire", "lease"] as const;

/** Names a duty. */
export type StoreCallPurpose = typeof storeCallPurposes[number];

/** A stored item. */
export interface StoredItem {
    readonly key: string;
    readonly value: Uint8Array;
    /** Revision of its last write. */
    readonly revision: KeyRevision;
}

/** Items below a prefix, with the store's revision at the first page. */
export interface StoredRange {
    readonly items: readonly StoredItem[];
    readonly asOf: KeyRevision;
}

/** One change seen by a watch; `item` is absent when the key was removed. */
export interface StoredChange {
    readonly key: string;
    readonly item: StoredItem | undefined;
}

/** Changes after a revision; "compacted" means that the store no longer has them and the range must be read again. */
export type StoredChanges =
    | { readonly kind: "changes"; readonly changes: readonly StoredChange[]; readonly asOf: KeyRevision; }
    | { readonly kind: "compacted"; };

/** A write that takes effect as a whole, and only if each expected key is at its revision; 0 expects an absent key. */
export interface Commit {
    readonly expected: readonly { readonly key: string; readonly revision: KeyRevision; }[];
    readonly puts: readonly { readonly key: string; readonly value: Uint8Array; readonly lease?: LeaseId; }[];
    readonly removes: readonly string[];
}

/** Outcome of a commit that the store answered. */
export type CommitResult =
    | { readonly kind: "committed"; readonly revision: KeyRevision; }
    /** Holds those of the expected keys that exist, as they are. */
    | { readonly kind: "conflict"; readonly current: readonly StoredItem[]; }
    | { readonly kind: "lease-ended"; };

/** A lease; `deadline` is counted from before the call was sent, so the store ends the lease no earlier. */
export interface StoreLease {
    readonly id: LeaseId;
    readonly deadline: Instant;
}

/** Result of a call to the store. */
export type StoreResult<Value> = Promise<Either<KeyValueFailure, Value>>;

/** Client of the store. */
export interface TransactionalStore {
    get(key: string, duty: StoreCallPurpose): StoreResult<StoredItem | undefined>;
    range(prefix: string, duty: StoreCallPurpose): StoreResult<StoredRange>;
    /** Resolves with the changes after `after`, or with none once `waitMs` is over. */
    changes(prefix: string, after: KeyRevision, waitMs: number, duty: StoreCallPurpose): StoreResult<StoredChanges>;
    commit(commit: Commit, duty: StoreCallPurpose): StoreResult<CommitResult>;
    grantLease(ttlMs: number): StoreResult<StoreLease>;
    /** Resolves with undefined when the lease has ended. */
    renewLease(id: LeaseId, ttlMs: number): StoreResult<StoreLease | undefined>;
    /** True while the last call was answered. */
    readonly isReachable: boolean;
}
