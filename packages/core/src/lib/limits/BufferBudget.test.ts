/** Tests of the budget of buffered bytes: crowds of large bodies, and ordinary requests beside them. */

import { expect } from "chai";
import fc from "fast-check";
import { BufferBudget } from "./BufferBudget.js";

const options = { maxBytes: 1000, reservedBytes: 300, maxSmallBytes: 50 };

describe("BufferBudget", () => {
    // Guards against a crowd of bodies of legal size that together exceed the memory of the host.
    it("refuses a crowd of large bodies and still admits small ones", () => {
        const budget = new BufferBudget(options);
        const crowd = Array.from({ length: 40 }, () => budget.open());
        const admitted = crowd.filter(body => {
            const isWhole = Array.from({ length: 4 }, () => 50).every(bytes => body.tryGrow(bytes));
            if (!isWhole) {
                body.release();
            }
            return isWhole;
        });
        expect(admitted).to.have.length.within(1, 3);
        expect(budget.open().tryGrow(50)).to.equal(true);
    });

    it("admits a single body that is larger than the budget, beside small ones, and no second one", () => {
        const budget = new BufferBudget(options);
        budget.open().grow(20);
        const single = budget.open();
        expect(single.tryGrow(1500)).to.equal(true);
        expect(budget.open().tryGrow(60)).to.equal(false);
        expect(budget.open().tryGrow(40), "small beside a large one").to.equal(true);
        single.release();
        expect(budget.open().tryGrow(600)).to.equal(true);
    });

    // Guards against bytes that are never returned, after which everything is refused.
    it("holds nothing once every holding is released, and refuses a holding that was released", () => {
        fc.assert(
            fc.property(fc.array(fc.tuple(fc.boolean(), fc.nat(400)), { maxLength: 50 }), steps => {
                const budget = new BufferBudget(options);
                const holdings = steps.map(([isForced, bytes]) => {
                    const holding = budget.open();
                    if (isForced) {
                        holding.grow(bytes);
                    }
                    else {
                        holding.tryGrow(bytes);
                    }
                    holding.tryGrow(bytes);
                    return holding;
                });
                holdings.forEach(holding => holding.release());
                holdings.forEach(holding => holding.release());
                expect(budget.heldBytes).to.equal(0);
                expect(holdings.some(holding => holding.tryGrow(1))).to.equal(false);
            }),
        );
    });
});
