/** Tests of how a conductor starts the runs of tasks. */

import { expect } from "chai";
import { jobRunnerFixture } from "./jobRunnerFixtures.test.js";
import { createSteppingClock, type SteppingClock } from "./steppingClock.test.js";

async function settled(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
}

describe("JobRunner", () => {
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
});
