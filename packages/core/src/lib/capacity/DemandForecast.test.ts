/** Tests of the slots that open jobs need. */

import { expect } from "chai";
import { type Instant } from "../ids.js";
import { type OpenWork, slotsOfOpenWork } from "./DemandForecast.js";

const slotMsPerToken = 50;

/** A step of 64 tasks of 17 tokens each on average, wanted after 4 s. */
function stepFixture(changes: Partial<OpenWork> = {}): OpenWork {
    return { wantedAt: 4000 as Instant, tasks: 64, tokens: 64 * 17, longestTokens: 60, ...changes };
}

describe("slotsOfOpenWork", () => {
    // Guards against the average of the work as demand: 31 engines were reduced to 15, and a tenth of the steps failed.
    it("lets all tasks of a step start soon when its longest task takes most of the time", () => {
        expect(slotsOfOpenWork([stepFixture()], slotMsPerToken, 0 as Instant)).to.be.above(50);
        expect(slotsOfOpenWork([stepFixture({ longestTokens: 200 })], slotMsPerToken, 0 as Instant)).to.equal(64);
        const four = [0, 1, 2, 3].map(() => stepFixture());
        expect(slotsOfOpenWork(four, slotMsPerToken, 0 as Instant)).to.be.above(200);
    });

    it("spreads the work of a step over the time that it has", () => {
        const slow = stepFixture({ wantedAt: 40 * 60_000 as Instant, tasks: 8192, tokens: 8192 * 17 });
        expect(slotsOfOpenWork([slow], slotMsPerToken, 0 as Instant)).to.be.below(4);
    });

    it("needs no more slots than a late step has tasks", () => {
        const late = stepFixture({ wantedAt: -5000 as Instant, tasks: 3, tokens: 300 });
        expect(slotsOfOpenWork([late], slotMsPerToken, 0 as Instant)).to.equal(3);
    });
});
