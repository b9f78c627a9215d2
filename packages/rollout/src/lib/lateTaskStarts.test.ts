/** Tests that no task reaches an engine long after its job ended, however slow the conductor's own calls to the store are. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    asId,
    type Clock,
    type Commit,
    type CommitResult,
    type JobId,
    jobKeys,
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

/** A store whose rate limit refuses the end marks of jobs. */
class LimitedStore extends FleetStore {
    isLimited = true;

    override async commit(commit: Commit): Promise<Either<KeyValueFailure, CommitResult>> {
        const isEnd = commit.puts.some(({ key }) => key.startsWith(jobKeys.endedPrefix));
        return isEnd && this.isLimited ? Left(failure) : super.commit(commit);
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

describe("Tasks of a job whose end is requested", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    // Guards against tasks that run although the caller ended the job, since the store did not take the end.
    it("do not start while the end cannot be written, which is repeated until it is", async () => {
        const store = new LimitedStore(clock);
        fleet = await startFleet(clock, {
            hosts: 2,
            targets: [targetFixture("a", engineService)],
            behaviour: () => ({ ms: 100, rateLimit: { kind: "none" } }),
            store,
        });
        expect(await fleet.submit(fleetJobFixture("job", 400))).to.equal("kept");
        await fleet.pause(300);
        const follower = fleet.hosts.find(host => host !== fleet.conductor())!;
        const askedAt = clock.now();
        expect((await follower.jobCalls.end(asId<JobId>("job"))).isLeft()).to.equal(true);
        await fleet.pause(cancelMs + 1000);
        const late = fleet.arrivals.filter(({ path, at }) => path === "run" && at - askedAt > cancelMs);
        expect(late.length, "late runs").to.equal(0);
        store.isLimited = false;
        await fleet.pause(1000);
        const page = (await follower.jobCalls.read(asId<JobId>("job"), 0, 0)).unsafeCoerce();
        expect(page).to.include({ total: 400 });
        expect(await fleet.submit(fleetJobFixture("job", 400))).to.equal("ended");
    });
});
