/**
 * The entries that every host of the system holds a copy of: configuration documents and published weight versions.
 * Each has a number that only rises, so that copies can travel by any way and in any order.
 */

import { hash32 } from "../membership/rendezvous.js";

/** One copy of an entry. */
export interface SharedEntry {
    /** The entry's key in the key-value service. */
    readonly key: string;
    readonly text: string;
}

/** Keeps the entries below one prefix. */
export interface SharedEntrySource {
    readonly prefix: string;
    /** The number of each entry, by key. */
    numbers(): ReadonlyMap<string, number>;
    text(key: string): string | undefined;
    /** Takes a copy if it is well formed and higher, and returns whether it did. */
    offer(entry: SharedEntry): boolean;
}

/** What two hosts should tell each other after they compared numbers. */
export interface SharedComparison {
    /** Keys of which the other host has a higher number. */
    readonly keysToFetch: readonly string[];
    /** Keys of which this host has a higher number. */
    readonly keysToOffer: readonly string[];
}

/** All shared entries of one host. */
export class SharedEntryRegistry {
    constructor(readonly sources: readonly SharedEntrySource[]) {}

    numbers(): ReadonlyMap<string, number> {
        return new Map(this.sources.flatMap(source => [...source.numbers()]));
    }

    /** A hash of all numbers; equal hashes stand for equal copies. */
    digest(): number {
        const lines = [...this.numbers()].map(([key, number]) => `${key}=${number}`);
        return hash32(lines.sort().join("\n"));
    }

    compare(theirs: ReadonlyMap<string, number>): SharedComparison {
        const ours = this.numbers();
        const wanted = [...theirs].filter(([key, number]) => number > (ours.get(key) ?? -1)).map(([key]) => key);
        const offered = [...ours].filter(([key, number]) => number > (theirs.get(key) ?? -1)).map(([key]) => key);
        return { keysToFetch: wanted, keysToOffer: offered };
    }

    entries(keys: readonly string[]): readonly SharedEntry[] {
        return keys.flatMap(key => {
            const text = this.sourceOf(key)?.text(key);
            return text === undefined ? [] : [{ key, text }];
        });
    }

    offer(entry: SharedEntry): boolean {
        return this.sourceOf(entry.key)?.offer(entry) ?? false;
    }

    private sourceOf(key: string): SharedEntrySource | undefined {
        return this.sources.find(source => key.startsWith(source.prefix));
    }
}
