/** Steps about publishing weights and loading them into engines. */

import { expect } from "chai";
import { waitUntil } from "../FleetFixture.js";
import { type StepTable } from "../StepTable.js";
import { type WeightFixture } from "../WeightFixture.js";

const rolloutService = "rollouts";
const endlessFailures = 1_000_000;
const timeoutMs = 30_000;

export const weightSteps: StepTable<WeightFixture> = {
    "a fleet of {int} zones with {int} hosts and {int} engines that swap in {int} milliseconds": (
        fixture,
        [zones, hosts, engines, swapMs],
    ) => fixture.startEngines(Number(zones), Number(hosts), Number(engines), Number(swapMs)),
    "swaps of engine {word} fail partway": (fixture, [engine]) => {
        fixture.engine(engine!).faults.failSwaps = endlessFailures;
    },
    "swaps of engine {word} succeed": (fixture, [engine]) => {
        fixture.engine(engine!).faults.failSwaps = 0;
    },
    "the trainer publishes version {int}": (fixture, [version]) => fixture.publish(Number(version)),
    "the trainer publishes version {int} through a running host": async (fixture, [version]) => {
        const running = fixture.fleet.daemons.filter(daemon => daemon !== fixture.frozen);
        await fixture.publish(Number(version), running.map(daemon => daemon.callerUrl));
    },
    "the answers to the next {int} writes are lost and the trainer publishes version {int}": async (
        fixture,
        [count, version],
    ) => {
        fixture.fleet.keyValue.faults.loseAnswers = Number(count);
        await fixture.publish(Number(version));
    },
    "the conductor is frozen once an engine swaps": async fixture => {
        await waitUntil(
            "an engine swaps weights",
            () => fixture.fleet.engines.some(({ standIn }) => !standIn.versionWhole),
        );
        fixture.frozen = await fixture.conductor();
        fixture.frozen!.freeze();
    },
    "the frozen conductor is thawed": fixture => fixture.frozen!.thaw(),
    "the conductor of the last orders is killed": async fixture => {
        await (await fixture.conductor() ?? fixture.fleet.daemons[0]!).kill();
    },
    "an order of version {int} with an old fencing token reaches engine {word}": async (fixture, [version, engine]) => {
        const standIn = fixture.engine(engine!);
        await fetch(`${standIn.server.url}/update_weights_from_disk`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ weight_version: version, fence: 1 }),
        });
        expect(standIn.version, "the version after the delayed order").to.equal(Number(version));
    },
    "every host lists engine {word} as not whole": async (fixture, [engine]) => {
        for (const daemon of fixture.fleet.daemons) {
            await waitUntil(`the engine is listed as not whole on ${daemon.host}`, async () => {
                const { targets } = await daemon.dump<{ targets: unknown; }>();
                return targetStates(targets).some(({ target, versionWhole }) => target === engine && !versionWhole);
            });
        }
        fixture.startedRequestsBefore = fixture.engine(engine!).stats.started;
    },
    "engine {word} was given no work since": (fixture, [engine]) => {
        expect(fixture.engine(engine!).stats.started, "requests started").to.equal(fixture.startedRequestsBefore);
    },
    "the trainer runs step {word} of {int} groups at version {int}": (fixture, [step, groups, version]) =>
        fixture.runStep(step!, Number(groups), Number(version)),
    "step {word} is complete and names only versions {int} to {int}": async (fixture, [step, lowest, highest]) => {
        const delivery = fixture.deliveries.get(step!)!;
        await delivery.ended;
        expect(delivery.samples.length, "samples").to.equal(delivery.total);
        const versions = delivery.samples.flatMap(sample => sample.spans.map(span => Number(span.version)));
        expect(Math.min(...versions), "lowest version").to.be.at.least(Number(lowest));
        expect(Math.max(...versions), "highest version").to.be.at.most(Number(highest));
    },
    "no sample of step {word} is delivered": (fixture, [step]) => {
        expect(fixture.deliveries.get(step!)!.samples).to.deep.equal([]);
    },
    "no engine received a load order": fixture => {
        expect(fixture.fleet.engines.flatMap(({ standIn }) => standIn.stats.ordersSeen)).to.deep.equal([]);
    },
    "every engine is whole at version {int}": async (fixture, [version]) => {
        for (const { id, standIn } of fixture.fleet.engines) {
            await waitUntil(
                `version ${version} is whole on ${id}`,
                () => standIn.versionWhole && standIn.version === Number(version),
                timeoutMs,
            );
        }
    },
    "every host has version {int} as the published one": async (fixture, [version]) => {
        for (const daemon of fixture.fleet.daemons) {
            await waitUntil(`the version is the published one on ${daemon.host}`, async () => {
                const { published } = await fixture.weightsOf(daemon);
                return published[rolloutService] === Number(version);
            });
        }
    },
    "no engine received an order with a lower fencing token than before": fixture => {
        for (const { id, standIn } of fixture.fleet.engines) {
            const fences = standIn.stats.ordersSeen.map(order => order.fence);
            expect(fences, `fencing tokens at ${id}`).to.deep.equal([...fences].sort((a, b) => a - b));
            const versions = standIn.stats.ordersSeen.map(order => order.version);
            expect(versions, `versions ordered at ${id}`).to.deep.equal([...versions].sort((a, b) => a - b));
        }
    },
    "at least one engine was whole at every moment": fixture => {
        expect(fixture.wasWithoutWholeEngine, "no engine was whole at some moment").to.equal(false);
    },
    "every host is killed and starts again": async fixture => {
        await Promise.all(fixture.fleet.daemons.map(daemon => daemon.kill()));
        fixture.fleet.daemons.forEach(daemon => daemon.spawn());
        await Promise.all(fixture.fleet.daemons.map(daemon => daemon.waitUntilReady(timeoutMs)));
    },
};

function targetStates(dump: unknown): readonly { target: string; versionWhole: boolean; }[] {
    if (Array.isArray(dump)) {
        return dump as { target: string; versionWhole: boolean; }[];
    }
    return (dump as { views: { target: string; versionWhole: boolean; }[]; }).views;
}
