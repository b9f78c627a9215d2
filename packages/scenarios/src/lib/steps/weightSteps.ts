/** Steps about publishing weights and bringing engines to them. */

import { expect } from "chai";
import { eventually } from "../FleetWorld.js";
import { type StepTable } from "../StepTable.js";
import { type WeightWorld } from "../WeightWorld.js";

const rolloutService = "rollouts";
const endlessFailures = 1_000_000;
const patienceMs = 30_000;

export const weightSteps: StepTable<WeightWorld> = {
    "a fleet of {int} zones with {int} hosts and {int} engines that swap in {int} milliseconds": (
        world,
        [zones, hosts, engines, swapMs],
    ) => world.startEngines(Number(zones), Number(hosts), Number(engines), Number(swapMs)),
    "swaps of engine {word} fail partway": (world, [engine]) => {
        world.engine(engine!).faults.failSwaps = endlessFailures;
    },
    "swaps of engine {word} succeed": (world, [engine]) => {
        world.engine(engine!).faults.failSwaps = 0;
    },
    "the trainer publishes version {int}": (world, [version]) => world.publish(Number(version)),
    "the trainer publishes version {int} through a running host": async (world, [version]) => {
        const running = world.fleet.daemons.filter(daemon => daemon !== world.frozen);
        await world.publish(Number(version), running.map(daemon => daemon.callerUrl));
    },
    "the answers to the next {int} writes are lost and the trainer publishes version {int}": async (
        world,
        [count, version],
    ) => {
        world.fleet.keyValue.faults.loseAnswers = Number(count);
        await world.publish(Number(version));
    },
    "the conductor is frozen once an engine swaps": async world => {
        await eventually("A swap", () => world.fleet.engines.some(({ standIn }) => !standIn.versionWhole));
        world.frozen = await world.conductor();
        world.frozen!.freeze();
    },
    "the frozen conductor is thawed": world => world.frozen!.thaw(),
    "the conductor of the last orders is killed": async world => {
        await (await world.conductor() ?? world.fleet.daemons[0]!).kill();
    },
    "an order of version {int} with an old fencing number reaches engine {word}": async (world, [version, engine]) => {
        const standIn = world.engine(engine!);
        await fetch(`${standIn.server.url}/update_weights_from_disk`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ weight_version: version, fence: 1 }),
        });
        expect(standIn.version, "the version after the delayed order").to.equal(Number(version));
    },
    "every host sees that engine {word} is not whole": async (world, [engine]) => {
        for (const daemon of world.fleet.daemons) {
            await eventually(`The engine's state on ${daemon.host}`, async () => {
                const { targets } = await daemon.dump<{ targets: unknown; }>();
                return targetStates(targets).some(({ target, versionWhole }) => target === engine && !versionWhole);
            });
        }
        world.startedBefore = world.engine(engine!).stats.started;
    },
    "engine {word} was given no work since": (world, [engine]) => {
        expect(world.engine(engine!).stats.started, "requests started").to.equal(world.startedBefore);
    },
    "the trainer runs step {word} of {int} groups at version {int}": (world, [step, groups, version]) =>
        world.runStep(step!, Number(groups), Number(version)),
    "step {word} is whole and names only versions {int} to {int}": async (world, [step, lowest, highest]) => {
        const delivery = world.deliveries.get(step!)!;
        await delivery.ended;
        expect(delivery.samples.length, "samples").to.equal(delivery.total);
        const versions = delivery.samples.flatMap(sample => sample.spans.map(span => Number(span.version)));
        expect(Math.min(...versions), "lowest version").to.be.at.least(Number(lowest));
        expect(Math.max(...versions), "highest version").to.be.at.most(Number(highest));
    },
    "no sample of step {word} is delivered": (world, [step]) => {
        expect(world.deliveries.get(step!)!.samples).to.deep.equal([]);
    },
    "no engine was ordered to load": world => {
        expect(world.fleet.engines.flatMap(({ standIn }) => standIn.stats.ordersSeen)).to.deep.equal([]);
    },
    "every engine is whole at version {int}": async (world, [version]) => {
        for (const { id, standIn } of world.fleet.engines) {
            await eventually(
                `Version ${version} on ${id}`,
                () => standIn.versionWhole && standIn.version === Number(version),
                patienceMs,
            );
        }
    },
    "every host wants version {int}": async (world, [version]) => {
        for (const daemon of world.fleet.daemons) {
            await eventually(`The version on ${daemon.host}`, async () => {
                const { published } = await world.weightsOf(daemon);
                return published[rolloutService] === Number(version);
            });
        }
    },
    "no engine saw a fencing number fall": world => {
        for (const { id, standIn } of world.fleet.engines) {
            const fences = standIn.stats.ordersSeen.map(order => order.fence);
            expect(fences, `fencing numbers at ${id}`).to.deep.equal([...fences].sort((a, b) => a - b));
            const versions = standIn.stats.ordersSeen.map(order => order.version);
            expect(versions, `versions ordered at ${id}`).to.deep.equal([...versions].sort((a, b) => a - b));
        }
    },
    "some engine was always whole": world => {
        expect(world.wasEverEmpty, "a moment without a whole engine").to.equal(false);
    },
    "every host is killed and starts again": async world => {
        await Promise.all(world.fleet.daemons.map(daemon => daemon.kill()));
        world.fleet.daemons.forEach(daemon => daemon.spawn());
        await Promise.all(world.fleet.daemons.map(daemon => daemon.waitUntilReady(patienceMs)));
    },
};

function targetStates(dump: unknown): readonly { target: string; versionWhole: boolean; }[] {
    if (Array.isArray(dump)) {
        return dump as { target: string; versionWhole: boolean; }[];
    }
    return (dump as { views: { target: string; versionWhole: boolean; }[]; }).views;
}
