/** Tests of when a conductor may order, at the edges of its lease. */

import { expect } from "chai";
import { asId, type Instant, type KeyRevision, type LeaseId } from "../ids.js";
import { ConductorTerm } from "./ConductorTerm.js";

function at(ms: number): Instant {
    return ms as Instant;
}

function tenureFixture(): ConductorTerm {
    const tenure = new ConductorTerm();
    tenure.begin({ lease: asId<LeaseId>("l"), fence: 5 as KeyRevision }, at(2200), at(1000));
    return tenure;
}

describe("Tenure", () => {
    it("orders after the calm and stops well before the lease can end", () => {
        const tenure = tenureFixture();
        expect([999, 1000, 1499, 1500].map(ms => tenure.canOrder(at(ms)))).to.deep.equal([false, true, true, false]);
        expect([2199, 2200].map(ms => tenure.isValid(at(ms)))).to.deep.equal([true, false]);
    });

    it("is prolonged by a renewal of its own lease only", () => {
        const tenure = tenureFixture();
        tenure.renew(asId<LeaseId>("other"), at(9000));
        expect(tenure.isValid(at(3000))).to.equal(false);
        tenure.renew(asId<LeaseId>("l"), at(9000));
        expect(tenure.isValid(at(3000))).to.equal(true);
    });

    it("does nothing after its end", () => {
        const tenure = tenureFixture();
        tenure.end();
        expect(tenure.canOrder(at(1200))).to.equal(false);
        expect(tenure.isValid(at(1200))).to.equal(false);
    });
});
