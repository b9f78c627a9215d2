/** Tests of the runs at engines that the platform takes away: they go on elsewhere before their engine is gone. */

import { type TargetId } from "@tamarackpath/core";
import { expect } from "chai";
import {
    applyEngineConfig,
    engineEntryFixture,
    type EngineRun,
    type JobRunnerFixture,
    jobRunnerFixture,
    scalingFixture,
} from "./jobRunnerFixtures.test.js";
import { createSteppingClock, type SteppingClock } from "./steppingClock.test.js";

/** Three tasks at "a" with 10 events each, and 90, 10 and 50 left; "b" is listed once they run. */
async function runsAt(clock: SteppingClock, slotsOfB: number): Promise<JobRunnerFixture> {
    const fixture = jobRunnerFixture(clock, [engineEntryFixture("a", 4)], 3, [100, 20, 60]);
    applyEngineConfig(fixture.view, 2, scalingFixture);
    fixture.runner.activate();
    await clock.advance(10);
    fixture.view.applyTargets([engineEntryFixture("a", 4), engineEntryFixture("b", slotsOfB)], 0);
    for (let nth = 0; nth < 10; nth++) {
        await clock.advance(40);
        fixture.runs.forEach(run => run.send(1));
    }
    return fixture;
}

function announceLeave({ view }: JobRunnerFixture, slotsOfB: number): void {
    view.applyTargets([engineEntryFixture("a", 4, { leaving: true }), engineEntryFixture("b", slotsOfB)], 0);
}

function at(target: string, runs: readonly EngineRun[]): readonly EngineRun[] {
    return runs.filter(run => run.target === (target as TargetId));
}

describe("runs at an engine that leaves", () => {
    // Guards against texts that stop for half a second or more when the engine is gone 2.4 s after its notice.
    it("move at once, after their last event, as far as other engines have room", async () => {
        const clock = createSteppingClock(0.01);
        const fixture = await runsAt(clock, 4);
        announceLeave(fixture, 4);
        await clock.advance(400);
        const moved = at("b", fixture.runs);
        expect(moved.map(({ task }) => String(task)).sort()).to.deep.equal(["t0", "t2"]);
        expect(moved.map(({ afterEvent }) => afterEvent)).to.deep.equal([10, 10]);
        fixture.runner.deactivate();
    });

    it("move in the order of the work that they have left, and stay while there is no room", async () => {
        const clock = createSteppingClock(0.01);
        const fixture = await runsAt(clock, 1);
        announceLeave(fixture, 1);
        await clock.advance(400);
        expect(at("b", fixture.runs).map(({ task }) => String(task))).to.deep.equal(["t0"]);
        at("b", fixture.runs)[0]!.end({ kind: "completed" });
        await clock.advance(400);
        expect(at("b", fixture.runs).map(({ task }) => String(task))).to.deep.equal(["t0", "t2"]);
        fixture.runner.deactivate();
    });

    it("stay where engines are not ordered: such engines leave once their runs have ended", async () => {
        const clock = createSteppingClock(0.01);
        const fixture = await runsAt(clock, 4);
        applyEngineConfig(fixture.view, 3);
        announceLeave(fixture, 4);
        await clock.advance(400);
        expect(at("b", fixture.runs)).to.deep.equal([]);
        fixture.runner.deactivate();
    });

    it("get no further tasks beside them", async () => {
        const clock = createSteppingClock(0.01);
        const fixture = await runsAt(clock, 4);
        announceLeave(fixture, 4);
        const before = at("a", fixture.runs).length;
        fixture.runs[1]!.end({ kind: "fault", detail: "broken" });
        await clock.advance(600);
        expect(at("a", fixture.runs).length).to.equal(before);
        fixture.runner.deactivate();
    });
});
