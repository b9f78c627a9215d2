/** Tests of the claim: who is named as conductor, whose word counts, and how soon a new conductor begins. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    after,
    asId,
    type HostId,
    jobKeys,
    type KeyValueFailure,
    type LeaseId,
    type StoredItem,
    type StoreLease,
    type TransactionalStore,
} from "@tamarackpath/core";
import { expect } from "chai";
import { pack } from "msgpackr";
import { type Either, Left, Right } from "purify-ts";
import { ConductorTask } from "./ConductorTask.js";
import { silentJournal } from "./Journal.js";
import { MemoryTransactionalStore } from "./MemoryStore.test.js";
import { defaultRolloutSettings } from "./RolloutSettings.js";

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
    const options = { self, settings: defaultRolloutSettings, claimDelayMs: () => 0, mayClaim: () => true, takeOver };
    const task = new ConductorTask(options, store, clock, silentJournal);
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

describe("ConductorTask", () => {
    it("does not name itself any more once its claim may have lapsed", async () => {
        const { task } = conductorFixture(80);
        await task.lookUp();
        expect(task.vouchedFor).to.equal(self);
        await passMs(100);
        expect(task.isConductor).to.equal(true);
        expect(task.vouchedFor).to.equal(undefined);
        await task.resign();
    });

    it("does not take another host's older word right after the store said that nobody holds the claim", async () => {
        const store = new LeasingStore(5000);
        const options = {
            self,
            settings: defaultRolloutSettings,
            claimDelayMs: () => 0,
            mayClaim: () => false,
            takeOver: async () => undefined,
        };
        const task = new ConductorTask(options, store, clock, silentJournal);
        task.takeWord(other);
        expect(task.conductor).to.equal(other);
        await task.lookUp();
        task.takeWord(other);
        expect(task.conductor).to.equal(undefined);
    });

    it("believes the successor that the store shows when it loses the claim", async () => {
        const { store, task } = conductorFixture();
        await task.lookUp();
        const own = (await store.get(jobKeys.claim, "conductor")).unsafeCoerce()!;
        task.noteChange(await putClaim(store, other, own.revision));
        expect(task.isConductor).to.equal(false);
        expect(task.conductor).to.equal(other);
    });

    it("gives up for a successor that others hear only once its own claim may have lapsed", async () => {
        const { task } = conductorFixture(80);
        await task.lookUp();
        task.takeSuccessor(other);
        expect(task.conductor).to.equal(self);
        await passMs(100);
        task.takeSuccessor(other);
        expect(task.conductor).to.equal(other);
        expect(task.isConductor).to.equal(false);
    });

    it("keeps its claim while every second renewal stays without an answer", async () => {
        const store = new FlakyLeaseStore();
        const options = {
            self,
            settings: { ...defaultRolloutSettings, claimRenewMs: 40 },
            claimDelayMs: () => 0,
            mayClaim: () => true,
            takeOver: async () => undefined,
        };
        const task = new ConductorTask(options, store, clock, silentJournal);
        await task.lookUp();
        for (let nth = 0; nth < 8; nth++) {
            await passMs(50);
            expect(task.isSure).to.equal(true);
        }
        await task.resign();
    });

    it("begins without the host before when that one stays silent", async () => {
        const { task, claimed } = conductorFixture(5000, () => new Promise(() => undefined));
        task.takeWord(other);
        await passMs(1);
        const startedAt = clock.now();
        await task.lookUp();
        expect(claimed()).to.equal(true);
        expect(clock.now() - startedAt).to.be.lessThan(400);
        await task.resign();
    });
});
