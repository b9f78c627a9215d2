/** Tests of orders of weight versions under lost, late and refused orders, restarts and steps that wait. */

import { expect } from "chai";
import { asId, type Incarnation, type Instant, type TargetId, type WeightVersion } from "../ids.js";
import { type EngineState, VersionPlan } from "./VersionPlan.js";

const limits = { changingShare: 0.25, changeMs: 900, allowedLag: 0 };

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
        version: version(1),
        leaving: false,
        running: 0,
        ...changes,
    };
}

function planFixture(engines: readonly EngineState[]): VersionPlan {
    const plan = new VersionPlan("m", limits);
    plan.name(version(2));
    engines.forEach(engine => {
        plan.versionOf(engine, at(0));
        plan.noteReport(engine, 0, false, at(0));
    });
    return plan;
}

describe("VersionPlan", () => {
    it("orders nothing before it has read how many orders an engine accepted", () => {
        const engine = engineFixture("a");
        const plan = new VersionPlan("m", limits);
        plan.name(version(2));
        expect(plan.decide([engine], at(0), false)).to.deep.equal([]);
        expect(plan.unclear(at(0))).to.deep.equal(["a"]);
        plan.noteReport(engine, 7, false, at(0));
        expect(plan.decide([engine], at(1), false)[0]).to.deep.include({ expectedOrders: 7, version: 2 });
    });

    it("changes a few engines at once, the least busy first, and goes on as they are ready", () => {
        const engines = [3, 0, 2, 1].map((running, nth) => engineFixture(`e${nth}`, { running }));
        const plan = planFixture(engines);
        const [first, ...others] = plan.decide(engines, at(1), true);
        expect(first!.target).to.equal("e1");
        expect(others).to.deep.equal([]);
        plan.noteSent(first!);
        expect(plan.versionOf(engines[1]!, at(2))).to.equal(undefined);
        plan.noteEnd(first!, "accepted", at(10));
        expect(plan.decide(engines, at(500), true)).to.deep.equal([]);
        expect(plan.versionOf(engines[1]!, at(500))).to.equal(undefined);
        expect(plan.versionOf(engines[1]!, at(911))).to.equal(2);
        expect(plan.decide(engines, at(911), true).map(({ target }) => target)).to.deep.equal(["e3"]);
    });

    it("repeats an order without an answer only after the engine's report, with the number it tells", () => {
        const engine = engineFixture("a");
        const plan = planFixture([engine]);
        const [order] = plan.decide([engine], at(1), false);
        plan.noteSent(order!);
        plan.noteEnd(order!, "unanswered", at(700));
        expect(plan.decide([engine], at(2000), false)).to.deep.equal([]);
        plan.noteReport(engine, 0, false, at(2000));
        expect(plan.decide([engine], at(2001), false)[0]?.expectedOrders).to.equal(order!.expectedOrders);
    });

    it("forgets what it knew when an engine starts again under its id", () => {
        const engine = engineFixture("a");
        const plan = planFixture([engine]);
        const [order] = plan.decide([engine], at(1), false);
        plan.noteSent(order!);
        plan.noteEnd(order!, "accepted", at(10));
        const restarted = engineFixture("a", { incarnation: 2 as Incarnation });
        expect(plan.versionOf(restarted, at(2000))).to.equal(1);
        expect(plan.decide([restarted], at(2000), false)).to.deep.equal([]);
        plan.noteReport(restarted, 0, false, at(2000));
        expect(plan.decide([restarted], at(2001), false)[0]?.expectedOrders).to.equal(0);
    });

    it("orders again when an answer shows that an accepted order did not take effect", () => {
        const engine = engineFixture("a");
        const plan = planFixture([engine]);
        const [order] = plan.decide([engine], at(1), false);
        plan.noteSent(order!);
        plan.noteEnd(order!, "accepted", at(10));
        plan.noteServed(engine, version(1));
        expect(plan.versionOf(engine, at(2000))).to.equal(1);
        expect(plan.unclear(at(2000))).to.deep.equal(["a"]);
    });

    it("never orders a leaving engine, and never a version below the one that was named", () => {
        const leaving = engineFixture("a", { leaving: true });
        expect(planFixture([leaving]).decide([leaving], at(1), false)).to.deep.equal([]);
        const plan = planFixture([]);
        plan.name(version(1));
        expect(plan.wanted).to.equal(2);
    });
});
