import { expect } from "chai";
import { type TargetId, type WeightVersion } from "../ids.js";
import { type Cursor, firstCursor } from "./Cursor.js";
import { createSample, createSpec } from "./deliveryFixtures.test.js";
import { findStepDifferences, fingerprint, type Sample } from "./StepSpec.js";
import { type PullOutcome, StepState } from "./StepState.js";

const v1 = 1 as WeightVersion;
const noLimit = 10_000;

function createState(groups: number, perGroup: number, owner = "leon-1.1"): StepState {
    return new StepState(createSpec(groups, perGroup), owner);
}

/** Finishes every waiting sample under `version`. */
function produce(state: StepState, version = 1): readonly Sample[] {
    const samples = state.start(noLimit).map(start => createSample(start, version));
    samples.forEach(sample => state.finish(sample.attempt as never, sample, true));
    return samples;
}

function pullBatch(
    state: StepState,
    cursor: Cursor,
    limit = noLimit,
    version = 1,
): Extract<PullOutcome, { kind: "batch"; }> {
    const outcome = state.pull(cursor, version as WeightVersion, limit);
    expect(outcome.kind).to.equal("batch");
    return outcome as Extract<PullOutcome, { kind: "batch"; }>;
}

describe("StepState", () => {
    it("repeats a batch unchanged until its cursor is presented", () => {
        const state = createState(2, 2);
        const starts = state.start(noLimit);
        state.finish(starts[0]!.attempt, createSample(starts[0]!, 1), true);
        const first = pullBatch(state, firstCursor(4));
        state.finish(starts[1]!.attempt, createSample(starts[1]!, 1), true);
        expect(pullBatch(state, firstCursor(4))).to.deep.equal(first);
        const second = pullBatch(state, first.cursor);
        expect(second.samples.map(sample => sample.index)).to.deep.equal([1]);
    });

    it("drops an outstanding batch that a published version makes too old", () => {
        const state = createState(1, 2);
        produce(state);
        pullBatch(state, firstCursor(2));
        expect(state.pull(firstCursor(2), 3 as WeightVersion, noLimit)).to.deep.equal({ kind: "empty", done: false });
        expect(state.counts()).to.include({ waiting: 2, discardedTooOld: 2 });
    });

    it("rejects a superseded cursor and keeps the outstanding batch", () => {
        const state = createState(2, 2);
        produce(state);
        const first = pullBatch(state, firstCursor(4), 1);
        const second = pullBatch(state, first.cursor, 1);
        expect(state.pull(firstCursor(4), v1, noLimit).kind).to.equal("superseded");
        expect(pullBatch(state, first.cursor)).to.deep.equal(second);
    });

    it("takes a higher epoch than the former owner and continues from the cursor alone", () => {
        const former = createState(2, 2);
        produce(former);
        const { cursor } = pullBatch(former, firstCursor(4), 3);
        const successor = createState(2, 2, "leon-2.1");
        expect(successor.pull(cursor, v1, noLimit).kind).to.equal("empty");
        expect(successor.epoch.number).to.equal(2);
        produce(successor);
        const last = pullBatch(successor, cursor);
        expect(last.samples.map(sample => sample.index)).to.deep.equal([3]);
        expect(last.done).to.equal(true);
    });

    it("returns running attempts as obsolete after another owner delivered their samples", () => {
        const former = createState(1, 2);
        produce(former);
        const successor = createState(1, 2, "leon-2.1");
        const starts = successor.start(noLimit);
        const { cursor } = pullBatch(former, firstCursor(2));
        expect(successor.pull(cursor, v1, noLimit)).to.deep.equal({ kind: "empty", done: true });
        expect(successor.takeObsoleteAttempts()).to.deep.equal(starts.map(start => start.attempt));
        const late = createSample(starts[0]!, 1);
        expect(successor.finish(starts[0]!.attempt, late, true)).to.equal("late");
    });

    it("generates a sample again when its versions are missing, descending, or do not cover it", () => {
        const state = createState(1, 1);
        const [unknown] = state.start(1);
        expect(state.finish(unknown!.attempt, createSample(unknown!, 1), false)).to.equal("versions-unknown");
        const [descending] = state.start(1);
        expect(state.finish(descending!.attempt, createSample(descending!, 2, 1), true)).to.equal("versions-unknown");
        const [short] = state.start(1);
        const uncovered = { ...createSample(short!, 1, 2), tokens: 5 };
        expect(state.finish(short!.attempt, uncovered, true)).to.equal("versions-unknown");
        expect(state.counts()).to.include({ waiting: 1, ready: 0, discardedVersionsUnknown: 3 });
    });

    it("drops the result of an attempt that was recorded as failed", () => {
        const state = createState(1, 1);
        const [failed] = state.start(1);
        state.fail(failed!.attempt, 0, "engine-1" as TargetId);
        const [again] = state.start(1);
        expect(again!.failedTargets).to.deep.equal(["engine-1"]);
        expect(state.finish(failed!.attempt, createSample(failed!, 1), true)).to.equal("late");
        expect(state.finish(again!.attempt, createSample(again!, 1), true)).to.equal("kept");
    });

    it("delivers complete groups before parts of other groups", () => {
        const state = createState(2, 2);
        const starts = state.start(noLimit);
        [0, 3, 2].forEach(nth => state.finish(starts[nth]!.attempt, createSample(starts[nth]!, 1), true));
        const { samples } = pullBatch(state, firstCursor(4), 2);
        expect(samples.map(sample => sample.group)).to.deep.equal(["g1", "g1"]);
    });

    it("hands finished and running attempts to a successor, whose own attempts continue", () => {
        const former = createState(1, 3);
        const starts = former.start(noLimit);
        former.finish(starts[0]!.attempt, createSample(starts[0]!, 1), true);
        const successor = createState(1, 3, "leon-2.1");
        const [own] = successor.start(1);
        expect(successor.acceptHandedOver(former.readySamples()[0]!), "own attempt runs").to.equal("late");
        expect(successor.finish(own!.attempt, createSample(own!, 1), true)).to.equal("kept");
        former.runningAttempts().forEach(running => successor.awaitAttempt(running));
        expect(successor.start(noLimit)).to.deep.equal([]);
        expect(successor.acceptHandedOver(createSample(starts[1]!, 1))).to.equal("kept");
        successor.fail(starts[2]!.attempt, 2);
        expect(successor.start(noLimit).map(start => start.plan.index)).to.deep.equal([2]);
    });

    it("hands a tightened bound to a successor and never raises it", () => {
        const former = createState(1, 1);
        former.tightenBound(0);
        former.tightenBound(2);
        const successor = new StepState(former.effectiveSpec, "leon-2.1");
        const [start] = successor.start(1);
        successor.recordVersion(2 as WeightVersion);
        expect(successor.finish(start!.attempt, createSample(start!, 1), true)).to.equal("too-old");
    });

    it("lists the fields in which two submissions differ, without the staleness bound", () => {
        const spec = createSpec(2, 2);
        const changed = { ...spec, groups: [spec.groups[0]!, { ...spec.groups[1]!, seed: 5 }] };
        expect(findStepDifferences(spec, changed).map(finding => finding.place)).to.deep.equal(["groups.1.seed"]);
        expect(fingerprint(changed)).not.to.equal(fingerprint(spec));
        expect(fingerprint({ ...spec, stalenessBound: 0 })).to.equal(fingerprint(spec));
    });
});
