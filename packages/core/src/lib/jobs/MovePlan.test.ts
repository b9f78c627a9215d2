/** Tests of a step that waits for a few long samples while one engine is slow or sends nothing. */

import { expect } from "chai";
import { asId, type Instant, type TargetId, type WeightVersion } from "../ids.js";
import { engineFixture, jobFixture, schedulerFixture, taskFixture, termsFixture } from "./jobFixtures.test.js";
import { JobLog } from "./JobLog.js";
import { type AvailableEngine, type MovableRun, type PacedEngine, planMoves, planUpgrades } from "./MovePlan.js";
import { PaceTracker } from "./PaceTracker.js";

const limits = { silentMs: 600, silentAtStartMs: 900 };
const usualGapMs = 40;
const { software } = engineFixture("any");

function runFixture(target: string, changes: Partial<MovableRun> = {}): MovableRun {
    const scheduler = schedulerFixture();
    scheduler.add(jobFixture([taskFixture(0)]), termsFixture(), new JobLog());
    const { run } = scheduler.next([engineFixture(target)], 0 as Instant)!;
    return {
        run,
        target: asId<TargetId>(target),
        lastEventAt: 2000 as Instant,
        startedAt: 0 as Instant,
        hasEvents: true,
        ...changes,
    };
}

function availableFixture(name: string, speed: number, freeSlots = 4): AvailableEngine {
    return { target: asId<TargetId>(name), speed, freeSlots, software };
}

function pacesFixture(gaps: Readonly<Record<string, number>>, untilMs: number): PaceTracker {
    const paces = new PaceTracker();
    for (const [target, gapMs] of Object.entries(gaps)) {
        for (let ms = gapMs; ms <= untilMs; ms += gapMs) {
            paces.recordGap(asId<TargetId>(target), gapMs, ms as Instant);
        }
    }
    return paces;
}

describe("PaceTracker", () => {
    it("measures an engine that is 3.5 times slower, and drops the estimate after a time without events", () => {
        const paces = pacesFixture({ a: usualGapMs, b: usualGapMs, c: usualGapMs, slow: 3.5 * usualGapMs }, 2000);
        expect(paces.speedOf(asId<TargetId>("slow"), 2000 as Instant)).to.be.closeTo(1 / 3.5, 0.03);
        expect(paces.speedOf(asId<TargetId>("a"), 2000 as Instant)).to.be.closeTo(1, 0.01);
        expect(paces.speedOf(asId<TargetId>("slow"), 9000 as Instant)).to.equal(1);
    });

    it("keeps runs at an engine that is slow for 600 ms, and moves them within 1.2 s if it stays slow", () => {
        const weakGapMs = 1.3 * usualGapMs;
        const slowGapMs = 2.5 * weakGapMs;
        const momentary = pacesFixture({ a: usualGapMs, b: usualGapMs, c: weakGapMs }, 4000);
        for (let ms = 4000 + slowGapMs; ms <= 4600; ms += slowGapMs) {
            momentary.recordGap(asId<TargetId>("c"), slowGapMs, ms as Instant);
        }
        const lasting = pacesFixture({ a: usualGapMs, b: usualGapMs, c: weakGapMs }, 4000);
        for (let ms = 4000 + 3.5 * weakGapMs; ms <= 5200; ms += 3.5 * weakGapMs) {
            lasting.recordGap(asId<TargetId>("c"), 3.5 * weakGapMs, ms as Instant);
        }
        const run = runFixture("c", { lastEventAt: 5200 as Instant });
        const movesWith = (paces: PaceTracker, at: Instant): number =>
            planMoves([run], [availableFixture("a", 1)], target => paces.speedOf(target, at), new Set(), limits, at)
                .length;
        expect(movesWith(momentary, 4600 as Instant)).to.equal(0);
        expect(movesWith(lasting, 5200 as Instant)).to.equal(1);
    });

    it("does not regard an engine as slow after a third of a second", () => {
        const paces = pacesFixture({ a: usualGapMs, b: usualGapMs, c: usualGapMs }, 2000);
        for (let ms = 2100; ms <= 2300; ms += 100) {
            paces.recordGap(asId<TargetId>("c"), 2.5 * usualGapMs, ms as Instant);
        }
        expect(paces.speedOf(asId<TargetId>("c"), 2300 as Instant)).to.be.above(1 / 2.2);
    });
});

describe("planMoves", () => {
    const speeds: Readonly<Record<string, number>> = { slow: 0.28, usual: 1 };
    const speedOf = (target: TargetId): number => speeds[target] ?? 1;
    const now = 2100 as Instant;

    it("moves the runs of a slow engine as far as faster engines have free slots", () => {
        const runs = [runFixture("slow"), runFixture("slow"), runFixture("slow")];
        const moves = planMoves(runs, [availableFixture("usual", 1, 2)], speedOf, new Set(), limits, now);
        expect(moves.map(({ reason }) => reason)).to.deep.equal(["slow", "slow"]);
    });

    it("moves a stalled run to any engine with a free slot", () => {
        const silent = runFixture("usual", { lastEventAt: 1400 as Instant });
        expect(planMoves([silent], [availableFixture("slow", 0.28)], speedOf, new Set(), limits, now)[0]?.reason)
            .to.equal("silent");
    });

    it("waits longer for the first event of a run, and does not move runs of engines that change weights", () => {
        const waiting = runFixture("usual", {
            lastEventAt: 1400 as Instant,
            startedAt: 1400 as Instant,
            hasEvents: false,
        });
        expect(planMoves([waiting], [availableFixture("a", 1)], speedOf, new Set(), limits, now)).to.deep.equal([]);
        const paused = runFixture("usual", { lastEventAt: 1000 as Instant });
        const changing = new Set([asId<TargetId>("usual")]);
        expect(planMoves([paused], [availableFixture("a", 1)], speedOf, changing, limits, now)).to.deep.equal([]);
    });

    it("does not move a run that has just begun, nor to an engine that is not much faster", () => {
        const recent = runFixture("slow", { startedAt: 1900 as Instant });
        expect(planMoves([recent], [availableFixture("usual", 1)], speedOf, new Set(), limits, now)).to.deep.equal([]);
        const fast = [availableFixture("fast", 1.3)];
        expect(planMoves([runFixture("usual")], fast, speedOf, new Set(), limits, now)).to.deep.equal([]);
    });
});

describe("planUpgrades", () => {
    const now = 5000 as Instant;

    function pacedFixture(name: string, usualGapMs: number | undefined, freeSlots = 6): PacedEngine {
        return { target: asId<TargetId>(name), slots: 6, freeSlots, usualGapMs, software };
    }

    function longRunFixture(target: string, events: number): MovableRun {
        const run = runFixture(target);
        for (let id = 1; id <= events; id++) {
            run.run.progress.append({ id, data: "x" }, 1 as WeightVersion);
        }
        return run;
    }

    // Paces of a day with eight engines, of which two are slower by 30%: 38 and 50 ms an event.
    const engines = [pacedFixture("fast", 38), pacedFixture("slow", 50)];

    it("moves the longest samples to an engine that is faster for good, and leaves shorter ones", () => {
        const runs = [longRunFixture("slow", 20), longRunFixture("slow", 60), longRunFixture("slow", 110)];
        const moves = planUpgrades(runs, engines, new Set(), now);
        expect(moves.map(({ run, to }) => [run.progress.eventCount, to])).to.deep.equal([[110, "fast"], [60, "fast"]]);
    });

    it("leaves a run where it is when the gain is small, the faster engine is busy or a pace is unknown", () => {
        const run = longRunFixture("slow", 60);
        const without = (faster: PacedEngine): number =>
            planUpgrades([run], [pacedFixture("slow", 50), faster], new Set(), now).length;
        expect(without(pacedFixture("fast", 47))).to.equal(0);
        expect(without(pacedFixture("fast", 38, 1))).to.equal(0);
        expect(without(pacedFixture("fast", undefined))).to.equal(0);
        expect(planUpgrades([run], [pacedFixture("slow", undefined), engines[0]!], new Set(), now)).to.deep.equal([]);
    });

    it("keeps room at the faster engine, and moves no run to or from an engine that changes weights", () => {
        const runs = Array.from({ length: 9 }, () => longRunFixture("slow", 60));
        expect(planUpgrades(runs, engines, new Set(), now)).to.have.length(5);
        for (const name of ["slow", "fast"]) {
            expect(planUpgrades(runs, engines, new Set([asId<TargetId>(name)]), now)).to.deep.equal([]);
        }
    });

    it("does not move a run back, however the pace of the moment changes", () => {
        const paces = pacesFixture({ fast: 38, slow: 50 }, 8000);
        for (let ms = 8000; ms <= 10_000; ms += 90) {
            paces.recordGap(asId<TargetId>("fast"), 90, ms as Instant);
        }
        const paced = ["fast", "slow"].map(name => pacedFixture(name, paces.usualGapMs(asId<TargetId>(name))));
        expect(planUpgrades([longRunFixture("fast", 60)], paced, new Set(), now)).to.deep.equal([]);
        expect(planUpgrades([longRunFixture("slow", 60)], paced, new Set(), now)).to.have.length(1);
    });
});
