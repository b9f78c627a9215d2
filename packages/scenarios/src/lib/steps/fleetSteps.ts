/** Steps that start a fleet and cause failures of its hosts. */

import { expect } from "chai";
import { type FleetFixture, waitUntil } from "../FleetFixture.js";
import { type StepTable } from "../StepTable.js";

export const fleetSteps: StepTable<FleetFixture> = {
    "{int} zones with {int} hosts, {int} engines and {int} plain targets each": (
        fixture,
        [zones, hosts, engines, plain],
    ) => fixture.startFleet({
        zones: ["leon", "qro", "celaya", "slp"].slice(0, Number(zones)),
        hostsPerZone: Number(hosts),
        enginesPerZone: Number(engines),
        plainPerZone: Number(plain),
    }),
    "every host lists the hosts of its zone as alive": fixture =>
        waitUntil("every host lists the hosts of its zone as alive", async () => {
            const dumps = await Promise.all(
                fixture.fleet.daemons.map(daemon => daemon.dump<{ zone: string; membership: { live: string[]; }; }>()),
            );
            return dumps.every(dump =>
                dump.membership.live.length === dumps.filter(other => other.zone === dump.zone).length
            );
        }),
    "host {word} lists no other host as alive": (fixture, [host]) =>
        waitUntil("the host lists only itself as alive", async () => {
            const dump = await fixture.fleet.daemon(host!).dump<{ membership: { live: string[]; }; }>();
            return dump.membership.live.length === 1;
        }),
    "host {word} receives a stop signal": (fixture, [host]) => void fixture.fleet.daemon(host!).terminate(),
    "host {word} is killed": (fixture, [host]) => fixture.fleet.daemon(host!).kill(),
    "host {word} is frozen": (fixture, [host]) => fixture.fleet.daemon(host!).freeze(),
    "host {word} is thawed": (fixture, [host]) => fixture.fleet.daemon(host!).thaw(),
    "host {word} starts again": async (fixture, [host]) => {
        fixture.fleet.daemon(host!).spawn();
        await fixture.fleet.daemon(host!).waitUntilReady(20_000);
    },
    "the key-value service is down": fixture => {
        fixture.fleet.keyValue.faults.isDown = true;
        fixture.fleet.keyValue.cutWatches();
    },
    "the key-value service is up": fixture => {
        fixture.fleet.keyValue.faults.isDown = false;
    },
    "{int} milliseconds pass": (unusedFixture, [ms]) => new Promise(resolve => setTimeout(resolve, Number(ms))),
};

export const deliverySteps: StepTable<FleetFixture> = {
    "the trainer runs step {word} of {int} groups with {int} samples within {int} seconds": (
        fixture,
        [step, groups, samplesPerGroup, seconds],
    ) => fixture.deliver(step!, {
        groups: Number(groups),
        samplesPerGroup: Number(samplesPerGroup),
        timeoutMs: Number(seconds) * 1000,
    }),
    "the trainer has at least {int} samples of step {word}": (fixture, [count, step]) =>
        waitUntil("enough samples are delivered", () => fixture.deliveries.get(step!)!.samples.length >= Number(count)),
    "the owner of step {word} is killed": async (fixture, [step]) => {
        await (await findOwner(fixture, step!)).kill();
    },
    "the owner of step {word} is frozen": async (fixture, [step]) => {
        (await findOwner(fixture, step!)).freeze();
    },
    "every sample of step {word} is delivered exactly once": async (fixture, [step]) => {
        const delivery = fixture.deliveries.get(step!)!;
        await delivery.ended;
        const indices = delivery.samples.map(sample => sample.index);
        expect(new Set(indices).size, "distinct samples").to.equal(delivery.total);
        expect(indices.length, "samples in total").to.equal(delivery.total);
    },
};

async function findOwner(fixture: FleetFixture, step: string): Promise<FleetFixture["fleet"]["daemons"][number]> {
    for (const daemon of fixture.fleet.daemons) {
        const dump = await daemon.dump<{ steps: { step: string; }[]; }>().catch(() => undefined);
        if (dump?.steps.some(entry => entry.step.endsWith(`/${step}`)) === true) {
            return daemon;
        }
    }
    throw new Error(`No host owns step ${step}.`);
}
