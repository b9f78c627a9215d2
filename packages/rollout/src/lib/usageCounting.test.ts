/**
 * Tests which of a caller's requests count as use. Guards against reports that count refused requests, or one request for each of
 * its attempts.
 */

import { createMonotonicClock } from "@tamarackpath/adapters";
import { asId, type ForwardOutcome, type OrganisationId, type UsageReport } from "@tamarackpath/core";
import { expect } from "chai";
import {
    type CallOptions,
    engineService,
    type Fleet,
    fleetJobFixture,
    plainService,
    startFleet,
    type TargetBehaviour,
    targetFixture,
} from "./rolloutFleetFixtures.test.js";

const clock = createMonotonicClock();
const windowMs = 1000;
const organisation = asId<OrganisationId>("a");
const refused: ForwardOutcome = { kind: "not-run", detail: "full", reached: true };
const lost: ForwardOutcome = { kind: "unknown", detail: "reset", isConnectionLost: true };
const failed: ForwardOutcome = {
    kind: "answered",
    head: { status: 500, signature: "s", headers: [] },
    body: new Uint8Array(),
};

async function fleetFixture(
    behaviour: () => Partial<TargetBehaviour>,
    hosts = 1,
): Promise<{ readonly fleet: Fleet; readonly reports: UsageReport[]; }> {
    const reports: UsageReport[] = [];
    const fleet = await startFleet(clock, {
        hosts,
        targets: [
            targetFixture("p1", plainService),
            targetFixture("p2", plainService),
            targetFixture("e1", engineService),
        ],
        behaviour: () => ({ ms: 4, rateLimit: { kind: "none" }, ...behaviour() }) as TargetBehaviour,
        settings: {
            duties: { reportsUsage: true, ordersCapacity: false, usageWindowMs: windowMs, maxCallsPerSecond: 50 },
        },
        ports: {
            duties: {
                reportUsage: async report => {
                    reports.push(report);
                    return "accepted";
                },
                orderCapacity: async () => "rejected",
            },
        },
    });
    return { fleet, reports };
}

/** Number of requests that a host has counted and that are in no fixed window. */
function countedBy(fleet: Fleet): number {
    return fleet.hosts[0]!.usage!.report().windows.flatMap(({ counts }) => counts)
        .reduce((sum, [, requests]) => sum + requests, 0);
}

describe("The count of use", () => {
    const cases: readonly {
        readonly name: string;
        readonly outcomes: readonly (ForwardOutcome | undefined)[];
        readonly call?: CallOptions;
        readonly ms?: number;
        readonly counted: number;
    }[] = [
        { name: "an answered request", outcomes: [undefined], counted: 1 },
        { name: "a request that a target answers with an error twice", outcomes: [failed, failed], counted: 1 },
        { name: "a request that is answered after a refusal", outcomes: [refused, undefined], counted: 1 },
        { name: "a request that is lost and then answered", outcomes: [lost, undefined], counted: 1 },
        { name: "a lost request", outcomes: [lost], call: { kind: "non-idempotent" }, counted: 1 },
        { name: "a hedged request", outcomes: [undefined, undefined], ms: 300, counted: 1 },
        { name: "a stream", outcomes: [undefined], call: { kind: "streaming" }, counted: 1 },
        { name: "a refused request", outcomes: Array.from({ length: 9 }, () => refused), counted: 0 },
    ];
    for (const { name, outcomes, call, ms = 4, counted } of cases) {
        it(`is ${counted} for ${name}`, async () => {
            const left = [...outcomes];
            const { fleet } = await fleetFixture(() => ({ ms, ...callOf(left.shift()) }));
            await fleet.call(0, { organisation, timeoutMs: 700, ...call });
            expect(countedBy(fleet)).to.equal(counted);
            fleet.stop();
        });
    }

    it("leaves out requests without an organisation and tasks of jobs", async () => {
        const { fleet } = await fleetFixture(() => ({}));
        await fleet.call(0);
        await fleet.submit(fleetJobFixture("j", 4));
        await fleet.pause(300);
        expect(fleet.arrivals.some(({ path }) => path === "run")).to.equal(true);
        expect(countedBy(fleet)).to.equal(0);
        fleet.stop();
    });

    it("reaches the platform for each window, with the counts of all hosts", async () => {
        const { fleet, reports } = await fleetFixture(() => ({}), 3);
        const startedAt = Date.now();
        let calls = 0;
        while (Date.now() < startedAt + 3 * windowMs) {
            await Promise.all(fleet.hosts.map((unused, nth) => fleet.call(nth, { organisation })));
            calls += fleet.hosts.length;
            await fleet.pause(50);
        }
        await fleet.pause(4500);
        fleet.stop();
        const windows = reports.map(({ window }) => window);
        expect(windows).to.deep.equal(windows.map((unused, nth) => windows[0]! + nth));
        expect(reports.reduce((sum, { counts }) => sum + (counts[organisation] ?? 0), 0)).to.equal(calls);
    });
});

function callOf(outcome: ForwardOutcome | undefined): Partial<TargetBehaviour> {
    return outcome === undefined ? {} : { call: outcome };
}
