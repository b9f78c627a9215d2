/** Tests of what shows an outage of a service, and what does not. */

import { expect } from "chai";
import { type Instant } from "../ids.js";
import { OutageDetector } from "./OutageDetector.js";

function at(ms: number): Instant {
    return ms as Instant;
}

function callAt(ms: number, waitMs = 0): { sentAt: Instant; dueAt: Instant; } {
    return { sentAt: at(ms), dueAt: at(ms + waitMs) };
}

describe("OutageDetector", () => {
    it("takes a refusal for an outage at the time of the request", () => {
        const detector = new OutageDetector();
        detector.recordRefusal(at(1000));
        expect(detector.lastOutageAt).to.equal(1000);
    });

    it("takes a call without an answer for an outage while no other call is answered", () => {
        const detector = new OutageDetector();
        detector.recordBytes(at(900));
        detector.recordSilence(callAt(1000), at(1800));
        expect(detector.lastOutageAt).to.equal(1000);
    });

    // Guards against a full link or queue of this host that is taken for an outage.
    it("takes no call for an outage if another one was answered after it was sent", () => {
        const detector = new OutageDetector();
        detector.recordBytes(at(1001));
        detector.recordSilence(callAt(1000), at(1800));
        expect(detector.lastOutageAt).to.equal(undefined);
    });

    // Guards against a process that sent a call just before it gave it up.
    it("takes no call for an outage that was sent or due only a short time before", () => {
        const detector = new OutageDetector();
        detector.recordSilence(callAt(1000), at(1300));
        detector.recordSilence(callAt(1000, 1000), at(2300));
        expect(detector.lastOutageAt).to.equal(undefined);
    });

    it("keeps the latest of several outages, whatever order their calls end in", () => {
        const detector = new OutageDetector();
        detector.recordSilence(callAt(2000), at(2800));
        detector.recordSilence(callAt(1000), at(3000));
        expect(detector.lastOutageAt).to.equal(2000);
    });
});
