/** Fixtures for tests of the configuration: a key-value service in memory with faults, and drafts of documents. */

import { Left, Right } from "purify-ts";
import { type KeyRevision } from "../ids.js";
import { type KeyValue, type KeyValueEntry } from "../ports/KeyValue.js";
import { type ConfigDraft } from "./ConfigApply.js";

/** A fault of a swap: its response is lost, or it takes effect later. */
export type SwapFault = "none" | "lost" | "late";

/** A key-value service in memory; each swap of a configuration document takes one of `faults`. */
export class InMemoryKeyValue implements Pick<KeyValue, "get" | "list" | "swap"> {
    readonly entries = new Map<string, KeyValueEntry>();
    readonly faults: SwapFault[] = [];
    readonly calls = { reads: 0, writes: 0 };
    private revision = 0;
    private late: (() => void)[] = [];

    get(key: string): ReturnType<KeyValue["get"]> {
        this.calls.reads++;
        return Promise.resolve(Right(this.entries.get(key)));
    }

    list(prefix: string): ReturnType<KeyValue["list"]> {
        this.calls.reads++;
        return Promise.resolve(Right([...this.entries.values()].filter(entry => entry.key.startsWith(prefix))));
    }

    swap(key: string, expected: KeyRevision, value: string): ReturnType<KeyValue["swap"]> {
        this.calls.writes++;
        const fault = key.includes("/config/") ? this.faults.shift() ?? "none" : "none";
        if (fault === "late") {
            this.late.push(() => this.write(key, expected, value));
            return Promise.resolve(Left({ applied: "unknown", detail: "late" }));
        }
        const swapped = this.write(key, expected, value);
        if (fault === "lost") {
            return Promise.resolve(Left({ applied: "unknown", detail: "lost" }));
        }
        return Promise.resolve(
            Right(
                swapped
                    ? { swapped, revision: this.revision as KeyRevision }
                    : { swapped, current: this.entries.get(key) },
            ),
        );
    }

    /** Applies the delayed swaps. */
    applyDelayedSwaps(): void {
        this.late.splice(0).forEach(write => write());
    }

    /** Replaces the entries by an earlier copy, as a restore from a backup does. */
    restore(backup: ReadonlyMap<string, KeyValueEntry>): void {
        this.late = [];
        this.entries.clear();
        for (const [key, entry] of backup) {
            this.entries.set(key, { ...entry, revision: ++this.revision as KeyRevision });
        }
    }

    private write(key: string, expected: KeyRevision, value: string): boolean {
        if ((this.entries.get(key)?.revision ?? 0) !== expected) {
            return false;
        }
        this.entries.set(key, { key, value, revision: ++this.revision as KeyRevision });
        return true;
    }
}

/** Creates a draft with one pool. */
export const createConfigDraft = (slots: number, extra: Partial<ConfigDraft> = {}): ConfigDraft => ({
    name: "fleet",
    pools: [{ pool: "engines", kind: "engine", slotsPerTarget: slots }],
    services: [],
    ...extra,
});
