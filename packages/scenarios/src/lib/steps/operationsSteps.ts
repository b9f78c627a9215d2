/** Steps about network partitions, leaving targets and stopping hosts, under load. */

import { type DaemonProcess } from "@tamarackpath/standins";
import { expect } from "chai";
import { waitUntil } from "../FleetFixture.js";
import { type OperationsFixture } from "../OperationsFixture.js";
import { type StepTable } from "../StepTable.js";

interface TargetDump {
    readonly targets: readonly { readonly target: string; readonly leaving: boolean; }[];
}

interface MembershipDump {
    readonly membership: { readonly live: readonly string[]; };
}

const readyTimeoutMs = 20_000;
/** Time within which a target that starts to leave may still get new work. */
const maxLeaveDelayMs = 5000;
const observationMs = 1500;

export const networkSteps: StepTable<OperationsFixture> = {
    "zone {word} is cut off": (fixture, [zone]) => fixture.fleet.cutZone(zone!),
    "hosts {word} and {word} are cut off from each other": (fixture, [a, b]) => fixture.fleet.cutPeers(a!, b!),
    "host {word} is cut off from the platform": (fixture, [host]) => fixture.fleet.cutPlatform(host!),
    "every open connection between hosts {word} and {word} carries no more data": (fixture, [a, b]) =>
        fixture.fleet.stallConnections(a!, b!),
    "every open connection between hosts carries no more data": async fixture => {
        const hosts = fixture.fleet.daemons.map(({ host }) => host);
        for (const a of hosts) {
            for (const b of hosts.filter(host => host > a)) {
                await fixture.fleet.stallConnections(a, b);
            }
        }
    },
    "every open connection to target {word} carries no more data": async (fixture, [target]) => {
        for (const { host } of fixture.fleet.daemons) {
            await fixture.fleet.stallConnections(host, target!);
        }
    },
    "the network recovers": fixture => fixture.fleet.restoreNetwork(),
    "the host list is out of date": fixture => fixture.fleet.hostList.pauseUpdates(),
    "the host list is down": fixture => {
        fixture.fleet.hostList.isDown = true;
    },
    "the host list is up to date": fixture => {
        fixture.fleet.hostList.isDown = false;
        fixture.fleet.hostList.resumeUpdates();
    },
    "all hosts of zone {word} are killed": async (fixture, [zone]) => {
        await Promise.all(fixture.fleet.daemons.filter(daemon => daemon.zone === zone).map(daemon => daemon.kill()));
    },
    "all hosts of zone {word} start again": async (fixture, [zone]) => {
        const hosts = fixture.fleet.daemons.filter(daemon => daemon.zone === zone);
        hosts.forEach(daemon => daemon.spawn());
        await Promise.all(hosts.map(daemon => daemon.waitUntilReady(readyTimeoutMs)));
    },
    "host {word} lists the hosts {string} as alive": (fixture, [host, live]) =>
        waitUntil(
            `the live hosts of ${host} are the expected ones`,
            async () => (await liveHostsOf(fixture.fleet.daemon(host!))) === live,
            30_000,
        ),
    "host {word} lists the hosts {string} as alive all the time": async (fixture, [host, live]) => {
        const end = Date.now() + observationMs;
        while (Date.now() < end) {
            expect(await liveHostsOf(fixture.fleet.daemon(host!))).to.equal(live);
            await new Promise(resolve => setTimeout(resolve, 50));
        }
    },
};

export const drainSteps: StepTable<OperationsFixture> = {
    "an operator drains target {word} on host {word}": async (fixture, [target, host]) => {
        expect(await post(fixture.fleet.daemon(host!), `/v1/targets/${target}/drain`)).to.equal(200);
    },
    "the platform lists target {word} as leaving": (fixture, [target]) => fixture.fleet.hostList.markLeaving(target!),
    "target {word} starts again": (fixture, [target]) => fixture.fleet.restartTarget(target!),
    "target {word} has work": (fixture, [target]) =>
        waitUntil(`work starts on ${target}`, () => fixture.startedWorkOf(target!) > 0, readyTimeoutMs),
    "target {word} gets no new work after a few seconds": async (fixture, [target]) => {
        await new Promise(resolve => setTimeout(resolve, maxLeaveDelayMs));
        const before = fixture.startedWorkOf(target!);
        const elsewhere = startedByOtherTargets(fixture, target!);
        await new Promise(resolve => setTimeout(resolve, observationMs));
        expect(fixture.startedWorkOf(target!), `work that ${target} started`).to.equal(before);
        expect(startedByOtherTargets(fixture, target!), "work that others started").to.be.above(elsewhere);
    },
    "target {word} gets work again": (fixture, [target]) => {
        const before = fixture.startedWorkOf(target!);
        return waitUntil(`new work starts on ${target}`, () => fixture.startedWorkOf(target!) > before, readyTimeoutMs);
    },
    "every running host lists target {word} as leaving": (fixture, [target]) =>
        waitUntil(`every running host lists ${target} as leaving`, async () => {
            const dumps = await Promise.all(fixture.fleet.daemons.map(host => dumpOf<TargetDump>(host)));
            return dumps.every(dump => dump?.targets.find(view => view.target === target)?.leaving !== false);
        }),
};

/** Milliseconds between signals, so that each is handled before the next one. */
const signalGapMs = 150;

export const shutdownSteps: StepTable<OperationsFixture> = {
    "callers send requests continuously": fixture => fixture.startLoad(),
    "callers in zone {word} send requests continuously": (fixture, [zone]) => fixture.startLoad(zone),
    "an operator stops host {word}": (fixture, [host]) => {
        fixture.exitCodes.set(host!, fixture.fleet.daemon(host!).terminate());
    },
    "an operator interrupts host {word}": (fixture, [host]) => {
        fixture.exitCodes.set(host!, fixture.fleet.daemon(host!).interrupt());
    },
    // A second signal of the same kind is lost while the first one is pending, so the first has to take effect before.
    "an operator interrupts host {word} a second time": async (fixture, [host]) => {
        const daemon = fixture.fleet.daemon(host!);
        await waitUntil("the first signal takes effect", async () => !await daemon.isReady());
        void daemon.interrupt();
    },
    "host {word} gets the signals SIGTERM, SIGHUP, SIGTERM, SIGINT and SIGTERM": async (fixture, [host]) => {
        const daemon = fixture.fleet.daemon(host!);
        await waitUntil("the first signal takes effect", async () => !await daemon.isReady());
        for (const signal of ["SIGTERM", "SIGHUP", "SIGTERM", "SIGINT", "SIGTERM"] as const) {
            daemon.signal(signal);
            await new Promise(resolve => setTimeout(resolve, signalGapMs));
        }
    },
    "host {word} ends with exit code {int}": async (fixture, [host, code]) => {
        expect(await fixture.exitCodes.get(host!)).to.equal(Number(code));
    },
    "each host is stopped and started again, one after the other": async fixture => {
        for (const daemon of fixture.fleet.daemons) {
            expect(await daemon.restart(readyTimeoutMs), `exit code of ${daemon.host}`).to.equal(0);
        }
    },
    "an operator drains host {word}": async (fixture, [host]) => {
        expect(await post(fixture.fleet.daemon(host!), "/v1/drain")).to.equal(200);
        await waitUntil("the host is not ready", async () => !await fixture.fleet.daemon(host!).isReady());
    },
    "no request was cut off, lost or duplicated": async fixture => {
        const results = await Promise.all(fixture.loads.map(load => load.stop()));
        const broken = results.flatMap(result => result.broken);
        expect(broken, "broken requests").to.deep.equal([]);
        const runs = fixture.fleet.orderRuns();
        const confirmed = results.flatMap(result => result.confirmed);
        expect(confirmed.filter(order => runs.get(order) !== 1), "orders not run once").to.deep.equal([]);
        expect(runs.size, "orders that ran").to.equal(confirmed.length);
        results.forEach(result => {
            expect(result.answered, "answers").to.be.above(0);
            expect(result.streamed, "streams").to.be.above(0);
            expect(result.confirmed.length, "orders").to.be.above(0);
        });
    },
    "some requests ended with an unknown outcome, and none was cut off without an answer": async fixture => {
        const results = await Promise.all(fixture.loads.map(load => load.stop()));
        const broken = results.flatMap(result => result.broken);
        expect(broken.length, "requests with an unknown outcome").to.be.above(0);
        expect(broken.filter(text => !text.includes("outcome-unknown"))).to.deep.equal([]);
    },
};

function startedByOtherTargets(fixture: OperationsFixture, target: string): number {
    return [...fixture.fleet.engines, ...fixture.fleet.plain]
        .filter(({ id }) => id !== target)
        .reduce((sum, { id }) => sum + fixture.startedWorkOf(id), 0);
}

async function liveHostsOf(daemon: DaemonProcess): Promise<string | undefined> {
    return (await dumpOf<MembershipDump>(daemon))?.membership.live.join(" ");
}

async function dumpOf<Dump>(daemon: DaemonProcess): Promise<Dump | undefined> {
    return daemon.dump<Dump>().catch(() => undefined);
}

async function post(daemon: DaemonProcess, path: string): Promise<number> {
    const res = await fetch(`${daemon.operatorUrl}${path}`, {
        method: "POST",
        headers: { authorization: `Bearer ${daemon.operatorToken}` },
    });
    await res.arrayBuffer();
    return res.status;
}
