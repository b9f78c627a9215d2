/**
 * The entries that every host of the system has a copy of: configuration documents and published weight versions. Each
 * entry has a number that only increases, so that copies can be propagated over any path and in any order.
 */

import { hash32 } from "../membership/rendezvous.js";

/** One copy of an entry. */
export interface SharedEntry {
    /** The entry's key in the key-value service. */
    readonly key: string;
    readonly text: string;
}

/** A source of the entries below one key prefix. */
export interface SharedEntrySource {
    readonly prefix: string;
    /** The number of each entry, by key: a document's revision, or the published weight version. */
    numbers(): ReadonlyMap<string, number>;
    /** The text of an entry; undefined if there is none with this key. */
    text(key: string): string | undefined;
    /** Accepts a copy if it is well formed and its number is higher, and returns whether it did. */
    offer(entry: SharedEntry): boolean;
}

/** What two hosts should exchange after comparing their numbers. */
export interface SharedComparison {
    /** Keys for which the other host has a higher number. */
    readonly keysToFetch: readonly string[];
    /** Keys for which this host has a higher number. */
    readonly keysToOffer: readonly string[];
}

/** All shared entries of one host. */
export class SharedEntryRegistry {
    constructor(readonly sources: readonly SharedEntrySource[]) {}

    numbers(): ReadonlyMap<string, number> {
        return new Map(this.sources.flatMap(source => [...source.numbers()]));
    }

    /** Returns a hash of all numbers; hosts with equal copies have equal hashes. */
    digest(): number {
        const lines = [...this.numbers()].map(([key, number]) => `${key}=${number}`);
        return hash32(lines.sort().join("\n"));
    }

    /** Compares this host's entries with the numbers of another host. */
    compare(theirs: ReadonlyMap<string, number>): SharedComparison {
        const ours = this.numbers();
        const keysToFetch = [...theirs].filter(([key, number]) => number > (ours.get(key) ?? -1)).map(([key]) => key);
        const keysToOffer = [...ours].filter(([key, number]) => number > (theirs.get(key) ?? -1)).map(([key]) => key);
        return { keysToFetch, keysToOffer };
    }

    /** Returns the entries with these keys that this host has. */
    entries(keys: readonly string[]): readonly SharedEntry[] {
        return keys.flatMap(key => {
            const text = this.sourceOf(key)?.text(key);
            return text === undefined ? [] : [{ key, text }];
        });
    }

    /** Offers a copy to the source of its key, and returns whether it was accepted. */
    offer(entry: SharedEntry): boolean {
        return this.sourceOf(entry.key)?.offer(entry) ?? false;
    }

    private sourceOf(key: string): SharedEntrySource | undefined {
        return this.sources.find(source => key.startsWith(source.prefix));
    }
}
