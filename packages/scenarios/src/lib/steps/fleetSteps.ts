/** Steps that start a fleet and cause failures of its hosts. */

import { expect } from "chai";
import { eventually, type FleetWorld } from "../FleetWorld.js";
import { type StepTable } from "../StepTable.js";

export const fleetSteps: StepTable<FleetWorld> = {
    "{int} zones with {int} hosts, {int} engines and {int} plain targets each": (
        world,
        [zones, hosts, engines, plain],
    ) => world.startFleet({
        zones: ["leon", "qro", "celaya", "slp"].slice(0, Number(zones)),
        hostsPerZone: Number(hosts),
        enginesPerZone: Number(engines),
        plainPerZone: Number(plain),
    }),
    "the hosts of a zone know each other": world =>
        eventually("Every host's view", async () => {
            const dumps = await Promise.all(
                world.fleet.daemons.map(daemon => daemon.dump<{ zone: string; membership: { live: string[]; }; }>()),
            );
            return dumps.every(dump =>
                dump.membership.live.length === dumps.filter(other => other.zone === dump.zone).length
            );
        }),
    "host {word} sees no other host": (world, [host]) =>
        eventually("The host's view", async () => {
            const dump = await world.fleet.daemon(host!).dump<{ membership: { live: string[]; }; }>();
            return dump.membership.live.length === 1;
        }),
    "host {word} is asked to stop": (world, [host]) => void world.fleet.daemon(host!).terminate(),
    "host {word} is killed": (world, [host]) => world.fleet.daemon(host!).kill(),
    "host {word} is frozen": (world, [host]) => world.fleet.daemon(host!).freeze(),
    "host {word} is thawed": (world, [host]) => world.fleet.daemon(host!).thaw(),
    "host {word} starts again": async (world, [host]) => {
        world.fleet.daemon(host!).spawn();
        await world.fleet.daemon(host!).waitUntilReady(20_000);
    },
    "the key-value service is down": world => {
        world.fleet.keyValue.faults.isDown = true;
        world.fleet.keyValue.cutWatches();
    },
    "the key-value service is up": world => {
        world.fleet.keyValue.faults.isDown = false;
    },
    "{int} milliseconds pass": (unusedWorld, [ms]) => new Promise(resolve => setTimeout(resolve, Number(ms))),
};

export const deliverySteps: StepTable<FleetWorld> = {
    "the trainer runs step {word} of {int} groups with {int} samples within {int} seconds": (
        world,
        [step, groups, perGroup, seconds],
    ) => world.deliver(step!, { groups: Number(groups), perGroup: Number(perGroup), withinMs: Number(seconds) * 1000 }),
    "the trainer has at least {int} samples of step {word}": (world, [count, step]) =>
        eventually("The delivery", () => world.deliveries.get(step!)!.samples.length >= Number(count)),
    "the owner of step {word} is killed": async (world, [step]) => {
        await (await findOwner(world, step!)).kill();
    },
    "the owner of step {word} is frozen": async (world, [step]) => {
        (await findOwner(world, step!)).freeze();
    },
    "every sample of step {word} is delivered exactly once": async (world, [step]) => {
        const delivery = world.deliveries.get(step!)!;
        await delivery.ended;
        const indices = delivery.samples.map(sample => sample.index);
        expect(new Set(indices).size, "distinct samples").to.equal(delivery.total);
        expect(indices.length, "samples in all").to.equal(delivery.total);
    },
};

async function findOwner(world: FleetWorld, step: string): Promise<FleetWorld["fleet"]["daemons"][number]> {
    for (const daemon of world.fleet.daemons) {
        const dump = await daemon.dump<{ steps: { step: string; }[]; }>().catch(() => undefined);
        if (dump?.steps.some(entry => entry.step.endsWith(`/${step}`)) === true) {
            return daemon;
        }
    }
    throw new Error(`No host owns step ${step}.`);
}
