/** Tests that a host with an outdated claim does not stop the conductor, whose claim and work go together. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import { after, asId, type HostId, type KeyRevision } from "@tamarackpath/core";
import { expect } from "chai";
import { engineService, type Fleet, fleetJobFixture, startFleet, targetFixture } from "./rolloutFleetFixtures.test.js";

const clock = createMonotonicClock();

describe("A takeover under an outdated claim", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    // Guards against accepted steps that run nowhere, because the holder of the claim stopped its work.
    it("is refused, and the conductor goes on with its jobs", async () => {
        fleet = await startFleet(clock, {
            hosts: 2,
            targets: ["a", "b"].map(name => targetFixture(name, engineService)),
            behaviour: () => ({ ms: 200, rateLimit: { kind: "none" } }),
        });
        const conductor = fleet.conductor()!;
        const host = asId<HostId>(conductor.conductor.conductor!);
        const { fence } = conductor.conductor.term.currentClaim!;
        await fleet.submit(fleetJobFixture("before", 4));
        const deadline = after(clock.now(), 500);
        const res = await fleet.askPeer(host, "conductor-yield", { fence: fence - 1 as KeyRevision }, deadline);
        expect(res.unsafeCoerce().isLeft()).to.equal(true);
        await fleet.submit(fleetJobFixture("after", 4));
        await fleet.pause(1500);
        const { arrivals } = fleet;
        const run = new Set(arrivals.filter(({ path }) => path === "run").map(({ id }) => id.split("-")[0]));
        expect([...run]).to.deep.equal(["before", "after"]);
        expect(conductor.conductor.isSure).to.equal(true);
    });
});
