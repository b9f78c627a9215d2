/** Steps about the decisions of owners and of the trainer. */

import { FreshnessEstimator, type Instant, minStartVersion, type WeightVersion } from "@tamarackpath/core";
import { expect } from "chai";
import { type OwnershipWorld, sampleOf } from "../OwnershipWorld.js";
import { type StepTable } from "../StepTable.js";

const minuteMs = 60_000;

export const ownershipSteps: StepTable<OwnershipWorld> = {
    "{word} owns a step of {int} samples": (world, [owner, samples]) => world.own(owner!, Number(samples)),
    "{word} finishes {int} samples under version {int}": (world, [owner, count, version]) =>
        world.produce(owner!, Number(count), Number(version)),
    "{word} gives an attempt up": (world, [owner]) => {
        const ledger = world.ledger(owner!);
        const [start] = ledger.start(1);
        ledger.fail(start!.attempt, start!.plan.index);
        world.givenUp.push({ owner: owner!, start: start! });
    },
    "the answer of that attempt is late at {word}": (world, [owner]) => {
        const { start } = world.givenUp.at(-1)!;
        expect(world.ledger(owner!).finish(start.attempt, sampleOf(start, world.version), true)).to.equal("late");
    },
    "the trainer pulls {int} samples from {word}": (world, [limit, owner]) => world.pull(owner!, Number(limit)),
    "answer {int} arrives": (world, [nth]) => world.arrive(Number(nth)),
    "answer {int} equals answer {int}": (world, [a, b]) => {
        expect(world.underWay[Number(a) - 1]).to.deep.equal(world.underWay[Number(b) - 1]);
    },
    "the trainer is at version {int}": (world, [version]) => {
        world.version = Number(version);
    },
    "{word} loses its state": (world, [owner]) => world.own(owner!, world.ledger(owner!).sampleCount),
    "{word} must yield to {word}": (world, [owner, other]) => {
        expect(world.mustYield(owner!, other!)).to.equal(true);
        expect(world.mustYield(other!, owner!)).to.equal(false);
    },
    "the trainer holds {int} samples": (world, [count]) => {
        expect(world.held.length).to.equal(Number(count));
    },
    "the trainer holds every sample exactly once": world => {
        expect(world.isWhole()).to.equal(true);
    },
    "{int} answers are under way": (world, [count]) => {
        expect(world.underWay.length).to.equal(Number(count));
    },
    "samples of {int} minutes, versions every {int} minutes and a bound of {int} ask for at least version {int} of {int}":
        (unusedWorld, [sampleMinutes, everyMinutes, bound, lowest, current]) => {
            const forecast = new FreshnessEstimator();
            const every = Number(everyMinutes) * minuteMs;
            const version = Number(current) as WeightVersion;
            forecast.recordVersion(version - 1 as WeightVersion, 0 as Instant);
            forecast.recordVersion(version, every as Instant);
            forecast.recordDuration(Number(sampleMinutes) * minuteMs);
            const atEnd = forecast.estimateVersionAtEnd(version, every as Instant) - Number(bound);
            const freshNow = version - Number(bound);
            const offered = [freshNow, version] as WeightVersion[];
            const chosen = minStartVersion(freshNow as WeightVersion, atEnd as WeightVersion, offered);
            expect(chosen).to.equal(Number(lowest));
        },
};
