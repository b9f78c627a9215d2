/** Replays of a zone that is cut off, and of loads that look like it. */

import { expect } from "chai";
import { asId, type Instant, type TargetId, type ZoneId } from "../ids.js";
import { engineFixture, jobFixture, schedulerFixture, taskFixture, termsFixture } from "./jobFixtures.test.js";
import { JobLog } from "./JobLog.js";
import { type ZoneEngine, type ZoneRun, ZoneWatch } from "./ZoneWatch.js";

const here = asId<ZoneId>("here");
const there = asId<ZoneId>("there");
const gapMs = 40;
const cutAt = 1000;

/** Runs at the engines, two at each, whose last events arrived shortly before `lastAt`. */
function runsFixture(targets: readonly string[], zone: ZoneId, lastAt: number): readonly ZoneRun[] {
    return targets.flatMap(name =>
        [0, 1].map(nth => {
            const scheduler = schedulerFixture();
            scheduler.add(jobFixture([taskFixture(nth)]), termsFixture(), new JobLog());
            const { run } = scheduler.next([engineFixture(name)], 0 as Instant)!;
            const lastEventAt = (lastAt - nth * gapMs / 2) as Instant;
            return { run, target: asId<TargetId>(name), zone, lastEventAt, hasEvents: true, gapMs };
        })
    );
}

function engineAt(name: string, zone: ZoneId, freeSlots: number): ZoneEngine {
    return { target: asId<TargetId>(name), zone, freeSlots, software: engineFixture(name).software };
}

describe("ZoneWatch", () => {
    const engines = [engineAt("a", there, 6), engineAt("b", there, 6), engineAt("c", here, 40)];

    // Guards against runs that resume one after the other, each after its own timeout.
    it("moves all silent runs of a zone that is cut off at once, and blocks the zone until an event arrives", () => {
        const watch = new ZoneWatch();
        const runs = runsFixture(["a", "b"], there, cutAt);
        const live = runsFixture(["c"], here, cutAt + 300);
        expect(watch.check([...runs, ...live], engines, (cutAt + 250) as Instant)).to.deep.equal([]);
        const now = (cutAt + 310) as Instant;
        expect(watch.check([...runs, ...live], engines, now)).to.deep.equal([{ zone: there, runs }]);
        expect([watch.isCutOff(there, now), watch.isCutOff(here, now)]).to.deep.equal([true, false]);
        expect(watch.nextRetryAt(now)).to.equal(now + 1500);
        watch.recordEvent(there);
        expect(watch.isCutOff(there, now)).to.equal(false);
    });

    it("counts lost connections like silent runs", () => {
        const watch = new ZoneWatch();
        const runs = runsFixture(["a"], there, cutAt);
        const now = (cutAt + 320) as Instant;
        expect(watch.check(runs, engines, now)).to.deep.equal([]);
        watch.recordUnreachable(there, asId<TargetId>("b"), (cutAt + 200) as Instant);
        expect(watch.check(runs, engines, now)).to.deep.equal([{ zone: there, runs }]);
    });

    it("moves as many runs as other zones have room for, and none when they have none", () => {
        const runs = runsFixture(["a", "b"], there, cutAt);
        const now = (cutAt + 310) as Instant;
        const full = [engines[0]!, engines[1]!, engineAt("c", here, 3)];
        expect(new ZoneWatch().check(runs, full, now)[0]!.runs).to.have.length(3);
        const watch = new ZoneWatch();
        expect(watch.check(runs, engines.slice(0, 2), now)).to.deep.equal([]);
        expect(watch.isCutOff(there, now)).to.equal(false);
    });

    it("does not take one engine that pauses, slow engines, or runs that end at different times for a cut-off", () => {
        const now = (cutAt + 310) as Instant;
        const check = (runs: readonly ZoneRun[]): unknown => new ZoneWatch().check(runs, engines, now);
        expect(check([...runsFixture(["a", "a"], there, cutAt)])).to.deep.equal([]);
        const live = runsFixture(["d", "e", "f"], there, now);
        expect(check([...runsFixture(["a", "b"], there, cutAt), ...live])).to.deep.equal([]);
        const slow = runsFixture(["a", "b"], there, cutAt).map(run => ({ ...run, gapMs: 140 }));
        expect(check(slow)).to.deep.equal([]);
        const apart = ["a", "b", "d"].flatMap((name, nth) => runsFixture([name], there, cutAt - 800 * nth).slice(0, 1));
        expect(check(apart)).to.deep.equal([]);
    });
});
