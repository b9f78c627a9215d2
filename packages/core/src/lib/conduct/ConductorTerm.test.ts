/** Tests of when a conductor may send orders, at the limits of its lease. */

import { expect } from "chai";
import { asId, type Instant, type KeyRevision, type LeaseId } from "../ids.js";
import { ConductorTerm } from "./ConductorTerm.js";

function at(ms: number): Instant {
    return ms as Instant;
}

function termFixture(): ConductorTerm {
    const term = new ConductorTerm();
    term.begin({ lease: asId<LeaseId>("l"), fence: 5 as KeyRevision }, at(2200), at(1000));
    return term;
}

describe("ConductorTerm", () => {
    it("allows orders after the waiting time and until well before the lease can end", () => {
        const term = termFixture();
        expect([999, 1000, 1499, 1500].map(ms => term.canOrder(at(ms)))).to.deep.equal([false, true, true, false]);
        expect([2199, 2200].map(ms => term.isValid(at(ms)))).to.deep.equal([true, false]);
    });

    it("is extended by a renewal of its own lease only", () => {
        const term = termFixture();
        term.renew(asId<LeaseId>("other"), at(9000));
        expect(term.isValid(at(3000))).to.equal(false);
        term.renew(asId<LeaseId>("l"), at(9000));
        expect(term.isValid(at(3000))).to.equal(true);
    });

    it("knows the last order of an earlier term", () => {
        const term = termFixture();
        term.recordOrder(at(1200));
        term.begin({ lease: asId<LeaseId>("m"), fence: 9 as KeyRevision }, at(4000), at(2000));
        expect(term.lastOrderAt).to.equal(1200);
    });

    it("allows no orders after its end", () => {
        const term = termFixture();
        term.end();
        expect(term.canOrder(at(1200))).to.equal(false);
        expect(term.isValid(at(1200))).to.equal(false);
    });
});
