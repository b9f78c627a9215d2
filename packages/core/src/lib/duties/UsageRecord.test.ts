/** Tests the stored record of use between builds, and the bounds of what is kept while nothing can be fixed or reported. */

import { expect } from "chai";
import { asId, type Instant, type KeyRevision, type OrganisationId } from "../ids.js";
import { UsageCounter } from "./UsageCounter.js";
import { UsageLedger } from "./UsageLedger.js";
import { decodeUsageRecord, encodeUsageRecord, fixWindows } from "./UsageRecord.js";
import { UsageReporter, type UsageStep } from "./UsageReporter.js";

const windowMs = 5000;
const organisation = asId<OrganisationId>("a");

function stored(value: unknown): Uint8Array {
    return new TextEncoder().encode(JSON.stringify(value));
}

/** The step of a reporter that has been asked for `ms` before, at a time of day at which no window was due. */
function stepAfter(reporter: UsageReporter, from: number, ms: number, timeOfDay: number): UsageStep {
    for (let now = from; now < from + ms; now += 500) {
        reporter.next(now as Instant, timeOfDay - 60_000);
    }
    return reporter.next(from + ms as Instant, timeOfDay);
}

describe("The record of use", () => {
    // Guards against an earlier build that drops what a later one needs while both run.
    it("keeps the fields of later builds, of the record and of each window", () => {
        const later = { fixedTo: 7, unreported: [{ window: 7, counts: { a: 2 }, kind: "x" }], format: { of: "later" } };
        const read = decodeUsageRecord(stored(later)).unsafeCoerce();
        const { record } = fixWindows(read, [{ window: 8, counts: {} }], new Set());
        expect(decodeUsageRecord(encodeUsageRecord(record)).unsafeCoerce()).to.deep.equal({
            ...later,
            fixedTo: 8,
            unreported: [...later.unreported, { window: 8, counts: {} }],
        });
    });

    it("is read by what it needs alone, and refused without that", () => {
        expect(decodeUsageRecord(stored({ fixedTo: 7, unreported: [] })).isRight()).to.equal(true);
        for (const value of [{}, { fixedTo: 7.5, unreported: [] }, { fixedTo: 7, unreported: [{ window: 7 }] }, null]) {
            expect(decodeUsageRecord(stored(value)).isLeft()).to.equal(true);
        }
        expect(decodeUsageRecord(new Uint8Array([255])).isLeft()).to.equal(true);
    });

    // Guards against a record that the store refuses again and again, so that no window is ever reported.
    it("drops the oldest windows that the store has no room for", () => {
        const counts = Object.fromEntries(Array.from({ length: 2000 }, (unused, nth) => [`石石石石${nth}`, nth]));
        const windows = Array.from({ length: 40 }, (unused, nth) => ({ window: nth + 1, counts }));
        const { record, dropped } = fixWindows({ fixedTo: 0, unreported: [] }, windows, new Set());
        expect(encodeUsageRecord(record).length).to.be.below(0.75 * 1_048_576);
        expect(record.unreported.at(-1)!.window).to.equal(40);
        expect(dropped).to.equal(40 - record.unreported.length).and.to.be.above(0);
    });

    it("that cannot be read lets no window be reported that may be fixed in it", () => {
        const ledger = new UsageLedger(windowMs);
        const reporter = new UsageReporter(ledger, windowMs, 20, 0 as Instant, 100 * windowMs, 0);
        reporter.recordUnreadable(4 as KeyRevision, 100 * windowMs);
        expect(stepAfter(reporter, 0, 3000, 101 * windowMs + 4000).kind).to.equal("wait");
        const step = stepAfter(reporter, 3000, 3000, 102 * windowMs + 4000);
        expect(step.kind === "write" && step.fixed.map(({ window }) => window)).to.deep.equal([101]);
    });

    it("follows windows of a store that was away, of which the newest 60 are kept at hosts and at the conductor", () => {
        const counter = new UsageCounter(1, windowMs);
        const ledger = new UsageLedger(windowMs);
        for (let window = 100; window < 300; window++) {
            counter.record(organisation, window * windowMs);
            ledger.adopt("h", counter.report(window * windowMs), window * windowMs);
        }
        expect(counter.report(300 * windowMs).windows.length).to.equal(60);
        expect(counter.lateCount).to.equal(140);
        expect(ledger.oldestWindow).to.be.at.least(240);
        const reporter = new UsageReporter(ledger, windowMs, 20, 0 as Instant, 300 * windowMs, 0);
        reporter.recordRead({ fixedTo: 99, unreported: [] }, 4 as KeyRevision);
        const step = stepAfter(reporter, 0, 3000, 300 * windowMs + 6000);
        expect(step.kind === "write" && [step.fixed.length, step.dropped, step.record.fixedTo])
            .to.deep.equal([60, 140, 299]);
    });

    // Guards against a new holder that is paused soon after its claim, and fixes a window before any host has reported to it.
    it("gets no window before its holder has listened, also after a pause of the holder's process", () => {
        const due = 101 * windowMs + 4000;
        for (
            const [pausedAt, pauseMs, resumedFor, kind] of [
                [2000, 0, 0, "write"],
                [1500, 0, 0, "wait"],
                [500, 1400, 1500, "wait"],
                [500, 1400, 2000, "write"],
                [2000, 1400, 1500, "wait"],
            ] as const
        ) {
            const reporter = new UsageReporter(
                new UsageLedger(windowMs),
                windowMs,
                20,
                0 as Instant,
                100 * windowMs,
                0,
            );
            reporter.recordRead({ fixedTo: 99, unreported: [] }, 4 as KeyRevision);
            stepAfter(reporter, 0, pausedAt, due - 60_000);
            expect(stepAfter(reporter, pausedAt + pauseMs, resumedFor, due).kind).to.equal(kind);
        }
    });
});
