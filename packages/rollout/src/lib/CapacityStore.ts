/**
 * The record of ordered engines in the store. A write expects the claim of the holder and the revision of the record that
 * it read, so that a holder that has lost its claim writes nothing, and of two writes one takes effect.
 */

import {
    capacityKey,
    type CapacityRecord,
    jobKeys,
    type KeyRevision,
    readCapacityRecord,
    type StoredItem,
    type TransactionalStore,
} from "@tamarackpath/core";
import { pack, unpack } from "msgpackr";
import { type Journal } from "./Journal.js";

/** A record as read, with the revision that the next write expects; 0 while there is none. */
export interface ReadCapacity {
    readonly record: CapacityRecord | undefined;
    readonly revision: KeyRevision;
}

/** How a write ended. "unknown": it may have taken effect or may do so later. */
export type CapacityWrite =
    | { readonly kind: "written"; readonly revision: KeyRevision; }
    | { readonly kind: "claim-changed"; readonly item: StoredItem | undefined; }
    | { readonly kind: "record-changed" | "unknown" | "not-written"; };

/** Reads and writes the record. */
export class CapacityStore {
    constructor(private readonly store: TransactionalStore, private readonly journal: Journal) {}

    /** The record; undefined when the store does not answer. */
    async read(): Promise<ReadCapacity | undefined> {
        const res = await this.store.get(capacityKey, "duties");
        return res.caseOf<ReadCapacity | undefined>({
            Left: () => undefined,
            Right: item =>
                item === undefined
                    ? { record: undefined, revision: 0 as KeyRevision }
                    : { record: this.decode(item), revision: item.revision },
        });
    }

    /** Writes the record under the claim with the fencing token `fence`. */
    async write(record: CapacityRecord, revision: KeyRevision, fence: KeyRevision): Promise<CapacityWrite> {
        const res = await this.store.commit(
            {
                expected: [{ key: jobKeys.claim, revision: fence }, { key: capacityKey, revision }],
                puts: [{ key: capacityKey, value: pack(record) }],
                removes: [],
            },
            "duties",
        );
        return res.caseOf<CapacityWrite>({
            Left: ({ applied }) => ({ kind: applied === "unknown" ? "unknown" : "not-written" }),
            Right: result => {
                if (result.kind === "committed") {
                    return { kind: "written", revision: result.revision };
                }
                const item = result.kind === "conflict"
                    ? result.current.find(({ key }) => key === jobKeys.claim)
                    : undefined;
                return item?.revision === fence ? { kind: "record-changed" } : { kind: "claim-changed", item };
            },
        });
    }

    /** A record that cannot be read counts as none: the numbers then start from the listed engines. */
    private decode({ key, value, revision }: StoredItem): CapacityRecord | undefined {
        const record = readCapacityRecord(unpackOrText(value));
        if (record === undefined) {
            this.journal.log("stored-value-unreadable", { key, revision, detail: "It is no record of orders." });
        }
        return record;
    }
}

/** The decoded value, or why it cannot be decoded. */
function unpackOrText(value: Uint8Array): unknown {
    try {
        return unpack(value);
    }
    catch (err) {
        return String(err);
    }
}
