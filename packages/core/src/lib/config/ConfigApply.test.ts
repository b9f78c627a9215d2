/** Tests of applying configuration documents while operators race and responses are lost. */

import { expect } from "chai";
import { type ConfigRevision, type OperationId } from "../ids.js";
import { type KeyValue } from "../ports/KeyValue.js";
import { applyConfig } from "./ConfigApply.js";
import { rebaseConfig } from "./ConfigDifference.js";
import { archiveConfig, configHistory, configHistoryKey, configHistoryLength } from "./ConfigHistory.js";
import { createConfigDraft, InMemoryKeyValue } from "./InMemoryKeyValue.test.js";
import { parseConfigDocument } from "./parseConfigDocument.js";

function createFixture(): {
    store: InMemoryKeyValue;
    apply: (
        slots: number,
        base: number,
        operation: string,
        highestKnownRevision?: number,
    ) => ReturnType<typeof applyConfig>;
} {
    const store = new InMemoryKeyValue();
    const apply = (
        slots: number,
        base: number,
        operation: string,
        highestKnownRevision?: number,
    ): ReturnType<typeof applyConfig> =>
        applyConfig(
            store as unknown as KeyValue,
            createConfigDraft(slots),
            base as ConfigRevision,
            operation as OperationId,
            {
                highestKnownRevision: highestKnownRevision as ConfigRevision | undefined,
            },
        );
    return { store, apply };
}

describe("applyConfig", () => {
    it("assigns the next revision and archives the previous one", async () => {
        const { store, apply } = createFixture();
        for (let base = 0; base < configHistoryLength + 5; base++) {
            expect((await apply(1 + base, base, `op-${base}`)).unsafeCoerce().doc.revision).to.equal(base + 1);
        }
        const history = (await configHistory(store as unknown as KeyValue, "fleet")).unsafeCoerce();
        expect(history.length).to.equal(configHistoryLength);
        expect(history[0]?.revision).to.equal(configHistoryLength + 4);
    });

    it("accepts one of two racing changes and returns the differences for the other", async () => {
        const { apply } = createFixture();
        await apply(1, 0, "first");
        const results = await Promise.all([apply(2, 1, "a"), apply(3, 1, "b")]);
        expect(results.filter(res => res.isRight()).length).to.equal(1);
        const failure = results.find(res => res.isLeft())!.swap().unsafeCoerce();
        expect(failure).to.deep.include({ kind: "conflict" });
        expect(failure.kind === "conflict" && failure.differences.map(entry => entry.path))
            .to.deep.equal(["pools.engines.slotsPerTarget"]);
    });

    it("accepts a swap with a lost response exactly once", async () => {
        const { store, apply } = createFixture();
        await apply(1, 0, "first");
        store.faults.push("lost");
        expect((await apply(2, 1, "second")).unsafeCoerce().doc.revision).to.equal(2);
        expect((await apply(2, 1, "second")).unsafeCoerce()).to.deep.include({ superseded: false });
        await apply(3, 2, "third");
        expect((await apply(2, 1, "second")).unsafeCoerce()).to.deep.include({ superseded: true });
        expect((await apply(2, 1, "second", 3)).unsafeCoerce()).to.deep.include({ superseded: true });
    });

    it("does not report a delayed swap that later takes effect as refused", async () => {
        const { store, apply } = createFixture();
        await apply(1, 0, "first");
        store.faults.push("late");
        const res = await apply(2, 1, "second");
        store.applyDelayedSwaps();
        expect(res.isRight()).to.equal(true);
        expect(JSON.parse(store.entries.get("tamarackpath/config/fleet")!.value)).to.deep.include({ revision: 2 });
    });

    it("returns unknown if no swap gets a response, and the outcome on a repeated call", async () => {
        const { store, apply } = createFixture();
        store.faults.push(...Array.from({ length: 8 }, () => "late" as const));
        expect((await apply(2, 0, "only")).swap().unsafeCoerce().kind).to.equal("unknown");
        store.applyDelayedSwaps();
        expect((await apply(2, 0, "only")).unsafeCoerce().doc.revision).to.equal(1);
    });

    it("assigns a revision above those of the hosts after the store was restored from a backup", async () => {
        const { apply } = createFixture();
        await apply(1, 0, "first");
        expect((await apply(2, 1, "second", 7)).unsafeCoerce().doc.revision).to.equal(8);
    });
});

describe("archiveConfig", () => {
    it("does not overwrite a later revision in the same slot", async () => {
        const { store, apply } = createFixture();
        await apply(1, 0, "first");
        const text = store.entries.get("tamarackpath/config/fleet")!.value;
        for (let base = 1; base < configHistoryLength + 3; base++) {
            await apply(1 + base, base, `op-${base}`);
        }
        const first = parseConfigDocument("first", text).unsafeCoerce();
        await archiveConfig(store as unknown as KeyValue, first, text);
        const slot = store.entries.get(configHistoryKey("fleet", first.revision))!;
        expect(JSON.parse(slot.value)).to.deep.include({ revision: configHistoryLength + 1 });
    });
});

describe("rebaseConfig", () => {
    it("keeps both operators' changes and lists what both changed", () => {
        const base = createConfigDraft(1);
        const ours = createConfigDraft(5, { why: { "pools.engines": "desk" } });
        const theirs = createConfigDraft(1, { services: [], answers: { trade: "stone" } });
        expect(rebaseConfig(base, ours, theirs)).to.deep.equal({
            merged: { ...theirs, pools: ours.pools, why: ours.why },
            conflicts: [],
        });
        const clash = rebaseConfig(base, ours, createConfigDraft(9));
        expect(clash.conflicts.map(entry => entry.path)).to.deep.equal(["pools.engines.slotsPerTarget"]);
    });
});
