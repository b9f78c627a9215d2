/** Tests that copies survive the loss of their conductor and that parts of different texts are never joined. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    after,
    asId,
    type HostId,
    type JobId,
    JobScheduler,
    type KeyRevision,
    type PeerNetwork,
    type Problem,
    type ProgressSnapshot,
    sleepUntil,
    type StandbyUpdate,
    type TaskId,
    type UnlistedResult,
    type UnstoredWork,
    type WeightVersion,
    type ZoneId,
} from "@tamarackpath/core";
import { expect } from "chai";
import { type Either, Left, Right } from "purify-ts";
import { type JobRegistry } from "./JobRegistry.js";
import { noopJournal } from "./Journal.js";
import { addScoringJob } from "./scoringFixtures.test.js";
import { StandbyTask } from "./StandbyTask.js";

const clock = createMonotonicClock();

interface Fixture {
    /** Sends a copy to the standby, and returns its answer. */
    readonly keep: (copy: StandbyUpdate, from?: HostId) => Promise<Either<Problem, { readonly needsAll?: boolean; }>>;
    readonly task: StandbyTask;
    readonly scheduler: JobScheduler;
    readonly passed: UnstoredWork[];
    readonly copies: StandbyUpdate[];
}

interface FixtureOptions {
    readonly unlisted?: readonly UnlistedResult[];
    /** How a peer answers; by default it acknowledges at once. */
    readonly answer?: () => Promise<unknown>;
}

function standbyFixture({ unlisted = [], answer = async () => Right(Right({})) }: FixtureOptions = {}): Fixture {
    const handlers = new Map<string, (ask: unknown, from: HostId) => ReturnType<Fixture["keep"]>>();
    const passed: UnstoredWork[] = [];
    const copies: StandbyUpdate[] = [];
    const peers = {
        handle: (name: string, handler: (ask: unknown, from: HostId) => ReturnType<Fixture["keep"]>) =>
            handlers.set(name, handler),
        setAddress: () => undefined,
        ask: async (unused: HostId, name: string, ask: unknown) => {
            (name === "standby-work" ? passed : copies).push(ask as UnstoredWork & StandbyUpdate);
            return await answer();
        },
    } as unknown as PeerNetwork;
    const options = {
        zone: asId<ZoneId>("z"),
        followers:
            () => [{ host: asId<HostId>("f"), zone: asId<ZoneId>("y"), hasCallers: false, reachesTargets: true }],
        adopt: () => undefined,
        isConductor: () => false,
        fence: () => 5 as KeyRevision,
    };
    const scheduler = new JobScheduler(() => 1);
    const registry = { unlisted } as unknown as JobRegistry;
    const task = new StandbyTask(options, scheduler, registry, peers, clock, noopJournal);
    const first = asId<HostId>("first");
    return { keep: (copy, from = first) => handlers.get("standby-keep")!(copy, from), task, scheduler, passed, copies };
}

function partFixture(): StandbyUpdate {
    return { isFirst: false, results: [], texts: [], settled: [] };
}

function resultFixture(): UnlistedResult {
    const task = asId<TaskId>("t");
    return {
        job: asId<JobId>("j"),
        result: { task, state: "completed", output: "abc", versions: [], score: undefined },
    };
}

function textFixture(textId: number, pieces: readonly string[], lastEventId: number): ProgressSnapshot {
    return { textId, pieces, versions: [1 as WeightVersion], lastEventId, isComplete: false };
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

    it("drops a part of another text or one that leaves a gap, and replaces the text when it receives a complete one", async () => {
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

    it("records that a text is complete, also when no events follow", async () => {
        const { keep, task: standby, passed } = standbyFixture();
        await keep({ ...partFixture(), texts: [{ task, from: 0, text: textFixture(5, ["a", "b"], 2) }] });
        const end = { ...textFixture(5, [], 2), isComplete: true };
        await keep({ ...partFixture(), texts: [{ task, from: 2, text: end }] });
        await standby.passOn(conductor);
        expect(passed[0]!.texts[0]!.text).to.deep.include({ pieces: ["a", "b"], isComplete: true });
    });

    it("copies a text that waits for its score whole, however short it is, and once", async () => {
        const { task: standby, scheduler, copies } = standbyFixture();
        const { progress } = addScoringJob(scheduler, [task])[0]!;
        standby.activate();
        expect(copies[0]!.texts).to.deep.equal([{ task, from: 0, text: progress.snapshot(0) }]);
        await sleepUntil(clock, after(clock.now(), 450));
        standby.deactivate();
        expect(copies).to.have.length(1);
    });

    it("keeps what a conductor did not acknowledge, for the next one", async () => {
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

    // The next four guard against copies that are lost or mixed up when a conductor or a standby starts anew.
    it("passes what it keeps to a new process of the same conductor, before that process' own copies replace it", async () => {
        const { keep, passed } = standbyFixture();
        await keep({ ...partFixture(), isFirst: true, fence: 5 as KeyRevision, results: [resultFixture()] });
        await keep({ ...partFixture(), isFirst: true, fence: 9 as KeyRevision });
        expect(passed.map(({ results }) => results.length)).to.deep.equal([1]);
    });

    it("refuses copies under an older claim, and passes nothing to their sender", async () => {
        const { keep, passed } = standbyFixture();
        await keep({ ...partFixture(), isFirst: true, fence: 9 as KeyRevision, results: [resultFixture()] });
        const late = await keep({ ...partFixture(), isFirst: true, fence: 5 as KeyRevision }, conductor);
        expect([late.isLeft(), passed.length]).to.deep.equal([true, 0]);
    });

    it("asks for everything when it has no earlier copies of its conductor, or no beginning of a text", async () => {
        const { keep } = standbyFixture();
        const fence = 5 as KeyRevision;
        const part = { task, from: 2, text: textFixture(5, ["c"], 3) };
        const needsAll = async (copy: StandbyUpdate): Promise<unknown> => (await keep(copy)).unsafeCoerce().needsAll;
        expect(await needsAll({ ...partFixture(), fence })).to.equal(true);
        expect(await needsAll({ ...partFixture(), fence, isFirst: true })).to.equal(false);
        expect(await needsAll({ ...partFixture(), fence })).to.equal(false);
        expect(await needsAll({ ...partFixture(), fence, texts: [part] })).to.equal(true);
    });

    it("sends everything again to a standby that asks for it", async () => {
        const { task: standby, copies } = standbyFixture({
            unlisted: [resultFixture()],
            answer: async () => Right(Right({ needsAll: copies.length === 1 })),
        });
        standby.activate();
        await passMs(1300);
        standby.deactivate();
        expect(copies.map(({ isFirst, results, fence }) => [isFirst, results.length, fence]))
            .to.deep.equal([[true, 1, 5], [true, 1, 5]]);
    });

    it("notifies standbys of results that need not be kept", async () => {
        const unlisted = [resultFixture()];
        const { task: standby, copies } = standbyFixture({ unlisted });
        standby.activate();
        unlisted.pop();
        await passMs(500);
        standby.deactivate();
        expect(copies.map(({ isFirst, settled }) => [isFirst, settled])).to.deep.equal([[true, []], [false, ["t"]]]);
    });

    it("sends a result once, and nothing while a copy is not acknowledged", async () => {
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
