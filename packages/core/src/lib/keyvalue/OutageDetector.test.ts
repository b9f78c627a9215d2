/** Tests of what shows an outage of a service, and what does not. */

import { expect } from "chai";
import { type Instant } from "../ids.js";
import { OutageDetector } from "./OutageDetector.js";

function at(ms: number): Instant {
    return ms as Instant;
}

describe("OutageDetector", () => {
    it("takes a refusal for an outage at the time of the request", () => {
        const detector = new OutageDetector();
        detector.recordRefusal(at(1000));
        expect(detector.lastOutageAt).to.equal(1000);
    });

    it("takes a connection that does not open for an outage while there is no other contact", () => {
        const detector = new OutageDetector();
        detector.recordContact(at(900));
        detector.recordNoConnection(at(1000));
        expect(detector.lastOutageAt).to.equal(1000);
    });

    // Guards against a full link or queue of this host that is taken for an outage.
    it("takes no connection for an outage if there was contact after it was requested", () => {
        const detector = new OutageDetector();
        detector.recordContact(at(1001));
        detector.recordNoConnection(at(1000));
        expect(detector.lastOutageAt).to.equal(undefined);
    });

    // Guards against a service that is taken for unavailable because it refuses some calls.
    it("takes a service for available again once it has answered a call", () => {
        const detector = new OutageDetector();
        detector.recordRefusal(at(1000));
        detector.recordAnswer(at(1100));
        expect(detector.lastOutageAt).to.equal(undefined);
        detector.recordRefusal(at(1200));
        expect(detector.lastOutageAt).to.equal(1200);
    });

    it("keeps the latest of several outages, whatever order they become known in", () => {
        const detector = new OutageDetector();
        detector.recordRefusal(at(2000));
        detector.recordNoConnection(at(1000));
        expect(detector.lastOutageAt).to.equal(2000);
    });
});
