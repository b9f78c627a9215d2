/** Tests that ended jobs leave the store while a host conducts, and none that may still be read. */

import { asId, type JobId, jobKeys, type KeyRevision, type TaskId, type WeightVersion } from "@tamarackpath/core";
import { expect } from "chai";
import { pack } from "msgpackr";
import { EndedJobCleanup } from "./EndedJobCleanup.js";
import { JobStore } from "./JobStore.js";
import { noopJournal } from "./Journal.js";
import { MemoryTransactionalStore } from "./MemoryStore.test.js";
import { createSteppingClock, settle, type SteppingClock } from "./steppingClock.test.js";

const keepResultsMs = 120_000;

interface Fixture {
    readonly clock: SteppingClock;
    readonly store: MemoryTransactionalStore;
    readonly jobs: JobStore;
    readonly cleanup: EndedJobCleanup;
    /** Writes the end mark of a job that ended `ageMs` ago. */
    readonly mark: (id: string, ageMs: number, chunks?: number) => Promise<void>;
    readonly keys: (prefix: string) => Promise<readonly string[]>;
}

function fixture(): Fixture {
    const clock = createSteppingClock(0);
    const store = new MemoryTransactionalStore();
    store.pageSize = 50;
    const jobs = new JobStore(store, clock);
    return {
        clock,
        store,
        jobs,
        cleanup: new EndedJobCleanup({ keepResultsMs }, store, jobs, { isConductor: true }, clock, noopJournal),
        mark: async (id, ageMs, chunks) => {
            const value = pack({ total: 1, endedAt: Date.now() - ageMs, ...(chunks === undefined ? {} : { chunks }) });
            await store.commit({
                expected: [],
                puts: [{ key: jobKeys.ended(asId<JobId>(id)), value }],
                removes: [],
            });
        },
        keys: async prefix => (await store.range(prefix)).unsafeCoerce().items.map(({ key }) => key),
    };
}

describe("EndedJobCleanup", () => {
    // Guards against end marks that stay for good, because more jobs end than one read of them removes.
    it("removes the marks of days of operation, page by page", async () => {
        const { clock, cleanup, mark, keys } = fixture();
        for (let nth = 0; nth < 400; nth++) {
            await mark(`old${nth}`, keepResultsMs + 1000, 0);
        }
        await mark("young", 1000, 0);
        cleanup.activate();
        await clock.advance(20_000);
        expect(await keys(jobKeys.endedPrefix)).to.deep.equal([jobKeys.ended(asId<JobId>("young"))]);
        cleanup.deactivate();
    });

    it("removes the results with the mark, also where an earlier build wrote it", async () => {
        const { clock, store, jobs, cleanup, mark, keys } = fixture();
        const claim = await store.commit({
            expected: [],
            puts: [{ key: jobKeys.claim, value: Buffer.from("c") }],
            removes: [],
        });
        const fence = claim.unsafeCoerce() as { readonly revision: KeyRevision; };
        for (const id of ["new", "old", "young"]) {
            const results = [{
                task: asId<TaskId>("t"),
                state: "completed" as const,
                output: "x",
                versions: [1 as WeightVersion],
                score: undefined,
            }];
            await jobs.append(asId<JobId>(id), { number: 0, results }, fence.revision);
        }
        await mark("new", keepResultsMs + 1000, 2);
        await mark("old", keepResultsMs + 1000);
        await mark("young", 1000, 1);
        cleanup.activate();
        await settle();
        await clock.advance(1000);
        expect(await keys(jobKeys.endedPrefix)).to.deep.equal([jobKeys.ended(asId<JobId>("young"))]);
        expect(await keys("tamarack/results/")).to.deep.equal([jobKeys.chunk(asId<JobId>("young"), 0)]);
        cleanup.deactivate();
    });

    it("ends with the host's term", async () => {
        const { clock, cleanup, mark, keys } = fixture();
        cleanup.activate();
        await settle();
        cleanup.deactivate();
        await mark("old", keepResultsMs + 1000, 0);
        await clock.advance(60_000);
        expect(await keys(jobKeys.endedPrefix)).to.have.length(1);
    });
});
