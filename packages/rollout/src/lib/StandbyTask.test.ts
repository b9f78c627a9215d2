/** Tests that copies survive their conductor and that parts of different texts are never joined. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    asId,
    type HostId,
    type JobId,
    JobScheduler,
    type PeerNetwork,
    type ProgressSnapshot,
    type StandbyUpdate,
    type TaskId,
    type UnlistedResult,
    type UnstoredWork,
    type WeightVersion,
    type ZoneId,
} from "@tamarackpath/core";
import { expect } from "chai";
import { Left, Right } from "purify-ts";
import { type JobBook } from "./JobBook.js";
import { silentJournal } from "./Journal.js";
import { StandbyTask } from "./StandbyTask.js";

interface Fixture {
    readonly keep: (copy: StandbyUpdate, from?: HostId) => Promise<unknown>;
    readonly task: StandbyTask;
    readonly passed: UnstoredWork[];
    readonly copies: StandbyUpdate[];
}

interface FixtureOptions {
    readonly unlisted?: readonly UnlistedResult[];
    /** How a peer answers; by default at once, with what was asked taken. */
    readonly answer?: () => Promise<unknown>;
}

function standbyFixture({ unlisted = [], answer = async () => Right(Right({})) }: FixtureOptions = {}): Fixture {
    const handlers = new Map<string, (ask: unknown, from: HostId) => Promise<unknown>>();
    const passed: UnstoredWork[] = [];
    const copies: StandbyUpdate[] = [];
    const peers = {
        handle: (name: string, handler: (ask: unknown, from: HostId) => Promise<unknown>) =>
            handlers.set(name, handler),
        setAddress: () => undefined,
        ask: async (unused: HostId, name: string, ask: unknown) => {
            (name === "standby-work" ? passed : copies).push(ask as UnstoredWork & StandbyUpdate);
            return await answer();
        },
    } as unknown as PeerNetwork;
    const options = {
        zone: asId<ZoneId>("z"),
        followers: () => [{ host: asId<HostId>("f"), zone: asId<ZoneId>("y"), hasCallers: false }],
        adopt: () => undefined,
        isConductor: () => false,
    };
    const board = new JobScheduler(() => 1);
    const book = { unlisted } as unknown as JobBook;
    const task = new StandbyTask(options, board, book, peers, createMonotonicClock(), silentJournal);
    const first = asId<HostId>("first");
    return { keep: (copy, from = first) => handlers.get("standby-keep")!(copy, from), task, passed, copies };
}

function partFixture(): StandbyUpdate {
    return { isFirst: false, results: [], texts: [], settled: [] };
}

function resultFixture(): UnlistedResult {
    const task = asId<TaskId>("t");
    return { job: asId<JobId>("j"), result: { task, state: "completed", output: "abc", versions: [] } };
}

function textFixture(textId: number, pieces: readonly string[], lastEventId: number): ProgressSnapshot {
    return { textId, pieces, versions: [1 as WeightVersion], lastEventId };
}

describe("StandbyTask", () => {
    const task = asId<TaskId>("t");
    const conductor = asId<HostId>("c");

    it("joins the parts of one text and passes all of it to a new conductor, once", async () => {
        const { keep, task: standby, passed } = standbyFixture();
        await keep({ ...partFixture(), texts: [{ task, from: 0, text: textFixture(5, ["a", "b"], 2) }] });
        await keep({ ...partFixture(), texts: [{ task, from: 2, text: textFixture(5, ["c"], 3) }] });
        await standby.passOn(conductor);
        await standby.passOn(conductor);
        expect(passed.map(({ texts }) => texts.map(({ text }) => text.pieces.join("")))).to.deep.equal([["abc"]]);
    });

    it("drops a part of another text, or one that leaves a gap, and takes a whole text in its place", async () => {
        const { keep, task: standby, passed } = standbyFixture();
        await keep({ ...partFixture(), texts: [{ task, from: 0, text: textFixture(5, ["a", "b"], 2) }] });
        await keep({ ...partFixture(), texts: [{ task, from: 2, text: textFixture(6, ["X"], 3) }] });
        await keep({ ...partFixture(), texts: [{ task, from: 4, text: textFixture(5, ["e"], 5) }] });
        await standby.passOn(conductor);
        expect(passed[0]!.texts[0]!.text.pieces).to.deep.equal(["a", "b"]);
        await keep({ ...partFixture(), texts: [{ task, from: 0, text: textFixture(5, ["a", "b"], 2) }] });
        await keep({ ...partFixture(), texts: [{ task, from: 0, text: textFixture(6, ["X"], 1) }] });
        await standby.passOn(conductor);
        expect(passed[1]!.texts[0]!.text).to.deep.include({ textId: 6, pieces: ["X"] });
    });

    it("keeps what a conductor did not take, for the next one", async () => {
        const answers = [Left({ reason: "no-answer", detail: "cut off" }), Right(Right({}))];
        const { keep, task: standby, passed } = standbyFixture({ answer: async () => answers.shift() });
        await keep({
            ...partFixture(),
            results: [resultFixture()],
            texts: [{ task, from: 0, text: textFixture(5, ["a"], 1) }],
        });
        await standby.passOn(conductor);
        await standby.passOn(asId<HostId>("d"));
        expect(passed.map(({ results, texts }) => [results.length, texts.length])).to.deep.equal([[1, 1], [1, 1]]);
    });

    it("drops what is settled, and all of an earlier conductor's at the first copy of another", async () => {
        const { keep, task: standby, passed } = standbyFixture();
        const text = { task, from: 0, text: textFixture(5, ["a"], 1) };
        await keep({ ...partFixture(), results: [resultFixture()], texts: [text] });
        await keep({ ...partFixture(), settled: [task] });
        await standby.passOn(conductor);
        await keep({ ...partFixture(), results: [resultFixture()], texts: [text] });
        await keep({ ...partFixture(), isFirst: true, texts: [{ ...text, task: asId<TaskId>("u") }] });
        await standby.passOn(conductor);
        expect(passed.map(({ results, texts }) => [results.length, texts.map(kept => kept.task)]))
            .to.deep.equal([[0, ["u"]]]);
    });

    it("passes an earlier conductor's work to the host whose copy comes next", async () => {
        const { keep, passed } = standbyFixture();
        await keep({ ...partFixture(), results: [resultFixture()] });
        await keep({ ...partFixture(), isFirst: true }, conductor);
        expect(passed.map(({ results }) => results.length)).to.deep.equal([1]);
    });

    it("tells standbys which results need not be kept any more", async () => {
        const unlisted = [resultFixture()];
        const { task: standby, copies } = standbyFixture({ unlisted });
        standby.activate();
        unlisted.pop();
        await passMs(500);
        standby.deactivate();
        expect(copies.map(({ isFirst, settled }) => [isFirst, settled])).to.deep.equal([[true, []], [false, ["t"]]]);
    });

    it("sends a result once, and nothing more while a copy is on its way", async () => {
        const unlisted = [resultFixture()];
        let release: (answer: unknown) => void = () => undefined;
        const { task: standby, copies } = standbyFixture({
            unlisted,
            answer: () => new Promise(resolve => release = resolve),
        });
        standby.activate();
        unlisted.push({ ...resultFixture(), job: asId<JobId>("k") });
        await passMs(900);
        expect(copies.map(({ results }) => results.map(({ job }) => job))).to.deep.equal([["j"]]);
        release(Right(Right({})));
        await passMs(500);
        standby.deactivate();
        expect(copies.map(({ results }) => results.map(({ job }) => job))).to.deep.equal([["j"], ["k"]]);
    });
});

function passMs(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
