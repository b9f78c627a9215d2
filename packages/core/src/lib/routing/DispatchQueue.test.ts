import { assert } from "chai";
import fc from "fast-check";
import { policyNames } from "../config/ConfigDocument.js";
import { asId, type CallerId, type Instant, type TargetId, type WeightVersion } from "../ids.js";
import { DispatchQueue } from "./DispatchQueue.js";
import { makeView, makeWork, testPool, testRandom } from "./routingFixtures.test.js";
import { acceptsWork, type TargetView } from "./TargetView.js";
import { workClasses } from "./Work.js";

const now = 10 as Instant;

function drain(queue: DispatchQueue, at = now): { work: string; target: string; }[] {
    const grants: { work: string; target: string; }[] = [];
    for (let next = queue.next(at); next !== undefined; next = queue.next(at)) {
        grants.push({ work: next.work.id, target: next.view.target });
    }
    return grants;
}

const viewChanges = fc.record({
    leaving: fc.boolean(),
    reachable: fc.boolean(),
    versionWhole: fc.boolean(),
    version: fc.integer({ min: 1, max: 3 }).map(version => version as WeightVersion),
    slots: fc.integer({ min: 1, max: 5 }),
});

const action = fc.oneof(
    fc.record({
        kind: fc.constant("add" as const),
        policy: fc.constantFrom(...policyNames),
        workClass: fc.constantFrom(...workClasses),
        lowest: fc.integer({ min: 1, max: 3 }),
        excluded: fc.integer({ min: 0, max: 3 }),
        prefix: fc.constantFrom("a", "b", undefined),
    }),
    fc.record({ kind: fc.constant("view" as const), nth: fc.integer({ min: 0, max: 3 }), changes: viewChanges }),
    fc.record({ kind: fc.constant("release" as const), nth: fc.nat() }),
    fc.record({ kind: fc.constant("remove" as const), nth: fc.nat({ max: 40 }) }),
);

describe("DispatchQueue", () => {
    it("grants only what a target may take, never beyond its slots, and loses no work", () => {
        fc.assert(
            fc.property(fc.array(action, { maxLength: 60 }), fc.integer(), (actions, seed) => {
                const queue = new DispatchQueue(testRandom(seed));
                const views = new Map<TargetId, TargetView>();
                const works = new Map<string, ReturnType<typeof makeWork>>();
                const running: { work: string; target: string; }[] = [];
                const load = (target: string): number => running.filter(item => item.target === target).length;
                actions.forEach((step, nth) => {
                    if (step.kind === "add") {
                        const work = makeWork(`w${nth}`, {
                            policy: step.policy,
                            workClass: step.workClass,
                            prefix: step.prefix,
                            lowestVersion: step.lowest as WeightVersion,
                            excluded: [asId(`t${step.excluded}`)],
                        });
                        works.set(work.id, work);
                        queue.add(work);
                    }
                    else if (step.kind === "view") {
                        const view = makeView(`t${step.nth}`, step.changes);
                        views.set(view.target, view);
                        queue.setTargetView(view);
                    }
                    else if (step.kind === "release" && running.length > 0) {
                        const [ended] = running.splice(step.nth % running.length, 1);
                        queue.release(asId(ended!.target));
                    }
                    else if (step.kind === "remove" && queue.remove(asId(`w${step.nth}`))) {
                        works.delete(`w${step.nth}`);
                    }
                    for (const grant of drain(queue)) {
                        const work = works.get(grant.work)!;
                        const view = views.get(grant.target as TargetId)!;
                        works.delete(grant.work);
                        running.push(grant);
                        assert.isTrue(acceptsWork(view));
                        assert.notInclude(work.excluded, view.target);
                        assert.isAtLeast(view.version!, work.lowestVersion!);
                        assert.isAtMost(load(grant.target), view.slots);
                    }
                });
                assert.equal(queue.length, works.size);
            }),
            { seed: 1, numRuns: 300 },
        );
    });

    it("grants everything in the end while targets free their slots", () => {
        fc.assert(
            fc.property(fc.array(fc.constantFrom(...workClasses), { minLength: 1, maxLength: 50 }), classes => {
                const queue = new DispatchQueue(testRandom(1));
                queue.setTargetView(makeView("t", { slots: 2 }));
                classes.forEach((workClass, nth) => queue.add(makeWork(`w${nth}`, { workClass })));
                for (let round = 0; round < classes.length; round++) {
                    drain(queue).forEach(grant => queue.release(asId(grant.target)));
                }
                assert.equal(queue.length, 0);
            }),
            { seed: 2 },
        );
    });

    it("takes the earliest deadline first within a caller's class", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 100, max: 10_000 }), { maxLength: 30 }), deadlines => {
                const queue = new DispatchQueue(testRandom(1));
                deadlines.forEach((deadline, nth) => queue.add(makeWork(`w${nth}`, { deadline: deadline as Instant })));
                queue.setTargetView(makeView("t", { slots: 100 }));
                const order = drain(queue).map(({ work }) => deadlines[Number(work.slice(1))]!);
                assert.deepEqual(order, [...deadlines].sort((a, b) => a - b));
            }),
            { seed: 3 },
        );
    });

    it("puts first what costs more when late, as the operators weigh it", () => {
        const orderFor = (deskCost: number, rolloutCost: number): string[] => {
            const queue = new DispatchQueue(testRandom(1));
            queue.add(makeWork("sample", { workClass: "sample", lateCost: rolloutCost }));
            queue.add(makeWork("tail", { workClass: "step-tail", lateCost: rolloutCost }));
            queue.add(makeWork("desk", { lateCost: deskCost }));
            queue.setTargetView(makeView("t"));
            return drain(queue).map(({ work }) => work);
        };
        assert.deepEqual(orderFor(20, 1), ["desk", "tail", "sample"]);
        assert.deepEqual(orderFor(2, 50), ["tail", "sample", "desk"]);
    });

    it("shares by the callers' weights, so that a greedy trainer takes no more than its share", () => {
        const queue = new DispatchQueue(testRandom(1));
        for (let nth = 0; nth < 900; nth++) {
            queue.add(makeWork(`greedy-${nth}`, { workClass: "sample", caller: asId<CallerId>("greedy"), share: 1 }));
        }
        for (let nth = 0; nth < 300; nth++) {
            queue.add(makeWork(`other-${nth}`, { workClass: "sample", caller: asId<CallerId>("other"), share: 2 }));
        }
        queue.setTargetView(makeView("t", { slots: 300 }));
        const greedy = drain(queue).filter(({ work }) => work.startsWith("greedy")).length;
        assert.approximately(greedy, 100, 2);
    });

    it("lets aged work through now and then while more important work keeps coming", () => {
        const queue = new DispatchQueue(testRandom(1));
        queue.setTargetView(makeView("t", { slots: 1 }));
        queue.add(makeWork("sample", { workClass: "sample" }));
        const granted: string[] = [];
        for (let nth = 0; nth < 20; nth++) {
            queue.add(makeWork(`a${nth}`));
            queue.add(makeWork(`b${nth}`));
            granted.push(...drain(queue, 60_000 as Instant).map(({ work }) => work));
            queue.release(asId("t"));
        }
        assert.include(granted, "sample");
    });

    it("keeps the reserved slots free of samples while answers are about, and uses them all otherwise", () => {
        const queue = new DispatchQueue(testRandom(1));
        queue.setReserve(testPool, 0.25);
        queue.setTargetView(makeView("t", { slots: 8 }));
        for (let nth = 0; nth < 10; nth++) {
            queue.add(makeWork(`s${nth}`, { workClass: "sample" }));
        }
        queue.add(makeWork("answer"));
        const first = drain(queue);
        assert.equal(first.filter(({ work }) => work.startsWith("s")).length, 5);
        queue.release(asId("t"));
        drain(queue, 120_000 as Instant);
        assert.equal(queue.inFlight(asId("t")), 8);
    });

    it("sends a prompt prefix to the same target while that one is not much busier than the others", () => {
        const queue = new DispatchQueue(testRandom(1));
        ["t0", "t1", "t2", "t3"].forEach(name => queue.setTargetView(makeView(name, { slots: 100 })));
        const targets = new Map<string, Set<string>>();
        for (let nth = 0; nth < 160; nth++) {
            const prefix = `prefix ${nth % 16}`;
            queue.add(makeWork(`w${nth}`, { prefix }));
            const [grant] = drain(queue);
            targets.set(prefix, (targets.get(prefix) ?? new Set()).add(grant!.target));
        }
        const placed = [...targets.values()].reduce((sum, set) => sum + set.size, 0);
        assert.isBelow(placed, 3 * targets.size);
        const loads = ["t0", "t1", "t2", "t3"].map(name => queue.inFlight(asId(name)));
        assert.isAtMost(Math.max(...loads), 1.25 * 40 + 2);
    });

    it("gives back work that can no longer end in time", () => {
        const queue = new DispatchQueue(testRandom(1));
        queue.add(makeWork("late", { deadline: 100 as Instant, expectedMs: 50 }));
        queue.add(makeWork("early", { deadline: 100 as Instant, expectedMs: 10 }));
        assert.deepEqual(queue.takeExpired(60 as Instant).map(({ id }) => id as string), ["late"]);
        assert.equal(queue.length, 1);
    });
});
