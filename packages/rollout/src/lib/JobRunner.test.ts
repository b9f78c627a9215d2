/** Tests of how a conductor starts the runs of tasks. */

import { after } from "@tamarackpath/core";
import { expect } from "chai";
import { type EngineRun, jobRunnerFixture } from "./jobRunnerFixtures.test.js";
import { createSteppingClock, type SteppingClock } from "./steppingClock.test.js";

/** Advances the time until an engine has got `count` runs. */
async function untilRuns(clock: SteppingClock, runs: readonly EngineRun[], count: number): Promise<void> {
    for (let nth = 0; nth < 40 && runs.length < count; nth++) {
        await clock.advance(20);
    }
    expect(runs.length).to.equal(count);
}

async function settled(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
}

describe("JobRunner", () => {
    // Guards against a text without its beginning, from an answer to an earlier run of the same task.
    it("takes only the event that comes next, logs any other one, and runs the task anew", async () => {
        const clock = createSteppingClock(0.01);
        const { runner, runs, results, rejected, scheduler } = jobRunnerFixture(clock, ["a", "b"], 1);
        runner.activate();
        expect(runs[0]!.sendEvent(5)).to.equal(false);
        runs[0]!.end({ kind: "fault", detail: "rejected" });
        await untilRuns(clock, runs, 2);
        expect(runs[1]!.afterEvent).to.equal(undefined);
        runs[1]!.send(2);
        expect(scheduler.texts[0]!.progress.eventCount).to.equal(2);
        expect(runs[1]!.sendEvent(2)).to.equal(false);
        runs[1]!.end({ kind: "fault", detail: "rejected" });
        await untilRuns(clock, runs, 3);
        expect(rejected).to.deep.equal([[1, 5], [3, 2]]);
        expect(results).to.deep.equal([]);
        runner.deactivate();
    });

    it("does not take a run from the start without events for a whole text", async () => {
        const clock = createSteppingClock(0.01);
        const { runner, runs, results } = jobRunnerFixture(clock, ["a", "b"], 1);
        runner.activate();
        runs[0]!.end({ kind: "completed" });
        await untilRuns(clock, runs, 2);
        expect(results).to.deep.equal([]);
        runner.deactivate();
    });

    it("starts a delayed task although its delay ends while the delay is checked", async () => {
        const stepMs = 0.25;
        for (let earlyMs = 0; earlyMs <= 4; earlyMs += stepMs) {
            const clock: SteppingClock = createSteppingClock(stepMs);
            const { runner, runs } = jobRunnerFixture(clock, ["a"], 1);
            runner.activate();
            runs[0]!.end({ kind: "refused", status: 503 });
            await settled();
            // Without the timers of the periodic checks, a task whose delay has ended starts within some of them.
            for (let nth = 0; nth < 40 && runs.length < 2; nth++) {
                clock.runNextTimer(earlyMs);
                await settled();
            }
            expect(runs.length, `timers ${earlyMs} ms early`).to.equal(2);
            runner.deactivate();
        }
    });

    // Guards against a task that runs although its job ended in the store some seconds before.
    it("starts no task while ends of jobs in the store may be unknown, and goes on once they are known", async () => {
        const clock = createSteppingClock(0.01);
        const { runner, runs, setSendDeadline } = jobRunnerFixture(clock, ["a", "b"], 2);
        setSendDeadline(undefined);
        runner.activate();
        await clock.advance(500);
        expect(runs.length).to.equal(0);
        setSendDeadline(clock.now());
        await clock.advance(500);
        expect(runs.length).to.equal(0);
        const deadline = after(clock.now(), 1000);
        setSendDeadline(deadline);
        await untilRuns(clock, runs, 2);
        expect(runs.map(run => run.sendDeadline)).to.deep.equal([deadline, deadline]);
        runner.deactivate();
    });

    // Guards against a late process that starts nothing in an outage of the store, which lifts the hold without an event.
    it("starts tasks that were held back also when its own checks are late", async () => {
        const clock = createSteppingClock(0.01);
        const { runner, runs, setSendDeadline } = jobRunnerFixture(clock, ["a"], 1);
        setSendDeadline(undefined);
        runner.activate();
        await settled();
        expect(runs.length).to.equal(0);
        setSendDeadline(after(clock.now(), 60_000), true);
        for (let nth = 0; nth < 6; nth++) {
            clock.pass(1000);
            clock.runNextTimer(-1000);
            await settled();
        }
        expect(runs.length).to.equal(1);
        runner.deactivate();
    });

    // Guards against a task that is lost, or an engine that rests, because the request was not sent in time.
    it("runs a task that was not sent in time once more, also at the same engine", async () => {
        const clock = createSteppingClock(0.01);
        const { runner, runs } = jobRunnerFixture(clock, ["a"], 1);
        runner.activate();
        runs[0]!.end({ kind: "not-sent" });
        await untilRuns(clock, runs, 2);
        runner.deactivate();
    });

    // Guards against moves of all runs by a process that was late itself and had not read their events yet.
    it("moves no run as silent when its own checks were late", async () => {
        const clock = createSteppingClock(0.01);
        const { runner, runs } = jobRunnerFixture(clock, ["a", "b"], 1);
        runner.activate();
        runs[0]!.send(1);
        clock.pass(1400);
        clock.runNextTimer(-1400);
        clock.runNextTimer(-1400);
        clock.runNextTimer(-1400);
        await settled();
        runs[0]!.send(1);
        await clock.advance(300);
        expect(runs.length).to.equal(1);
        runner.deactivate();
    });
});
