/** Tests that a job that has ended stays ended when it is submitted again, by the hosts of this build and of the one before. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import { after, asId, type HostId, type JobId } from "@tamarackpath/core";
import { expect } from "chai";
import {
    engineService,
    type Fleet,
    fleetJobFixture,
    FleetStore,
    startFleet,
    targetFixture,
} from "./rolloutFleetFixtures.test.js";

const clock = createMonotonicClock();

/** Milliseconds within which tasks of an open job reach an engine. */
const placementMs = 600;

const id = asId<JobId>("job");

function startJobFleet(store: FleetStore): Promise<Fleet> {
    return startFleet(clock, {
        hosts: 2,
        targets: [targetFixture("a", engineService)],
        behaviour: () => ({ ms: 300, rateLimit: { kind: "none" } }),
        store,
    });
}

/** Submits a job through a first fleet and ends it, and returns a second one whose hosts know nothing of it. */
async function fleetAfterEnd(): Promise<Fleet> {
    const store = new FleetStore(clock);
    const first = await startJobFleet(store);
    expect(await first.submit(fleetJobFixture("job", 12))).to.equal("kept");
    await first.pause(100);
    expect((await first.hosts[0]!.jobCalls.end(id)).isRight()).to.equal(true);
    first.stop();
    return startJobFleet(store);
}

describe("A job that has ended and is submitted again", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    // Guards against items of an ended job that run after a change of the conductor.
    it("is accepted and runs nothing after a change of the conductor", async () => {
        fleet = await fleetAfterEnd();
        expect(await fleet.submit(fleetJobFixture("job", 12))).to.equal("ended");
        await fleet.pause(placementMs);
        expect(fleet.arrivals.filter(({ path }) => path === "run")).to.deep.equal([]);
        const page = (await fleet.hosts[0]!.jobCalls.read(id, 0, 0)).unsafeCoerce();
        expect(page).to.include({ total: 12 });
    });

    it("is accepted and runs nothing when a host of the build before asks the conductor", async () => {
        fleet = await fleetAfterEnd();
        const conductor = asId<HostId>(fleet.conductor()!.conductor.conductor!);
        const ask = { job: fleetJobFixture("job", 12), deadlineMs: 1000 };
        const res = await fleet.askPeer(conductor, "job-submit", ask, after(clock.now(), 1000));
        expect(res.unsafeCoerce().unsafeCoerce()).to.deep.equal({ outcome: "kept" });
        await fleet.pause(placementMs);
        expect(fleet.arrivals.filter(({ path }) => path === "run")).to.deep.equal([]);
    });

    it("is not handed to a conductor of the build before, which would run it", async () => {
        fleet = await fleetAfterEnd();
        fleet.setUnhandled("job-keep");
        const follower = fleet.hosts.find(host => host !== fleet.conductor())!;
        const again = await follower.jobCalls.submit(fleetJobFixture("job", 12), after(clock.now(), 2000));
        expect(again.outcome).to.equal("ended");
        const other = await follower.jobCalls.submit(fleetJobFixture("other", 1), after(clock.now(), 2000));
        expect(other.outcome).to.equal("kept");
        await fleet.pause(placementMs);
        const runs = fleet.arrivals.filter(({ path }) => path === "run").map(each => each.id);
        expect(runs.filter(task => task.startsWith("job-"))).to.deep.equal([]);
    });
});
