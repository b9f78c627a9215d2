import { assert } from "chai";
import fc from "fast-check";
import { asId, type Instant } from "../ids.js";
import { HedgeBudget } from "./HedgeBudget.js";
import { LengthEstimator } from "./LengthEstimator.js";
import { Router } from "./Router.js";
import { makeView, makeWork, testPool, testRandom } from "./routingFixtures.test.js";
import { SpeedTracker } from "./SpeedTracker.js";

const names = ["t0", "t1", "t2", "t3"] as const;

function at(ms: number): Instant {
    return ms as Instant;
}

/** Reads progress where each target's streams need `paces[nth]` milliseconds a token. */
function readPaces(tracker: SpeedTracker, paces: readonly number[], times: number): void {
    for (let time = 0; time < times; time++) {
        tracker.read(paces.map((pace, nth) => ({ target: asId(names[nth]!), streamMs: 200, tokens: 200 / pace })));
    }
}

describe("SpeedTracker", () => {
    it("reduces the weight of a slow target at once and restores it in steps", () => {
        const tracker = new SpeedTracker();
        readPaces(tracker, [5, 5, 5, 5], 5);
        readPaces(tracker, [5, 5, 5, 100], 3);
        const slowed = tracker.weight(asId("t3"));
        assert.isBelow(slowed, 0.5);
        assert.equal(tracker.weight(asId("t0")), 1);
        readPaces(tracker, [5, 5, 5, 5], 6);
        assert.isBelow(tracker.weight(asId("t3")), 1);
        readPaces(tracker, [5, 5, 5, 5], 40);
        assert.equal(tracker.weight(asId("t3")), 1);
    });

    it("detects a target whose streams have stalled", () => {
        const tracker = new SpeedTracker();
        readPaces(tracker, [5, 5, 5, 5], 5);
        tracker.read([{ target: asId("t3"), streamMs: 600, tokens: 0 }]);
        assert.isBelow(tracker.weight(asId("t3")), 0.5);
    });

    it("reduces no weight when most of the pool appears slow, and never to zero", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 4, maxLength: 4 }), paces => {
                const tracker = new SpeedTracker();
                readPaces(tracker, [5, 5, 5, 5], 5);
                readPaces(tracker, paces, 4);
                const weights = names.map(name => tracker.weight(asId(name)));
                assert.isAbove(Math.min(...weights), 0);
                assert.isAtMost(weights.filter(weight => weight < 0.5).length, 2);
            }),
            { seed: 4 },
        );
    });
});

describe("HedgeBudget", () => {
    it("never allows spending more than its fraction of the work done", () => {
        const events = fc.array(fc.record({ earn: fc.nat(1000), spend: fc.nat(200) }), { maxLength: 100 });
        fc.assert(
            fc.property(events, steps => {
                const budget = new HedgeBudget(500);
                budget.fraction = 0.05;
                let earned = 0;
                let spent = 0;
                for (const { earn, spend } of steps) {
                    budget.earn(earn);
                    earned += earn;
                    spent += budget.spend(spend) ? spend : 0;
                    assert.isAtMost(spent, 0.05 * earned + 1e-6);
                }
            }),
            { seed: 5 },
        );
    });
});

describe("LengthEstimator", () => {
    it("estimates a class's quantiles to within a bucket, and none for a class with few samples", () => {
        const estimator = new LengthEstimator();
        for (let tokens = 1; tokens <= 100; tokens++) {
            estimator.record("plans", tokens);
        }
        estimator.record("rare", 5);
        assert.approximately(estimator.quantile("plans", 0.5)!, 50, 10);
        assert.isUndefined(estimator.quantile("rare", 0.5));
    });
});

describe("Router", () => {
    function busyRouter(): Router {
        const router = new Router(testRandom(1));
        router.configure(testPool, { reserveShortShare: 0, hedgeBudget: 0.05 });
        names.forEach(name => router.setTargetView(makeView(name)));
        return router;
    }

    function runMany(router: Router, count: number, from: number): void {
        for (let nth = 0; nth < count; nth++) {
            const now = at(from + nth * 10);
            router.submit(makeWork(`done-${from}-${nth}`, { arrivedAt: now }), now);
            const assignment = router.next(now)!;
            router.recordTokens(assignment.work.id, 10);
            router.recordEnd(assignment.work.id, { ok: true, tokens: 10 }, at(now + 10));
            router.evaluateTargets(at(now + 10));
        }
    }

    it("rejects work that cannot end in time after the queue before it, with a time for the retry", () => {
        const router = busyRouter();
        runMany(router, 60, 0);
        const now = at(600);
        for (let nth = 0; nth < 200; nth++) {
            router.submit(makeWork(`w${nth}`, { arrivedAt: now }), now);
        }
        const deadline = at(700);
        const decision = router.submit(makeWork("too-late", { arrivedAt: now, deadline }), now);
        assert.isFalse(decision.admitted);
        assert.isAbove(decision.admitted ? 0 : decision.notBefore, now);
        assert.isFalse(router.queue.remove(asId("too-late")));
        assert.isTrue(router.submit(makeWork("in-time", { arrivedAt: now }), now).admitted);
    });

    it("hedges late work once, within the budget and only if it can still end in time", () => {
        const router = busyRouter();
        runMany(router, 100, 0);
        const now = at(2000);
        router.submit(makeWork("late", { arrivedAt: now }), now);
        router.submit(makeWork("past-deadline", { arrivedAt: now, deadline: at(2040) }), now);
        router.next(now);
        router.next(now);
        const hedged = router.takeHedges(at(2100), () => true).map(({ work }) => work.id as string);
        assert.deepEqual(hedged, ["late"]);
        assert.isEmpty(router.takeHedges(at(2200), () => true));
    });

    it("hedges nothing without a budget, and no work that must not be repeated", () => {
        const router = busyRouter();
        router.configure(testPool, { reserveShortShare: 0, hedgeBudget: 0 });
        runMany(router, 100, 0);
        router.submit(makeWork("w", { arrivedAt: at(2000) }), at(2000));
        router.next(at(2000));
        assert.isEmpty(router.takeHedges(at(2100), () => true));
        router.configure(testPool, { reserveShortShare: 0, hedgeBudget: 0.5 });
        runMany(router, 10, 3000);
        assert.isEmpty(router.takeHedges(at(4000), () => false));
    });

    it("counts peers' requests until their counts expire", () => {
        const router = busyRouter();
        names.forEach(name => router.recordPeerCounts(asId(`host-of-${name}`), { [name]: 5 }, at(100)));
        router.submit(makeWork("w"), at(0));
        assert.isUndefined(router.next(at(0)));
        router.evaluateTargets(at(100));
        assert.isDefined(router.next(at(100)));
    });

    it("backs off from a target that refused work, and tries it again after that", () => {
        const router = busyRouter();
        names.forEach(name => router.recordRefusal(asId(name), at(0)));
        router.submit(makeWork("w"), at(0));
        assert.isUndefined(router.next(at(0)));
        router.evaluateTargets(at(1000));
        assert.isDefined(router.next(at(1000)));
    });

    it("frees each slot once", () => {
        const router = busyRouter();
        router.submit(makeWork("w"), at(0));
        const { work, view } = router.next(at(0))!;
        router.recordEnd(work.id, { ok: true, tokens: 1 }, at(1));
        router.recordEnd(work.id, { ok: true, tokens: 1 }, at(2));
        assert.equal(router.queue.inFlight(view.target), 0);
        assert.equal(router.runningCount, 0);
    });
});
