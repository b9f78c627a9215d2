/** Steps about cuts of the network, leaving targets, stopping hosts, and load meanwhile. */

import { type DaemonProcess } from "@tamarackpath/standins";
import { expect } from "chai";
import { eventually } from "../FleetWorld.js";
import { type OperationsWorld } from "../OperationsWorld.js";
import { type StepTable } from "../StepTable.js";

interface TargetDump {
    readonly targets: readonly { readonly target: string; readonly leaving: boolean; }[];
}

interface MembershipDump {
    readonly membership: { readonly live: readonly string[]; };
}

const readyWithinMs = 20_000;
/** A few seconds: the time within which a leaving target may still get new work. */
const leaveWithinMs = 5000;
const watchMs = 1500;

export const networkSteps: StepTable<OperationsWorld> = {
    "zone {word} is cut off": (world, [zone]) => world.fleet.cutZone(zone!),
    "hosts {word} and {word} are cut off from each other": (world, [a, b]) => world.fleet.cutPeers(a!, b!),
    "host {word} is cut off from the platform": (world, [host]) => world.fleet.cutPlatform(host!),
    "every open connection between hosts {word} and {word} goes silent": (world, [a, b]) =>
        world.fleet.stallConnections(a!, b!),
    "every open connection between hosts goes silent": async world => {
        const hosts = world.fleet.daemons.map(({ host }) => host);
        for (const a of hosts) {
            for (const b of hosts.filter(host => host > a)) {
                await world.fleet.stallConnections(a, b);
            }
        }
    },
    "every open connection to target {word} goes silent": async (world, [target]) => {
        for (const { host } of world.fleet.daemons) {
            await world.fleet.stallConnections(host, target!);
        }
    },
    "the network heals": world => world.fleet.restoreNetwork(),
    "the host list lags": world => world.fleet.hostList.pauseUpdates(),
    "the host list is down": world => {
        world.fleet.hostList.isDown = true;
    },
    "the host list catches up": world => {
        world.fleet.hostList.isDown = false;
        world.fleet.hostList.resumeUpdates();
    },
    "all hosts of zone {word} are killed": async (world, [zone]) => {
        await Promise.all(world.fleet.daemons.filter(daemon => daemon.zone === zone).map(daemon => daemon.kill()));
    },
    "all hosts of zone {word} start again": async (world, [zone]) => {
        const hosts = world.fleet.daemons.filter(daemon => daemon.zone === zone);
        hosts.forEach(daemon => daemon.spawn());
        await Promise.all(hosts.map(daemon => daemon.waitUntilReady(readyWithinMs)));
    },
    "host {word} sees the hosts {string}": (world, [host, live]) =>
        eventually(`The view of ${host}`, async () => (await liveSeenBy(world.fleet.daemon(host!))) === live, 30_000),
    "host {word} sees the hosts {string} all the while": async (world, [host, live]) => {
        const end = Date.now() + watchMs;
        while (Date.now() < end) {
            expect(await liveSeenBy(world.fleet.daemon(host!))).to.equal(live);
            await new Promise(resolve => setTimeout(resolve, 50));
        }
    },
};

export const drainSteps: StepTable<OperationsWorld> = {
    "an operator drains target {word} on host {word}": async (world, [target, host]) => {
        expect(await post(world.fleet.daemon(host!), `/v1/targets/${target}/drain`)).to.equal(200);
    },
    "the platform lists target {word} as leaving": (world, [target]) => world.fleet.hostList.markLeaving(target!),
    "target {word} starts again": (world, [target]) => world.fleet.restartTarget(target!),
    "target {word} has work": (world, [target]) =>
        eventually(`Work on ${target}`, () => world.startedAt(target!) > 0, readyWithinMs),
    "target {word} gets no new work after a few seconds": async (world, [target]) => {
        await new Promise(resolve => setTimeout(resolve, leaveWithinMs));
        const before = world.startedAt(target!);
        const elsewhere = startedElsewhere(world, target!);
        await new Promise(resolve => setTimeout(resolve, watchMs));
        expect(world.startedAt(target!), `work that ${target} started`).to.equal(before);
        expect(startedElsewhere(world, target!), "work that others started").to.be.above(elsewhere);
    },
    "target {word} gets work again": (world, [target]) => {
        const before = world.startedAt(target!);
        return eventually(`New work on ${target}`, () => world.startedAt(target!) > before, readyWithinMs);
    },
    "every host that runs knows that target {word} leaves": (world, [target]) =>
        eventually(`The knowledge that ${target} leaves`, async () => {
            const dumps = await Promise.all(world.fleet.daemons.map(host => dumpOf<TargetDump>(host)));
            return dumps.every(dump => dump?.targets.find(view => view.target === target)?.leaving !== false);
        }),
};

export const shutdownSteps: StepTable<OperationsWorld> = {
    "callers send requests all the time": world => world.load(),
    "callers in zone {word} send requests all the time": (world, [zone]) => world.load(zone),
    "host {word} is told to stop": (world, [host]) => {
        world.exits.set(host!, world.fleet.daemon(host!).terminate());
    },
    // A signal that is still pending swallows a second one of its kind, so the first one has to arrive before.
    "host {word} is told to stop once more": async (world, [host]) => {
        const daemon = world.fleet.daemon(host!);
        await eventually("The first signal's effect", async () => !await daemon.isReady());
        void daemon.terminate();
    },
    "host {word} ends with exit code {int}": async (world, [host, code]) => {
        expect(await world.exits.get(host!)).to.equal(Number(code));
    },
    "each host is stopped and started again, one after the other": async world => {
        for (const daemon of world.fleet.daemons) {
            expect(await daemon.restart(readyWithinMs), `exit code of ${daemon.host}`).to.equal(0);
        }
    },
    "an operator drains host {word}": async (world, [host]) => {
        expect(await post(world.fleet.daemon(host!), "/v1/drain")).to.equal(200);
        await eventually("The refusal of requests", async () => !await world.fleet.daemon(host!).isReady());
    },
    "no request was cut, lost or doubled": async world => {
        const accounts = await Promise.all(world.loads.map(load => load.stop()));
        const broken = accounts.flatMap(account => account.broken);
        expect(broken, "broken requests").to.deep.equal([]);
        const runs = world.fleet.orderRuns();
        const confirmed = accounts.flatMap(account => account.confirmed);
        expect(confirmed.filter(order => runs.get(order) !== 1), "orders not run once").to.deep.equal([]);
        expect(runs.size, "orders that ran").to.equal(confirmed.length);
        accounts.forEach(account => {
            expect(account.answered, "answers").to.be.above(0);
            expect(account.streamed, "streams").to.be.above(0);
            expect(account.confirmed.length, "orders").to.be.above(0);
        });
    },
    "some requests were told that their outcome is unknown, and none was cut without a word": async world => {
        const accounts = await Promise.all(world.loads.map(load => load.stop()));
        const broken = accounts.flatMap(account => account.broken);
        expect(broken.length, "requests that were given up").to.be.above(0);
        expect(broken.filter(text => !text.includes("outcome-unknown"))).to.deep.equal([]);
    },
};

function startedElsewhere(world: OperationsWorld, target: string): number {
    return [...world.fleet.engines, ...world.fleet.plain]
        .filter(({ id }) => id !== target)
        .reduce((sum, { id }) => sum + world.startedAt(id), 0);
}

async function liveSeenBy(daemon: DaemonProcess): Promise<string | undefined> {
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
