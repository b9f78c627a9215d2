/** Tests that jobs are stored once and results listed once, under refused, lost and late writes and two conductors. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    asId,
    type GroupId,
    type Instant,
    type Job,
    type JobId,
    jobKeys,
    JobLog,
    type KeyRevision,
    type OrganisationId,
    type TaskId,
    type WeightVersion,
} from "@tamarackpath/core";
import { expect } from "chai";
import fc from "fast-check";
import { JobStore, partsOf } from "./JobStore.js";
import { MemoryTransactionalStore, type WriteFault } from "./MemoryStore.test.js";

/** Number of generated interleavings; TAMARACK_RUNS sets another number. */
const runs = Number(process.env["TAMARACK_RUNS"] ?? 300);

const soonMs = 2000;

function jobFixture(bodyBytes = 10): Job {
    return {
        id: asId<JobId>("job"),
        host: "h",
        path: "/p/",
        submittedAt: 5 as Instant,
        step: 0,
        model: "m",
        minVersion: 1 as WeightVersion,
        targetGroups: 1,
        tasks: [{
            id: asId<TaskId>("t"),
            group: asId<GroupId>("g"),
            path: "/p/1",
            headers: { a: "b" },
            body: Buffer.alloc(bodyBytes, 7),
            tokens: 1,
            expectedTokens: undefined,
            reward: undefined,
        }],
    };
}

function fixture(faults: WriteFault[] = []): { store: MemoryTransactionalStore; jobs: JobStore; soon: () => Instant; } {
    const store = new MemoryTransactionalStore(faults);
    const clock = createMonotonicClock();
    return { store, jobs: new JobStore(store, clock), soon: () => (clock.now() + soonMs) as Instant };
}

async function claimFixture(store: MemoryTransactionalStore): Promise<KeyRevision> {
    const res = await store.commit({
        expected: [],
        puts: [{ key: jobKeys.claim, value: Buffer.from("c") }],
        removes: [],
    });
    const result = res.unsafeCoerce();
    return result.kind === "committed" ? result.revision : expect.fail("The claim was not taken.");
}

describe("JobStore", () => {
    it("stores a job once when it is submitted again, also after its end", async () => {
        const { store, jobs, soon } = fixture();
        expect(await jobs.keep(jobFixture(), soon(), () => false)).to.equal("kept");
        expect(await jobs.keep(jobFixture(), soon(), () => false)).to.equal("kept");
        await jobs.end(jobFixture().id, 1, 0);
        expect(await jobs.keep(jobFixture(), soon(), () => false)).to.equal("ended");
        expect((await jobs.find(jobFixture().id)).unsafeCoerce().kind).to.equal("ended");
        expect((await store.range(jobKeys.openPrefix)).unsafeCoerce().items).to.deep.equal([]);
    });

    it("reports a job as not kept only when no write can have taken effect", async () => {
        const refused = fixture(["refused"]);
        expect(await refused.jobs.keep(jobFixture(), refused.soon(), () => true)).to.equal("not-kept");
        const late = fixture(["late", "refused"]);
        let tries = 0;
        expect(await late.jobs.keep(jobFixture(), late.soon(), () => ++tries > 1)).to.equal("unknown");
        late.store.applyLate();
        expect((await late.jobs.find(jobFixture().id)).unsafeCoerce().kind).to.equal("open");
    });

    it("resolves a lost answer by repeating the same write", async () => {
        const { jobs, soon } = fixture(["answer-lost"]);
        expect(await jobs.keep(jobFixture(), soon(), () => false)).to.equal("kept");
    });

    it("splits a job that is larger than a value of the store, and reads it back", async () => {
        const { jobs, soon } = fixture();
        const large = jobFixture(2_000_000);
        expect(partsOf(large)).to.equal(3);
        await jobs.keep(large, soon(), () => false);
        const found = (await jobs.find(large.id)).unsafeCoerce();
        expect(found.kind === "open" && found.job.tasks[0]!.body.length).to.equal(2_000_000);
    });

    // Guards against an organisation that takes over the id of another one's job.
    // Guards against a 404 for a job that exists, which is stored in parts and ends while it is read.
    it("finds the end mark of a job whose parts are removed between the reads of its head and its parts", async () => {
        const { store, jobs, soon } = fixture();
        const job = jobFixture(900_000);
        await jobs.keep(job, soon(), () => false);
        const range = store.range.bind(store);
        store.range = async (...args) => {
            await jobs.end(job.id, 1, partsOf(job));
            return range(...args);
        };
        expect((await jobs.find(job.id)).unsafeCoerce().kind).to.equal("ended");
    });

    it("refuses a job under the id of another organisation's, whatever its size, also after its end", async () => {
        for (const bytes of [10, 2_000_000]) {
            const { jobs, soon } = fixture();
            const own = { ...jobFixture(bytes), organisation: asId<OrganisationId>("a") };
            const others = [{ ...own, organisation: asId<OrganisationId>("b") }, jobFixture(bytes)];
            const keep = (job: Job): Promise<string> => jobs.keep(job, soon(), () => false);
            expect(await keep(own)).to.equal("kept");
            expect(await Promise.all(others.map(keep))).to.deep.equal(["other-owner", "other-owner"]);
            expect(await keep(own)).to.equal("kept");
            await jobs.end(own.id, 1, partsOf(own), own.organisation);
            expect(await Promise.all(others.map(keep))).to.deep.equal(["other-owner", "other-owner"]);
            expect(await keep(own)).to.equal("ended");
        }
    });

    it("keeps a job that was stored without an organisation open to all", async () => {
        const { jobs, soon } = fixture();
        await jobs.keep(jobFixture(), soon(), () => false);
        const again = { ...jobFixture(), organisation: asId<OrganisationId>("a") };
        expect(await jobs.keep(again, soon(), () => false)).to.equal("kept-open-to-all");
    });

    it("lists nothing under a claim that another host has taken", async () => {
        const { store, jobs } = fixture();
        const old = await claimFixture(store);
        await claimFixture(store);
        const res = await jobs.append(jobFixture().id, { number: 0, results: [] }, old);
        expect(res.swap().unsafeCoerce().claim?.item?.key).to.equal(jobKeys.claim);
    });

    // Guards against results that are never listed, because the store refuses the value that holds them.
    it("writes results whatever script their texts are in", async () => {
        const { store, jobs } = fixture();
        const claim = await claimFixture(store);
        const log = new JobLog();
        for (let nth = 0; nth < 184; nth++) {
            log.add({
                task: asId<TaskId>(`t${nth}`),
                state: "completed",
                output: "石".repeat(2200),
                versions: [3 as WeightVersion, 4 as WeightVersion],
                score: "0.5",
            });
        }
        for (let chunk = log.chunkToWrite(); chunk !== undefined; chunk = log.chunkToWrite()) {
            const stored = await jobs.append(asId<JobId>("job"), chunk, claim);
            expect(stored.swap().toMaybe().extract()).to.equal(undefined);
            stored.ifRight(each => log.adopt(each));
        }
        expect(log.listed).to.have.length(184);
    });

    it("never changes the result of a position, with two conductors, lost answers and late writes", async () => {
        const fault = fc.constantFrom<WriteFault>("none", "none", "refused", "answer-lost", "late");
        const steps = fc.array(fc.tuple(fc.nat(1), fc.nat(5), fc.boolean()), { minLength: 5, maxLength: 40 });
        await fc.assert(
            fc.asyncProperty(fc.array(fault, { maxLength: 40 }), steps, async (faults, moves) => {
                const store = new MemoryTransactionalStore();
                const claim = await claimFixture(store);
                const faulty = new JobStore(withFaults(store, faults), createMonotonicClock());
                const logs = [new JobLog(), new JobLog()];
                const seen: string[][] = [[], []];
                for (const [writer, task, late] of moves) {
                    const log = logs[writer]!;
                    log.add({
                        task: asId<TaskId>(`t${task}`),
                        state: "completed",
                        output: `by ${writer}`,
                        versions: [],
                        score: undefined,
                    });
                    const chunk = log.chunkToWrite();
                    if (chunk !== undefined) {
                        (await faulty.append(asId<JobId>("job"), chunk, claim)).ifRight(stored => log.adopt(stored));
                    }
                    if (late) {
                        store.applyLate();
                    }
                    const now = log.listed.map(result => `${result.task} ${result.output}`);
                    expect(now.slice(0, seen[writer]!.length)).to.deep.equal(seen[writer]);
                    seen[writer] = now;
                }
                const shorter = Math.min(seen[0]!.length, seen[1]!.length);
                expect(seen[0]!.slice(0, shorter)).to.deep.equal(seen[1]!.slice(0, shorter));
                for (const list of seen) {
                    const tasks = list.map(line => line.split(" ")[0]);
                    expect(new Set(tasks).size).to.equal(tasks.length);
                }
            }),
            { numRuns: runs, seed: 4, endOnFailure: true },
        );
    });
});

function withFaults(store: MemoryTransactionalStore, faults: readonly WriteFault[]): MemoryTransactionalStore {
    store.setFaults(faults);
    return store;
}
