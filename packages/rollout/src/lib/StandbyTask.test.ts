/** Tests that copies survive their conductor and that parts of different texts are never joined. */

import { createSteadyClock } from "@tamarackpath/adapters";
import {
    asId,
    type HostId,
    JobBoard,
    type KeptWork,
    type PeerNetwork,
    type ProgressSnapshot,
    type StandbyCopy,
    type TaskId,
    type WeightVersion,
    type ZoneId,
} from "@tamarackpath/core";
import { expect } from "chai";
import { Right } from "purify-ts";
import { type JobBook } from "./JobBook.js";
import { silentJournal } from "./Journal.js";
import { StandbyTask } from "./StandbyTask.js";

interface Fixture {
    readonly keep: (copy: StandbyCopy) => Promise<unknown>;
    readonly task: StandbyTask;
    readonly passed: KeptWork[];
}

function standbyFixture(): Fixture {
    const handlers = new Map<string, (ask: unknown) => Promise<unknown>>();
    const passed: KeptWork[] = [];
    const peers = {
        handle: (name: string, handler: (ask: unknown) => Promise<unknown>) => handlers.set(name, handler),
        setAddress: () => undefined,
        ask: async (unused: HostId, name: string, ask: unknown) => {
            expect(name).to.equal("standby-work");
            passed.push(ask as KeptWork);
            return Right(Right({}));
        },
    } as unknown as PeerNetwork;
    const options = {
        zone: asId<ZoneId>("z"),
        followers: () => [],
        adopt: () => undefined,
        isConductor: () => false,
    };
    const board = new JobBoard(() => 1);
    const task = new StandbyTask(options, board, {} as JobBook, peers, createSteadyClock(), silentJournal);
    return { keep: copy => handlers.get("standby-keep")!(copy), task, passed };
}

function textFixture(textId: number, pieces: readonly string[], lastEventId: number): ProgressSnapshot {
    return { textId, pieces, versions: [1 as WeightVersion], lastEventId };
}

describe("StandbyTask", () => {
    const task = asId<TaskId>("t");
    const conductor = asId<HostId>("c");

    it("joins the parts of one text and passes all of it to a new conductor, once", async () => {
        const { keep, task: standby, passed } = standbyFixture();
        await keep({ results: [], texts: [{ task, from: 0, text: textFixture(5, ["a", "b"], 2) }] });
        await keep({ results: [], texts: [{ task, from: 2, text: textFixture(5, ["c"], 3) }] });
        await standby.passOn(conductor);
        await standby.passOn(conductor);
        expect(passed.map(({ texts }) => texts.map(({ text }) => text.pieces.join("")))).to.deep.equal([["abc"]]);
    });

    it("drops a part of another text, or one that leaves a gap, and takes a whole text in its place", async () => {
        const { keep, task: standby, passed } = standbyFixture();
        await keep({ results: [], texts: [{ task, from: 0, text: textFixture(5, ["a", "b"], 2) }] });
        await keep({ results: [], texts: [{ task, from: 2, text: textFixture(6, ["X"], 3) }] });
        await keep({ results: [], texts: [{ task, from: 4, text: textFixture(5, ["e"], 5) }] });
        await standby.passOn(conductor);
        expect(passed[0]!.texts[0]!.text.pieces).to.deep.equal(["a", "b"]);
        await keep({ results: [], texts: [{ task, from: 0, text: textFixture(5, ["a", "b"], 2) }] });
        await keep({ results: [], texts: [{ task, from: 0, text: textFixture(6, ["X"], 1) }] });
        await standby.passOn(conductor);
        expect(passed[1]!.texts[0]!.text).to.deep.include({ textId: 6, pieces: ["X"] });
    });
});
