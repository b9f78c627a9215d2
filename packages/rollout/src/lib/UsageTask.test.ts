/**
 * Replays windows of use with hosts that count, are lost and restarted, and a platform that refuses calls. Guards against reports
 * that contradict each other, are late or missing.
 */

import {
    after,
    asId,
    type ConductorClaim,
    ConductorTerm,
    decodeUsageRecord,
    type DutyCallEnd,
    type DutyHolder,
    type ForwardedCall,
    type HostId,
    type HostUsage,
    type Instant,
    jobKeys,
    type LeaseId,
    type OrganisationId,
    type PeerNetwork,
    problem,
    sleepUntil,
    usageRecordKey,
    type UsageReport,
} from "@tamarackpath/core";
import { expect } from "chai";
import { type Either, Left, Right } from "purify-ts";
import { type ConductorTask } from "./ConductorTask.js";
import { MemoryTransactionalStore } from "./MemoryStore.test.js";
import { type JournalLine } from "./rolloutFleetFixtures.test.js";
import { createSteppingClock } from "./steppingClock.test.js";
import { UsageTask } from "./UsageTask.js";

const windowMs = 5000;
const startedAt = 1_700_000_000_000;
const firstWindow = startedAt / windowMs;
const pullMs = 800;
const organisation = asId<OrganisationId>("a");

interface Received extends UsageReport {
    readonly holder: DutyHolder;
    /** Milliseconds since the start. */
    readonly at: number;
}

interface UsageHost {
    readonly name: HostId;
    readonly task: UsageTask;
    readonly term: ConductorTerm;
    nextPullAt: number;
    /** Until when the host is cut off from the others, in milliseconds since the start. */
    cutOffUntil: number;
    hasCallers: boolean;
}

/** Hosts that count one request each every 100 ms, and pull at the conductor. */
class Replay {
    readonly clock = createSteppingClock(0);
    readonly store = new MemoryTransactionalStore();
    readonly received: Received[] = [];
    readonly lines: JournalLine[] = [];
    readonly hosts: UsageHost[] = [];
    /** Requests that hosts counted, by window. */
    readonly counted = new Map<number, number>();
    openCalls = 0;
    mostOpenCalls = 0;
    conductor: UsageHost | undefined;
    /** Number of hosts that the last answer of the conductor stated. */
    statedHosts: number | undefined;
    /** How the platform answers, and after how many milliseconds. */
    platform: (window: number) => { readonly end: DutyCallEnd; readonly ms: number; } = () => ({
        end: "accepted",
        ms: 4,
    });

    addHost(name: string): UsageHost {
        const term = new ConductorTerm();
        const self = asId<HostId>(name);
        const conductor = {
            term,
            applyClaimChange: () => undefined,
        } as unknown as ConductorTask;
        Object.defineProperty(conductor, "isConductor", { get: () => term.currentClaim !== undefined });
        Object.defineProperty(conductor, "conductor", { get: () => this.conductor?.name });
        const handlers = new Map<string, (usage: HostUsage, from: HostId) => Promise<Either<unknown, unknown>>>();
        const peers = {
            handle: (key: string, handler: never) => handlers.set(key, handler),
            setAddress: () => undefined,
            ask: async (unused: HostId, key: string, usage: HostUsage) =>
                Right(await this.conductorHandlers?.get(key)?.(usage, self) ?? Left(problem("unavailable", "none"))),
        } as unknown as PeerNetwork;
        this.handlersByHost.set(self, handlers);
        const duties = {
            reportUsage: async (report: UsageReport, holder: DutyHolder) => {
                this.openCalls++;
                this.mostOpenCalls = Math.max(this.mostOpenCalls, this.openCalls);
                this.received.push({ ...report, holder, at: this.clock.now() });
                const { end, ms } = this.platform(report.window);
                await sleepUntil(this.clock, after(this.clock.now(), ms));
                this.openCalls--;
                return end;
            },
            orderCapacity: async () => "rejected" as const,
        };
        const journal = {
            log: (event: string, fields = {}) => void this.lines.push({ event, fields: { self, ...fields } }),
        };
        const options = {
            self,
            name,
            windowMs,
            maxCallsPerSecond: 50,
            timeOfDay: () => startedAt + this.clock.now(),
            hostsBefore: () => this.statedHosts,
        };
        const task = new UsageTask(options, conductor, this.store, duties, peers, this.clock, journal);
        const host = {
            name: self,
            task,
            term,
            nextPullAt: this.clock.now() + 100 * this.hosts.length,
            cutOffUntil: 0,
            hasCallers: true,
        };
        this.hosts.push(host);
        return host;
    }

    /** Lets a host claim; it may send calls after `orderDelayMs`. */
    async claim(host: UsageHost, orderDelayMs = 0): Promise<void> {
        const current = (await this.store.get(jobKeys.claim)).unsafeCoerce();
        const res = await this.store.commit({
            expected: [{ key: jobKeys.claim, revision: current?.revision ?? 0 as never }],
            puts: [{ key: jobKeys.claim, value: new Uint8Array() }],
            removes: [],
        });
        const committed = res.unsafeCoerce();
        expect(committed.kind).to.equal("committed");
        const fence = committed.kind === "committed" ? committed.revision : undefined;
        const claim = { lease: asId<LeaseId>("lease"), fence } as ConductorClaim;
        host.term.begin(claim, 1e9 as Instant, after(this.clock.now(), orderDelayMs));
        this.conductor = host;
        host.task.activate();
    }

    /** Ends a host's process. */
    kill(host: UsageHost): void {
        host.term.end();
        host.task.deactivate();
        this.hosts.splice(this.hosts.indexOf(host), 1);
        this.conductor = this.conductor === host ? undefined : this.conductor;
    }

    async run(ms: number): Promise<void> {
        const until = this.clock.now() + ms;
        while (this.clock.now() < until) {
            await this.clock.advance(100);
            const now = this.clock.now();
            for (const host of this.hosts) {
                if (host.hasCallers) {
                    this.count(host, startedAt + now);
                }
                if (now >= Math.max(host.nextPullAt, host.cutOffUntil) && this.conductor !== undefined) {
                    host.nextPullAt = now + pullMs;
                    this.statedHosts = this.hosts.length;
                    this.conductor.task.adoptCounts(host.name, host.task.report());
                    host.task.adoptFixed(this.conductor.task.fixedTo);
                }
            }
        }
    }

    count(host: UsageHost, at: number): void {
        const window = Math.floor(at / windowMs);
        this.counted.set(window, (this.counted.get(window) ?? 0) + 1);
        host.task.recordRun({ organisation } as ForwardedCall, at);
    }

    /** The reported count of each window from the first on, each of which must have one. */
    reportedCounts(): readonly number[] {
        const counts = new Map<number, number>();
        for (const { window, counts: { [organisation]: count = 0 } } of this.received) {
            expect(counts.get(window) ?? count, `window ${window}`).to.equal(count);
            counts.set(window, count);
        }
        return Array.from({ length: counts.size - 1 }, (unused, nth) => counts.get(firstWindow + nth)!);
    }

    countedIn(windows: number): readonly number[] {
        return Array.from({ length: windows }, (unused, nth) => this.counted.get(firstWindow + nth)!);
    }

    private readonly handlersByHost = new Map<
        HostId,
        Map<string, (usage: HostUsage, from: HostId) => Promise<Either<unknown, unknown>>>
    >();

    private get conductorHandlers():
        | Map<string, (usage: HostUsage, from: HostId) => Promise<Either<unknown, unknown>>>
        | undefined
    {
        return this.conductor === undefined ? undefined : this.handlersByHost.get(this.conductor.name);
    }
}

describe("UsageTask", () => {
    it("reports each window once with the counts of all hosts, also of one that is lost and restarted", async () => {
        const replay = new Replay();
        const [first, , third] = ["h0", "h1", "h2"].map(name => replay.addHost(name));
        await replay.claim(first!);
        await replay.run(22_000);
        replay.kill(third!);
        replay.addHost("h2");
        await replay.run(28_000);
        const reported = replay.reportedCounts();
        const counted = replay.countedIn(reported.length);
        expect(reported.length).to.equal(9);
        expect(counted.map((count, nth) => count - reported[nth]!).filter((unused, nth) => nth !== 4))
            .to.deep.equal([0, 0, 0, 0, 0, 0, 0, 0]);
        // The lost host's last pull was at most 800 ms before its end.
        expect(counted[4]! - reported[4]!).to.be.within(0, 8);
        for (const { window, at } of replay.received) {
            expect(at - (window + 1 - firstWindow) * windowMs).to.be.within(2500, 10_000);
        }
        expect(replay.received.length).to.equal(reported.length + 1);
    });

    it("repeats a report exactly when the holder is lost between fixing and sending, or before the answer", async () => {
        for (const firstMaySend of [false, true]) {
            const replay = new Replay();
            const [first, second] = ["h0", "h1"].map(name => replay.addHost(name));
            if (firstMaySend) {
                // The call arrives, and its answer is not seen before the holder is lost.
                replay.platform = window =>
                    window < firstWindow ? { end: "accepted", ms: 4 } : { end: "no-answer", ms: 700 };
            }
            await replay.claim(first!, firstMaySend ? 0 : 1e8);
            await replay.run(8000);
            const item = (await replay.store.get(usageRecordKey)).unsafeCoerce()!;
            const fixed = decodeUsageRecord(item.value).unsafeCoerce();
            expect(fixed.fixedTo).to.equal(firstWindow);
            // More counts for the window turn up at the successor.
            replay.kill(first!);
            replay.count(second!, startedAt + 1000);
            replay.platform = () => ({ end: "accepted", ms: 4 });
            await replay.claim(second!, 2500);
            await replay.run(6000);
            const sent = replay.received.filter(({ window }) => window === firstWindow);
            expect(sent.at(-1)!.holder.name).to.equal("h1");
            const { counts } = fixed.unreported.find(({ window }) => window === firstWindow)!;
            sent.forEach(report => expect(report.counts).to.deep.equal(counts));
            expect(new Set(replay.received.map(({ holder }) => holder.fence)).size).to.equal(firstMaySend ? 2 : 1);
            replay.kill(second!);
        }
    });

    for (const [name, end, ms] of [["429", "busy", 4], ["slow answers", "no-answer", 700]] as const) {
        it(`repeats reports in order, one at a time and ever more rarely, through 30 s of ${name}`, async () => {
            const replay = new Replay();
            const host = replay.addHost("h0");
            await replay.claim(host);
            await replay.run(10_000);
            replay.platform = () => ({ end, ms });
            const before = replay.received.length;
            await replay.run(30_000);
            expect(replay.received.length - before).to.be.within(8, 20);
            replay.platform = () => ({ end: "accepted", ms: 4 });
            await replay.run(10_000);
            const reported = replay.reportedCounts();
            expect(reported).to.deep.equal(replay.countedIn(9));
            const windows = replay.received.map(({ window }) => window);
            expect(windows).to.deep.equal([...windows].sort((a, b) => a - b));
            expect(replay.mostOpenCalls).to.equal(1);
            replay.kill(host);
        });
    }

    // Guards against reports that lack the counts of a part of the hosts that is cut off for 5 s, also while the holder changes.
    for (const isHolderLost of [false, true]) {
        it(`waits for a host that is cut off for 5 s${isHolderLost ? " while the holder is lost" : ""}`, async () => {
            for (const cutOffAt of [8000, 8500, 9000, 9500]) {
                const replay = new Replay();
                const hosts = ["h0", "h1", "h2", "h3"].map(name => replay.addHost(name));
                // Conductors have no callers where there are hosts without; a lost one takes its own counts with it.
                hosts[0]!.hasCallers = false;
                await replay.claim(hosts[0]!);
                await replay.run(cutOffAt);
                hosts[3]!.cutOffUntil = cutOffAt + 5000;
                if (isHolderLost) {
                    replay.kill(hosts[0]!);
                    await replay.run(1500);
                    await replay.claim(hosts[1]!, 2500);
                }
                await replay.run(13_000);
                const reported = replay.reportedCounts().slice(0, 3);
                const counted = replay.countedIn(3);
                expect(reported).to.deep.equal(counted);
                for (const { window, at } of replay.received) {
                    expect(at - (window + 1 - firstWindow) * windowMs).to.be.below(10_000);
                }
                replay.hosts.slice().forEach(host => replay.kill(host));
            }
        });
    }

    it("sends nothing near the end of its lease, and records each call as an order", async () => {
        const replay = new Replay();
        const host = replay.addHost("h0");
        await replay.claim(host);
        host.term.begin({ ...host.term.currentClaim! }, 8000 as Instant, 0 as Instant);
        host.task.activate();
        await replay.run(20_000);
        const ats = replay.received.map(({ at }) => at);
        expect(ats.length).to.be.at.least(1);
        expect(Math.max(...ats)).to.be.below(8000 - 700);
        expect(host.term.lastOrderAt).to.equal(ats.at(-1));
        replay.kill(host);
    });

    it("keeps a bounded number of windows while the platform is away, and drops the oldest with a log line", async () => {
        const replay = new Replay();
        const host = replay.addHost("h0");
        replay.platform = () => ({ end: "no-answer", ms: 700 });
        await replay.claim(host);
        await replay.run(65 * windowMs);
        const record = decodeUsageRecord((await replay.store.get(usageRecordKey)).unsafeCoerce()!.value).unsafeCoerce();
        expect(record.unreported.length).to.equal(60);
        expect(replay.lines.some(({ event }) => event === "usage-dropped")).to.equal(true);
        replay.kill(host);
    });

    it("sends the last counts of a host that stops, and logs counts that come too late", async () => {
        const replay = new Replay();
        const [conductor, leaving] = ["h0", "h1"].map(name => replay.addHost(name));
        await replay.claim(conductor!);
        await replay.run(6000);
        // Counted after the last pull.
        replay.count(leaving!, startedAt + replay.clock.now());
        await leaving!.task.sendLastCounts();
        replay.kill(leaving!);
        await replay.run(7000);
        expect(replay.reportedCounts()).to.deep.equal(replay.countedIn(2));
        conductor!.task.adoptCounts(asId<HostId>("h2"), {
            incarnation: 1,
            window: firstWindow,
            windows: [{ window: firstWindow, counts: [[organisation, 3]] }],
        });
        expect(replay.lines.filter(({ event }) => event === "usage-late").map(({ fields }) => fields["requests"]))
            .to.deep.equal([3]);
        replay.kill(conductor!);
    });
});
