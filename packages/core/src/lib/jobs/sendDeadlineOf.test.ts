/** Tests of until when tasks may be sent. */

import { expect } from "chai";
import { type Instant } from "../ids.js";
import { sendDeadlineOf } from "./sendDeadlineOf.js";

function deadlineOf(knownUntil: number | undefined, lastOutageAt: number | undefined): number | undefined {
    return sendDeadlineOf(
        { knownUntil: knownUntil as Instant | undefined, lastOutageAt: lastOutageAt as Instant | undefined },
        2400,
    );
}

describe("sendDeadlineOf", () => {
    it("allows nothing before ends are known", () => {
        expect(deadlineOf(undefined, undefined)).to.equal(undefined);
    });

    it("allows sending for a limited time after ends were known, or after the store was unavailable", () => {
        expect(deadlineOf(1000, undefined)).to.equal(3400);
        expect(deadlineOf(1000, 500)).to.equal(3400);
        expect(deadlineOf(1000, 4000)).to.equal(6400);
        expect(deadlineOf(undefined, 4000)).to.equal(6400);
    });
});
