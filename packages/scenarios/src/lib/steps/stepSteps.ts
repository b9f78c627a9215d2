/** Steps about the delivery of training steps: trainers, owners, and what arrived. */

import { areSpansConsistent, oldestVersion, type StepStatus } from "@tamarackpath/core";
import { type DaemonProcess } from "@tamarackpath/standins";
import { expect } from "chai";
import { type DeliveryWorld } from "../DeliveryWorld.js";
import { eventually } from "../FleetWorld.js";
import { type StepTable } from "../StepTable.js";

const stalenessBound = 1;
const defaultWithinMs = 40_000;

interface DumpedStep {
    readonly step: string;
    readonly phase: string;
    readonly attemptsRunning: number;
}

export const stepSteps: StepTable<DeliveryWorld> = {
    "the trainer runs step {word} of {int} groups with {int} samples of {int} tokens": (
        world,
        [step, groups, perGroup, tokens],
    ) => world.deliver(step!, shape(groups!, perGroup!, tokens!)),
    "the trainer runs step {word} of {int} groups with {int} samples of {int} tokens within {int} seconds": (
        world,
        [step, groups, perGroup, tokens, seconds],
    ) => world.deliver(step!, { ...shape(groups!, perGroup!, tokens!), withinMs: Number(seconds) * 1000 }),
    "the trainer pulls step {word} once more from the start": async (world, [step]) => {
        (await world.recordedDelivery(step!).client.pull(step!, undefined)).ifLeft(found => {
            world.lastProblem = found;
        });
    },
    "the open links between {word} and {word} go silent": (world, [hostA, hostB]) =>
        world.fleet.stallConnections(hostA!, hostB!),
    "the trainer pulls step {word} of {int} groups with {int} samples of {int} tokens through {word} and {word} at once":
        (world, [step, groups, perGroup, tokens, hostA, hostB]) =>
            world.deliverTwofold(step!, shape(groups!, perGroup!, tokens!), [hostA!, hostB!]),
    "a fleet that can be cut, of {int} hosts and {int} engines": (world, [hosts, engines]) =>
        world.startFleet({
            zones: ["leon"],
            hostsPerZone: Number(hosts),
            enginesPerZone: Number(engines),
            plainPerZone: 1,
            hasRelays: true,
        }),
    "every engine runs something": world =>
        eventually("Busy engines", () => world.fleet.engines.every(({ standIn }) => standIn.stats.tokens > 0)),
    "the trainer reaches only {word}, by a link that can fail": (world, [host]) =>
        world.linkTrainersTo(world.fleet.daemon(host!).callerUrl),
    "the trainer's open connections go silent": world => world.trainerLink!.stallConnections(),
    "the trainer's connections are cut {int} times, {int} milliseconds apart": async (world, [times, ms]) => {
        for (let nth = 0; nth < Number(times); nth++) {
            world.trainerLink!.cut();
            await new Promise(resolve => setTimeout(resolve, Number(ms)));
        }
    },
    "the trainer publishes version {int} of step {word}": async (world, [version, step]) => {
        await world.recordedDelivery(step!).client.publish(Number(version));
    },
    "the trainer cancels step {word}": async (world, [step]) => {
        const res = await world.recordedDelivery(step!).client.cancel(step!);
        expect(res.isRight(), "cancelled").to.equal(true);
    },
    "the trainer submits step {word} with another seed in group {int}": async (world, [step, group]) => {
        const { client, req } = world.recordedDelivery(step!);
        const groups = req.groups.map((entry, nth) => nth === Number(group) ? { ...entry, seed: 999 } : entry);
        (await client.submit(step!, { ...req, groups })).ifLeft(found => {
            world.lastProblem = found;
        });
    },
    "the trainer submits step {word} again through {word}": async (world, [step, host]) => {
        const client = world.createTrainer([world.fleet.daemon(host!).callerUrl]);
        (await client.submit(step!, world.recordedDelivery(step!).req)).ifLeft(found => {
            world.lastProblem = found;
        });
    },
    "the problem is {word} at {word}": (world, [type, place]) => {
        expect(world.lastProblem?.type).to.equal(type);
        expect(world.lastProblem?.findings?.map(finding => finding.place)).to.deep.equal([place]);
    },
    "the problem is {word}": (world, [type]) => {
        expect(world.lastProblem?.type).to.equal(type);
    },
    "the next owner of step {word} is killed": async (world, [step]) => {
        await (await findServing(world, step!)).kill();
    },
    "the owner of step {word} is thawed": (world, [step]) => {
        frozen.get(world)?.get(step!)?.thaw();
    },
    "the owner of step {word} is frozen until another owns it": async (world, [step]) => {
        const former = await findServing(world, step!);
        frozen.set(world, new Map([[step!, former]]));
        former.freeze();
        const others = world.fleet.daemons.filter(daemon => daemon !== former);
        await eventually("The takeover", async () => (await servingOf(others, step!)).length > 0);
    },
    "the owner of step {word} is cut off from the other hosts": async (world, [step]) => {
        const owner = await findServing(world, step!);
        const others = world.fleet.daemons.filter(daemon => daemon !== owner);
        await Promise.all(others.map(other => world.fleet.cutPeers(owner.host, other.host)));
    },
    "the cut heals": world => world.fleet.restoreNetwork(),
    "the owner of step {word} is stopped while it sees no other host, and the cut heals": async (world, [step]) => {
        const owner = await findServing(world, step!);
        await eventually("The owner's view", async () => {
            const dump = await owner.dump<{ membership: { live: string[]; }; }>();
            return dump.membership.live.length === 1;
        });
        const exit = owner.terminate();
        await eventually("The stop", async () => !await owner.isReady());
        await world.fleet.restoreNetwork();
        expect(await exit, "exit code").to.equal(0);
    },
    "the owner of step {word} is stopped gracefully": async (world, [step]) => {
        const code = await (await findServing(world, step!)).terminate();
        expect(code, "exit code").to.equal(0);
    },
    "step {word} comes to have one owner": (world, [step]) =>
        eventually("One owner", async () => (await holdersOf(world.fleet.daemons, step!)).length === 1),
    "step {word} comes to have two owners": (world, [step]) =>
        eventually("Two owners", async () => (await holdersOf(world.fleet.daemons, step!)).length === 2),
    "engine {int} freezes": (world, [nth]) => {
        world.fleet.engines[Number(nth) - 1]!.standIn.faults.frozen = true;
    },
    "engine {int} thaws": (world, [nth]) => {
        world.fleet.engines[Number(nth) - 1]!.standIn.faults.frozen = false;
    },
    "the engines leave out versions until {int} samples were discarded for it": async (world, [count]) => {
        world.fleet.engines.forEach(({ standIn }) => standIn.faults.omitVersions = true);
        await eventually("Discards", async () => await discardedVersionsUnknown(world) >= Number(count));
        world.fleet.engines.forEach(({ standIn }) => standIn.faults.omitVersions = false);
    },
    "the engines have started {int} samples in all": (world, [count]) => {
        expect(startedSamples(world)).to.equal(Number(count));
    },
    "the engines have started more than {int} samples in all": (world, [count]) => {
        expect(startedSamples(world)).to.be.above(Number(count));
    },
    "the engines come to run nothing": world =>
        eventually("Idle engines", async () => {
            const loads = await Promise.all(
                world.fleet.engines.map(({ standIn }) => fetch(`${standIn.server.url}/account`)),
            );
            const accounts = await Promise.all(loads.map(load => load.json() as Promise<Record<string, number>>));
            return accounts.every(account => account["started"] === account["finished"]! + account["cancelled"]!);
        }),
    "the delivery of step {word} ends as {word}": async (world, [step, how]) => {
        const delivery = world.recordedDelivery(step!);
        await delivery.ended;
        expect(delivery.end?.outcome).to.equal(how);
    },
    "every sample of step {word} was fresh when it arrived": (world, [step]) => {
        for (const { sample, trainerVersion } of world.recordedDelivery(step!).arrivals) {
            expect(oldestVersion(sample.spans), sample.attempt).to.be.at.least(trainerVersion - stalenessBound);
        }
    },
    "every sample of step {word} names the versions of all of its tokens": (world, [step]) => {
        const { arrivals } = world.recordedDelivery(step!);
        expect(arrivals.filter(({ sample }) => !areSpansConsistent(sample))).to.deep.equal([]);
    },
    "some sample of step {word} names version {int} and version {int}": (world, [step, older, newer]) => {
        const named = world.recordedDelivery(step!).samples.map(sample =>
            sample.spans.map(span => span.version).join()
        );
        expect(named).to.include(`${older},${newer}`);
    },
};

const frozen = new WeakMap<DeliveryWorld, Map<string, DaemonProcess>>();

function shape(groups: string, perGroup: string, tokens: string): Parameters<DeliveryWorld["deliver"]>[1] {
    return { groups: Number(groups), perGroup: Number(perGroup), tokens: Number(tokens), withinMs: defaultWithinMs };
}

function startedSamples(world: DeliveryWorld): number {
    return world.fleet.engines.reduce((sum, { standIn }) => sum + standIn.stats.started, 0);
}

async function discardedVersionsUnknown(world: DeliveryWorld): Promise<number> {
    const steps = await Promise.all(world.fleet.daemons.map(daemon => daemon.dump<{ steps: StepStatus[]; }>()));
    return steps.flatMap(dump => dump.steps).reduce((sum, step) => sum + step.counts.discardedVersionsUnknown, 0);
}

/** The hosts that have not given the step up. A frozen host does not answer and is passed over. */
async function holdersOf(daemons: readonly DaemonProcess[], step: string): Promise<readonly DaemonProcess[]> {
    return holding(daemons, step, entry => entry.phase !== "ended");
}

async function servingOf(daemons: readonly DaemonProcess[], step: string): Promise<readonly DaemonProcess[]> {
    return holding(daemons, step, entry => entry.phase === "serving");
}

async function holding(
    daemons: readonly DaemonProcess[],
    step: string,
    matches: (entry: DumpedStep) => boolean,
): Promise<readonly DaemonProcess[]> {
    const found: DaemonProcess[] = [];
    for (const daemon of daemons) {
        const dump = await daemon.dump<{ steps: DumpedStep[]; }>().catch(() => undefined);
        if (dump?.steps.some(entry => entry.step.endsWith(`/${step}`) && matches(entry)) === true) {
            found.push(daemon);
        }
    }
    return found;
}

async function findServing(world: DeliveryWorld, step: string): Promise<DaemonProcess> {
    let owner: DaemonProcess | undefined;
    await eventually(`An owner of step ${step}`, async () => {
        [owner] = await servingOf(world.fleet.daemons, step);
        return owner !== undefined;
    });
    return owner!;
}
