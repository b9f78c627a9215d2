/** Tests of the pacing of requests to targets with a rate limit, and the load patterns that it is made for. */

import { expect } from "chai";
import fc from "fast-check";
import { asId, type Instant, type TargetId } from "../ids.js";
import { type PacedTarget, RequestPacer } from "./RequestPacer.js";

const windowMs = 4000;

function targetFixture(perSecond: number, name = "t"): PacedTarget {
    return { target: asId<TargetId>(name), perSecond };
}

function mostInWindow(times: readonly number[]): number {
    return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + windowMs).length));
}

/** Asks for one request of `flow` every `gapMs` and returns when those that were granted may be sent. */
function askSteadily(pacer: RequestPacer, paced: PacedTarget, flow: string, gapMs: number, ms: number): number[] {
    const times: number[] = [];
    for (let now = 0; now < ms; now += gapMs) {
        const reservation = pacer.reserve([paced], flow, now as Instant, now as Instant);
        if (reservation.kind === "reserved") {
            times.push(reservation.at);
        }
    }
    return times;
}

describe("RequestPacer", () => {
    it("hands out the whole limit and not more, at few and at many requests a second", () => {
        for (const perSecond of [0.1, 0.7, 1, 1.8, 3, 25, 400]) {
            const paced = targetFixture(perSecond);
            const times = askSteadily(new RequestPacer(), paced, "f", 1, 60_000);
            const slack = Math.max(2, perSecond * 0.25);
            expect(mostInWindow(times), `${perSecond}/s`).to.be.at.most(perSecond * windowMs / 1000 + slack);
            // The bucket begins empty, and the last interval may not have ended.
            expect(times.length, `${perSecond}/s`).to.be.within(perSecond * 60 - 2, perSecond * 60 + slack);
        }
    });

    it("sends a request now and then to a target that accepts none, to see whether it does again", () => {
        expect(askSteadily(new RequestPacer(), targetFixture(0), "f", 100, 100_000).length).to.be.within(3, 7);
    });

    it("begins empty, so that a new conductor does not add its burst to that of the last one", () => {
        const pacer = new RequestPacer();
        expect(pacer.available(targetFixture(4), "f", 1000 as Instant)).to.equal(0);
        expect(pacer.nextAt(targetFixture(4), "f", 1000 as Instant)).to.equal(1250);
    });

    it("serves a route with few requests beside one with many", () => {
        const pacer = new RequestPacer();
        const paced = targetFixture(3);
        let served = 0;
        let asked = 0;
        for (let now = 0; now < 60_000; now += 20) {
            pacer.reserve([paced], "many", now as Instant, now as Instant);
            if (now % 1000 === 0) {
                asked++;
                served += pacer.reserve([paced], "few", now as Instant, now as Instant).kind === "reserved" ? 1 : 0;
            }
        }
        expect(served / asked).to.be.greaterThan(0.4);
    });

    it("loses no request to a route that was refused and does not return", () => {
        const pacer = new RequestPacer();
        const paced = targetFixture(3);
        pacer.reserve([paced], "gone", 0 as Instant, 0 as Instant);
        expect(askSteadily(pacer, paced, "f", 20, 20_000).length).to.be.within(3 * 19, 3 * 20 + 2);
    });

    it("chooses the target that accepts a request first, and tells refused ones apart when to return", () => {
        const pacer = new RequestPacer();
        const targets = [targetFixture(1, "slow"), targetFixture(5, "fast")];
        const at = (ms: number): Instant => ms as Instant;
        pacer.reserve(targets, "f", at(0), at(0));
        const first = pacer.reserve(targets, "f", at(400), at(250));
        expect(first).to.deep.equal({ kind: "reserved", target: "fast", at: 250 });
        const retries = [1, 2, 3].map(() => pacer.reserve(targets, "f", at(250), at(250)))
            .map(reservation => reservation.kind === "refused" ? reservation.retryAt : 0);
        expect(new Set(retries).size).to.equal(3);
        expect(Math.min(...retries)).to.be.greaterThan(250);
    });

    it("never exceeds a limit that changes, whatever is asked when", () => {
        const step = fc.record({
            passMs: fc.integer({ min: 0, max: 700 }),
            perSecond: fc.constantFrom(0, 0.3, 1, 2, 8),
            flow: fc.constantFrom("a", "b"),
            waitMs: fc.constantFrom(0, 90),
        });
        fc.assert(fc.property(fc.array(step, { minLength: 20, maxLength: 200 }), steps => {
            const pacer = new RequestPacer();
            let now = 0;
            const sent: { at: number; perSecond: number; }[] = [];
            for (const { passMs, perSecond, flow, waitMs } of steps) {
                now += passMs;
                const reservation = pacer.reserve(
                    [targetFixture(perSecond)],
                    flow,
                    now + waitMs as Instant,
                    now as Instant,
                );
                if (reservation.kind === "reserved") {
                    expect(reservation.at).to.be.within(now, now + waitMs);
                    sent.push({ at: reservation.at, perSecond });
                }
                else {
                    expect(reservation.retryAt).to.be.greaterThan(now);
                }
            }
            const highest = Math.max(...steps.map(({ perSecond }) => perSecond));
            expect(mostInWindow(sent.map(({ at }) => at))).to.be.at.most(1.5 * highest * windowMs / 1000 + 5);
        }));
    });
});
