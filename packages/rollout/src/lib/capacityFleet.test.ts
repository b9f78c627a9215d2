/** Tests of the orders of engines by whole hosts: one of them orders, by the steps that it runs, and its successor goes on. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import { asId, type CapacityOrder, type DutyHolder, type Scaling, type ZoneId } from "@tamarackpath/core";
import { expect } from "chai";
import { engineService, type Fleet, fleetJobFixture, startFleet, targetFixture } from "./rolloutFleetFixtures.test.js";

const clock = createMonotonicClock();

const scaling: Scaling = {
    minPerZone: 1,
    maxPerZone: 9,
    startupMs: 4000,
    reclaimablePrice: 0.2,
    zonePrices: [{ zone: asId<ZoneId>("z"), price: 1 }, { zone: asId<ZoneId>("y"), price: 0.9 }],
};

interface Call {
    readonly order: CapacityOrder;
    readonly holder: DutyHolder;
}

function startCapacityFleet(calls: Call[], limits: Scaling | undefined): Promise<Fleet> {
    return startFleet(clock, {
        hosts: 3,
        targets: [targetFixture("a", engineService)],
        behaviour: () => ({ ms: 250, rateLimit: { kind: "none" } }),
        ...limits === undefined ? {} : { scaling: limits },
        settings: {
            duties: { reportsUsage: false, ordersCapacity: true, usageWindowMs: 5000, maxCallsPerSecond: 50 },
        },
        ports: {
            duties: {
                reportUsage: async () => "accepted",
                orderCapacity: async (order, holder) => {
                    calls.push({ order, holder });
                    return "accepted";
                },
            },
        },
    });
}

/** Steps of 60 tasks of a quarter of a second, 1.2 s apart: 12 slots, of which the one engine has 6. */
async function submitSteps(fleet: Fleet): Promise<void> {
    for (let step = 0; step < 3; step++) {
        expect(await fleet.submit(fleetJobFixture(`job${step}`, 60))).to.equal("kept");
        await fleet.pause(1200);
    }
}

describe("Orders of engines by a fleet", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    it("come from the conductor alone, by the steps that it runs, and are continued by its successor", async () => {
        const calls: Call[] = [];
        fleet = await startCapacityFleet(calls, scaling);
        const first = fleet.conductor()!;
        await submitSteps(fleet);
        await fleet.pause(1500);
        expect(calls.length).to.be.above(0);
        expect(new Set(calls.map(({ holder }) => holder.fence)).size).to.equal(1);
        const engines = calls.reduce((sum, { order }) => sum + order.count, 0);
        expect(engines * 6).to.be.above(6);
        expect(first.capacity!.gauges.some(({ wanted, present }) => wanted > present)).to.equal(true);
        const before = calls.length;
        await first.resign();
        await fleet.pause(3500);
        expect(fleet.conductor()).to.not.equal(first);
        const read = fleet.lines.filter(({ event }) => event === "capacity-read");
        expect(read).to.have.length(2);
        expect(read[1]!.fields["orders"], "recorded orders").to.not.deep.equal([]);
        const fences = calls.map(({ holder }) => holder.fence);
        expect([...fences].sort((a, b) => a - b)).to.deep.equal(fences);
        expect(calls.length, "orders repeated at once by the successor").to.be.at.most(before + 4);
    });

    it("are not sent where no service has limits", async () => {
        const calls: Call[] = [];
        fleet = await startCapacityFleet(calls, undefined);
        await submitSteps(fleet);
        await fleet.pause(500);
        expect(calls).to.deep.equal([]);
        expect(fleet.lines.filter(({ event }) => event.startsWith("capacity"))).to.deep.equal([]);
    });
});
