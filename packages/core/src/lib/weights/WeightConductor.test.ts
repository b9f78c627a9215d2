/** Tests of the weight conductor's decisions in virtual time, and a model-based test of random interleavings. */

import { expect } from "chai";
import fc from "fast-check";
import { type Instant, type LeaseId, type TargetId, type WeightVersion } from "../ids.js";
import { type ConductorDecision, leaseMarginMs, WeightConductor, type WeightOrder } from "./WeightConductor.js";

const leaseMs = 6000;
const at = (ms: number): Instant => ms as Instant;
const engineIds = (count: number): readonly TargetId[] =>
    Array.from({ length: count }, (unused, nth) => `engine-${nth}` as TargetId);
const ordersOf = (decisions: readonly ConductorDecision[]): readonly WeightOrder[] =>
    decisions.filter(decision => decision.kind === "order");

function conductorFixture(engines: number, minServingShare = 0.5, fetchesPerSecond = 1000): WeightConductor {
    const conductor = new WeightConductor({ minServingShare, fetchesPerSecond });
    conductor.setEngines(engineIds(engines));
    engineIds(engines).forEach(target =>
        conductor.recordReport(target, { version: 1 as WeightVersion, versionWhole: true }, at(0))
    );
    conductor.raiseDesiredVersion(2 as WeightVersion);
    return conductor;
}

const leaseAt = (now: number, fence = 1): Parameters<WeightConductor["setLease"]>[0] => ({
    lease: `lease-${fence}` as LeaseId,
    fence,
    deadline: at(now + leaseMs),
});

describe("WeightConductor", () => {
    it("requests the lease only on the preferred host and only while engines are behind", () => {
        const conductor = conductorFixture(2);
        expect(conductor.decide(at(1), false)).to.deep.equal([]);
        expect(conductor.decide(at(1), true)).to.deep.equal([{ kind: "acquire-lease" }]);
        engineIds(2).forEach(target =>
            conductor.recordReport(target, { version: 2 as WeightVersion, versionWhole: true }, at(2))
        );
        conductor.setLease(leaseAt(2));
        expect(conductor.decide(at(3), true).map(decision => decision.kind)).to.deep.equal(["release-lease"]);
    });

    it("keeps the minimum share of engines serving while others swap", () => {
        const conductor = conductorFixture(8, 0.75);
        conductor.setLease(leaseAt(0));
        conductor.decide(at(0), true);
        const orders = ordersOf(conductor.decide(at(1000), true));
        expect(orders.length).to.equal(2);
        orders.forEach(order => expect(conductor.tryStartOrder(order, at(1000))).to.equal(true));
        expect(ordersOf(conductor.decide(at(1500), true))).to.deep.equal([]);
        const others = engineIds(8).filter(target => !orders.some(order => order.target === target));
        const late = others.map(target => ({ ...orders[0]!, target }));
        expect(late.some(order => conductor.tryStartOrder(order, at(1500)))).to.equal(false);
    });

    it("rejects an order that was decided before a pause and is checked within the lease's margin", () => {
        const conductor = conductorFixture(2);
        conductor.setLease(leaseAt(0));
        const [order] = ordersOf(conductor.decide(at(10), true));
        expect(conductor.tryStartOrder(order!, at(leaseMs - leaseMarginMs))).to.equal(false);
        expect(ordersOf(conductor.decide(at(leaseMs), true))).to.deep.equal([]);
    });

    it("orders again after a delayed lower order took effect at an engine that ignores fencing tokens", () => {
        const conductor = conductorFixture(1);
        conductor.setLease(leaseAt(0));
        const [order] = ordersOf(conductor.decide(at(10), true));
        conductor.tryStartOrder(order!, at(10));
        conductor.recordOrderEnd(order!.target, "done", at(50));
        conductor.recordReport(order!.target, { version: 2 as WeightVersion, versionWhole: true }, at(60));
        conductor.recordReport(order!.target, { version: 1 as WeightVersion, versionWhole: true }, at(900));
        expect(ordersOf(conductor.decide(at(2000), true)).map(({ version }) => version)).to.deep.equal([2]);
    });

    it("regards no engine as serving from a report requested before the order, or without a report", () => {
        const conductor = conductorFixture(1);
        const [engine] = engineIds(1);
        conductor.setLease(leaseAt(0));
        const [order] = ordersOf(conductor.decide(at(10), true));
        conductor.tryStartOrder(order!, at(10));
        conductor.recordReport(engine!, { version: 1 as WeightVersion, versionWhole: true }, at(5));
        expect(conductor.isServing(engine!, at(20))).to.equal(false);
        conductor.recordOrderEnd(engine!, "failed", at(30));
        expect(conductor.isServing(engine!, at(31))).to.equal(false);
        conductor.recordReport(engine!, undefined, at(40));
        expect(conductor.isServing(engine!, at(41))).to.equal(false);
    });

    it("returns the engines without a report", () => {
        const conductor = conductorFixture(2);
        expect(conductor.enginesWithoutReport(at(1))).to.deep.equal([]);
        conductor.recordReport(engineIds(1)[0]!, undefined, at(2));
        expect(conductor.enginesWithoutReport(at(3))).to.deep.equal(engineIds(1));
    });

    it("lowers the rate when loads fail, and sends no order before the time that the weight store gives", () => {
        const conductor = conductorFixture(1);
        conductor.setLease(leaseAt(0));
        const [order] = ordersOf(conductor.decide(at(10), true));
        conductor.tryStartOrder(order!, at(10));
        conductor.recordOrderEnd(order!.target, "failed", at(20), at(2020));
        conductor.recordReport(order!.target, { version: 1 as WeightVersion, versionWhole: false }, at(30));
        expect(ordersOf(conductor.decide(at(2000), true))).to.deep.equal([]);
        expect(ordersOf(conductor.decide(at(2030), true)).length).to.equal(1);
        expect(conductor.describe()).to.deep.include({ fetchesPerSecond: 500 });
    });
});

interface ModelEngine {
    version: number;
    whole: boolean;
    highestFence: number;
    readonly checksFencing: boolean;
}

/** A report that was requested and has not arrived. */
interface PendingReport {
    readonly by: number;
    readonly nth: number;
    readonly report: { readonly version: WeightVersion; readonly versionWhole: boolean; };
    readonly readAt: Instant;
}

/** An order that was sent and has not taken effect; if `lost`, its answer does not arrive. */
interface OrderInFlight {
    readonly order: WeightOrder;
    readonly by: number;
    readonly lost: boolean;
}

/** The reference model: one lease, engines that swap when an order arrives, and two conductors that may pause. */
class ConductorModel {
    now = 0;
    published = 1;
    readonly engines: ModelEngine[];
    readonly conductors: WeightConductor[];
    ordersInFlight: OrderInFlight[] = [];
    private pendingReports: PendingReport[] = [];
    /** When each conductor was informed that an engine's weights are incomplete. */
    private readonly reportedBroken = new Map<string, number>();
    private fence = 0;
    private lease: { holder: number; deadline: number; id: LeaseId; } | undefined;
    private readonly decided: (readonly WeightOrder[])[] = [[], []];
    /** Highest version that each conductor has ordered at each engine. */
    private readonly highest = new Map<string, number>();
    private failingLoads = 0;

    constructor(engines: number) {
        this.engines = Array.from({ length: engines }, (unused, nth) => ({
            version: 1,
            whole: true,
            highestFence: 0,
            checksFencing: nth % 2 === 0,
        }));
        this.conductors = [0, 1].map(() => this.newConductor());
    }

    private newConductor(): WeightConductor {
        const conductor = new WeightConductor({ minServingShare: 0.5, fetchesPerSecond: undefined });
        conductor.setEngines(engineIds(this.engines.length));
        return conductor;
    }

    advance(ms: number): void {
        this.now += ms;
        if (this.lease !== undefined && this.now >= this.lease.deadline) {
            this.lease = undefined;
        }
    }

    publish(): void {
        this.published++;
    }

    failNextLoad(): void {
        this.failingLoads++;
    }

    restart(who: number): void {
        this.conductors[who] = this.newConductor();
        this.decided[who] = [];
        this.pendingReports = this.pendingReports.filter(read => read.by !== who);
        this.ordersInFlight = this.ordersInFlight.map(entry => entry.by === who ? { ...entry, lost: true } : entry);
        for (const entries of [this.highest, this.reportedBroken]) {
            [...entries.keys()].filter(key => key.startsWith(`${who}/`)).forEach(key => entries.delete(key));
        }
    }

    /** Lets a conductor read the engines and decide. With `keepsOrders` its orders are sent in a later step. */
    decide(who: number, keepsOrders: boolean): void {
        const conductor = this.conductors[who]!;
        conductor.raiseDesiredVersion(this.published as WeightVersion);
        this.engines.forEach((engine, nth) => this.read(who, nth, engine));
        for (const decision of conductor.decide(at(this.now), true)) {
            this.carryOut(who, decision);
        }
        this.decided[who] = ordersOf(conductor.decide(at(this.now), true));
        if (!keepsOrders) {
            this.send(who, false);
        }
    }

    /** Checks and sends orders that were decided earlier, possibly after a pause. */
    send(who: number, lost: boolean): void {
        for (const order of this.decided[who]!) {
            if (this.conductors[who]!.tryStartOrder(order, at(this.now))) {
                this.checkOrder(who, order);
                this.ordersInFlight.push({ order, by: who, lost });
            }
        }
        this.decided[who] = [];
    }

    /** Lets one order in flight take effect; orders may overtake each other. */
    executeOrder(pick: number): void {
        const [next] = this.ordersInFlight.splice(pick % Math.max(1, this.ordersInFlight.length), 1);
        if (next === undefined) {
            return;
        }
        const { order, by, lost } = next;
        const engine = this.engines[Number(order.target.slice("engine-".length))]!;
        const refused = engine.checksFencing && order.fence < engine.highestFence;
        const fails = !refused && this.failingLoads > 0;
        if (!refused) {
            engine.highestFence = Math.max(engine.highestFence, order.fence);
            this.failingLoads -= fails ? 1 : 0;
            engine.whole = !fails;
            engine.version = fails && order.fence % 2 === 0 ? engine.version : order.version;
        }
        if (!lost && fails) {
            this.reportedBroken.set(`${by}/${order.target}`, this.now);
        }
        if (!lost) {
            this.conductors[by]!.recordOrderEnd(order.target, refused || fails ? "failed" : "done", at(this.now));
        }
    }

    /** Requests a report that arrives in a later step. */
    requestReport(by: number, pick: number): void {
        const nth = pick % this.engines.length;
        const { version, whole } = this.engines[nth]!;
        const report = { version: version as WeightVersion, versionWhole: whole };
        this.pendingReports.push({ by, nth, report, readAt: at(this.now) });
    }

    receiveReport(pick: number): void {
        const [pending] = this.pendingReports.splice(pick % Math.max(1, this.pendingReports.length), 1);
        if (pending !== undefined) {
            this.recordReport(pending);
        }
    }

    /** Checks that no conductor regards an engine as serving between a failed load and a later report. */
    checkServing(): void {
        for (const [key, since] of this.reportedBroken) {
            const [by, target] = key.split("/") as [string, TargetId];
            const isServing = this.conductors[Number(by)]!.isServing(target, at(this.now));
            expect(isServing, `${target} is serving after it failed at ${since}`).to.equal(false);
        }
    }

    /** Checks that without further faults every engine reaches the published version. */
    settle(): void {
        this.failingLoads = 0;
        for (let round = 0; round < 400 && !this.hasConverged(); round++) {
            this.advance(250);
            this.decide(0, false);
            while (this.ordersInFlight.length > 0) {
                this.executeOrder(0);
            }
        }
        expect(this.hasConverged(), "every engine has complete weights of the published version").to.equal(true);
    }

    private hasConverged(): boolean {
        return this.engines.every(engine => engine.whole && engine.version === this.published);
    }

    private read(who: number, nth: number, engine: ModelEngine): void {
        const report = { version: engine.version as WeightVersion, versionWhole: engine.whole };
        this.recordReport({ by: who, nth, report, readAt: at(this.now) });
    }

    private recordReport({ by, nth, report, readAt }: PendingReport): void {
        const target = engineIds(nth + 1)[nth]!;
        const key = `${by}/${target}`;
        if (readAt > (this.reportedBroken.get(key) ?? Number.POSITIVE_INFINITY)) {
            this.reportedBroken.delete(key);
        }
        this.conductors[by]!.recordReport(target, report, readAt);
    }

    private carryOut(who: number, decision: ConductorDecision): void {
        const conductor = this.conductors[who]!;
        if (decision.kind === "acquire-lease" && this.lease === undefined) {
            const id = `lease-${++this.fence}` as LeaseId;
            this.lease = { holder: who, deadline: this.now + leaseMs, id };
            conductor.setLease({ lease: id, fence: this.fence, deadline: at(this.lease.deadline) });
        }
        if (decision.kind === "renew-lease" && this.lease?.id === decision.lease) {
            this.lease.deadline = this.now + leaseMs;
            conductor.setLease({ lease: decision.lease, fence: this.fence, deadline: at(this.lease.deadline) });
        }
        if (decision.kind === "release-lease" && this.lease?.id === decision.lease) {
            this.lease = undefined;
            conductor.clearLease(decision.lease);
        }
    }

    private checkOrder(who: number, order: WeightOrder): void {
        expect(this.lease?.holder, "the sender holds the lease").to.equal(who);
        expect(this.lease!.deadline - this.now, "time left of the lease").to.be.greaterThan(leaseMarginMs);
        expect(order.version, "a published version").to.be.at.most(this.published);
        const key = `${who}/${order.target}`;
        expect(order.version, "never lower").to.be.at.least(this.highest.get(key) ?? 0);
        this.highest.set(key, order.version);
    }
}

const who = fc.integer({ min: 0, max: 1 });

const modelStep = fc.oneof(
    fc.integer({ min: 1, max: 4000 }).map(ms => (model: ConductorModel) => model.advance(ms)),
    fc.constant((model: ConductorModel) => model.publish()),
    fc.constant((model: ConductorModel) => model.failNextLoad()),
    fc.tuple(who, fc.boolean()).map(([nth, keeps]) => (model: ConductorModel) => model.decide(nth, keeps)),
    fc.tuple(who, fc.boolean()).map(([nth, lost]) => (model: ConductorModel) => model.send(nth, lost)),
    fc.nat(10).map(pick => (model: ConductorModel) => model.executeOrder(pick)),
    fc.tuple(who, fc.nat(4)).map(([nth, pick]) => (model: ConductorModel) => model.requestReport(nth, pick)),
    fc.nat(10).map(pick => (model: ConductorModel) => model.receiveReport(pick)),
);

const rareStep = who.map(nth => (model: ConductorModel) => model.restart(nth));

describe("WeightConductor against a model", () => {
    const numRuns = Number(process.env["TAMARACK_RUNS"] ?? 300);

    it("sends no order without its lease or for a lower version, and brings all engines to the published one", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 5 }),
                fc.array(fc.oneof({ weight: 30, arbitrary: modelStep }, rareStep), { maxLength: 100, size: "max" }),
                (engines, steps) => {
                    const model = new ConductorModel(engines);
                    for (const step of steps) {
                        step(model);
                        model.checkServing();
                    }
                    model.settle();
                },
            ),
            { seed: 20_260, numRuns },
        );
    });
});
