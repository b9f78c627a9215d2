/** Steps about accepting configuration documents and bringing them into force. */

import { fleetConfigKey } from "@tamarackpath/standins";
import { expect } from "chai";
import { type ConfigFixture } from "../ConfigFixture.js";
import { waitUntil } from "../FleetFixture.js";
import { type StepTable } from "../StepTable.js";

const waitUntilInForce = (fixture: ConfigFixture, revision: string): Promise<void> =>
    fixture.waitForHosts(
        `revision ${revision} is in force`,
        ({ revisions }) => revisions.some(entry => entry.name === "fleet" && entry.revision === Number(revision)),
    );

const laterRevision = 40;

export const configSteps: StepTable<ConfigFixture> = {
    "a fleet of {int} zones with {int} hosts": (fixture, [zones, hosts]) =>
        fixture.startZones(Number(zones), Number(hosts)),
    "a fleet of {int} zones with {int} hosts where host {word} has a disk": (fixture, [zones, hosts, host]) =>
        fixture.startZones(Number(zones), Number(hosts), { diskHosts: [host!] }),
    "operators ana and ben change different values of revision 1 at once through two hosts": async fixture => {
        const base = fixture.storedConfig();
        const [first, second] = fixture.runningHosts();
        await Promise.all([fixture.propose("ana", base, first!.host), fixture.propose("ben", base, second!.host)]);
    },
    "one of them is refused with the difference": fixture => {
        const refused = fixture.proposals.filter(({ result }) => result.isLeft());
        expect(refused.length, "refused operators").to.equal(1);
        const found = refused[0]!.result.swap().unsafeCoerce();
        expect(found.type).to.equal("conflict");
        expect(found.findings?.map(finding => finding.place)).to.include.members([
            "pools.engines.slotsPerTarget",
            "services.rollouts.lateCost",
        ]);
    },
    "the refused operator rebases the change on revision 2": async fixture => {
        const refused = fixture.proposals.find(({ result }) => result.isLeft())!;
        expect((await fixture.rebase(refused)).result.unsafeCoerce().revision).to.equal(3);
    },
    "both changes are in force at revision 3 on every host": async fixture => {
        await waitUntilInForce(fixture, "3");
        const { pools, services } = fixture.storedConfig();
        expect([pools[0]!["slotsPerTarget"], services[0]!["lateCost"]]).to.deep.equal([9, 7]);
    },
    "the answers to the next {int} writes are lost and operator {word} changes revision {int}": async (
        fixture,
        [count, operator],
    ) => {
        fixture.fleet.keyValue.faults.loseAnswers = Number(count);
        await fixture.propose(operator!, fixture.storedConfig());
    },
    "the change is accepted once as revision {int}": (fixture, [revision]) => {
        expect(fixture.proposals.at(-1)!.result.unsafeCoerce().revision).to.equal(Number(revision));
        expect(fixture.storedConfig().revision).to.equal(Number(revision));
    },
    "the history shows revisions {int} to {int}": (fixture, [from, to]) => {
        for (let revision = Number(from); revision <= Number(to); revision++) {
            const slot = String(revision).padStart(2, "0");
            const kept = JSON.parse(fixture.fleet.keyValue.readValue(`tamarackpath/history/fleet/${slot}`)!) as object;
            expect(kept).to.deep.include({ revision });
        }
    },
    "one watcher of zone {word} is killed and the other frozen": async (fixture, [zone]) => {
        const [killed, frozen] = await fixture.watchers(zone!);
        await killed!.kill();
        frozen!.freeze();
        fixture.frozen = frozen;
        [killed!, frozen!].forEach(daemon => fixture.running.delete(daemon.host));
    },
    "the frozen host is thawed": fixture => {
        fixture.frozen!.thaw();
        fixture.running.add(fixture.frozen!.host);
    },
    "operator {word} changes revision {int}": async (fixture, [operator, revision]) => {
        const base = fixture.storedConfig();
        expect(base.revision).to.equal(Number(revision));
        await waitUntil(
            "the change is accepted",
            async () => (await fixture.propose(operator!, base)).result.isRight(),
        );
    },
    "revision {int} is in force on every host": (fixture, [revision]) => waitUntilInForce(fixture, revision!),
    "revision {int} is in force on every running host": (fixture, [revision]) => waitUntilInForce(fixture, revision!),
    "the watches of the key-value service deliver no events": fixture => {
        fixture.fleet.keyValue.faults.silentWatches = true;
    },
    "every host is killed and starts again": async fixture => {
        await Promise.all(fixture.fleet.daemons.map(daemon => daemon.kill()));
        fixture.fleet.daemons.forEach(daemon => daemon.spawn());
        await Promise.all(fixture.fleet.daemons.map(daemon => daemon.waitUntilReady(20_000)));
    },
    "zone {word} is cut off from the key-value service": (fixture, [zone]) => {
        const hosts = fixture.fleet.daemons.filter(daemon => daemon.zone === zone).map(({ host }) => host);
        fixture.fleet.keyValue.faults.blockedClients.push(...hosts.map(host => `tamarackd/${host}`));
    },
    "the event of revision 1 is replayed": fixture =>
        fixture.fleet.keyValue.replay(fleetConfigKey, fixture.initialText, 1),
    "a document of a later format is written": fixture => {
        const doc = { ...fixture.storedConfig(), revision: laterRevision, format: 2 };
        fixture.fleet.keyValue.writeValue(fleetConfigKey, JSON.stringify(doc));
    },
    "every host reports a finding about {string}": (fixture, [text]) => waitForFinding(fixture, text!),
    "every watcher reports a finding about {string}": (fixture, [text]) => waitForFinding(fixture, text!),
    "the document is deleted": fixture => fixture.fleet.keyValue.remove(fleetConfigKey),
    "the store is restored to revision 1": fixture =>
        fixture.fleet.keyValue.writeValue(fleetConfigKey, fixture.initialText),
};

function waitForFinding(fixture: ConfigFixture, text: string): Promise<void> {
    return fixture.waitForHosts(
        `a finding mentions "${text}"`,
        ({ findings }) => findings.some(({ place, read }) => place.includes(text) || read.includes(text)),
    );
}
