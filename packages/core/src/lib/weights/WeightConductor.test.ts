/** Decisions of the weight conductor under a clock moved by hand, and a model-based test of random interleavings. */

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

const holdAt = (now: number, fence = 1): Parameters<WeightConductor["setLease"]>[0] => ({
    lease: `lease-${fence}` as LeaseId,
    fence,
    deadline: at(now + leaseMs),
});

describe("WeightConductor", () => {
    it("asks for the lease only on the preferred host and only while engines are behind", () => {
        const conductor = conductorFixture(2);
        expect(conductor.decide(at(1), false)).to.deep.equal([]);
        expect(conductor.decide(at(1), true)).to.deep.equal([{ kind: "acquire-lease" }]);
        engineIds(2).forEach(target =>
            conductor.recordReport(target, { version: 2 as WeightVersion, versionWhole: true }, at(2))
        );
        conductor.setLease(holdAt(2));
        expect(conductor.decide(at(3), true).map(decision => decision.kind)).to.deep.equal(["release-lease"]);
    });

    it("keeps the serving share while engines swap", () => {
        const conductor = conductorFixture(8, 0.75);
        conductor.setLease(holdAt(0));
        conductor.decide(at(0), true);
        const orders = ordersOf(conductor.decide(at(1000), true));
        expect(orders.length).to.equal(2);
        orders.forEach(order => expect(conductor.tryStartOrder(order, at(1000))).to.equal(true));
        expect(ordersOf(conductor.decide(at(1500), true))).to.deep.equal([]);
        const others = engineIds(8).filter(target => !orders.some(order => order.target === target));
        const late = others.map(target => ({ ...orders[0]!, target }));
        expect(late.some(order => conductor.tryStartOrder(order, at(1500)))).to.equal(false);
    });

    it("sends no order that was decided before a pause and checked after the lease's margin", () => {
        const conductor = conductorFixture(2);
        conductor.setLease(holdAt(0));
        const [order] = ordersOf(conductor.decide(at(10), true));
        expect(conductor.tryStartOrder(order!, at(leaseMs - leaseMarginMs))).to.equal(false);
        expect(ordersOf(conductor.decide(at(leaseMs), true))).to.deep.equal([]);
    });

    it("orders again when a delayed lower order took effect at an engine that ignores fencing", () => {
        const conductor = conductorFixture(1);
        conductor.setLease(holdAt(0));
        const [order] = ordersOf(conductor.decide(at(10), true));
        conductor.tryStartOrder(order!, at(10));
        conductor.recordOrderEnd(order!.target, "done", at(50));
        conductor.recordReport(order!.target, { version: 2 as WeightVersion, versionWhole: true }, at(60));
        conductor.recordReport(order!.target, { version: 1 as WeightVersion, versionWhole: true }, at(900));
        expect(ordersOf(conductor.decide(at(2000), true)).map(({ version }) => version)).to.deep.equal([2]);
    });

    it("makes no claim of wholeness from a reading begun before the order or from none", () => {
        const conductor = conductorFixture(1);
        const [engine] = engineIds(1);
        conductor.setLease(holdAt(0));
        const [order] = ordersOf(conductor.decide(at(10), true));
        conductor.tryStartOrder(order!, at(10));
        conductor.recordReport(engine!, { version: 1 as WeightVersion, versionWhole: true }, at(5));
        expect(conductor.isServing(engine!, at(20))).to.equal(false);
        conductor.recordOrderEnd(engine!, "failed", at(30));
        expect(conductor.isServing(engine!, at(31))).to.equal(false);
        conductor.recordReport(engine!, undefined, at(40));
        expect(conductor.isServing(engine!, at(41))).to.equal(false);
    });

    it("asks for a reading of engines that it knows nothing of", () => {
        const conductor = conductorFixture(2);
        expect(conductor.unknownEngines(at(1))).to.deep.equal([]);
        conductor.recordReport(engineIds(1)[0]!, undefined, at(2));
        expect(conductor.unknownEngines(at(3))).to.deep.equal(engineIds(1));
    });

    it("slows down when loads fail and waits out the weight store's advice", () => {
        const conductor = conductorFixture(1);
        conductor.setLease(holdAt(0));
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

interface SlowRead {
    readonly by: number;
    readonly nth: number;
    readonly report: { readonly version: WeightVersion; readonly versionWhole: boolean; };
    readonly readAt: Instant;
}

interface Flying {
    readonly order: WeightOrder;
    readonly by: number;
    readonly lost: boolean;
}

/** The reference: one lease, engines that swap when an order lands, and two conductors that may pause. */
class ConductorModel {
    now = 0;
    published = 1;
    readonly engines: ModelEngine[];
    readonly conductors: WeightConductor[];
    flying: Flying[] = [];
    private slowReads: SlowRead[] = [];
    /** Since when each conductor has been told that an engine is not whole. */
    private readonly toldBroken = new Map<string, number>();
    private fence = 0;
    private lease: { holder: number; deadline: number; id: LeaseId; } | undefined;
    private readonly decided: (readonly WeightOrder[])[] = [[], []];
    private readonly highest = new Map<string, number>();
    private failing = 0;

    constructor(engines: number) {
        this.engines = Array.from({ length: engines }, (unused, nth) => ({
            version: 1,
            whole: true,
            highestFence: 0,
            checksFencing: nth % 2 === 0,
        }));
        this.conductors = [0, 1].map(() => this.freshConductor());
    }

    private freshConductor(): WeightConductor {
        const conductor = new WeightConductor({ minServingShare: 0.5, fetchesPerSecond: undefined });
        conductor.setEngines(engineIds(this.engines.length));
        return conductor;
    }

    pass(ms: number): void {
        this.now += ms;
        if (this.lease !== undefined && this.now >= this.lease.deadline) {
            this.lease = undefined;
        }
    }

    publish(): void {
        this.published++;
    }

    failNext(): void {
        this.failing++;
    }

    restart(who: number): void {
        this.conductors[who] = this.freshConductor();
        this.decided[who] = [];
        this.slowReads = this.slowReads.filter(read => read.by !== who);
        this.flying = this.flying.map(entry => entry.by === who ? { ...entry, lost: true } : entry);
        for (const notes of [this.highest, this.toldBroken]) {
            [...notes.keys()].filter(key => key.startsWith(`${who}/`)).forEach(key => notes.delete(key));
        }
    }

    /** The conductor reads the engines and decides; orders are kept until they are checked. */
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

    /** Orders decided earlier are checked and sent, perhaps after a pause. */
    send(who: number, lost: boolean): void {
        for (const order of this.decided[who]!) {
            if (this.conductors[who]!.tryStartOrder(order, at(this.now))) {
                this.checkOrder(who, order);
                this.flying.push({ order, by: who, lost });
            }
        }
        this.decided[who] = [];
    }

    /** One order in flight takes effect, in any order of sending. */
    land(pick: number): void {
        const [flying] = this.flying.splice(pick % Math.max(1, this.flying.length), 1);
        if (flying === undefined) {
            return;
        }
        const { order, by, lost } = flying;
        const engine = this.engines[Number(order.target.slice("engine-".length))]!;
        const refused = engine.checksFencing && order.fence < engine.highestFence;
        const fails = !refused && this.failing > 0;
        if (!refused) {
            engine.highestFence = Math.max(engine.highestFence, order.fence);
            this.failing -= fails ? 1 : 0;
            engine.whole = !fails;
            engine.version = fails && order.fence % 2 === 0 ? engine.version : order.version;
        }
        if (!lost && fails) {
            this.toldBroken.set(`${by}/${order.target}`, this.now);
        }
        if (!lost) {
            this.conductors[by]!.recordOrderEnd(order.target, refused || fails ? "failed" : "done", at(this.now));
        }
    }

    /** A reading begins; its answer arrives at a later step. */
    beginRead(by: number, pick: number): void {
        const nth = pick % this.engines.length;
        const { version, whole } = this.engines[nth]!;
        const report = { version: version as WeightVersion, versionWhole: whole };
        this.slowReads.push({ by, nth, report, readAt: at(this.now) });
    }

    endRead(pick: number): void {
        const [read] = this.slowReads.splice(pick % Math.max(1, this.slowReads.length), 1);
        if (read !== undefined) {
            this.note(read);
        }
    }

    /** A conductor that was told of a broken engine claims no wholeness before a later reading. */
    checkClaims(): void {
        for (const [key, since] of this.toldBroken) {
            const [by, target] = key.split("/") as [string, TargetId];
            const claim = this.conductors[Number(by)]!.isServing(target, at(this.now));
            expect(claim, `a claim about ${target} since ${since}`).to.equal(false);
        }
    }

    /** Without further faults, every engine comes to the published version. */
    settle(): void {
        this.failing = 0;
        for (let round = 0; round < 400 && !this.isSettled(); round++) {
            this.pass(250);
            this.decide(0, false);
            while (this.flying.length > 0) {
                this.land(0);
            }
        }
        expect(this.isSettled(), "every engine is whole at the published version").to.equal(true);
    }

    private isSettled(): boolean {
        return this.engines.every(engine => engine.whole && engine.version === this.published);
    }

    private read(who: number, nth: number, engine: ModelEngine): void {
        const report = { version: engine.version as WeightVersion, versionWhole: engine.whole };
        this.note({ by: who, nth, report, readAt: at(this.now) });
    }

    private note({ by, nth, report, readAt }: SlowRead): void {
        const target = engineIds(nth + 1)[nth]!;
        const key = `${by}/${target}`;
        if (readAt > (this.toldBroken.get(key) ?? Number.POSITIVE_INFINITY)) {
            this.toldBroken.delete(key);
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
    fc.integer({ min: 1, max: 4000 }).map(ms => (model: ConductorModel) => model.pass(ms)),
    fc.constant((model: ConductorModel) => model.publish()),
    fc.constant((model: ConductorModel) => model.failNext()),
    fc.tuple(who, fc.boolean()).map(([nth, keeps]) => (model: ConductorModel) => model.decide(nth, keeps)),
    fc.tuple(who, fc.boolean()).map(([nth, lost]) => (model: ConductorModel) => model.send(nth, lost)),
    fc.nat(10).map(pick => (model: ConductorModel) => model.land(pick)),
    fc.tuple(who, fc.nat(4)).map(([nth, pick]) => (model: ConductorModel) => model.beginRead(nth, pick)),
    fc.nat(10).map(pick => (model: ConductorModel) => model.endRead(pick)),
);

const rareStep = who.map(nth => (model: ConductorModel) => model.restart(nth));

describe("WeightConductor against a model", () => {
    const numRuns = Number(process.env["TAMARACK_RUNS"] ?? 300);

    it("sends no order without its lease or to a lower version, and brings every engine up in the end", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 5 }),
                fc.array(fc.oneof({ weight: 30, arbitrary: modelStep }, rareStep), { maxLength: 100, size: "max" }),
                (engines, steps) => {
                    const model = new ConductorModel(engines);
                    for (const step of steps) {
                        step(model);
                        model.checkClaims();
                    }
                    model.settle();
                },
            ),
            { seed: 20_260, numRuns },
        );
    });
});
