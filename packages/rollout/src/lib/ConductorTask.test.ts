/**
 * Tests of the claim: which host is reported as conductor, whose report is used, and how soon a new conductor begins.
 */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    after,
    asId,
    type HostId,
    jobKeys,
    type KeyRevision,
    type KeyValueFailure,
    type LeaseId,
    type StoredItem,
    type StoreLease,
    type TransactionalStore,
    type ZoneId,
} from "@tamarackpath/core";
import { expect } from "chai";
import { pack, unpack } from "msgpackr";
import { type Either, Left, Right } from "purify-ts";
import { ConductorTask } from "./ConductorTask.js";
import { HostView } from "./HostView.js";
import { noopJournal } from "./Journal.js";
import { LeaseStore } from "./LeaseStore.test.js";
import { MemoryTransactionalStore } from "./MemoryStore.test.js";
import { crashGuardFixture, permitsFixture } from "./permitsFixtures.test.js";
import { PullResponder } from "./PullResponder.js";
import { defaultRolloutSettings } from "./RolloutSettings.js";
import { createSteppingClock, settle, type SteppingClock } from "./steppingClock.test.js";

const clock = createMonotonicClock();
const self = asId<HostId>("self");
const other = asId<HostId>("other");

/** A store whose leases last `leaseMs` and are not renewed. */
class LeasingStore extends MemoryTransactionalStore {
    constructor(private readonly leaseMs: number) {
        super();
    }

    override async grantLease(): Promise<Either<KeyValueFailure, StoreLease>> {
        const granted = (await super.grantLease()).unsafeCoerce();
        return Right({ ...granted, deadline: after(clock.now(), this.leaseMs) });
    }

    override async renewLease(): Promise<Either<KeyValueFailure, StoreLease | undefined>> {
        return Left({ applied: "no", detail: "cut off" });
    }
}

/** A store whose leases last 200 ms, and which answers every second renewal only after that. */
class FlakyLeaseStore extends LeasingStore {
    private renewals = 0;

    constructor() {
        super(200);
    }

    override async renewLease(id?: LeaseId): Promise<Either<KeyValueFailure, StoreLease | undefined>> {
        const deadline = after(clock.now(), 200);
        if (this.renewals++ % 2 === 0) {
            await passMs(250);
            return Left({ applied: "unknown", detail: "no answer" });
        }
        return Right({ id: id!, deadline });
    }
}

interface Fixture {
    readonly store: TransactionalStore;
    readonly task: ConductorTask;
    readonly claimed: () => boolean;
}

function conductorFixture(leaseMs = 5000, takeOver: () => Promise<undefined> = async () => undefined): Fixture {
    const store = new LeasingStore(leaseMs);
    const options = { self, settings: defaultRolloutSettings, claimDelayMs: () => 0, canClaim: () => true, takeOver };
    const task = new ConductorTask(options, store, clock, noopJournal);
    let isClaimed = false;
    task.events.on("claimed", () => {
        isClaimed = true;
    });
    return { store, task, claimed: () => isClaimed };
}

async function putClaim(store: TransactionalStore, host: HostId, revision = 0): Promise<StoredItem> {
    await store.commit({
        expected: [{ key: jobKeys.claim, revision: revision as StoredItem["revision"] }],
        puts: [{ key: jobKeys.claim, value: pack({ host }) }],
        removes: [],
    }, "conductor");
    return (await store.get(jobKeys.claim, "conductor")).unsafeCoerce()!;
}

function passMs(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

interface PausedFixture {
    readonly clock: SteppingClock;
    readonly store: LeaseStore;
    /** Predecessors that were asked to yield. */
    readonly yieldRequests: HostId[];
    readonly setCanClaim: (canClaim: boolean) => void;
    readonly createTask: (host: HostId) => { readonly task: ConductorTask; readonly claimed: () => boolean; };
}

/** Milliseconds that the lease of a claim lasts in the tests of paused hosts. */
const leaseMs = 1500;

/** Hosts that share a store, with a handed-in clock. A predecessor takes `handoverMs` to answer. */
function pausedFixture(handoverMs = 0): PausedFixture {
    const stepping = createSteppingClock(0);
    const store = new LeaseStore(stepping, leaseMs);
    const yieldRequests: HostId[] = [];
    let canClaim = true;
    return {
        clock: stepping,
        store,
        yieldRequests,
        setCanClaim: value => canClaim = value,
        createTask: host => {
            const takeOver = async (predecessor: HostId): Promise<undefined> => {
                yieldRequests.push(predecessor);
                stepping.pass(handoverMs);
            };
            const options = {
                self: host,
                settings: defaultRolloutSettings,
                claimDelayMs: () => 0,
                canClaim: () => canClaim,
                takeOver,
            };
            const task = new ConductorTask(options, store, stepping, noopJournal);
            let isClaimed = false;
            task.events.on("claimed", () => {
                isClaimed = true;
            });
            return { task, claimed: () => isClaimed };
        },
    };
}

/** Names of the events about this host's own claim, in their order. */
function recordEvents(task: ConductorTask): string[] {
    const events: string[] = [];
    for (const name of ["claimed", "lost", "released"] as const) {
        task.events.on(name, () => void events.push(name));
    }
    return events;
}

describe("ConductorTask", () => {
    // Guards against a paused host that stops the valid conductor by a claim whose lease has passed.
    it("begins no term when the answer to its claim arrives after the lease, and stops no successor", async () => {
        const { clock: stepping, store, yieldRequests, createTask } = pausedFixture();
        const [paused, successor] = [createTask(self), createTask(other)];
        paused.task.adoptReportedConductor(other, undefined);
        store.claimAnswerDelaysMs.push(3300);
        const lookup = paused.task.lookUpClaim();
        await stepping.advance(leaseMs + 100);
        const claim = successor.task.lookUpClaim();
        await stepping.advance(leaseMs);
        await claim;
        expect(successor.task.isSure).to.equal(true);
        const requestsBefore = yieldRequests.length;
        await stepping.advance(3300);
        await lookup;
        expect([paused.task.isConductor, paused.claimed()]).to.deep.equal([false, false]);
        expect(yieldRequests.length).to.equal(requestsBefore);
        expect(successor.task.isSure).to.equal(true);
    });

    it("begins no work when it was paused beyond its lease after it began its term", async () => {
        const { clock: stepping, createTask } = pausedFixture(leaseMs + 1);
        const { task, claimed } = createTask(self);
        task.adoptReportedConductor(other, undefined);
        stepping.pass(leaseMs);
        const lookup = task.lookUpClaim();
        await stepping.advance(10);
        await lookup;
        expect([task.isConductor, claimed()]).to.deep.equal([false, false]);
    });

    it("gives a claim up at once when the host began to stop while the claim was on its way", async () => {
        const { clock: stepping, store, setCanClaim, createTask } = pausedFixture();
        const { task, claimed } = createTask(self);
        store.claimAnswerDelaysMs.push(200);
        const lookup = task.lookUpClaim();
        await stepping.advance(100);
        setCanClaim(false);
        await task.resign();
        await stepping.advance(200);
        await lookup;
        expect([task.isConductor, claimed()]).to.deep.equal([false, false]);
        const item = (await store.get(jobKeys.claim)).unsafeCoerce()!;
        expect(unpack(item.value)).to.have.property("resigned");
    });

    it("yields to a later claim only, and follows its holder", async () => {
        const { clock: stepping, createTask } = pausedFixture();
        const { task } = createTask(self);
        const lookup = task.lookUpClaim();
        await stepping.advance(200);
        await lookup;
        const { fence } = task.term.currentClaim!;
        expect(task.yieldTo(other, fence - 1 as KeyRevision)).to.equal(false);
        expect([task.isSure, task.conductor]).to.deep.equal([true, self]);
        expect(task.yieldTo(other, fence + 1 as KeyRevision)).to.equal(true);
        expect([task.isConductor, task.conductor]).to.deep.equal([false, other]);
        expect(task.yieldTo(asId<HostId>("third"), fence as KeyRevision)).to.equal(false);
        expect(task.conductor).to.equal(other);
    });

    // Guards against a conductor that does not follow ends of jobs, because the end of its last term stopped the watch.
    it("loses no claim that it made while the answer to its resignation was on its way", async () => {
        const { clock: stepping, store, createTask } = pausedFixture();
        const { task } = createTask(self);
        const events = recordEvents(task);
        const first = task.lookUpClaim();
        await stepping.advance(10);
        await first;
        store.resignationAnswerDelaysMs.push(500);
        const stepDown = task.stepDown();
        const second = task.lookUpClaim();
        await stepping.advance(400);
        await second;
        expect(task.isConductor).to.equal(true);
        await stepping.advance(200);
        await stepDown;
        expect(events.filter(event => event !== "released")).to.deep.equal(["claimed", "lost", "claimed"]);
        expect([task.isSure, task.conductor]).to.deep.equal([true, self]);
    });

    it("keeps following a successor that it found while the answer to its resignation was on its way", async () => {
        const { clock: stepping, store, createTask } = pausedFixture();
        const [task, successor] = [createTask(self).task, createTask(other).task];
        const claims = async (each: ConductorTask): Promise<void> => {
            const lookup = each.lookUpClaim();
            await stepping.advance(10);
            await lookup;
        };
        await claims(task);
        store.resignationAnswerDelaysMs.push(500);
        const stepDown = task.stepDown();
        await claims(successor);
        await claims(task);
        expect(task.conductor).to.equal(other);
        await stepping.advance(500);
        await stepDown;
        expect(task.conductor).to.equal(other);
    });

    // Guards against followers that look the claim up while the store still shows the conductor that steps down.
    it("answers waiting pulls of its followers only after its resignation is written", async () => {
        const { clock: stepping, store, createTask } = pausedFixture();
        const { task } = createTask(self);
        const events = recordEvents(task);
        const lookup = task.lookUpClaim();
        await stepping.advance(10);
        await lookup;
        const view = new HostView(stepping, noopJournal);
        const permits = permitsFixture(undefined, stepping);
        const crashes = crashGuardFixture(undefined, stepping);
        const pulls = new PullResponder(() => [], view, task, permits, crashes, stepping);
        const pull = {
            have: view.revision,
            haveFence: task.term.currentClaim!.fence,
            zone: asId<ZoneId>("z"),
            hasCallers: true,
        };
        let isAnswered = false;
        void pulls.answer(pull, other).then(() => isAnswered = true);
        store.resignationAnswerDelaysMs.push(100);
        const stepDown = task.stepDown();
        await stepping.advance(50);
        expect(events).to.deep.equal(["claimed", "lost"]);
        expect(isAnswered).to.equal(false);
        await stepping.advance(100);
        await stepDown;
        await settle();
        expect(isAnswered).to.equal(true);
        expect(events).to.deep.equal(["claimed", "lost", "released"]);
        expect(task.conductor).to.equal(undefined);
    });

    // Guards against orders of two hosts that take turns, when a claim's answer is lost and the claim is made again.
    it("waits with orders for those of an earlier conductor, also when it claims again over its own claim", async () => {
        const { clock: stepping, store, createTask } = pausedFixture();
        const { task } = createTask(self);
        store.setFaults(["answer-lost"]);
        for (let nth = 0; nth < 2; nth++) {
            const lookup = task.lookUpClaim();
            await stepping.advance(500);
            await lookup;
        }
        expect(task.isConductor).to.equal(true);
        expect(task.term.canOrder(stepping.now())).to.equal(false);
        await stepping.advance(defaultRolloutSettings.orderCalmMs);
        expect(task.term.canOrder(stepping.now())).to.equal(true);
    });

    it("tells its successor of the orders of its own predecessor that may be recent", async () => {
        const { clock: stepping, store, createTask } = pausedFixture();
        const [first, second] = [createTask(self).task, createTask(other).task];
        const claims = async (task: ConductorTask): Promise<void> => {
            const lookup = task.lookUpClaim();
            await stepping.advance(200);
            await lookup;
        };
        await claims(first);
        expect(first.lastOrderAgeMs).to.be.within(100, 300);
        await first.resign();
        const { resigned } = unpack((await store.get(jobKeys.claim)).unsafeCoerce()!.value);
        expect(resigned.lastOrderAt).to.be.within(Date.now() - 1000, Date.now());
        await claims(second);
        expect(second.term.canOrder(stepping.now())).to.equal(false);
    });

    // Guards against reports and copies that a restarted conductor never gets, because its address is the same.
    it("announces a conductor again when the store shows that it has claimed anew", async () => {
        const { clock: stepping, store, createTask } = pausedFixture();
        const { task } = createTask(self);
        const announced: (HostId | undefined)[] = [];
        task.events.on("conductor", host => {
            announced.push(host);
        });
        const { revision } = await putClaim(store, other);
        await task.lookUpClaim();
        await task.lookUpClaim();
        await putClaim(store, other, revision);
        await task.lookUpClaim();
        await stepping.advance(1);
        expect(announced).to.deep.equal([other, other]);
    });

    it("announces a conductor again when it says that it has claimed anew, and none under an older claim", async () => {
        const { clock: stepping, createTask } = pausedFixture();
        const { task } = createTask(self);
        const announced: (HostId | undefined)[] = [];
        task.events.on("conductor", host => {
            announced.push(host);
        });
        task.adoptReportedConductor(other, 5 as KeyRevision);
        expect(task.recordTerm(other, 5 as KeyRevision)).to.equal(true);
        expect(task.recordTerm(other, 9 as KeyRevision)).to.equal(true);
        expect(task.recordTerm(other, 5 as KeyRevision)).to.equal(false);
        task.adoptReportedConductor(asId<HostId>("third"), 7 as KeyRevision);
        await stepping.advance(1);
        expect(announced).to.deep.equal([other, other]);
        expect(task.conductor).to.equal(other);
    });

    it("ignores states of the claim's key, and reports of conductors, from before its own claim", async () => {
        const { clock: stepping, store, createTask } = pausedFixture();
        const before = await putClaim(store, other);
        await store.commit({ expected: [], puts: [], removes: [jobKeys.claim] });
        const { task } = createTask(self);
        const lookup = task.lookUpClaim();
        await stepping.advance(200);
        await lookup;
        task.applyClaimChange(before, before.revision);
        task.applyClaimChange(undefined, before.revision);
        expect(task.isConductor).to.equal(true);
        stepping.pass(leaseMs);
        task.adoptReportedSuccessor(other, before.revision);
        expect(task.isConductor).to.equal(true);
        task.adoptReportedSuccessor(other, task.term.currentClaim!.fence + 1 as KeyRevision);
        expect([task.isConductor, task.conductor]).to.deep.equal([false, other]);
    });

    it("does not report itself once its claim may have lapsed", async () => {
        const { task } = conductorFixture(80);
        await task.lookUpClaim();
        expect(task.confirmedConductor).to.equal(self);
        await passMs(100);
        expect(task.isConductor).to.equal(true);
        expect(task.confirmedConductor).to.equal(undefined);
        await task.resign();
    });

    it("does not adopt a reported conductor right after the store answered that no host holds the claim", async () => {
        const store = new LeasingStore(5000);
        const options = {
            self,
            settings: defaultRolloutSettings,
            claimDelayMs: () => 0,
            canClaim: () => false,
            takeOver: async () => undefined,
        };
        const task = new ConductorTask(options, store, clock, noopJournal);
        task.adoptReportedConductor(other, undefined);
        expect(task.conductor).to.equal(other);
        await task.lookUpClaim();
        task.adoptReportedConductor(other, undefined);
        expect(task.conductor).to.equal(undefined);
    });

    it("follows the successor that the store shows when it loses the claim", async () => {
        const { store, task } = conductorFixture();
        await task.lookUpClaim();
        const own = (await store.get(jobKeys.claim, "conductor")).unsafeCoerce()!;
        const item = await putClaim(store, other, own.revision);
        task.applyClaimChange(item, item.revision);
        expect(task.isConductor).to.equal(false);
        expect(task.conductor).to.equal(other);
    });

    it("yields to a successor that others report only once its own claim may have lapsed", async () => {
        const { task } = conductorFixture(80);
        await task.lookUpClaim();
        task.adoptReportedSuccessor(other, undefined);
        expect(task.conductor).to.equal(self);
        await passMs(100);
        task.adoptReportedSuccessor(other, undefined);
        expect(task.conductor).to.equal(other);
        expect(task.isConductor).to.equal(false);
    });

    it("keeps its claim while every second renewal gets no answer", async () => {
        const store = new FlakyLeaseStore();
        const options = {
            self,
            settings: { ...defaultRolloutSettings, claimRenewMs: 40 },
            claimDelayMs: () => 0,
            canClaim: () => true,
            takeOver: async () => undefined,
        };
        const task = new ConductorTask(options, store, clock, noopJournal);
        await task.lookUpClaim();
        for (let nth = 0; nth < 8; nth++) {
            await passMs(50);
            expect(task.isSure).to.equal(true);
        }
        await task.resign();
    });

    it("begins without the previous conductor's work when that host does not answer", async () => {
        const { task, claimed } = conductorFixture(5000, () => new Promise(() => undefined));
        task.adoptReportedConductor(other, undefined);
        await passMs(1);
        const startedAt = clock.now();
        await task.lookUpClaim();
        expect(claimed()).to.equal(true);
        expect(clock.now() - startedAt).to.be.lessThan(400);
        await task.resign();
    });
});
