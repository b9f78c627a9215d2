/** Replays the load that moves answer: a step that waits for a few long samples while one engine is slowed or silent. */

import { expect } from "chai";
import { asId, type Instant, type TargetId } from "../ids.js";
import { boardFixture, jobFixture, seatFixture, taskFixture, termsFixture } from "./jobFixtures.test.js";
import { JobLog } from "./JobLog.js";
import { type AvailableEngine, type MovableRun, planMoves } from "./MovePlan.js";
import { PaceTracker } from "./PaceTracker.js";

const limits = { silentMs: 600, silentAtStartMs: 900 };
const usualGapMs = 40;

function runFixture(target: string, changes: Partial<MovableRun> = {}): MovableRun {
    const board = boardFixture();
    board.add(jobFixture([taskFixture(0)]), termsFixture(), new JobLog());
    const { run } = board.next([seatFixture(target)], 0 as Instant)!;
    return {
        run,
        target: asId<TargetId>(target),
        lastEventAt: 2000 as Instant,
        startedAt: 0 as Instant,
        hasEvents: true,
        ...changes,
    };
}

function roomFixture(name: string, speed: number, free = 4): AvailableEngine {
    return { target: asId<TargetId>(name), speed, free };
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

describe("PaceBook", () => {
    it("finds an engine that is slowed three and a half times, and forgets it once it was left alone", () => {
        const paces = pacesFixture({ a: usualGapMs, b: usualGapMs, c: usualGapMs, slow: 3.5 * usualGapMs }, 2000);
        expect(paces.speedOf(asId<TargetId>("slow"), 2000 as Instant)).to.be.closeTo(1 / 3.5, 0.03);
        expect(paces.speedOf(asId<TargetId>("a"), 2000 as Instant)).to.be.closeTo(1, 0.01);
        expect(paces.speedOf(asId<TargetId>("slow"), 9000 as Instant)).to.equal(1);
    });

    it("leaves runs at an engine that is slow for 600 ms, and moves them within 1.2 s when it stays slow", () => {
        const weakGapMs = 1.3 * usualGapMs;
        const slowedGapMs = 2.5 * weakGapMs;
        const momentary = pacesFixture({ a: usualGapMs, b: usualGapMs, c: weakGapMs }, 4000);
        for (let ms = 4000 + slowedGapMs; ms <= 4600; ms += slowedGapMs) {
            momentary.recordGap(asId<TargetId>("c"), slowedGapMs, ms as Instant);
        }
        const lasting = pacesFixture({ a: usualGapMs, b: usualGapMs, c: weakGapMs }, 4000);
        for (let ms = 4000 + 3.5 * weakGapMs; ms <= 5200; ms += 3.5 * weakGapMs) {
            lasting.recordGap(asId<TargetId>("c"), 3.5 * weakGapMs, ms as Instant);
        }
        const run = runFixture("c", { lastEventAt: 5200 as Instant });
        const movesWith = (paces: PaceTracker, at: Instant): number =>
            planMoves([run], [roomFixture("a", 1)], target => paces.speedOf(target, at), new Set(), limits, at).length;
        expect(movesWith(momentary, 4600 as Instant)).to.equal(0);
        expect(movesWith(lasting, 5200 as Instant)).to.equal(1);
    });

    it("does not take a slow third of a second for a slow engine", () => {
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

    it("moves the runs of a slowed engine as far as faster ones have room", () => {
        const runs = [runFixture("slow"), runFixture("slow"), runFixture("slow")];
        const moves = planMoves(runs, [roomFixture("usual", 1, 2)], speedOf, new Set(), limits, now);
        expect(moves.map(({ reason }) => reason)).to.deep.equal(["slow", "slow"]);
    });

    it("moves a silent run to any engine with room", () => {
        const silent = runFixture("usual", { lastEventAt: 1400 as Instant });
        expect(planMoves([silent], [roomFixture("slow", 0.28)], speedOf, new Set(), limits, now)[0]?.reason)
            .to.equal("silent");
    });

    it("gives a run longer before its first event, and leaves runs of changing engines alone", () => {
        const waiting = runFixture("usual", {
            lastEventAt: 1400 as Instant,
            startedAt: 1400 as Instant,
            hasEvents: false,
        });
        expect(planMoves([waiting], [roomFixture("a", 1)], speedOf, new Set(), limits, now)).to.deep.equal([]);
        const paused = runFixture("usual", { lastEventAt: 1000 as Instant });
        const changing = new Set([asId<TargetId>("usual")]);
        expect(planMoves([paused], [roomFixture("a", 1)], speedOf, changing, limits, now)).to.deep.equal([]);
    });

    it("does not move a run that has just begun, nor to an engine that is hardly faster", () => {
        const young = runFixture("slow", { startedAt: 1900 as Instant });
        expect(planMoves([young], [roomFixture("usual", 1)], speedOf, new Set(), limits, now)).to.deep.equal([]);
        const fast = [roomFixture("fast", 1.3)];
        expect(planMoves([runFixture("usual")], fast, speedOf, new Set(), limits, now)).to.deep.equal([]);
    });
});
