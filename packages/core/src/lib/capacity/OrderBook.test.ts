/** Tests of the orders that survive a holder of the duty, and of what follows from the platform's answers. */

import { expect } from "chai";
import { asId, type ServiceId } from "../ids.js";
import { type DutyCallEnd } from "../ports/DutyPlatform.js";
import { instant, zoneOf } from "./capacityFixtures.test.js";
import { type PlannedOrder } from "./CapacityInput.js";
import { readCapacityRecord } from "./CapacityRecord.js";
import { OrderBook } from "./OrderBook.js";
import { RecentEngines } from "./RecentEngines.js";

const service = asId<ServiceId>("s");
const target = { service, zone: zoneOf(0), kind: "reclaimable" as const };

function orderFixture(from: number, to: number): PlannedOrder {
    return { zone: target.zone, kind: target.kind, from, to, reason: "demand" };
}

function bookFixture(from: number, to: number): OrderBook {
    const book = new OrderBook(undefined, 0, instant(0));
    book.place(service, [orderFixture(from, to)], instant(0));
    return book;
}

describe("OrderBook", () => {
    it("sends a call without an answer again after 200 ms, later less often, and at most every 2 s", () => {
        const book = bookFixture(3, 5);
        const delays: number[] = [];
        let now = instant(0);
        for (const end of ["busy", "no-answer", "busy", "no-answer", "busy", "busy"] satisfies DutyCallEnd[]) {
            book.recordEnd(target, end, now);
            const next = book.nextSendAt!;
            expect(book.due(instant(next - 1))).to.deep.equal([]);
            expect(book.due(next)).to.deep.equal([{ ...target, count: 5 }]);
            delays.push(next - now);
            now = next;
        }
        expect(delays).to.deep.equal([200, 400, 800, 1600, 2000, 2000]);
        book.recordEnd(target, "accepted", now);
        expect(book.nextSendAt).to.equal(undefined);
    });

    it("keeps the number before a refused order in force, and asks for no more for 3 s", () => {
        const book = bookFixture(3, 5);
        book.recordEnd(target, "accepted", instant(100));
        book.place(service, [orderFixture(5, 9)], instant(8000));
        book.recordEnd(target, "none-available", instant(8100));
        const [group] = book.groups(service, [], new RecentEngines());
        expect(group!.lastOrder!.count).to.equal(5);
        expect(group!.blockedUntil).to.equal(11_100);
        expect(book.nextSendAt).to.equal(undefined);
    });

    it("stops to send an order once the list of engines shows it, or should have shown it", () => {
        for (const [ready, now] of [[5, 1000], [3, 6000]] as const) {
            const book = bookFixture(3, 5);
            const group = { zone: target.zone, kind: target.kind, ready, leaving: 0, missing: 0 };
            const groups = [{ ...group, lastOrder: undefined, blockedUntil: undefined }];
            book.closeShown(service, groups, 6000, instant(now - 1));
            expect(book.due(instant(now)).length).to.equal(ready === 5 ? 0 : 1);
            book.closeShown(service, groups, 6000, instant(now));
            expect(book.due(instant(now))).to.deep.equal([]);
        }
    });

    // Guards against an order that is lost with its sender, and against a number of long ago that is sent again.
    it("lets a successor send the orders of the record that are not known to be accepted", () => {
        const first = new OrderBook(undefined, 1_000_000, instant(0));
        const stored = JSON.parse(JSON.stringify(first.recordWith(service, [orderFixture(3, 5)], instant(500))));
        const second = new OrderBook(readCapacityRecord(stored), 1_000_400, instant(300));
        expect(second.due(instant(300))).to.deep.equal([{ ...target, count: 5 }]);
        second.recordEnd(target, "accepted", instant(310));
        const third = new OrderBook(second.recordWith(service, [], instant(320)), 1_000_000, instant(900));
        expect(third.due(instant(900))).to.deep.equal([]);
        expect(third.groups(service, [], new RecentEngines())[0]!.lastOrder!.count).to.equal(5);
    });
});

describe("readCapacityRecord", () => {
    it("reads a record of a later build, leaves out what it cannot read, and fills in what an earlier one lacks", () => {
        const record = readCapacityRecord({
            orders: [
                { ...target, count: 4, previous: 3, at: 7, isAccepted: true, later: "field" },
                { ...target, count: 2 },
                { ...target, kind: "of a later build", count: 4 },
                { ...target, count: -1 },
                "text",
            ],
            later: 1,
        });
        expect(record).to.deep.equal({
            orders: [
                { ...target, count: 4, previous: 3, at: 7, isAccepted: true },
                { ...target, count: 2, previous: 2, at: 0, isAccepted: false },
            ],
            blocked: [],
        });
        expect(readCapacityRecord("text")).to.equal(undefined);
    });
});
