/** Tests that only the holder of the claim opens jobs. */

import { asId, type JobId, jobKeys, type KeyValueFailure, type ServiceId, type StoredRange } from "@tamarackpath/core";
import { expect } from "chai";
import { type Either, Left } from "purify-ts";
import { type RegistryFixture, registryFixture } from "./jobRegistryFixtures.test.js";
import { engineJobFixture } from "./jobRunnerFixtures.test.js";
import { MemoryTransactionalStore } from "./MemoryStore.test.js";
import { createSteppingClock, type SteppingClock } from "./steppingClock.test.js";

const [a, b] = [asId<JobId>("a"), asId<JobId>("b")];

/** Longer than the end of a job that is neither open nor being opened is remembered. */
const forgottenMs = 60_000;

/** A store that refuses to read the results of the jobs in `unreadable`, and gives no answer for those in `silent`. */
class PartlyUnreadableStore extends MemoryTransactionalStore {
    readonly unreadable = new Set<JobId>();
    readonly silent = new Set<JobId>();

    override async range(prefix: string): Promise<Either<KeyValueFailure, StoredRange>> {
        const isOneOf = (jobs: Set<JobId>): boolean => [...jobs].some(job => prefix === jobKeys.resultsPrefix(job));
        if (isOneOf(this.silent)) {
            return new Promise(() => undefined);
        }
        return isOneOf(this.unreadable) ? Left({ applied: "no", detail: "unreadable" }) : super.range(prefix);
    }
}

interface Fixture extends RegistryFixture<PartlyUnreadableStore> {
    readonly clock: SteppingClock;
}

function fixture(): Fixture {
    const clock = createSteppingClock(0);
    return { ...registryFixture(new PartlyUnreadableStore(), clock), clock };
}

describe("JobRegistry", () => {
    it("opens no job after its host lost the claim, and keeps the open ones", async () => {
        const { registry, openIds, setFence } = fixture();
        await registry.open(engineJobFixture("a", 1), true);
        setFence(undefined);
        await registry.open(engineJobFixture("b", 1), true);
        expect(openIds()).to.deep.equal(["a"]);
    });

    // The next two guard against items of an ended job that run because the end came while the job was not open yet.
    it("opens no job that ends while its results are read", async () => {
        const { registry, openIds } = fixture();
        const opening = registry.open(engineJobFixture("a", 1), false);
        registry.close(a);
        await opening;
        expect(openIds()).to.deep.equal([]);
    });

    it("opens no job that ends while it waits for a route", async () => {
        const { registry, openIds, setRouted } = fixture();
        setRouted(false);
        await registry.open(engineJobFixture("a", 1), true);
        await registry.open(engineJobFixture("b", 1), true);
        registry.close(a);
        setRouted(true);
        await registry.applyRoutes();
        expect(openIds()).to.deep.equal(["b"]);
    });

    // The next two guard against tasks of an ended job that run because its end was forgotten while the job was being opened.
    it("opens no job that ended long before its results could be read", async () => {
        const { registry, store, clock, openIds } = fixture();
        store.unreadable.add(a);
        const opening = registry.open(engineJobFixture("a", 1), false);
        registry.close(a);
        clock.pass(forgottenMs);
        registry.dropEndedFromMemory();
        store.unreadable.clear();
        await clock.advance(forgottenMs);
        await opening;
        expect(openIds()).to.deep.equal([]);
        registry.dropEndedFromMemory();
        expect(registry.hasEnded(a)).to.equal(false);
    });

    it("opens no job that ended long ago, while another job that waited for the same route was being opened", async () => {
        const { registry, store, clock, openIds, setRouted } = fixture();
        setRouted(false);
        await registry.open(engineJobFixture("a", 1), false);
        await registry.open(engineJobFixture("b", 1), false);
        setRouted(true);
        store.unreadable.add(a);
        const opening = registry.applyRoutes();
        registry.close(b);
        clock.pass(forgottenMs);
        registry.dropEndedFromMemory();
        store.unreadable.clear();
        await clock.advance(forgottenMs);
        await opening;
        expect(openIds()).to.deep.equal(["a"]);
    });

    // The next four guard against tasks of a job whose end this host knew in an earlier term, which it then forgot.
    it("opens no job in a later term than the one in which the opening began", async () => {
        const { registry, store, clock, openIds } = fixture();
        store.unreadable.add(a);
        const opening = registry.open(engineJobFixture("a", 1), false);
        registry.close(a);
        registry.deactivate();
        registry.activate();
        store.unreadable.clear();
        await clock.advance(forgottenMs);
        await opening;
        expect(openIds()).to.deep.equal([]);
    });

    it("opens no job that waited for a route in an earlier term", async () => {
        const { registry, store, clock, openIds, setRouted } = fixture();
        setRouted(false);
        await registry.open(engineJobFixture("a", 1), false);
        await registry.open(engineJobFixture("b", 1), false);
        setRouted(true);
        store.unreadable.add(a);
        const opening = registry.applyRoutes();
        registry.close(b);
        registry.deactivate();
        registry.activate();
        store.unreadable.clear();
        await clock.advance(forgottenMs);
        await opening;
        expect(openIds()).to.deep.equal([]);
    });

    it("knows no ends of jobs from an earlier term", () => {
        const { registry, clock } = fixture();
        registry.recordEndsKnown(clock.now());
        expect(registry.areEndsKnown(clock.now())).to.equal(true);
        registry.deactivate();
        registry.activate();
        expect(registry.areEndsKnown(clock.now())).to.equal(false);
    });

    it("remembers ends of jobs when its host regains a claim that had lapsed", async () => {
        const { registry, store, clock, openIds, setFence } = fixture();
        registry.recordEndsKnown(clock.now());
        store.unreadable.add(a);
        store.unreadable.add(b);
        const openings = ["a", "b"].map(id => registry.open(engineJobFixture(id, 1), false));
        registry.close(a);
        setFence(undefined);
        setFence(5);
        registry.activate();
        expect(registry.areEndsKnown(clock.now())).to.equal(true);
        store.unreadable.clear();
        await clock.advance(forgottenMs);
        await Promise.all(openings);
        expect(openIds()).to.deep.equal(["b"]);
        expect(registry.hasEnded(a)).to.equal(true);
    });

    // Guards against tasks that are sent to the service of an older configuration until the next one comes.
    it("follows a route that moves while the results of its job are read", async () => {
        const { registry, store, clock, setTerms } = fixture();
        store.unreadable.add(a);
        const opening = registry.open(engineJobFixture("a", 1), false);
        setTerms({ service: asId<ServiceId>("moved") });
        await registry.applyRoutes();
        store.unreadable.clear();
        await clock.advance(1000);
        await opening;
        expect(registry.scheduler.get(a)?.terms.service).to.equal("moved");
    });

    // Guards against a job that is never run because an opening of an earlier term has not ended.
    it("opens a job while an opening of an earlier term waits for an answer", async () => {
        const { registry, store, clock, openIds } = fixture();
        store.silent.add(a);
        void registry.open(engineJobFixture("a", 1), false);
        registry.deactivate();
        registry.activate();
        store.silent.clear();
        await registry.open(engineJobFixture("a", 1), false);
        await clock.advance(0);
        expect(openIds()).to.deep.equal(["a"]);
    });
});
