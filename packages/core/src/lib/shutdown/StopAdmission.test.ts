/** Tests which requests a stopping host takes, over the course of a planned stop. */

import { expect } from "chai";
import fc from "fast-check";
import { type Instant } from "../ids.js";
import { StopAdmission } from "./StopAdmission.js";

const at = (ms: number): Instant => ms as Instant;

function stoppingFixture(): StopAdmission {
    const admission = new StopAdmission();
    admission.begin({ drainedAt: at(2600), endAt: at(7300) });
    return admission;
}

describe("StopAdmission", () => {
    it("takes every request before the stop, and while the load balancer may send new connections", () => {
        expect(new StopAdmission().refusalOf(at(60_000), at(0))).to.equal(undefined);
        expect(stoppingFixture().refusalOf(at(12_000), at(2599))).to.equal(undefined);
    });

    // Guards against requests that are passed on late in a stop, and cut when the process ends.
    it("takes later requests only if their deadline comes before the host ends its requests", () => {
        fc.assert(fc.property(fc.integer({ min: 2600, max: 9000 }), fc.integer({ min: 0, max: 15_000 }), (now, ms) => {
            const refusal = stoppingFixture().refusalOf(at(now + ms), at(now));
            return refusal === (now + ms > 7300 ? "may-outlast-host" : undefined);
        }));
    });

    it("takes nothing once nothing waits for requests any more", () => {
        const admission = stoppingFixture();
        admission.refuseAll();
        expect(admission.refusalOf(at(2700), at(2650))).to.equal("stopped");
    });
});
