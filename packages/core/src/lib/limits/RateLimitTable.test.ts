/** Tests of the merge of stated rate limits: responses that overtake each other, restarts, and many hosts. */

import { expect } from "chai";
import fc from "fast-check";
import { asId, type Incarnation, type Instant, type TargetId } from "../ids.js";
import { type RateLimitRecord, RateLimitTable } from "./RateLimitTable.js";

const target = asId<TargetId>("t");

function recordFixture(
    perSecond: number | undefined,
    sentAt: number,
    receivedAt: number,
    incarnation = 1,
): RateLimitRecord {
    return {
        target,
        incarnation: incarnation as Incarnation,
        perSecond,
        sentAt: sentAt as Instant,
        receivedAt: receivedAt as Instant,
    };
}

function limitOf(table: RateLimitTable, incarnation = 1): number | undefined {
    return table.get({ target, incarnation: incarnation as Incarnation })?.perSecond;
}

describe("RateLimitTable", () => {
    it("keeps a limit until a response to a later request states another or none", () => {
        const table = new RateLimitTable();
        table.merge(recordFixture(2, 0, 10));
        table.merge(recordFixture(undefined, 5, 20));
        expect(limitOf(table)).to.equal(2);
        table.merge(recordFixture(8, 9, 30));
        expect(limitOf(table)).to.equal(2);
        table.merge(recordFixture(8, 10, 30));
        expect(limitOf(table)).to.equal(8);
        table.merge(recordFixture(undefined, 31, 40));
        expect(limitOf(table)).to.equal(undefined);
    });

    it("adopts a lower limit of an overlapping response, and ignores an earlier one that arrives late", () => {
        const table = new RateLimitTable();
        table.merge(recordFixture(5, 10, 20));
        table.merge(recordFixture(3, 15, 25));
        expect(limitOf(table)).to.equal(3);
        table.merge(recordFixture(undefined, 30, 40));
        expect(table.merge(recordFixture(1, 5, 12))).to.equal("ignored");
        expect(limitOf(table)).to.equal(undefined);
    });

    it("forgets the limit of an incarnation that has ended, also when its responses arrive late", () => {
        const table = new RateLimitTable();
        table.merge(recordFixture(2, 0, 10, 1));
        expect(limitOf(table, 2)).to.equal(undefined);
        table.merge(recordFixture(4, 20, 30, 2));
        table.merge(recordFixture(1, 25, 40, 1));
        expect(limitOf(table, 2)).to.equal(4);
        expect(limitOf(table, 1)).to.equal(undefined);
    });

    it("is the same at hosts that get the statements in another order, once a later response decides", () => {
        const record = fc.tuple(fc.option(fc.integer({ min: 0, max: 9 }), { nil: undefined }), fc.nat(40), fc.nat(20))
            .map(([perSecond, sentAt, ms]) => recordFixture(perSecond, sentAt, sentAt + 1 + ms));
        fc.assert(fc.property(fc.array(record, { maxLength: 12 }), fc.infiniteStream(fc.nat(100)), (records, draws) => {
            const shuffled = records.map(each => ({ each, draw: draws.next().value })).sort((a, b) => a.draw - b.draw)
                .map(({ each }) => each);
            const tables = [records, shuffled].map(order => {
                const table = new RateLimitTable();
                order.forEach(each => table.merge(each));
                table.merge(recordFixture(7, 100, 101));
                return limitOf(table);
            });
            expect(tables).to.deep.equal([7, 7]);
        }));
    });

    it("lists the records that changed after a revision", () => {
        const table = new RateLimitTable();
        table.merge(recordFixture(2, 0, 10));
        const { revision } = table;
        expect(table.changesSince(revision)).to.deep.equal([]);
        table.merge(recordFixture(2, 20, 30));
        expect(table.changesSince(revision)).to.deep.equal([]);
        table.merge(recordFixture(3, 40, 50));
        expect(table.changesSince(revision).map(({ perSecond }) => perSecond)).to.deep.equal([3]);
    });
});
