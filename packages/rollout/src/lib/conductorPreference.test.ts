/** Tests that a host with callers does not go on conducting when hosts without callers are there. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import { expect } from "chai";
import { engineService, type Fleet, fleetJobFixture, startFleet, targetFixture } from "./rolloutFleetFixtures.test.js";

const clock = createMonotonicClock();

describe("A conductor with callers", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    // Guards against a day on which the smallest host runs all jobs, because it was the first to start.
    it("leaves the claim and its jobs to a host without callers that started later", async function() {
        this.timeout(20_000);
        fleet = await startFleet(clock, {
            hosts: 3,
            lateHostsWithoutCallers: 1,
            targets: [targetFixture("engine", engineService)],
            behaviour: () => ({ ms: 400, rateLimit: { kind: "none" } }),
        });
        const [first, , late] = fleet.hosts;
        expect(fleet.conductor()).to.not.equal(late);
        await fleet.pause(3500);
        const job = fleetJobFixture("j", 40);
        expect(await fleet.submit(job)).to.equal("kept");
        for (let nth = 0; nth < 100 && fleet.conductor() !== late; nth++) {
            await fleet.pause(50);
        }
        expect(fleet.conductor(), "conductor").to.equal(late);
        await fleet.pause(4000);
        const page = (await first!.jobCalls.read(job.id, 0, 0)).unsafeCoerce();
        expect("results" in page ? page.results.filter(({ state }) => state === "completed").length : 0).to.equal(40);
        expect(fleet.lines.filter(({ event }) => event === "conductor-handed-over").length).to.equal(1);
    });
});
