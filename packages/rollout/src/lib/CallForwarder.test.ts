/** Tests of the attempts at a call, from what reaches the targets. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import { expect } from "chai";
import { type Fleet, plainService, startFleet, targetFixture } from "./rolloutFleetFixtures.test.js";

const clock = createMonotonicClock();

describe("CallForwarder", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    it("pauses between attempts while no target can be reached, and tries each target at once first", async function() {
        this.timeout(10_000);
        fleet = await startFleet(clock, {
            hosts: 1,
            targets: [targetFixture("a", plainService), targetFixture("b", plainService)],
            behaviour: () => ({
                ms: 0,
                rateLimit: { kind: "none" },
                call: { kind: "not-run", detail: "refused", reached: false },
            }),
        });
        const startedAt = clock.now();
        await fleet.call(0, { timeoutMs: 1000 });
        expect(fleet.arrivals.slice(0, 2).map(({ target }) => target)).to.have.members(["a", "b"]);
        expect(fleet.arrivals[1]!.at - startedAt).to.be.below(50);
        expect(fleet.arrivals.length).to.be.within(6, 14);
    });

    it("sends nothing for a caller that left while its request was checked", async function() {
        this.timeout(10_000);
        fleet = await startFleet(clock, {
            hosts: 1,
            targets: [targetFixture("a", plainService)],
            behaviour: () => ({ ms: 5, rateLimit: { kind: "none" } }),
        });
        const left = new AbortController();
        const answer = fleet.call(0, { callerGone: left.signal });
        left.abort();
        expect((await answer).kind).to.equal("left");
        expect(fleet.arrivals).to.deep.equal([]);
    });
});
