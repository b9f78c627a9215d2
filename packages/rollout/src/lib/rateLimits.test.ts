/** Tests that the hosts together keep to the rate limits that targets state, on each path to a target. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import { asId, type Instant, type TargetId } from "@tamarackpath/core";
import { expect } from "chai";
import {
    type Arrival,
    engineService,
    type Fleet,
    fleetJobFixture,
    plainService,
    startFleet,
    targetFixture,
} from "./rolloutFleetFixtures.test.js";

const clock = createMonotonicClock();

/** The window in which requests are counted, and what a target gets in it at most, by the platform's rules. */
const windowMs = 4000;

function maxInWindow(perSecond: number): number {
    return 1.5 * perSecond * windowMs / 1000 + 5;
}

/** The largest number of requests that reached `target` within a window that begins at `from` or later. */
function mostInWindow(arrivals: readonly Arrival[], target: TargetId, from: number): number {
    const times = arrivals.filter(arrival => arrival.target === target && arrival.at >= from).map(({ at }) => at);
    return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + windowMs).length));
}

/** Time of an answer, so that a load lasts longer than the targets have to be known as limited. */
const answerMs = 150;

const limited = asId<TargetId>("limited");

/** Sends a call through each host in turn, `perSecond` times a second. */
async function callSteadily(fleet: Fleet, perSecond: number, ms: number): Promise<readonly string[]> {
    const answers: Promise<{ readonly kind: string; }>[] = [];
    const until = clock.now() + ms;
    for (let nth = 0; clock.now() < until; nth++) {
        answers.push(fleet.call(nth % fleet.hosts.length));
        await fleet.pause(1000 / perSecond);
    }
    return (await Promise.all(answers)).map(({ kind }) => kind);
}

/** A load for each path on which requests reach targets; `perSecond` is the limit that the target states. */
const loads: Record<Arrival["path"] | "reward", { readonly perSecond: number; run(fleet: Fleet): Promise<unknown>; }> =
    {
        send: { perSecond: 1, run: fleet => callSteadily(fleet, 12, 5500) },
        run: {
            perSecond: 2,
            run: async fleet => {
                await fleet.submit(fleetJobFixture("j", 60));
                await fleet.pause(5500);
            },
        },
        reward: {
            perSecond: 2,
            run: async fleet => {
                await fleet.submit(fleetJobFixture("j", 60, true));
                await fleet.pause(5500);
            },
        },
        order: { perSecond: 0, run: fleet => fleet.pause(5500) },
        report: { perSecond: 0, run: fleet => fleet.pause(5500) },
    };

describe("rate limits of targets", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    for (const [path, { perSecond, run }] of Object.entries(loads)) {
        it(`are kept by all hosts together on the path "${path}"`, async function() {
            this.timeout(20_000);
            const isPlain = path === "send" || path === "reward";
            fleet = await startFleet(clock, {
                hosts: 4,
                version: path === "order" || path === "report" ? 2 : undefined,
                targets: [
                    targetFixture("limited", isPlain ? plainService : engineService),
                    ...isPlain ? [targetFixture("engine", engineService)] : [],
                ],
                behaviour: target => ({
                    ms: answerMs,
                    rateLimit: target === limited ? { kind: "limit", perSecond } : { kind: "none" },
                }),
            });
            const startedAt = clock.now();
            await run(fleet);

            const first = fleet.arrivals.find(({ target }) => target === limited)?.at ?? startedAt as Instant;
            expect(mostInWindow(fleet.arrivals, limited, first + 500)).to.be.at.most(maxInWindow(perSecond));
        });
    }

    it("leave calls to targets without a limit while these have room", async function() {
        this.timeout(20_000);
        fleet = await startFleet(clock, {
            hosts: 4,
            targets: [targetFixture("limited", plainService), targetFixture("other", plainService)],
            behaviour: target => ({
                ms: target === limited ? 5 : 60,
                rateLimit: target === limited ? { kind: "limit", perSecond: 1 } : { kind: "none" },
            }),
        });
        const answers = await callSteadily(fleet, 20, 3000);
        expect(new Set(answers)).to.deep.equal(new Set(["answered"]));
        const first = fleet.arrivals.find(({ target }) => target === limited)!.at;
        const later = fleet.arrivals.filter(({ target, at }) => target === limited && at > first + 300);
        expect(later).to.deep.equal([]);
    });

    it("are used in full when all targets state one, and other calls are refused at once with a time to return", async function() {
        this.timeout(20_000);
        fleet = await startFleet(clock, {
            hosts: 4,
            targets: [targetFixture("limited", plainService), targetFixture("other", plainService)],
            behaviour: () => ({ ms: 20, rateLimit: { kind: "limit", perSecond: 3 } }),
        });
        await callSteadily(fleet, 20, 1000);
        const from = clock.now();
        const calls: Promise<{ readonly ms: number; readonly kind: string; readonly retryAfterMs: number; }>[] = [];
        for (let nth = 0; clock.now() < from + 4000; nth++) {
            const startedAt = clock.now();
            calls.push(
                fleet.call(nth % 4).then(answer => ({
                    ms: clock.now() - startedAt,
                    kind: answer.kind,
                    retryAfterMs: answer.kind === "refused" ? answer.retryAfterMs : 0,
                })),
            );
            await fleet.pause(50);
        }
        const answers = await Promise.all(calls);
        const refused = answers.filter(({ kind }) => kind === "refused");
        expect(answers.length - refused.length).to.be.within(0.8 * 6 * 4, 6 * 4 + 5);
        expect(Math.max(...refused.map(({ ms }) => ms))).to.be.below(200);
        expect(Math.min(...refused.map(({ retryAfterMs }) => retryAfterMs))).to.be.greaterThan(0);
    });

    it("reach all hosts soon after one of them got the response", async function() {
        this.timeout(20_000);
        let perSecond = 5;
        fleet = await startFleet(clock, {
            hosts: 5,
            targets: [targetFixture("limited", plainService)],
            behaviour: () => ({ ms: 2, rateLimit: { kind: "limit", perSecond } }),
        });
        await fleet.pause(1000);
        const limits = (): readonly unknown[] =>
            fleet.hosts.map(({ permits }) => permits.describe(targetFixture("limited", plainService)).limitPerSecond);
        await fleet.call(1);
        await fleet.pause(100);
        expect(limits()).to.deep.equal([5, 5, 5, 5, 5]);
        perSecond = 2;
        await fleet.pause(500);
        await fleet.call(2);
        await fleet.pause(100);
        expect(limits()).to.deep.equal([2, 2, 2, 2, 2]);
    });
});
