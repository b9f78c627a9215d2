/** Tests of what the conductor knows of jobs that other hosts end in the store. */

import {
    asId,
    type Commit,
    type CommitResult,
    type Instant,
    type Job,
    type JobId,
    jobKeys,
    type KeyRevision,
    type KeyValueFailure,
    sleepUntil,
    type StoredChange,
    type StoredChanges,
    type StoredItem,
    type StoredRange,
} from "@tamarackpath/core";
import { expect } from "chai";
import { pack } from "msgpackr";
import { type Either, Left, Right } from "purify-ts";
import { type ConductorTask } from "./ConductorTask.js";
import { type RegistryFixture, registryFixture } from "./jobRegistryFixtures.test.js";
import { engineJobFixture } from "./jobRunnerFixtures.test.js";
import { noopJournal } from "./Journal.js";
import { LiveKeyWatch } from "./LiveKeyWatch.js";
import { MemoryTransactionalStore } from "./MemoryStore.test.js";
import { defaultRolloutSettings } from "./RolloutSettings.js";
import { createSteppingClock, settle, type SteppingClock } from "./steppingClock.test.js";

const jobTargetMs = 3000;

/** A store whose watches get no answer, as on a connection that has gone silent. */
class SilentWatchStore extends MemoryTransactionalStore {
    readonly waits: number[] = [];

    override changes(...args: readonly unknown[]): ReturnType<MemoryTransactionalStore["changes"]> {
        this.waits.push(Number(args[2]));
        return new Promise(() => undefined);
    }
}

/** A store whose watches wait as they are asked to, and are answered 700 ms later. */
class LateWatchStore extends MemoryTransactionalStore {
    constructor(private readonly clock: SteppingClock) {
        super();
    }

    override async changes(...args: readonly unknown[]): ReturnType<MemoryTransactionalStore["changes"]> {
        await sleepUntil(this.clock, this.clock.now() + Number(args[2]) + 700 as Instant);
        return super.changes();
    }
}

/** Milliseconds after which a watch of a `WatchedStore` reports changes. */
const watchDelayMs = 100;

/** A store whose watches report changes, and which does not answer reads under the prefixes in `unanswered`. */
class WatchedStore extends MemoryTransactionalStore {
    readonly unanswered = new Set<string>();
    /** Prefixes whose reads fail. */
    readonly failing = new Set<string>();
    /** Number of the next watches that fail. */
    failingWatches = 0;
    /** Number of reads that were held back, whether answered by now or not. */
    heldReads = 0;
    private readonly written: { readonly revision: KeyRevision; readonly change: StoredChange; }[] = [];

    private readonly heldBack = new Map<string, Promise<void>>();

    constructor(private readonly clock: SteppingClock) {
        super();
    }

    /** Delays answers to reads under `prefix`, which have what the store held before, until the returned function is called. */
    holdBack(prefix: string): () => void {
        let release = (): void => undefined;
        this.heldBack.set(prefix, new Promise(resolve => release = resolve));
        return release;
    }

    /** Sets whether reads of a key fail. */
    setUnreadable(key: string, isUnreadable: boolean): void {
        if (isUnreadable) {
            this.failing.add(key);
        }
        else {
            this.failing.delete(key);
        }
    }

    override async get(key: string): Promise<Either<KeyValueFailure, StoredItem | undefined>> {
        return this.failing.has(key) ? Left({ applied: "no", detail: "failing" }) : super.get(key);
    }

    override async range(prefix: string): Promise<Either<KeyValueFailure, StoredRange>> {
        const held = this.heldBack.get(prefix);
        if (held !== undefined) {
            this.heldReads++;
            const res = await this.read(prefix);
            await held;
            return res;
        }
        return this.unanswered.has(prefix) ? new Promise(() => undefined) : this.read(prefix);
    }

    private async read(prefix: string): Promise<Either<KeyValueFailure, StoredRange>> {
        return this.failing.has(prefix) ? Left({ applied: "no", detail: "failing" }) : super.range(prefix);
    }

    override async commit(commit: Commit): Promise<Either<KeyValueFailure, CommitResult>> {
        const res = await super.commit(commit);
        const result = res.toMaybe().extract();
        if (result?.kind === "committed") {
            const { revision } = result;
            const items: StoredItem[] = commit.puts.map(({ key, value }) => ({ key, value, revision }));
            items.forEach(item => this.written.push({ revision, change: { key: item.key, item } }));
            commit.removes.forEach(key => this.written.push({ revision, change: { key, item: undefined } }));
        }
        return res;
    }

    override async changes(
        prefix = "",
        since = 0 as KeyRevision,
    ): Promise<Either<KeyValueFailure, StoredChanges>> {
        await sleepUntil(this.clock, this.clock.now() + watchDelayMs as Instant);
        if (this.failingWatches > 0) {
            this.failingWatches--;
            return Left({ applied: "no", detail: "failing" });
        }
        const newer = this.written.filter(({ revision, change }) => revision > since && change.key.startsWith(prefix));
        const asOf = Math.max(since, ...newer.map(({ revision }) => revision)) as KeyRevision;
        return Right({ kind: "changes", changes: newer.map(({ change }) => change), asOf });
    }
}

interface WatchFixture<Store extends MemoryTransactionalStore> extends RegistryFixture<Store> {
    readonly watch: LiveKeyWatch;
    /** Stores a job as another host does. */
    readonly keep: (id: string) => Promise<void>;
    /** Stores a job whose document has parts as another host does. */
    readonly keepLarge: (id: string) => Promise<void>;
    /** Ends a job in the store as another host does. */
    readonly end: (id: string) => Promise<void>;
}

/** A watch of a host that conducts. */
function watchFixture<Store extends MemoryTransactionalStore>(
    store: Store,
    clock: SteppingClock,
): WatchFixture<Store> {
    const fixture = registryFixture(store, clock);
    const { registry, jobs } = fixture;
    const keep = async (job: Job): Promise<void> => void await jobs.keep(job, jobTargetMs as Instant, () => false);
    const conductor = { isConductor: true, applyClaimChange: () => undefined } as unknown as ConductorTask;
    return {
        ...fixture,
        watch: new LiveKeyWatch(store, jobs, registry, conductor, clock, noopJournal),
        keep: id => keep(engineJobFixture(id, 1)),
        keepLarge: id => keep({ ...engineJobFixture(id, 1), path: "x".repeat(1_000_000) }),
        end: async id => {
            await store.commit({
                expected: [],
                puts: [{ key: jobKeys.ended(asId<JobId>(id)), value: pack({ total: 1, endedAt: Date.now() }) }],
                removes: [jobKeys.open(asId<JobId>(id))],
            });
        },
    };
}

describe("LiveKeyWatch", () => {
    // Guards against tasks that start more than three seconds after their job ended in the store.
    it("lets the conductor know for how long ends of jobs may be unknown to it", async () => {
        const clock = createSteppingClock(1);
        const { store, registry, watch, keep, end } = watchFixture(new SilentWatchStore(), clock);
        await keep("j");
        expect(registry.areEndsKnown(clock.now())).to.equal(false);
        watch.activate();
        await settle();
        expect(registry.has(asId<JobId>("j"))).to.equal(true);
        expect(registry.areEndsKnown(clock.now())).to.equal(true);
        // Another host ends the job; the watch that would report it gets no answer.
        await end("j");
        await clock.advance(defaultRolloutSettings.maxUnknownEndMs + 1);
        expect(registry.areEndsKnown(clock.now())).to.equal(false);
        // A watch that waits longer than this would be late even with a connection that answers.
        expect(Math.max(...store.waits)).to.be.lessThan(defaultRolloutSettings.maxUnknownEndMs / 2);
        watch.deactivate();
    });

    // Guards against tasks of ended jobs that start because one job's results cannot be read when this host begins to conduct.
    it("learns of ends of jobs while the results of another job cannot be read", async () => {
        const clock = createSteppingClock(0);
        const { store, registry, openIds, watch, keep, end } = watchFixture(new WatchedStore(clock), clock);
        await keep("slow");
        await keep("other");
        store.unanswered.add(jobKeys.resultsPrefix(asId<JobId>("slow")));
        watch.activate();
        await settle();
        expect(openIds()).to.deep.equal(["other"]);
        await end("other");
        await clock.advance(2 * watchDelayMs);
        expect(openIds()).to.deep.equal([]);
        expect(registry.hasEnded(asId<JobId>("other"))).to.equal(true);
        await clock.advance(2 * defaultRolloutSettings.maxUnknownEndMs);
        expect(registry.areEndsKnown(clock.now())).to.equal(true);
        watch.deactivate();
    });

    // Guards against tasks of a job that ended in an earlier term of this host, in which the reading of its parts began.
    it("opens no job whose parts were requested in an earlier term", async () => {
        const clock = createSteppingClock(0);
        const { store, registry, openIds, watch, keepLarge, end } = watchFixture(new WatchedStore(clock), clock);
        await keepLarge("j");
        const answer = store.holdBack(jobKeys.partsPrefix(asId<JobId>("j")));
        watch.activate();
        await settle();
        await end("j");
        watch.deactivate();
        registry.deactivate();
        registry.activate();
        store.unanswered.add(jobKeys.openPrefix);
        watch.activate();
        answer();
        await clock.advance(watchDelayMs);
        expect(openIds()).to.deep.equal([]);
        watch.deactivate();
    });

    // Guards against a new conductor that reads the results of all jobs at once, so slowly that none arrive in time.
    it("opens a few jobs at a time, and none of those that end while they wait", async () => {
        const clock = createSteppingClock(0);
        const { store, openIds, watch, keep, end } = watchFixture(new WatchedStore(clock), clock);
        const ids = ["a", "b", "c", "d", "e"];
        for (const id of ids) {
            await keep(id);
        }
        const answers = ids.map(id => store.holdBack(jobKeys.resultsPrefix(asId<JobId>(id))));
        watch.activate();
        await settle();
        expect(store.heldReads).to.equal(2);
        await end("c");
        await clock.advance(2 * watchDelayMs);
        for (const answer of answers) {
            answer();
            await settle();
        }
        expect(openIds()).to.deep.equal(["a", "b", "d", "e"]);
        watch.deactivate();
    });

    // Guards against a job whose tasks never run, because one read of its parts failed while the watch went on.
    it("opens a job whose parts could not be read at first", async () => {
        const clock = createSteppingClock(0);
        const { store, openIds, watch, keepLarge } = watchFixture(new WatchedStore(clock), clock);
        await keepLarge("j");
        const prefix = jobKeys.partsPrefix(asId<JobId>("j"));
        store.failing.add(prefix);
        watch.activate();
        await settle();
        store.failing.delete(prefix);
        await clock.advance(2000);
        expect(openIds()).to.deep.equal(["j"]);
        watch.deactivate();
    });

    // Guards against a repeated read of the range that skips a job whose first reading is about to fail.
    it("opens a job whose parts are read in vain while the range is read again", async () => {
        const clock = createSteppingClock(0);
        const { store, openIds, watch, keepLarge } = watchFixture(new WatchedStore(clock), clock);
        await keepLarge("j");
        const prefix = jobKeys.partsPrefix(asId<JobId>("j"));
        const answer = store.holdBack(prefix);
        store.failing.add(prefix);
        store.failingWatches = 1;
        watch.activate();
        await settle();
        await clock.advance(1000);
        store.failing.delete(prefix);
        answer();
        await clock.advance(2000);
        expect(openIds()).to.deep.equal(["j"]);
        watch.deactivate();
    });

    // Guards against a conductor that starts hardly any task, since each answer reaches it most of a second late.
    it("knows ends of jobs all the time although the answers to its watch are late", async () => {
        const clock = createSteppingClock(0);
        const { registry, watch } = watchFixture(new LateWatchStore(clock), clock);
        watch.activate();
        await clock.advance(2000);
        for (let nth = 0; nth < 50; nth++) {
            await clock.advance(100);
            expect(registry.areEndsKnown(clock.now())).to.equal(true);
        }
        watch.deactivate();
    });

    // Guards against jobs that are never run because the results of a few others cannot be read.
    it("opens a job although the ones before it cannot be opened", async () => {
        const clock = createSteppingClock(0);
        const { store, openIds, watch, keep } = watchFixture(new WatchedStore(clock), clock);
        for (const id of ["a", "b", "c"]) {
            await keep(id);
        }
        ["a", "b"].forEach(id => store.unanswered.add(jobKeys.resultsPrefix(asId<JobId>(id))));
        watch.activate();
        await clock.advance(4000);
        expect(openIds()).to.deep.equal(["c"]);
        watch.deactivate();
    });

    // Guards against a conductor whose memory is filled by the end marks of days of operation.
    it("reads no end marks, and closes the jobs that ended while it did not watch", async () => {
        const clock = createSteppingClock(0);
        const { store, registry, openIds, watch, keep, end } = watchFixture(new WatchedStore(clock), clock);
        await keep("a");
        await keep("b");
        watch.activate();
        await settle();
        expect(openIds()).to.deep.equal(["a", "b"]);
        watch.deactivate();
        await end("a");
        [jobKeys.live, jobKeys.endedPrefix].forEach(prefix => store.unanswered.add(prefix));
        watch.activate();
        await settle();
        expect(openIds()).to.deep.equal(["b"]);
        expect(registry.hasEnded(asId<JobId>("a"))).to.equal(true);
        expect(registry.areEndsKnown(clock.now())).to.equal(true);
        watch.deactivate();
    });

    // Guards against tasks of an ended job that start because the store did not tell that it has ended.
    it("does not take the ends of jobs for known while the end of one cannot be read", async () => {
        const clock = createSteppingClock(0);
        const { store, registry, watch, keep, end } = watchFixture(new WatchedStore(clock), clock);
        await keep("a");
        watch.activate();
        await settle();
        watch.deactivate();
        await end("a");
        await clock.advance(defaultRolloutSettings.maxUnknownEndMs + 1);
        store.setUnreadable(jobKeys.ended(asId<JobId>("a")), true);
        watch.activate();
        await clock.advance(1000);
        expect(registry.areEndsKnown(clock.now())).to.equal(false);
        store.setUnreadable(jobKeys.ended(asId<JobId>("a")), false);
        await clock.advance(1000);
        expect(registry.areEndsKnown(clock.now())).to.equal(true);
        expect(registry.hasEnded(asId<JobId>("a"))).to.equal(true);
        watch.deactivate();
    });
});
