/** Tests that no task reaches an engine long after its job ended, however slow the conductor's own calls to the store are. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    asId,
    type Clock,
    type JobId,
    type KeyValueFailure,
    type StoredChanges,
    type StoredRange,
} from "@tamarackpath/core";
import { expect } from "chai";
import { type Either, Left } from "purify-ts";
import {
    engineService,
    type Fleet,
    fleetJobFixture,
    FleetStore,
    startFleet,
    targetFixture,
} from "./rolloutFleetFixtures.test.js";

const clock = createMonotonicClock();

/** Milliseconds after the acknowledged end of a job within which its tasks may reach an engine, by the users' pages. */
const cancelMs = 3000;

const failure: KeyValueFailure = { applied: "no", detail: "The store did not answer in time." };

/** A store whose reads are given up by the host that reads, while writes of other hosts take effect. */
class UnreadStore extends FleetStore {
    isUnread = false;

    constructor(private readonly time: Clock) {
        super(time);
    }

    override get isReachable(): boolean {
        return !this.isUnread;
    }

    override async changes(): Promise<Either<KeyValueFailure, StoredChanges>> {
        const seen = await super.changes();
        return this.isUnread ? Left(failure) : seen;
    }

    override async range(prefix: string): Promise<Either<KeyValueFailure, StoredRange>> {
        return this.isUnread ? Left(failure) : super.range(prefix);
    }
}

describe("Tasks of a job that another host ends in the store", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    // Guards against a conductor that takes calls which it gave up itself for an outage, in which no job could end.
    it("do not start later when the conductor gives up its calls to the store", async () => {
        const store = new UnreadStore(clock);
        fleet = await startFleet(clock, {
            hosts: 2,
            targets: [targetFixture("a", engineService)],
            behaviour: () => ({ ms: 100, rateLimit: { kind: "none" } }),
            store,
        });
        expect(await fleet.submit(fleetJobFixture("job", 400))).to.equal("kept");
        await fleet.pause(300);
        const conducting = fleet.hosts.indexOf(fleet.conductor()!);
        fleet.setCut(conducting, true);
        store.isUnread = true;
        const ended = await fleet.hosts[1 - conducting]!.jobCalls.end(asId<JobId>("job"));
        expect(ended.isRight()).to.equal(true);
        const endedAt = clock.now();
        await fleet.pause(cancelMs + 1000);
        const runs = fleet.arrivals.filter(({ path }) => path === "run");
        expect(runs.length).to.be.greaterThan(0);
        expect(runs.filter(({ at }) => at - endedAt > cancelMs).length, "late runs").to.equal(0);
    });
});
