/**
 * A model of the reports of use: hosts that count, pull and are lost, conductors that change, are paused and lose answers, a
 * store with conditional writes and a platform that refuses calls. Guards against contradicting, doubled and lost counts.
 */

import { expect } from "chai";
import * as fc from "fast-check";
import { ConductorTerm } from "../conduct/ConductorTerm.js";
import { asId, type Instant, type KeyRevision, type LeaseId, type OrganisationId } from "../ids.js";
import { seededRandom } from "../membership/seededRandom.js";
import { type DutyCallEnd, type UsageReport } from "../ports/DutyPlatform.js";
import { type HostUsage, UsageCounter, windowAt } from "./UsageCounter.js";
import { UsageLedger } from "./UsageLedger.js";
import { decodeUsageRecord, encodeUsageRecord } from "./UsageRecord.js";
import { UsageReporter } from "./UsageReporter.js";

/** Number of interleavings and the seed that they are drawn from; runs by hand set TAMARACK_RUNS and TAMARACK_SEED. */
const runs = Number(process.env["TAMARACK_RUNS"] ?? 150);
const seed = Number(process.env["TAMARACK_SEED"] ?? 352);

const windowMs = 5000;
const stepMs = 100;
const startedAt = 1_700_000_000_000;
const faultyMs = 40_000;
const quietMs = 30_000;
const leaseMs = 1500;
const pullMs = 800;
const organisations = ["a", "b", "__proto__"].map(name => asId<OrganisationId>(name));

/** Chances of a fault in each step or at each message, call or write. */
interface Faults {
    readonly seed: number;
    readonly kill: number;
    readonly pause: number;
    readonly loss: number;
    readonly write: number;
    readonly call: number;
}

interface Term {
    readonly fence: number;
    readonly lease: ConductorTerm;
    readonly reporter: UsageReporter;
    /** When the result of the step in progress arrives. */
    pending: { readonly at: number; readonly apply: () => void; } | undefined;
}

interface ModelHost {
    readonly name: string;
    readonly incarnation: number;
    readonly counter: UsageCounter;
    readonly ledger: UsageLedger;
    term: Term | undefined;
    pausedUntil: number;
    wasPaused: boolean;
    isAlive: boolean;
    nextPullAt: number;
    hasLostPull: boolean;
    /** The fencing token of the conductor that the host follows, and when it learns of the present one. */
    follows: number;
    learnsAt: number;
}

interface Received extends UsageReport {
    readonly holder: string;
    readonly fence: number;
}

class Model {
    readonly received: Received[] = [];
    /** True counts by window, process and organisation. */
    readonly truth = new Map<number, Map<ModelHost, Map<OrganisationId, number>>>();
    readonly hosts: ModelHost[];
    /** The highest counts that each conductor got, by its process, the counting process, window and organisation. */
    private readonly delivered = new Map<ModelHost, Map<ModelHost, Map<string, number>>>();
    private readonly random: () => number;
    /** The first window of the first record, which the store got at some time. */
    firstWindow = Infinity;
    private now = startedAt;
    private record: { readonly value: Uint8Array | undefined; readonly revision: number; } = {
        value: undefined,
        revision: 0,
    };
    private claim = { fence: 0, until: 0, free: startedAt };
    private revision = 0;
    private later: { readonly at: number; readonly run: () => void; }[] = [];

    constructor(private readonly faults: Faults) {
        this.random = seededRandom(faults.seed);
        this.hosts = [0, 1, 2].map(number => this.createHost(`h${number}`));
    }

    run(): void {
        while (this.now < startedAt + faultyMs + quietMs) {
            this.now += stepMs;
            const due = this.later.filter(({ at }) => at <= this.now);
            this.later = this.later.filter(({ at }) => at > this.now);
            due.forEach(({ run }) => run());
            this.disturb();
            const active = this.hosts.filter(host => host.isAlive && host.pausedUntil <= this.now);
            this.renewOrClaim(active);
            for (const host of active) {
                this.count(host);
                this.pull(host);
                this.conduct(host);
            }
        }
    }

    private get isQuiet(): boolean {
        return this.now > startedAt + faultyMs;
    }

    private chance(of: number): boolean {
        return !this.isQuiet && this.random() < of;
    }

    private afterMs(ms: number, run: () => void): void {
        this.later.push({ at: this.now + ms, run });
    }

    private createHost(name: string): ModelHost {
        const incarnation = this.now;
        return {
            name,
            incarnation,
            counter: new UsageCounter(incarnation, windowMs),
            ledger: new UsageLedger(windowMs),
            term: undefined,
            pausedUntil: 0,
            wasPaused: false,
            isAlive: true,
            nextPullAt: this.now + this.random() * pullMs,
            hasLostPull: false,
            follows: 0,
            learnsAt: 0,
        };
    }

    /** Kills and restarts hosts, and pauses them; the conductor more often than others. */
    private disturb(): void {
        for (const [nth, host] of this.hosts.entries()) {
            if (!host.isAlive) {
                if (this.isQuiet || this.random() < 0.05) {
                    this.hosts[nth] = this.createHost(host.name);
                }
                continue;
            }
            const factor = host.term === undefined ? 1 : 4;
            if (this.chance(this.faults.kill * factor)) {
                host.isAlive = false;
            }
            else if (this.chance(this.faults.pause * factor)) {
                host.pausedUntil = this.now + this.random() * 4000;
                host.wasPaused = true;
            }
        }
    }

    private renewOrClaim(active: readonly ModelHost[]): void {
        const holder = active.find(({ term }) => term?.fence === this.claim.fence);
        if (holder?.term !== undefined && this.now < this.claim.until) {
            this.claim.until = this.now + leaseMs;
            holder.term.lease.renew("lease" as LeaseId, this.claim.until as Instant);
        }
        if (this.now < this.claim.until) {
            this.claim.free = this.now + 300 + this.random() * 600;
            return;
        }
        const next = active[Math.floor(this.random() * active.length)];
        if (this.now >= this.claim.free && next !== undefined) {
            const fence = ++this.revision;
            this.claim = { fence, until: this.now + leaseMs, free: this.now };
            const lease = new ConductorTerm();
            const claim = { lease: "lease" as LeaseId, fence: fence as KeyRevision };
            lease.begin(claim, this.claim.until as Instant, this.now + 2500 as Instant);
            const reporter = new UsageReporter(next.ledger, windowMs, 20, this.now as Instant, this.now, 0);
            next.term = { fence, lease, reporter, pending: undefined };
            this.hosts.forEach(host => host.learnsAt = this.now + this.random() * 1000);
        }
    }

    private count(host: ModelHost): void {
        for (let nth = Math.floor(this.random() * 3); nth > 0; nth--) {
            // The end of a request, with which its begin is counted, comes up to 300 ms later.
            const begunAt = Math.max(host.incarnation, this.now - Math.floor(this.random() * 300));
            const organisation = organisations[Math.floor(this.random() * organisations.length)]!;
            host.counter.record(organisation, begunAt);
            const window = windowAt(begunAt, windowMs);
            const hosts = this.truth.get(window) ?? new Map<ModelHost, Map<OrganisationId, number>>();
            const counts = hosts.get(host) ?? new Map<OrganisationId, number>();
            counts.set(organisation, (counts.get(organisation) ?? 0) + 1);
            hosts.set(host, counts);
            this.truth.set(window, hosts);
        }
    }

    /** Sends the host's counts to the conductor that it follows; of two pulls in a row at most one is lost. */
    private pull(host: ModelHost): void {
        if (host.follows !== this.claim.fence && this.now >= host.learnsAt) {
            host.follows = this.claim.fence;
            host.nextPullAt = this.now;
        }
        if (this.now < host.nextPullAt) {
            return;
        }
        host.nextPullAt = this.now + pullMs;
        const conductor = this.hosts.find(({ term }) => term?.fence === host.follows);
        const usage = host.counter.report(this.now);
        const isLost = !host.hasLostPull && this.chance(this.faults.loss);
        host.hasLostPull = isLost;
        if (conductor === undefined || isLost) {
            return;
        }
        this.deliver(conductor, host, usage);
        if (this.chance(this.faults.loss)) {
            this.afterMs(this.random() * 4000, () => this.deliver(conductor, host, usage));
        }
    }

    private deliver(conductor: ModelHost, host: ModelHost, usage: HostUsage): void {
        if (!conductor.isAlive || conductor.pausedUntil > this.now || conductor.term === undefined) {
            return;
        }
        this.adopt(conductor, host, usage);
        const { fixedTo } = conductor.term.reporter;
        if (fixedTo !== undefined && !this.chance(this.faults.loss)) {
            host.counter.recordFixed(fixedTo);
        }
    }

    private adopt(conductor: ModelHost, host: ModelHost, usage: HostUsage): void {
        conductor.ledger.adopt(host.name, usage, this.now);
        const processes = this.delivered.get(conductor) ?? new Map<ModelHost, Map<string, number>>();
        const counts = processes.get(host) ?? new Map<string, number>();
        for (const { window, counts: each } of usage.windows) {
            each.forEach(([name, requests]) =>
                counts.set(`${window} ${name}`, Math.max(requests, counts.get(`${window} ${name}`) ?? 0))
            );
        }
        this.delivered.set(conductor, processes.set(host, counts));
    }

    /** Checks that a conductor fixes what it got from all processes, those that are lost included. */
    private checkFixed(conductor: ModelHost, { window, counts }: UsageReport): void {
        const processes = [...this.delivered.get(conductor)?.values() ?? []];
        for (const name of organisations) {
            const sum = processes.reduce((total, each) => total + (each.get(`${window} ${name}`) ?? 0), 0);
            const fixed = Object.entries(counts).find(([each]) => each === name)?.[1] ?? 0;
            expect(fixed, `window ${window} of ${name}`).to.equal(sum);
        }
    }

    /** Carries out a step of a host that regards itself as the conductor, as the task does. */
    private conduct(host: ModelHost): void {
        const { term } = host;
        if (term === undefined) {
            return;
        }
        if (term.pending !== undefined) {
            if (this.now < term.pending.at) {
                return;
            }
            term.pending.apply();
            term.pending = undefined;
        }
        if (term.fence !== this.claim.fence) {
            // A lost claim is noticed late.
            if (this.random() < 0.1) {
                host.term = undefined;
            }
        }
        const { reporter, lease } = term;
        const later = (apply: () => void): void => {
            term.pending = { at: this.now + this.random() * 400, apply };
        };
        this.adopt(host, host, host.counter.report(this.now));
        const step = reporter.next(this.now as Instant, this.now);
        if (step.kind === "read") {
            if (this.chance(this.faults.write)) {
                later(() => reporter.recordStoreFailure(this.now as Instant));
                return;
            }
            const { value, revision } = this.record;
            const read = value === undefined ? undefined : decodeUsageRecord(value).unsafeCoerce();
            later(() => reporter.recordRead(read, revision as KeyRevision));
        }
        else if (step.kind === "write") {
            step.fixed.forEach(report => this.checkFixed(host, report));
            const write = (): boolean => {
                if (this.claim.fence !== term.fence || this.record.revision !== step.revision) {
                    return false;
                }
                this.firstWindow = Math.min(this.firstWindow, step.record.fixedTo + 1);
                this.record = { value: encodeUsageRecord(step.record), revision: ++this.revision };
                return true;
            };
            const fault = this.chance(this.faults.write) ? Math.floor(this.random() * 3) : undefined;
            if (fault === 0) {
                this.afterMs(this.random() * 4000, write);
            }
            const isWritten = fault === 0 || fault === 1 ? false : write();
            const { revision } = this.record;
            later(() =>
                isWritten && fault === undefined
                    ? reporter.recordWritten(step.record, revision as KeyRevision)
                    : reporter.recordStoreFailure(this.now as Instant)
            );
        }
        else if (step.kind === "send" && lease.canOrder(this.now as Instant)) {
            lease.recordOrder(this.now as Instant);
            const { report } = step;
            const fault = this.chance(this.faults.call) ? Math.floor(this.random() * 3) : undefined;
            if (fault !== 0) {
                this.afterMs(this.random() * 600, () => {
                    if (fault !== 1) {
                        this.received.push({ ...report, holder: host.name + host.incarnation, fence: term.fence });
                    }
                });
            }
            const end: DutyCallEnd = fault === undefined ? "accepted" : fault === 1 ? "busy" : "no-answer";
            later(() => void reporter.recordCall(report.window, end, this.now as Instant));
        }
    }
}

function check(model: Model): number {
    const byWindow = new Map<number, UsageReport>();
    const holders = new Map<number, string>();
    let lastFence = 0;
    for (const { window, counts, holder, fence } of model.received) {
        expect(counts, `window ${window}`).to.deep.equal((byWindow.get(window) ?? { counts }).counts);
        byWindow.set(window, { window, counts });
        expect(holder).to.equal(holders.get(fence) ?? holder);
        holders.set(fence, holder);
        expect(fence).to.be.at.least(lastFence);
        lastFence = fence;
    }
    const end = startedAt + faultyMs + quietMs;
    for (let window = windowAt(startedAt, windowMs); (window + 1) * windowMs + 10_000 <= end; window++) {
        const report = byWindow.get(window);
        const isKnown = [...model.truth.get(window)?.keys() ?? []].some(host => host.isAlive && !host.wasPaused);
        if (report === undefined && window < model.firstWindow && !isKnown) {
            // All processes that had counted in it were lost before the store got a first record, so nothing tells of it.
            continue;
        }
        expect(report, `window ${window}`).to.not.equal(undefined);
        for (const organisation of organisations) {
            const counted = [...model.truth.get(window) ?? []].map(([host, counts]) => ({
                isSure: host.isAlive && !host.wasPaused,
                requests: counts.get(organisation) ?? 0,
            }));
            const sum = (all: typeof counted): number => all.reduce((total, { requests }) => total + requests, 0);
            const reported = Object.entries(report!.counts).find(([name]) => name === organisation)?.[1] ?? 0;
            expect(reported, `window ${window}`).to.be.within(
                sum(counted.filter(({ isSure }) => isSure)),
                sum(counted),
            );
        }
    }
    return byWindow.size;
}

describe("The reports of use", () => {
    it("never contradict each other, count no request twice, and lose none of a host that lives", () => {
        const faults = fc.record({
            seed: fc.nat(),
            kill: fc.double({ min: 0, max: 0.01, noNaN: true }),
            pause: fc.double({ min: 0, max: 0.01, noNaN: true }),
            loss: fc.double({ min: 0, max: 0.5, noNaN: true }),
            write: fc.double({ min: 0, max: 0.5, noNaN: true }),
            call: fc.double({ min: 0, max: 0.8, noNaN: true }),
        });
        let windows = 0;
        fc.assert(
            fc.property(faults, each => {
                const model = new Model(each);
                model.run();
                windows += check(model);
            }),
            { numRuns: runs, seed, includeErrorInReport: true },
        );
        expect(windows).to.be.at.least(10 * runs);
    }).timeout(600_000);
});
