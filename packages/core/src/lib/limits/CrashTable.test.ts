/** Tests of the evidence that a request ends its targets, and of how the decision ends. */

import { expect } from "chai";
import fc from "fast-check";
import { asId, type Incarnation, type Instant, type TargetId } from "../ids.js";
import { type CrashRecord, CrashTable, type RequestFingerprint, type TargetLoss } from "./CrashTable.js";

const fatal = asId<RequestFingerprint>("fatal");

function at(ms: number): Instant {
    return ms as Instant;
}

function lossFixture(name: string, ms: number, incarnation = 1): TargetLoss {
    return { target: asId<TargetId>(name), incarnation: incarnation as Incarnation, at: at(ms) };
}

function tableFixture(losses: readonly TargetLoss[]): CrashTable {
    const table = new CrashTable();
    losses.forEach(loss => table.recordLoss(fatal, loss));
    return table;
}

const three = [lossFixture("a", 0), lossFixture("b", 10), lossFixture("c", 20)];

describe("CrashTable", () => {
    it("blocks a request after the loss of three targets, also of three incarnations of one", () => {
        expect(tableFixture(three.slice(0, 2)).verdict(fatal, at(30))).to.equal("suspect");
        expect(tableFixture(three).verdict(fatal, at(30))).to.equal("blocked");
        const one = tableFixture([1, 2, 3].map(incarnation => lossFixture("a", incarnation, incarnation)));
        expect(one.verdict(fatal, at(30))).to.equal("blocked");
        expect(tableFixture(three).verdict(asId<RequestFingerprint>("other"), at(30))).to.equal("sound");
    });

    it("counts a loss that several attempts or hosts report once", () => {
        const table = tableFixture([lossFixture("a", 0), lossFixture("a", 1), lossFixture("a", 2)]);
        expect(table.verdict(fatal, at(30))).to.equal("suspect");
    });

    it("clears a request that a target answers, and begins anew with later losses", () => {
        const table = tableFixture(three);
        table.recordAnswer(fatal, at(25));
        expect(table.verdict(fatal, at(30))).to.equal("sound");
        table.recordLoss(fatal, lossFixture("a", 40, 2));
        expect(table.verdict(fatal, at(50))).to.equal("suspect");
    });

    it("does not count a lost connection of a target that answers another request soon", () => {
        const table = tableFixture(three);
        expect(table.recordAlive(asId<TargetId>("b"), 1 as Incarnation, at(15), at(40))).to.deep.equal([fatal]);
        expect(table.verdict(fatal, at(50))).to.equal("suspect");
        const restarted = tableFixture(three);
        restarted.recordAlive(asId<TargetId>("b"), 1 as Incarnation, at(2500), at(2600));
        expect(restarted.verdict(fatal, at(2700))).to.equal("blocked");
        const inFlight = tableFixture(three);
        inFlight.recordAlive(asId<TargetId>("b"), 1 as Incarnation, at(5), at(40));
        expect(inFlight.verdict(fatal, at(50))).to.equal("blocked");
    });

    it("permits single trials at growing intervals, two within 90 s", () => {
        const table = tableFixture(three);
        let trials = 0;
        for (let now = 20; now < 90_000; now += 50) {
            if (table.verdict(fatal, at(now)) === "trial") {
                trials++;
                table.recordTrial(fatal, at(now));
                table.recordLoss(fatal, lossFixture("a", now, 10 + trials));
            }
        }
        expect(trials).to.equal(2);
    });

    it("is bounded, and forgets requests that do not come again", () => {
        const table = new CrashTable();
        for (let nth = 0; nth < 3000; nth++) {
            table.recordLoss(asId<RequestFingerprint>(`f${nth}`), lossFixture("a", nth));
        }
        expect(table.all.length).to.equal(1000);
        table.expire(at(200_000));
        expect(table.isEmpty).to.equal(true);
    });

    it("ends with the same verdict at hosts that merge the records in another order, or twice", () => {
        const loss = fc.tuple(fc.constantFrom("a", "b", "c", "d"), fc.nat(1000), fc.integer({ min: 1, max: 3 }))
            .map(([name, ms, incarnation]) => lossFixture(name, ms + incarnation * 2000, incarnation));
        const record = fc.tuple(fc.array(loss, { maxLength: 3 }), fc.option(fc.nat(8000), { nil: undefined })).map(
            ([losses, answeredAt]): CrashRecord => ({
                fingerprint: fatal,
                losses,
                answeredAt: answeredAt as Instant | undefined,
                trials: 0,
                trialAt: undefined,
            }),
        );
        fc.assert(fc.property(fc.array(record, { maxLength: 6 }), records => {
            const verdicts = [records, [...records].reverse(), [...records, ...records]].map(order => {
                const table = new CrashTable();
                // A table keeps the first losses only, so an answer must be merged before later losses are dropped.
                const answeredAt = Math.max(...order.map(each => each.answeredAt ?? -Infinity));
                order.forEach(each => table.merge({ ...each, answeredAt: at(answeredAt) }));
                return table.verdict(fatal, at(9000));
            });
            expect(new Set(verdicts).size).to.equal(1);
        }));
    });
});
