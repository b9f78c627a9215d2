import { assert } from "chai";
import fc from "fast-check";
import { asId, type Instant } from "../ids.js";
import { HedgeBudget } from "./HedgeBudget.js";
import { LengthEstimator } from "./LengthEstimator.js";
import { Router } from "./Router.js";
import { makeView, makeWork, testPool, testRandom } from "./routingFixtures.test.js";
import { SpeedBook } from "./SpeedBook.js";

const names = ["t0", "t1", "t2", "t3"] as const;

function at(ms: number): Instant {
    return ms as Instant;
}

/** Reads progress where each target's streams need `paces[nth]` milliseconds a token. */
function readPaces(book: SpeedBook, paces: readonly number[], times: number): void {
    for (let time = 0; time < times; time++) {
        book.read(paces.map((pace, nth) => ({ target: asId(names[nth]!), streamMs: 200, tokens: 200 / pace })));
    }
}

describe("SpeedBook", () => {
    it("takes weight from a slow target at once and returns it in steps", () => {
        const book = new SpeedBook();
        readPaces(book, [5, 5, 5, 5], 5);
        readPaces(book, [5, 5, 5, 100], 3);
        const slowed = book.weight(asId("t3"));
        assert.isBelow(slowed, 0.5);
        assert.equal(book.weight(asId("t0")), 1);
        readPaces(book, [5, 5, 5, 5], 6);
        assert.isBelow(book.weight(asId("t3")), 1);
        readPaces(book, [5, 5, 5, 5], 40);
        assert.equal(book.weight(asId("t3")), 1);
    });

    it("notices a target whose streams stand still", () => {
        const book = new SpeedBook();
        readPaces(book, [5, 5, 5, 5], 5);
        book.read([{ target: asId("t3"), streamMs: 600, tokens: 0 }]);
        assert.isBelow(book.weight(asId("t3")), 0.5);
    });

    it("ejects nobody when most of the pool looks slow, and never takes all weight", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 4, maxLength: 4 }), paces => {
                const book = new SpeedBook();
                readPaces(book, [5, 5, 5, 5], 5);
                readPaces(book, paces, 4);
                const weights = names.map(name => book.weight(asId(name)));
                assert.isAbove(Math.min(...weights), 0);
                assert.isAtMost(weights.filter(weight => weight < 0.5).length, 2);
            }),
            { seed: 4 },
        );
    });
});

describe("HedgeBudget", () => {
    it("never lets more be spent than its fraction of the work done", () => {
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

describe("LengthBook", () => {
    it("knows a class's quantiles within a bucket, and nothing of a class hardly seen", () => {
        const book = new LengthEstimator();
        for (let tokens = 1; tokens <= 100; tokens++) {
            book.learn("plans", tokens);
        }
        book.learn("rare", 5);
        assert.approximately(book.quantile("plans", 0.5)!, 50, 10);
        assert.isUndefined(book.quantile("rare", 0.5));
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

    it("refuses early what the queue before it leaves no time for, with the moment for a retry", () => {
        const router = busyRouter();
        runMany(router, 60, 0);
        const now = at(600);
        for (let nth = 0; nth < 200; nth++) {
            router.submit(makeWork(`w${nth}`, { arrivedAt: now }), now);
        }
        const deadline = at(700);
        const verdict = router.submit(makeWork("hopeless", { arrivedAt: now, deadline }), now);
        assert.isFalse(verdict.admitted);
        assert.isAbove(verdict.admitted ? 0 : verdict.notBefore, now);
        assert.isFalse(router.queue.remove(asId("hopeless")));
        assert.isTrue(router.submit(makeWork("patient", { arrivedAt: now }), now).admitted);
    });

    it("hedges lagging work once, within the budget and only while time is left", () => {
        const router = busyRouter();
        runMany(router, 100, 0);
        const now = at(2000);
        router.submit(makeWork("lagging", { arrivedAt: now }), now);
        router.submit(makeWork("doomed", { arrivedAt: now, deadline: at(2040) }), now);
        router.next(now);
        router.next(now);
        const hedged = router.takeHedges(at(2100), () => true).map(({ work }) => work.id as string);
        assert.deepEqual(hedged, ["lagging"]);
        assert.isEmpty(router.takeHedges(at(2200), () => true));
    });

    it("hedges nothing without a budget and nothing that must not be repeated", () => {
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

    it("counts peers' requests until they fall silent", () => {
        const router = busyRouter();
        names.forEach(name => router.recordPeerCounts(asId(`host-of-${name}`), { [name]: 5 }, at(100)));
        router.submit(makeWork("w"), at(0));
        assert.isUndefined(router.next(at(0)));
        router.evaluateTargets(at(100));
        assert.isDefined(router.next(at(100)));
    });

    it("leaves a target that refused alone for a moment, and then tries it again", () => {
        const router = busyRouter();
        names.forEach(name => router.recordRefusal(asId(name), at(0)));
        router.submit(makeWork("w"), at(0));
        assert.isUndefined(router.next(at(0)));
        router.evaluateTargets(at(1000));
        assert.isDefined(router.next(at(1000)));
    });

    it("gives each slot back once", () => {
        const router = busyRouter();
        router.submit(makeWork("w"), at(0));
        const { work, view } = router.next(at(0))!;
        router.recordEnd(work.id, { ok: true, tokens: 1 }, at(1));
        router.recordEnd(work.id, { ok: true, tokens: 1 }, at(2));
        assert.equal(router.queue.inFlight(view.target), 0);
        assert.equal(router.runningCount, 0);
    });
});
