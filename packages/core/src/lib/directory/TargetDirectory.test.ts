/** Tests of how reads of the targets' entries are applied, with and without an outage of the store. */

import { expect } from "chai";
import { asId, type Incarnation, type Instant, type ServiceId, type TargetId, type ZoneId } from "../ids.js";
import { reregistrationGraceMs, TargetDirectory, type TargetEntryView } from "./TargetDirectory.js";

const pollMs = 905;

function entryFixture(nth: number, changes: Partial<TargetEntryView> = {}): TargetEntryView {
    return {
        target: asId<TargetId>(`t${nth}`),
        service: asId<ServiceId>("desk"),
        address: `10.0.0.${nth}:8080`,
        zone: asId<ZoneId>("z"),
        slots: 6,
        leaving: false,
        incarnation: 1 as Incarnation,
        models: [],
        ...changes,
    };
}

function directoryFixture(count: number): TargetDirectory {
    const directory = new TargetDirectory();
    directory.applySnapshot(Array.from({ length: count }, (unused, nth) => entryFixture(nth)), 0 as Instant);
    return directory;
}

describe("TargetDirectory", () => {
    it("removes a missing target immediately if no read failed, however long the time between reads", () => {
        const directory = directoryFixture(4);
        const rest = [entryFixture(0), entryFixture(1), entryFixture(2)];
        expect(directory.applySnapshot(rest, pollMs as Instant)).to.deep.equal(["t3"]);
        expect(directory.get(asId<TargetId>("t3"))).to.equal(undefined);
    });

    it("keeps targets for the grace period after an outage, and then removes those that are still missing", () => {
        const directory = directoryFixture(4);
        directory.recordFailure(1000 as Instant);
        directory.recordFailure(2000 as Instant);
        directory.applySnapshot([entryFixture(0)], 5000 as Instant);
        expect(directory.targets).to.have.length(4);
        directory.applySnapshot([entryFixture(0), entryFixture(1)], (5000 + reregistrationGraceMs + 1) as Instant);
        expect(directory.targets.map(({ target }) => target)).to.deep.equal(["t0", "t1"]);
    });

    it("treats the simultaneous loss of most entries as an outage, also without a failed read", () => {
        const directory = directoryFixture(6);
        directory.applySnapshot([entryFixture(0)], pollMs as Instant);
        expect(directory.targets).to.have.length(6);
        directory.applySnapshot([entryFixture(0)], (pollMs + reregistrationGraceMs + 1) as Instant);
        expect(directory.targets).to.have.length(1);
    });

    it("does not treat a single failed read as an outage", () => {
        const directory = directoryFixture(4);
        directory.recordFailure(500 as Instant);
        directory.applySnapshot([entryFixture(0), entryFixture(1), entryFixture(2)], 1000 as Instant);
        expect(directory.targets).to.have.length(3);
    });

    it("adopts only reads that are newer than its own", () => {
        const directory = directoryFixture(2);
        directory.applySnapshot([entryFixture(0)], 1000 as Instant);
        directory.adoptSnapshot([entryFixture(0), entryFixture(1)], 900 as Instant);
        expect(directory.targets).to.have.length(1);
        directory.adoptSnapshot([entryFixture(0, { leaving: true })], 1100 as Instant);
        expect(directory.get(asId<TargetId>("t0"))?.leaving).to.equal(true);
    });
});
