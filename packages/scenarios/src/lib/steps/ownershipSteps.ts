/** Steps about the decisions of owners and of the trainer. */

import { FreshnessEstimator, type Instant, minStartVersion, type WeightVersion } from "@tamarackpath/core";
import { expect } from "chai";
import { type OwnershipFixture, sampleOf } from "../OwnershipFixture.js";
import { type StepTable } from "../StepTable.js";

const minuteMs = 60_000;

export const ownershipSteps: StepTable<OwnershipFixture> = {
    "{word} owns a step of {int} samples": (fixture, [owner, samples]) => fixture.own(owner!, Number(samples)),
    "{word} finishes {int} samples under version {int}": (fixture, [owner, count, version]) =>
        fixture.finishSamples(owner!, Number(count), Number(version)),
    "{word} abandons an attempt": (fixture, [owner]) => {
        const state = fixture.stateOf(owner!);
        const [start] = state.start(1);
        state.fail(start!.attempt, start!.plan.index);
        fixture.abandonedAttempts.push({ owner: owner!, start: start! });
    },
    "the answer of that attempt is late at {word}": (fixture, [owner]) => {
        const { start } = fixture.abandonedAttempts.at(-1)!;
        expect(fixture.stateOf(owner!).finish(start.attempt, sampleOf(start, fixture.version), true)).to.equal("late");
    },
    "the trainer pulls {int} samples from {word}": (fixture, [limit, owner]) => fixture.pull(owner!, Number(limit)),
    "answer {int} arrives": (fixture, [nth]) => fixture.receiveAnswer(Number(nth)),
    "answer {int} equals answer {int}": (fixture, [a, b]) => {
        expect(fixture.inFlightAnswers[Number(a) - 1]).to.deep.equal(fixture.inFlightAnswers[Number(b) - 1]);
    },
    "the trainer is at version {int}": (fixture, [version]) => {
        fixture.version = Number(version);
    },
    "{word} loses its state": (fixture, [owner]) => fixture.own(owner!, fixture.stateOf(owner!).sampleCount),
    "{word} must yield to {word}": (fixture, [owner, other]) => {
        expect(fixture.mustYield(owner!, other!)).to.equal(true);
        expect(fixture.mustYield(other!, owner!)).to.equal(false);
    },
    "the trainer has received {int} samples": (fixture, [count]) => {
        expect(fixture.held.length).to.equal(Number(count));
    },
    "the trainer has received every sample exactly once": fixture => {
        expect(fixture.isWhole()).to.equal(true);
    },
    "{int} answers are in flight": (fixture, [count]) => {
        expect(fixture.inFlightAnswers.length).to.equal(Number(count));
    },
    "samples of {int} minutes, versions every {int} minutes and a bound of {int} require at least version {int} of {int}":
        (unusedFixture, [sampleMinutes, intervalMinutes, bound, lowest, current]) => {
            const estimator = new FreshnessEstimator();
            const intervalMs = Number(intervalMinutes) * minuteMs;
            const version = Number(current) as WeightVersion;
            estimator.recordVersion(version - 1 as WeightVersion, 0 as Instant);
            estimator.recordVersion(version, intervalMs as Instant);
            estimator.recordDuration(Number(sampleMinutes) * minuteMs);
            const atEnd = estimator.estimateVersionAtEnd(version, intervalMs as Instant) - Number(bound);
            const freshNow = version - Number(bound);
            const offered = [freshNow, version] as WeightVersion[];
            const chosen = minStartVersion(freshNow as WeightVersion, atEnd as WeightVersion, offered);
            expect(chosen).to.equal(Number(lowest));
        },
};
