/** Steps about accepting configuration documents and bringing them into force. */

import { fleetConfigKey } from "@tamarackpath/standins";
import { expect } from "chai";
import { type ConfigWorld } from "../ConfigWorld.js";
import { eventually } from "../FleetWorld.js";
import { type StepTable } from "../StepTable.js";

const inForce = (world: ConfigWorld, revision: string): Promise<void> =>
    world.everywhere(
        `Revision ${revision}`,
        ({ revisions }) => revisions.some(entry => entry.name === "fleet" && entry.revision === Number(revision)),
    );

const laterRevision = 40;

export const configSteps: StepTable<ConfigWorld> = {
    "a fleet of {int} zones with {int} hosts": (world, [zones, hosts]) =>
        world.startZones(Number(zones), Number(hosts)),
    "a fleet of {int} zones with {int} hosts where host {word} has a disk": (world, [zones, hosts, host]) =>
        world.startZones(Number(zones), Number(hosts), { diskHosts: [host!] }),
    "operators ana and ben change different values of revision 1 at once through two hosts": async world => {
        const base = world.stored();
        const [first, second] = world.runningHosts();
        await Promise.all([world.propose("ana", base, first!.host), world.propose("ben", base, second!.host)]);
    },
    "one of them is refused with the difference": world => {
        const refused = world.proposals.filter(({ result }) => result.isLeft());
        expect(refused.length, "refused operators").to.equal(1);
        const found = refused[0]!.result.swap().unsafeCoerce();
        expect(found.type).to.equal("conflict");
        expect(found.findings?.map(finding => finding.place)).to.include.members([
            "pools.engines.slotsPerTarget",
            "services.rollouts.lateCost",
        ]);
    },
    "the refused operator rebases the change on revision 2": async world => {
        const refused = world.proposals.find(({ result }) => result.isLeft())!;
        expect((await world.rebase(refused)).result.unsafeCoerce().revision).to.equal(3);
    },
    "both changes are in force at revision 3 on every host": async world => {
        await inForce(world, "3");
        const { pools, services } = world.stored();
        expect([pools[0]!["slotsPerTarget"], services[0]!["lateCost"]]).to.deep.equal([9, 7]);
    },
    "the answers to the next {int} writes are lost and operator {word} changes revision {int}": async (
        world,
        [count, operator],
    ) => {
        world.fleet.keyValue.faults.loseAnswers = Number(count);
        await world.propose(operator!, world.stored());
    },
    "the change is accepted once as revision {int}": (world, [revision]) => {
        expect(world.proposals.at(-1)!.result.unsafeCoerce().revision).to.equal(Number(revision));
        expect(world.stored().revision).to.equal(Number(revision));
    },
    "the history shows revisions {int} to {int}": (world, [from, to]) => {
        for (let revision = Number(from); revision <= Number(to); revision++) {
            const slot = String(revision).padStart(2, "0");
            const kept = JSON.parse(world.fleet.keyValue.readValue(`tamarackpath/history/fleet/${slot}`)!) as object;
            expect(kept).to.deep.include({ revision });
        }
    },
    "one watcher of zone {word} is killed and the other frozen": async (world, [zone]) => {
        const [killed, frozen] = await world.watchers(zone!);
        await killed!.kill();
        frozen!.freeze();
        world.frozen = frozen;
        [killed!, frozen!].forEach(daemon => world.running.delete(daemon.host));
    },
    "the frozen host is thawed": world => {
        world.frozen!.thaw();
        world.running.add(world.frozen!.host);
    },
    "operator {word} changes revision {int}": async (world, [operator, revision]) => {
        const base = world.stored();
        expect(base.revision).to.equal(Number(revision));
        await eventually("The acceptance", async () => (await world.propose(operator!, base)).result.isRight());
    },
    "revision {int} is in force on every host": (world, [revision]) => inForce(world, revision!),
    "revision {int} is in force on every running host": (world, [revision]) => inForce(world, revision!),
    "the watches go silent": world => {
        world.fleet.keyValue.faults.silentWatches = true;
    },
    "every host is killed and starts again": async world => {
        await Promise.all(world.fleet.daemons.map(daemon => daemon.kill()));
        world.fleet.daemons.forEach(daemon => daemon.spawn());
        await Promise.all(world.fleet.daemons.map(daemon => daemon.waitUntilReady(20_000)));
    },
    "zone {word} is cut off from the key-value service": (world, [zone]) => {
        const hosts = world.fleet.daemons.filter(daemon => daemon.zone === zone).map(({ host }) => host);
        world.fleet.keyValue.faults.blockedClients.push(...hosts.map(host => `tamarackd/${host}`));
    },
    "the event of revision 1 is replayed": world => world.fleet.keyValue.replay(fleetConfigKey, world.firstText, 1),
    "a document of a later format is written": world => {
        const doc = { ...world.stored(), revision: laterRevision, format: 2 };
        world.fleet.keyValue.writeValue(fleetConfigKey, JSON.stringify(doc));
    },
    "every host shows a finding about {string}": (world, [text]) => showsFinding(world, text!),
    "every watcher shows a finding about {string}": (world, [text]) => showsFinding(world, text!),
    "the document is deleted": world => world.fleet.keyValue.remove(fleetConfigKey),
    "the store is restored to revision 1": world => world.fleet.keyValue.writeValue(fleetConfigKey, world.firstText),
};

function showsFinding(world: ConfigWorld, text: string): Promise<void> {
    return world.everywhere(
        `A finding about ${text}`,
        ({ findings }) => findings.some(({ place, read }) => place.includes(text) || read.includes(text)),
    );
}
