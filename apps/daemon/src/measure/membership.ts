/**
 * Measures the cost of membership: runs the membership of one zone over real peer links in one process, and prints
 * bytes, messages and processor time per member in an idle zone, and how long the others take to drop a stopped member.
 * Usage: node apps/daemon/dist/measure/membership.js MEMBERS...
 */

import { ClientGuard, systemClock, WsPeerNetwork } from "@tamarackpath/adapters";
import {
    ConfigRegistry,
    deriveClientLimits,
    FactMap,
    type HostId,
    type Incarnation,
    LeavingTargetRegistry,
    seededRandom,
    type ZoneId,
} from "@tamarackpath/core";
import Emittery from "emittery";
import { type Context, type DaemonEvents, type Ports } from "../lib/Context.js";
import { Logs } from "../lib/Log.js";
import { Metrics } from "../lib/Metrics.js";
import { MembershipTask } from "../lib/tasks/MembershipTask.js";

interface Member {
    readonly host: HostId;
    readonly peers: WsPeerNetwork;
    readonly ctx: Context;
    readonly task: MembershipTask;
}

/** How long the members have to find each other before the measurement. */
const settleMs = 25_000;
const measureMs = 10_000;
const detectionTimeoutMs = 30_000;
const pollMs = 20;
const zone = "leon" as ZoneId;

async function startMember(nth: number, ports: Map<HostId, number>): Promise<Member> {
    const host = `leon-${nth}` as HostId;
    const random = seededRandom(host);
    const peers = new WsPeerNetwork({
        self: host,
        listenHost: "127.0.0.1",
        listenPort: 0,
        secret: "measure",
        random,
        pingIntervalMs: 500,
        pongTimeoutMs: 1500,
    }, systemClock);
    const port = await peers.listen();
    ports.set(host, port);
    const facts = new FactMap();
    const logs = new Logs(host, "error");
    const ctx: Context = {
        host,
        zone,
        incarnation: systemClock.now() as number as Incarnation,
        clock: systemClock,
        random,
        bus: new Emittery<DaemonEvents>(),
        ports: { peers } as unknown as Ports,
        config: new ConfigRegistry(),
        facts,
        leaving: new LeavingTargetRegistry(facts),
        metrics: new Metrics(),
        guard: new ClientGuard(deriveClientLimits(undefined, undefined), systemClock, () => undefined),
        log: prefix => logs.forPrefix(prefix),
    };
    return { host, peers, ctx, task: new MembershipTask(ctx, { address: `127.0.0.1:${port}`, seeds: [] }) };
}

async function sleep(ms: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, ms));
}

function total(members: readonly Member[], count: (member: Member) => number): number {
    return members.reduce((sum, member) => sum + count(member), 0);
}

async function measureDetection(members: readonly Member[], lost: Member): Promise<readonly number[]> {
    const others = members.filter(member => member !== lost);
    lost.task.stop();
    await lost.peers.close();
    const start = Date.now();
    const times = new Map<HostId, number>();
    while (times.size < others.length && Date.now() - start < detectionTimeoutMs) {
        for (const { host, task } of others) {
            if (!times.has(host) && !task.live().includes(lost.host)) {
                times.set(host, Date.now() - start);
            }
        }
        await sleep(pollMs);
    }
    return [...times.values()].sort((a, b) => a - b);
}

async function measure(count: number): Promise<void> {
    const ports = new Map<HostId, number>();
    const members = await Promise.all(Array.from({ length: count }, (unused, nth) => startMember(nth, ports)));
    const hosts = [...ports].map(([host, port]) => ({
        host,
        zone,
        peerAddress: `127.0.0.1:${port}`,
        leaving: false,
    }));
    for (const { task, ctx } of members) {
        task.start();
        void ctx.bus.emit("hostListRead", { hosts, targets: [] });
    }
    await sleep(settleMs);
    const cpu = process.cpuUsage();
    const bytes = total(members, ({ peers }) => peers.traffic.sentBytes);
    const messages = total(members, ({ peers }) => peers.traffic.sentMessages);
    await sleep(measureMs);
    const seconds = measureMs / 1000 * count;
    const { user, system } = process.cpuUsage(cpu);
    const sentBytes = total(members, ({ peers }) => peers.traffic.sentBytes) - bytes;
    const sentMessages = total(members, ({ peers }) => peers.traffic.sentMessages) - messages;
    const seen = Math.min(...members.map(({ task }) => task.live().length));
    const times = await measureDetection(members, members[0]!);
    console.log(JSON.stringify({
        members: count,
        smallestView: seen,
        sentBytesPerSecond: Math.round(sentBytes / seconds),
        sentMessagesPerSecond: Number((sentMessages / seconds).toFixed(1)),
        cpuPercent: Number(((user + system) / 10_000 / seconds).toFixed(2)),
        detectedBy: times.length,
        detectionMs: { median: times[Math.floor(times.length / 2)], last: times.at(-1) },
    }));
    members.forEach(({ task }) => task.stop());
    await Promise.all(members.map(({ peers }) => peers.close()));
}

for (const count of process.argv.slice(2).map(Number)) {
    await measure(count);
}
