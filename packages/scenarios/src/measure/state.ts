/**
 * Measures configuration and weights on real daemons: the time from an accepted change to in force on every host, the
 * key-value calls of a change and of an idle minute, and the roll-out time of weights under the weight store's rate.
 */

import { OperatorClient, TrainerClient } from "@tamarackpath/client";
import { Fleet, fleetService, fleetToken } from "@tamarackpath/standins";
import { eventually } from "../lib/FleetWorld.js";

const zone = "leon";
const changes = 10;
const idleMs = 10_000;
const settleMs = 4000;
const patienceMs = 60_000;
const msPerMinute = 60_000;

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

function countCalls(fleet: Fleet): number {
    return [...fleet.keyValue.calls.values()].reduce((sum, count) => sum + count, 0);
}

async function revisionsInForce(daemons: Fleet["daemons"]): Promise<readonly number[]> {
    return await Promise.all(daemons.map(async daemon => {
        const client = new OperatorClient(daemon.operatorUrl, daemon.operatorToken);
        const status = await client.status<{ config: { revision: number; }[]; }>();
        return status.map(found => found.config[0]?.revision ?? 0).orDefault(0);
    }));
}

async function sinceTimes(daemons: Fleet["daemons"]): Promise<readonly number[]> {
    return await Promise.all(daemons.map(async daemon => {
        const client = new OperatorClient(daemon.operatorUrl, daemon.operatorToken);
        const status = await client.status<{ config: { since: number; }[]; }>();
        return status.unsafeCoerce().config[0]!.since;
    }));
}

async function change(fleet: Fleet, nth: number, daemons = fleet.daemons): Promise<number> {
    const { revision: base, ...stored } = JSON.parse(
        fleet.keyValue.readValue("tamarackpath/config/fleet")!,
    ) as { revision: number; operationId?: string; };
    const doc = { ...stored, operationId: undefined };
    const daemon = daemons[0]!;
    const client = new OperatorClient(daemon.operatorUrl, daemon.operatorToken);
    const res = await client.applyConfig("fleet", { doc, base, operationId: `measure-${nth}` });
    const acceptedAt = Date.now();
    const { revision } = res.unsafeCoerce();
    await eventually(
        "The revision",
        async () => (await revisionsInForce(daemons)).every(found => found === revision),
        patienceMs,
    );
    return Math.max(0, Math.max(...await sinceTimes(daemons)) - acceptedAt);
}

async function measureConfig(hosts: number): Promise<void> {
    const fleet = await Fleet.start({ zones: [zone], hostsPerZone: hosts, enginesPerZone: 0, plainPerZone: 0 });
    try {
        await pause(settleMs);
        const idleBefore = countCalls(fleet);
        await pause(idleMs);
        const idlePerMinute = (countCalls(fleet) - idleBefore) * msPerMinute / idleMs;
        const startedAt = Date.now();
        const before = countCalls(fleet);
        const times: number[] = [];
        for (let nth = 0; nth < changes; nth++) {
            times.push(await change(fleet, nth));
        }
        const idleCalls = idlePerMinute * (Date.now() - startedAt) / msPerMinute;
        const callsPerChange = Math.round((countCalls(fleet) - before - idleCalls) * 10 / changes) / 10;
        times.sort((a, b) => a - b);
        const median = times[Math.floor(times.length / 2)];
        console.log(JSON.stringify({ hosts, median, longest: times.at(-1), callsPerChange, idlePerMinute }));
    }
    finally {
        await fleet.close();
    }
}

/** The same when one watcher is killed and the other frozen right before the change. */
async function measureWatcherLoss(hosts: number): Promise<void> {
    const fleet = await Fleet.start({ zones: [zone], hostsPerZone: hosts, enginesPerZone: 0, plainPerZone: 0 });
    try {
        await pause(settleMs);
        const duties = await Promise.all(fleet.daemons.map(async daemon => {
            const dump = await daemon.dump<{ config: { followers: { duty: string; }[]; }; }>();
            return { daemon, duty: dump.config.followers[0]!.duty };
        }));
        const [killed, frozen] = duties.filter(({ duty }) => duty === "watch").map(({ daemon }) => daemon);
        await killed!.kill();
        frozen!.freeze();
        const others = fleet.daemons.filter(daemon => daemon !== killed && daemon !== frozen);
        const longest = await change(fleet, 0, others);
        console.log(JSON.stringify({ hosts, watchersLost: 2, longest }));
    }
    finally {
        await fleet.close();
    }
}

async function measureRollOut(engines: number, fetchesPerSecond: number): Promise<void> {
    const fleet = await Fleet.start({
        zones: [zone],
        hostsPerZone: 3,
        enginesPerZone: engines,
        plainPerZone: 0,
        engine: { swapMs: 500 },
        adjustConfig: doc => {
            doc.pools[0]!["weightFetchesPerSecond"] = fetchesPerSecond;
        },
    });
    try {
        await pause(settleMs);
        const trainer = new TrainerClient({
            urls: fleet.urls(),
            service: fleetService.rollout,
            token: fleetToken.trainer,
            pullTimeoutMs: 4000,
            pullWaitMs: 1000,
        });
        const startedAt = Date.now();
        (await trainer.publish(2)).unsafeCoerce();
        await eventually(
            "The roll-out",
            () => fleet.engines.every(({ standIn }) => standIn.versionWhole && standIn.version === 2),
            patienceMs,
        );
        const tookMs = Date.now() - startedAt;
        const orders = fleet.engines.reduce((sum, { standIn }) => sum + standIn.stats.ordersSeen.length, 0);
        const ordersPerSecond = Math.round(orders * 10_000 / tookMs) / 10;
        console.log(JSON.stringify({ engines, fetchesPerSecond, tookMs, orders, ordersPerSecond }));
    }
    finally {
        await fleet.close();
    }
}

for (const hosts of [4, 8, 16]) {
    await measureConfig(hosts);
    await measureWatcherLoss(hosts);
}
for (const engines of [4, 8, 16, 32]) {
    await measureRollOut(engines, 10);
}
