/** Steps about the delivery of training steps: trainers, owners, and received samples. */

import { areSpansConsistent, oldestVersion, type StepStatus } from "@tamarackpath/core";
import { type DaemonProcess } from "@tamarackpath/standins";
import { expect } from "chai";
import { type DeliveryFixture } from "../DeliveryFixture.js";
import { waitUntil } from "../FleetFixture.js";
import { type StepTable } from "../StepTable.js";

const stalenessBound = 1;
const defaultStepTimeoutMs = 40_000;

interface DumpedStep {
    readonly step: string;
    readonly phase: string;
    readonly attemptsRunning: number;
}

export const stepSteps: StepTable<DeliveryFixture> = {
    "the trainer runs step {word} of {int} groups with {int} samples of {int} tokens": (
        fixture,
        [step, groups, samplesPerGroup, tokens],
    ) => fixture.deliver(step!, shape(groups!, samplesPerGroup!, tokens!)),
    "the trainer runs step {word} of {int} groups with {int} samples of {int} tokens within {int} seconds": (
        fixture,
        [step, groups, samplesPerGroup, tokens, seconds],
    ) => fixture.deliver(step!, { ...shape(groups!, samplesPerGroup!, tokens!), timeoutMs: Number(seconds) * 1000 }),
    "the trainer pulls step {word} once more from the start": async (fixture, [step]) => {
        (await fixture.recordedDelivery(step!).client.pull(step!, undefined)).ifLeft(found => {
            fixture.lastProblem = found;
        });
    },
    "the open links between {word} and {word} carry no more data": (fixture, [hostA, hostB]) =>
        fixture.fleet.stallConnections(hostA!, hostB!),
    "the trainer pulls step {word} of {int} groups with {int} samples of {int} tokens through {word} and {word} at once":
        (fixture, [step, groups, samplesPerGroup, tokens, hostA, hostB]) =>
            fixture.deliverThroughTwoHosts(step!, shape(groups!, samplesPerGroup!, tokens!), [hostA!, hostB!]),
    "a fleet that can be cut, of {int} hosts and {int} engines": (fixture, [hosts, engines]) =>
        fixture.startFleet({
            zones: ["leon"],
            hostsPerZone: Number(hosts),
            enginesPerZone: Number(engines),
            plainPerZone: 1,
            hasRelays: true,
        }),
    "every engine generates tokens": fixture =>
        waitUntil(
            "every engine generates tokens",
            () => fixture.fleet.engines.every(({ standIn }) => standIn.stats.tokens > 0),
        ),
    "the trainer reaches only {word}, through a link that can fail": (fixture, [host]) =>
        fixture.routeTrainersThroughLink(fixture.fleet.daemon(host!).callerUrl),
    "the trainer's open connections carry no more data": fixture => fixture.trainerLink!.stallConnections(),
    "the trainer's connections are cut {int} times, {int} milliseconds apart": async (fixture, [times, ms]) => {
        for (let nth = 0; nth < Number(times); nth++) {
            fixture.trainerLink!.cut();
            await new Promise(resolve => setTimeout(resolve, Number(ms)));
        }
    },
    "the trainer publishes version {int} of step {word}": async (fixture, [version, step]) => {
        await fixture.recordedDelivery(step!).client.publish(Number(version));
    },
    "the trainer cancels step {word}": async (fixture, [step]) => {
        const res = await fixture.recordedDelivery(step!).client.cancel(step!);
        expect(res.isRight(), "cancelled").to.equal(true);
    },
    "the trainer submits step {word} with another seed in group {int}": async (fixture, [step, group]) => {
        const { client, req } = fixture.recordedDelivery(step!);
        const groups = req.groups.map((entry, nth) => nth === Number(group) ? { ...entry, seed: 999 } : entry);
        (await client.submit(step!, { ...req, groups })).ifLeft(found => {
            fixture.lastProblem = found;
        });
    },
    "the trainer submits step {word} again through {word}": async (fixture, [step, host]) => {
        const client = fixture.createTrainer([fixture.fleet.daemon(host!).callerUrl]);
        (await client.submit(step!, fixture.recordedDelivery(step!).req)).ifLeft(found => {
            fixture.lastProblem = found;
        });
    },
    "the problem is {word} at {word}": (fixture, [type, place]) => {
        expect(fixture.lastProblem?.type).to.equal(type);
        expect(fixture.lastProblem?.findings?.map(finding => finding.place)).to.deep.equal([place]);
    },
    "the problem is {word}": (fixture, [type]) => {
        expect(fixture.lastProblem?.type).to.equal(type);
    },
    "the next owner of step {word} is killed": async (fixture, [step]) => {
        await (await findServingHost(fixture, step!)).kill();
    },
    "the owner of step {word} is thawed": (fixture, [step]) => {
        frozen.get(fixture)?.get(step!)?.thaw();
    },
    "the owner of step {word} is frozen until another owns it": async (fixture, [step]) => {
        const former = await findServingHost(fixture, step!);
        frozen.set(fixture, new Map([[step!, former]]));
        former.freeze();
        const others = fixture.fleet.daemons.filter(daemon => daemon !== former);
        await waitUntil("another host serves the step", async () => (await servingHosts(others, step!)).length > 0);
    },
    "the owner of step {word} is cut off from the other hosts": async (fixture, [step]) => {
        const owner = await findServingHost(fixture, step!);
        const others = fixture.fleet.daemons.filter(daemon => daemon !== owner);
        await Promise.all(others.map(other => fixture.fleet.cutPeers(owner.host, other.host)));
    },
    "the network partition ends": fixture => fixture.fleet.restoreNetwork(),
    "the owner of step {word} is stopped while it lists no other host as alive, and the network partition ends": async (
        fixture,
        [step],
    ) => {
        const owner = await findServingHost(fixture, step!);
        await waitUntil("the owner lists only itself as alive", async () => {
            const dump = await owner.dump<{ membership: { live: string[]; }; }>();
            return dump.membership.live.length === 1;
        });
        const exit = owner.terminate();
        await waitUntil("the owner is not ready", async () => !await owner.isReady());
        await fixture.fleet.restoreNetwork();
        expect(await exit, "exit code").to.equal(0);
    },
    "the owner of step {word} is stopped gracefully": async (fixture, [step]) => {
        const code = await (await findServingHost(fixture, step!)).terminate();
        expect(code, "exit code").to.equal(0);
    },
    "step {word} eventually has one owner": (fixture, [step]) =>
        waitUntil("the step has one owner", async () => (await ownersOf(fixture.fleet.daemons, step!)).length === 1),
    "step {word} eventually has two owners": (fixture, [step]) =>
        waitUntil("the step has two owners", async () => (await ownersOf(fixture.fleet.daemons, step!)).length === 2),
    "engine {int} freezes": (fixture, [nth]) => {
        fixture.fleet.engines[Number(nth) - 1]!.standIn.faults.frozen = true;
    },
    "engine {int} thaws": (fixture, [nth]) => {
        fixture.fleet.engines[Number(nth) - 1]!.standIn.faults.frozen = false;
    },
    "the engines omit versions until {int} samples were discarded for this reason": async (fixture, [count]) => {
        fixture.fleet.engines.forEach(({ standIn }) => standIn.faults.omitVersions = true);
        await waitUntil(
            "enough samples are discarded",
            async () => await discardedVersionsUnknown(fixture) >= Number(count),
        );
        fixture.fleet.engines.forEach(({ standIn }) => standIn.faults.omitVersions = false);
    },
    "the engines have started {int} samples in all": (fixture, [count]) => {
        expect(countStartedSamples(fixture)).to.equal(Number(count));
    },
    "the engines have started more than {int} samples in all": (fixture, [count]) => {
        expect(countStartedSamples(fixture)).to.be.above(Number(count));
    },
    "the engines become idle": fixture =>
        waitUntil("the engines are idle", async () => {
            const loads = await Promise.all(
                fixture.fleet.engines.map(({ standIn }) => fetch(`${standIn.server.url}/account`)),
            );
            const accounts = await Promise.all(loads.map(load => load.json() as Promise<Record<string, number>>));
            return accounts.every(account => account["started"] === account["finished"]! + account["cancelled"]!);
        }),
    "the delivery of step {word} ends with the outcome {word}": async (fixture, [step, how]) => {
        const delivery = fixture.recordedDelivery(step!);
        await delivery.ended;
        expect(delivery.end?.outcome).to.equal(how);
    },
    "every sample of step {word} was fresh when it arrived": (fixture, [step]) => {
        for (const { sample, trainerVersion } of fixture.recordedDelivery(step!).arrivals) {
            expect(oldestVersion(sample.spans), sample.attempt).to.be.at.least(trainerVersion - stalenessBound);
        }
    },
    "every sample of step {word} names the versions of all of its tokens": (fixture, [step]) => {
        const { arrivals } = fixture.recordedDelivery(step!);
        expect(arrivals.filter(({ sample }) => !areSpansConsistent(sample))).to.deep.equal([]);
    },
    "some sample of step {word} names version {int} and version {int}": (fixture, [step, older, newer]) => {
        const named = fixture.recordedDelivery(step!).samples.map(sample =>
            sample.spans.map(span => span.version).join()
        );
        expect(named).to.include(`${older},${newer}`);
    },
};

const frozen = new WeakMap<DeliveryFixture, Map<string, DaemonProcess>>();

function shape(groups: string, samplesPerGroup: string, tokens: string): Parameters<DeliveryFixture["deliver"]>[1] {
    return {
        groups: Number(groups),
        samplesPerGroup: Number(samplesPerGroup),
        tokens: Number(tokens),
        timeoutMs: defaultStepTimeoutMs,
    };
}

function countStartedSamples(fixture: DeliveryFixture): number {
    return fixture.fleet.engines.reduce((sum, { standIn }) => sum + standIn.stats.started, 0);
}

async function discardedVersionsUnknown(fixture: DeliveryFixture): Promise<number> {
    const steps = await Promise.all(fixture.fleet.daemons.map(daemon => daemon.dump<{ steps: StepStatus[]; }>()));
    return steps.flatMap(dump => dump.steps).reduce((sum, step) => sum + step.counts.discardedVersionsUnknown, 0);
}

/** The hosts where the step has not ended. Hosts that do not answer, such as frozen ones, are skipped. */
async function ownersOf(daemons: readonly DaemonProcess[], step: string): Promise<readonly DaemonProcess[]> {
    return hostsWithStep(daemons, step, entry => entry.phase !== "ended");
}

async function servingHosts(daemons: readonly DaemonProcess[], step: string): Promise<readonly DaemonProcess[]> {
    return hostsWithStep(daemons, step, entry => entry.phase === "serving");
}

async function hostsWithStep(
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

async function findServingHost(fixture: DeliveryFixture, step: string): Promise<DaemonProcess> {
    let owner: DaemonProcess | undefined;
    await waitUntil(`a host serves step ${step}`, async () => {
        [owner] = await servingHosts(fixture.fleet.daemons, step);
        return owner !== undefined;
    });
    return owner!;
}
