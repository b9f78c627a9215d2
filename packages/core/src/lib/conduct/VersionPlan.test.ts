/** Tests of orders of weight versions under lost, late and refused orders, restarts and steps that wait. */

import { expect } from "chai";
import { asId, type Incarnation, type Instant, type TargetId, type WeightVersion } from "../ids.js";
import { type EngineState, VersionPlan } from "./VersionPlan.js";

const limits = { changingShare: 0.25, changeMs: 900 };

function version(value: number): WeightVersion {
    return value as WeightVersion;
}

function at(ms: number): Instant {
    return ms as Instant;
}

function engineFixture(name: string, changes: Partial<EngineState> = {}): EngineState {
    return {
        target: asId<TargetId>(name),
        incarnation: 1 as Incarnation,
        models: [{ model: "m", version: version(1) }],
        leaving: false,
        running: 0,
        ...changes,
    };
}

function planFixture(engines: readonly EngineState[]): VersionPlan {
    const plan = new VersionPlan(limits);
    plan.name("m", version(2));
    engines.forEach(engine => plan.recordReport(engine, 0, false, at(0)));
    return plan;
}

describe("VersionPlan", () => {
    it("orders nothing before it has read how many orders an engine accepted", () => {
        const engine = engineFixture("a");
        const plan = new VersionPlan(limits);
        plan.name("m", version(2));
        expect(plan.decide([engine], at(0))).to.deep.equal([]);
        expect(plan.enginesNeedingReport([engine], at(0))).to.deep.equal(["a"]);
        plan.recordReport(engine, 7, false, at(0));
        expect(plan.decide([engine], at(1))[0]).to.deep.include({ expectedOrders: 7, version: 2 });
    });

    it("changes a few engines at once, the least busy first, and goes on as they are ready", () => {
        const engines = [3, 0, 2, 1].map((running, nth) => engineFixture(`e${nth}`, { running }));
        const plan = planFixture(engines);
        const [first, ...others] = plan.decide(engines, at(1));
        expect(first!.target).to.equal("e1");
        expect(others).to.deep.equal([]);
        plan.recordSent(first!);
        expect(plan.versionOf(engines[1]!, "m", at(2))).to.equal(undefined);
        plan.recordEnd(first!, "accepted", at(10));
        expect(plan.decide(engines, at(500))).to.deep.equal([]);
        expect(plan.versionOf(engines[1]!, "m", at(500))).to.equal(undefined);
        expect(plan.versionOf(engines[1]!, "m", at(911))).to.equal(2);
        expect(plan.decide(engines, at(911)).map(({ target }) => target)).to.deep.equal(["e3"]);
    });

    it("repeats an order without an answer only after the engine's report, with the number it tells", () => {
        const engine = engineFixture("a");
        const plan = planFixture([engine]);
        const [order] = plan.decide([engine], at(1));
        plan.recordSent(order!);
        plan.recordEnd(order!, "unanswered", at(700));
        expect(plan.decide([engine], at(2000))).to.deep.equal([]);
        plan.recordReport(engine, 0, false, at(2000));
        expect(plan.decide([engine], at(2001))[0]?.expectedOrders).to.equal(order!.expectedOrders);
    });

    it("gives an engine no work while it changes, although its entry lists the new version already", () => {
        const engines = [engineFixture("a"), engineFixture("b")];
        const plan = planFixture(engines);
        const [order] = plan.decide(engines, at(1));
        plan.recordSent(order!);
        plan.recordEnd(order!, "accepted", at(10));
        const listed = engineFixture("a", { models: [{ model: "m", version: version(2) }] });
        expect(plan.versionOf(listed, "m", at(800))).to.equal(undefined);
        expect(plan.decide([listed, engines[1]!], at(800))).to.deep.equal([]);
        plan.recordStillChanging(listed.target, "m", at(1200));
        expect(plan.versionOf(listed, "m", at(1100))).to.equal(undefined);
        expect(plan.decide([listed, engines[1]!], at(1100))).to.deep.equal([]);
        expect(plan.versionOf(listed, "m", at(1200))).to.equal(2);
    });

    it("forgets what it knew when an engine starts again under its id", () => {
        const engine = engineFixture("a");
        const plan = planFixture([engine]);
        const [order] = plan.decide([engine], at(1));
        plan.recordSent(order!);
        plan.recordEnd(order!, "accepted", at(10));
        const restarted = engineFixture("a", { incarnation: 2 as Incarnation });
        expect(plan.versionOf(restarted, "m", at(2000))).to.equal(1);
        expect(plan.decide([restarted], at(2000))).to.deep.equal([]);
        plan.recordReport(restarted, 0, false, at(2000));
        expect(plan.decide([restarted], at(2001))[0]?.expectedOrders).to.equal(0);
    });

    it("orders again when an answer shows that an accepted order did not take effect", () => {
        const engine = engineFixture("a");
        const plan = planFixture([engine]);
        const [order] = plan.decide([engine], at(1));
        plan.recordSent(order!);
        plan.recordEnd(order!, "accepted", at(10));
        plan.recordServedVersion(engine, "m", version(1));
        expect(plan.versionOf(engine, "m", at(2000))).to.equal(1);
        expect(plan.enginesNeedingReport([engine], at(2000))).to.deep.equal(["a"]);
    });

    it("never orders a leaving engine, and never a version below the one that was named", () => {
        const leaving = engineFixture("a", { leaving: true });
        expect(planFixture([leaving]).decide([leaving], at(1))).to.deep.equal([]);
        const plan = planFixture([]);
        plan.name("m", version(1));
        expect(plan.wanted("m")).to.equal(2);
    });

    it("divides engines among the models of several trainers, and orders each for one model at a time", () => {
        const models = ["m", "n", "o"].map(model => ({ model, version: version(1) }));
        const engines = Array.from({ length: 9 }, (unused, nth) => engineFixture(`e${nth}`, { models }));
        const plan = new VersionPlan({ ...limits, changingShare: 1 });
        models.forEach(({ model }) => plan.name(model, version(2)));
        engines.forEach(engine => plan.recordReport(engine, 0, false, at(0)));
        const orders = plan.decide(engines, at(1));
        expect(new Set(orders.map(({ target }) => target)).size).to.equal(9);
        for (const { model } of models) {
            expect(orders.filter(order => order.model === model)).to.have.length(3);
        }
        orders.forEach(order => {
            plan.recordSent(order);
            plan.recordEnd(order, "accepted", at(2));
        });
        expect(plan.decide(engines, at(5000))).to.deep.equal([]);
        plan.name("n", version(3));
        const again = plan.decide(engines, at(5000));
        expect(again.map(({ expectedOrders }) => expectedOrders)).to.deep.equal([1, 1, 1]);
        expect(again.every(({ target }) => orders.find(order => order.target === target)!.model === "n")).to.equal(
            true,
        );
    });

    it("finds the shares of the conductor before in the engines' versions", () => {
        const engines = Array.from({ length: 4 }, (unused, nth) =>
            engineFixture(`e${nth}`, {
                models: [{ model: "m", version: version(nth % 2 === 0 ? 8 : 3) }, {
                    model: "n",
                    version: version(nth % 2 === 0 ? 3 : 8),
                }],
            }));
        const plan = new VersionPlan({ ...limits, changingShare: 1 });
        plan.name("m", version(9));
        plan.name("n", version(9));
        engines.forEach(engine => plan.recordReport(engine, 0, false, at(0)));
        expect(plan.decide(engines, at(1)).map(({ target, model }) => `${target} ${model}`).sort())
            .to.deep.equal(["e0 m", "e1 n", "e2 m", "e3 n"]);
    });
});
