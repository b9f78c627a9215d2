/** Tests of when a conductor with callers hands over to a host without callers. */

import { expect } from "chai";
import { type Instant } from "../ids.js";
import { ConductorPreference } from "./ConductorPreference.js";

/** The times at which a host hands over, asked every 100 ms from 0 to `untilMs` in a term that began at 0. */
function handOvers(untilMs: number, hasBetterFollower: (now: number) => boolean): readonly number[] {
    const preference = new ConductorPreference();
    const times: number[] = [];
    for (let now = 0; now <= untilMs; now += 100) {
        const input = { now: now as Instant, termBeganAt: 0 as Instant, hasBetterFollower: hasBetterFollower(now) };
        if (preference.shouldHandOver(input)) {
            times.push(now);
        }
    }
    return times;
}

describe("ConductorPreference", () => {
    it("hands over once the term and a better host have lasted for some seconds", () => {
        expect(handOvers(10_000, () => true)).to.deep.equal([4000]);
        expect(handOvers(10_000, now => now >= 6000)).to.deep.equal([8000]);
        expect(handOvers(10_000, () => false)).to.deep.equal([]);
    });

    // Guards against a claim that goes to and fro when the better hosts follow but cannot claim.
    it("hands over at most once a minute, and not to hosts that come and go", () => {
        expect(handOvers(130_000, () => true)).to.deep.equal([4000, 64_000, 124_000]);
        expect(handOvers(30_000, now => now % 2000 !== 0)).to.deep.equal([]);
    });
});
