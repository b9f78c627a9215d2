/** Tests that the clock measures time correctly however often it is read, and across steps of the wall clock. */

import { expect } from "chai";
import { createMonotonicClock } from "./MonotonicClock.js";

/** System clocks that the test sets; the wall clock shows whole milliseconds. */
function systemClocksFixture(): { wallMs: number; monotonicMs: number; pass(ms: number): void; } {
    return {
        wallMs: 1_000_000,
        monotonicMs: 500,
        pass(ms) {
            this.wallMs += ms;
            this.monotonicMs += ms;
        },
    };
}

describe("createMonotonicClock", () => {
    function clockFixture() {
        const system = systemClocksFixture();
        const clock = createMonotonicClock({
            readWallMs: () => Math.floor(system.wallMs),
            readMonotonicMs: () => system.monotonicMs,
        });
        return { system, clock };
    }

    it("does not run fast when it is read many times in a millisecond", () => {
        const { system, clock } = clockFixture();
        const startedAt = clock.now();
        for (let nth = 0; nth < 40_000; nth++) {
            system.pass(0.1);
            clock.now();
        }
        expect(clock.now() - startedAt).to.be.closeTo(4000, 1);
    });

    it("includes the time of a suspension, and ignores a backward step of the wall clock", () => {
        const { system, clock } = clockFixture();
        const startedAt = clock.now();
        system.wallMs += 3000;
        expect(clock.now() - startedAt).to.be.closeTo(3000, 1);
        system.wallMs -= 8000;
        system.pass(500);
        expect(clock.now() - startedAt).to.be.closeTo(3500, 1);
        system.wallMs += 2000;
        expect(clock.now() - startedAt).to.be.closeTo(5500, 1);
    });

    it("never goes back", () => {
        const { system, clock } = clockFixture();
        let last = clock.now();
        for (let nth = 0; nth < 1000; nth++) {
            system.pass(0.3);
            system.wallMs += nth % 7 === 0 ? -40 : nth % 5 === 0 ? 60 : 0;
            const now = clock.now();
            expect(now).to.be.at.least(last);
            last = now;
        }
    });
});
