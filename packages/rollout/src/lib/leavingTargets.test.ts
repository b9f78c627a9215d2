/** Tests that hosts send nothing to a target that said that it is leaving, on each path, while its entry stays as it was. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import { after, asId, type Instant, type TargetId } from "@tamarackpath/core";
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

const leaving = asId<TargetId>("leaving");

/** Milliseconds after its first notice within which a target must have got its last request. */
const drainMs = 2000;

const loadMs = 3500;

async function callSteadily(fleet: Fleet, path?: string): Promise<readonly string[]> {
    const answers: Promise<{ readonly kind: string; }>[] = [];
    const until = clock.now() + loadMs;
    for (let nth = 0; clock.now() < until; nth++) {
        answers.push(fleet.call(nth % fleet.hosts.length, path === undefined ? {} : { path, kind: "streaming" }));
        await fleet.pause(40);
    }
    return (await Promise.all(answers)).map(({ kind }) => kind);
}

/** The loads by the path on which they reach targets. */
const loads: Record<string, { readonly isPlain: boolean; run(fleet: Fleet): Promise<unknown>; }> = {
    "calls": { isPlain: true, run: fleet => callSteadily(fleet) },
    "streams": { isPlain: true, run: fleet => callSteadily(fleet, "/streams/") },
    "tasks": {
        isPlain: false,
        run: async fleet => {
            for (let nth = 0; nth < 7; nth++) {
                await fleet.submit(fleetJobFixture(`j${nth}`, 12));
                await fleet.pause(loadMs / 7);
            }
        },
    },
    "reward calls": {
        isPlain: true,
        run: async fleet => {
            for (let nth = 0; nth < 7; nth++) {
                await fleet.submit(fleetJobFixture(`j${nth}`, 8, true));
                await fleet.pause(loadMs / 7);
            }
        },
    },
};

/** Requests to the leaving target that come later than `drainMs` after the first response that gave the notice to its host. */
function lateArrivals(arrivals: readonly Arrival[], answerMs: number): readonly Arrival[] {
    const toLeaving = arrivals.filter(({ target }) => target === leaving);
    return toLeaving.filter(({ host, at }) => {
        const first = toLeaving.find(arrival => arrival.host === host)!;
        return at > after(first.at, answerMs + drainMs);
    });
}

describe("targets that say that they are leaving", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    const answerMs = 30;

    for (const [name, { isPlain, run }] of Object.entries(loads)) {
        it(`get no ${name} after the notice, though their entry says that they stay`, async function() {
            this.timeout(20_000);
            const service = isPlain ? plainService : engineService;
            fleet = await startFleet(clock, {
                hosts: 3,
                targets: [
                    targetFixture("leaving", service),
                    targetFixture("staying", service),
                    ...isPlain ? [targetFixture("engine", engineService)] : [],
                ],
                behaviour: target => ({
                    ms: answerMs,
                    rateLimit: { kind: "none" },
                    isLeaving: target === leaving,
                }),
            });
            const outcomes = await run(fleet);
            expect(fleet.arrivals.some(({ target }) => target === leaving), "the target was used").to.equal(true);
            expect(lateArrivals(fleet.arrivals, answerMs)).to.deep.equal([]);
            if (Array.isArray(outcomes)) {
                expect(outcomes.filter(kind => kind !== "answered" && kind !== "streamed")).to.deep.equal([]);
            }
        });
    }

    it("are used for a while if there is no other, and then calls are refused as not run", async function() {
        this.timeout(20_000);
        fleet = await startFleet(clock, {
            hosts: 1,
            targets: [targetFixture("leaving", plainService)],
            behaviour: () => ({ ms: answerMs, rateLimit: { kind: "none" }, isLeaving: true }),
        });
        expect((await fleet.call(0)).kind).to.equal("answered");
        expect((await fleet.call(0)).kind).to.equal("answered");
        await fleet.pause(drainMs);
        const last = await fleet.call(0);
        expect(last).to.deep.include({ kind: "refused" });
        expect(lateArrivals(fleet.arrivals, answerMs)).to.deep.equal([]);
    });

    it("serve again at once when they have started anew under their id", async () => {
        let incarnation = 1;
        fleet = await startFleet(clock, {
            hosts: 1,
            targets: () => [{ ...targetFixture("leaving", plainService), incarnation: incarnation as never }],
            behaviour: (unused, { entry }) => ({
                ms: answerMs,
                rateLimit: { kind: "none" },
                isLeaving: entry.incarnation === 1,
            }),
        });
        const { directory } = fleet.hosts[0]!.view;
        await fleet.call(0);
        expect(directory.targets.map(entry => entry.leaving)).to.deep.equal([true]);
        incarnation = 2;
        await fleet.pause(1500);
        expect(directory.targets.map(entry => entry.leaving)).to.deep.equal([false]);
        // An old entry that is read late does not end the notice, and does not withdraw the new incarnation's start.
        directory.adoptSnapshot(
            [{ ...targetFixture("leaving", plainService) }],
            after(clock.now(), 60_000) as Instant,
        );
        expect(directory.targets.map(entry => entry.leaving)).to.deep.equal([true]);
    });
});
