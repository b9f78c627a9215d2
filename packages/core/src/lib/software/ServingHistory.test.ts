/** Tests of what may be concluded about a stream without a record of it, at hosts that start, stop and merge histories. */

import { expect } from "chai";
import fc from "fast-check";
import { asId, type Incarnation, type Instant, type SoftwareVersion } from "../ids.js";
import { ServingHistory } from "./ServingHistory.js";
import { streamLifetimeMs, type StreamRecord, StreamRecords } from "./StreamRecords.js";

const at = (ms: number): Instant => ms as Instant;
const retentionMs = 120_000;

function historyFixture(knownSince: number): ServingHistory {
    return new ServingHistory(at(knownSince), retentionMs);
}

function valuesOf(history: ServingHistory, from: number): readonly string[] | undefined {
    const values = history.valuesSince("s", at(from));
    return values === undefined ? undefined : [...values].sort();
}

describe("ServingHistory", () => {
    it("knows the only version since the system's first start, and both while a release is within a stream's life", () => {
        const history = historyFixture(0);
        history.observe("s", new Set(["v1"]), at(500), true);
        expect(valuesOf(history, -59_000)).to.deep.equal(undefined);
        expect(valuesOf(history, 100)).to.deep.equal(["v1"]);
        history.observe("s", new Set(["v1", "v2"]), at(6000), false);
        history.observe("s", new Set(["v2"]), at(10_000), false);
        expect(valuesOf(history, 9000)).to.deep.equal(["v1", "v2"]);
        expect(valuesOf(history, 60_000)).to.deep.equal(["v2"]);
    });

    it("concludes nothing at a host that has just started, until it reads what others know", () => {
        const started = historyFixture(50_000);
        started.observe("s", new Set(["v2"]), at(50_100), true);
        expect(valuesOf(started, 10_000)).to.equal(undefined);
        const earlier = historyFixture(0);
        earlier.observe("s", new Set(["v1"]), at(0), true);
        started.merge(earlier.document);
        expect(valuesOf(started, 10_000)).to.deep.equal(["v1", "v2"]);
    });

    it("concludes nothing while a target does not name its software, nor for a subject that began lately", () => {
        const history = historyFixture(0);
        history.observe("s", new Set(["v1", ""]), at(0), true);
        expect(valuesOf(history, 100)).to.equal(undefined);
        history.observe("t", new Set(["v1"]), at(500), false);
        expect(history.valuesSince("t", at(100))).to.equal(undefined);
        expect([...history.valuesSince("t", at(600))!]).to.deep.equal(["v1"]);
    });

    it("drops a subject that is out of force for longer than it is kept", () => {
        const history = historyFixture(0);
        history.observe("s", new Set(["v1"]), at(0), true);
        history.observe("s", new Set(), at(1000), false);
        history.observe("s", new Set(), at(1000 + retentionMs + 1), false);
        expect(history.subjects).to.deep.equal([]);
    });

    it("never excludes a version that served, over changes, late views, restarts and merges of three hosts", () => {
        // Each step takes a second. The views of hosts are up to four seconds late, and one host, the conductor, stores its
        // history each time that it changes; a host that restarts merges what is stored before it concludes.
        const versions = [["v1"], ["v1", "v2"], ["v2"], ["v2", "v3"], ["v3"]];
        const step = fc.record({
            change: fc.boolean(),
            lateBy: fc.integer({ min: 0, max: 4 }),
            restart: fc.constantFrom(0, 1, undefined, undefined),
        });
        fc.assert(fc.property(fc.array(step, { maxLength: 100 }), steps => {
            const states: (readonly string[])[] = [versions[0]!];
            const hosts = [0, 1, 2].map(() => historyFixture(0));
            hosts.forEach(history => history.observe("s", new Set(states[0]), at(0), true));
            let stored = hosts[2]!.document;
            for (const [nth, { change, lateBy, restart }] of steps.entries()) {
                const now = (nth + 1) * 1000;
                const phase = versions.indexOf(states.at(-1)! as string[]);
                states.push(versions[Math.min(versions.length - 1, phase + Number(change))]!);
                if (restart !== undefined) {
                    hosts[restart] = historyFixture(now);
                }
                hosts.forEach((history, host) => {
                    const seen = states[Math.max(0, states.length - 1 - (host === 2 ? 0 : lateBy))]!;
                    history.observe("s", new Set(seen), at(now), false);
                });
                stored = hosts[2]!.document;
                hosts.forEach(history => history.merge(stored));
                const from = Math.max(0, now - 20_000);
                const served = new Set(states.slice(from / 1000).flat());
                hosts.forEach(history => {
                    const known = history.valuesSince("s", at(from));
                    expect([...served].filter(value => known?.has(value) === false)).to.deep.equal([]);
                });
            }
        }));
    });
});

describe("StreamRecords", () => {
    function recordFixture(stream: string, startedAt: number): StreamRecord {
        return {
            stream,
            service: asId("s"),
            software: asId<SoftwareVersion>("v1"),
            target: asId("a"),
            incarnation: 1 as Incarnation,
            startedAt: at(startedAt),
        };
    }

    it("keeps a bounded number of records, and none for longer than a stream lives", () => {
        const records = new StreamRecords();
        records.add(recordFixture("old", 0));
        expect(records.get("old", at(streamLifetimeMs - 1))!.software).to.equal("v1");
        expect(records.get("old", at(streamLifetimeMs))).to.equal(undefined);
        for (let nth = 0; nth < 30_000; nth++) {
            records.add(recordFixture(`s${nth}`, streamLifetimeMs + nth));
        }
        expect(records.size).to.equal(20_000);
        expect(records.get("old", at(streamLifetimeMs))).to.equal(undefined);
        expect(records.newest(10, 10_000, at(streamLifetimeMs + 30_000)).at(-1)!.stream).to.equal("s29999");
    });

    // Guards against records that the store refuses, because callers chose long ids for their streams.
    it("stores only the newest records that fit into a value", () => {
        const records = new StreamRecords();
        ["a", "b", "c"].forEach(name => records.add(recordFixture(`${name}${"石".repeat(1000)}`, 0)));
        records.add(recordFixture("short", 0));
        const stored = records.newest(10, 7000, at(1)).map(({ stream }) => stream.slice(0, 5));
        expect(stored).to.deep.equal(["b石石石石", "c石石石石", "short"]);
    });
});
