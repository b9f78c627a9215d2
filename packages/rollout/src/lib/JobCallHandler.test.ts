/** Tests of what the end of a job does at the host that answers the call, and of the pages that it reads elsewhere. */

import { asId, type HostId, type Instant, type JobId, type PeerNetwork, type TaskId } from "@tamarackpath/core";
import { expect } from "chai";
import { Right } from "purify-ts";
import { type ConductorTask } from "./ConductorTask.js";
import { JobCallHandler } from "./JobCallHandler.js";
import { type RegistryFixture, registryFixture } from "./jobRegistryFixtures.test.js";
import { engineJobFixture, engineTermsFixture } from "./jobRunnerFixtures.test.js";
import { noopJournal } from "./Journal.js";
import { MemoryTransactionalStore } from "./MemoryStore.test.js";
import { createSteppingClock } from "./steppingClock.test.js";

const id = asId<JobId>("j");

interface Fixture extends RegistryFixture<MemoryTransactionalStore> {
    readonly calls: JobCallHandler;
    /** Numbers of runs that were stopped, in the order of the stops. */
    readonly stops: number[];
}

/**
 * The job calls of a host; the store has a job. A host with a `relay` is cut off but for it, and a conductor
 * behind the relay gives `answer` to any call.
 */
async function callsFixture(
    conductor: Pick<ConductorTask, "isConductor" | "isSure">,
    relay?: HostId,
    answer: object = { ended: true },
): Promise<Fixture> {
    const clock = createSteppingClock(0);
    const fixture = registryFixture(new MemoryTransactionalStore(), clock);
    const { registry, jobs } = fixture;
    const peers = {
        handle: () => undefined,
        setAddress: () => undefined,
        ask: async () => Right(Right({ kind: "answered", answer })),
    } as unknown as PeerNetwork;
    const calls = new JobCallHandler(
        {
            self: asId<HostId>("self"),
            maxPageBytes: 1,
            termsOf: () => engineTermsFixture,
            isCutOff: () => relay !== undefined,
            chooseRelay: tried => relay === undefined || tried.has(relay) ? undefined : relay,
        },
        { ...conductor, conductor: undefined } as unknown as ConductorTask,
        registry,
        jobs,
        peers,
        clock,
        noopJournal,
    );
    await jobs.keep(engineJobFixture("j", 2), 1000 as Instant, () => false);
    const stops: number[] = [];
    registry.events.on("stopped", runs => void stops.push(runs.length));
    return { ...fixture, calls, stops };
}

describe("JobCallHandler", () => {
    // The next three guard against tasks of a job that go on at the host that acknowledged the end, until its watch reports it.
    it("closes a job that the store ended while this host is not certain to conduct", async () => {
        const { calls, registry, openIds, stops } = await callsFixture({ isConductor: true, isSure: false });
        await registry.open(engineJobFixture("j", 2), true);
        registry.scheduler.get(id)!.running.add(registry.scheduler.get(id)!.waiting.shift()!);
        expect((await calls.end(id)).unsafeCoerce()).to.deep.equal({ ended: true });
        expect(openIds()).to.deep.equal([]);
        expect(stops).to.deep.equal([1]);
    });

    it("closes a job that the store ended after this host lost the claim", async () => {
        const { calls, registry, openIds } = await callsFixture({ isConductor: false, isSure: false });
        await registry.open(engineJobFixture("j", 2), true);
        expect((await calls.end(id)).unsafeCoerce()).to.deep.equal({ ended: true });
        expect(openIds()).to.deep.equal([]);
    });

    it("closes a job that a conductor ended whom only another host reaches", async () => {
        const relay = asId<HostId>("relay");
        const { calls, registry, jobs, openIds } = await callsFixture({ isConductor: false, isSure: false }, relay);
        await registry.open(engineJobFixture("j", 2), true);
        expect((await calls.end(id)).unsafeCoerce()).to.deep.equal({ ended: true });
        // The answer came through the relay, not from this host's own write.
        expect((await jobs.find(id)).unsafeCoerce().kind).to.equal("open");
        expect(openIds()).to.deep.equal([]);
    });

    // Guards against a page larger than callers accept, from a conductor that counts its size in characters.
    it("limits a page that a conductor with earlier software sent", async () => {
        const relay = asId<HostId>("relay");
        const results = ["a", "b"].map(name => ({
            task: asId<TaskId>(name),
            state: "completed" as const,
            output: "\"".repeat(50),
            versions: [],
            score: undefined,
        }));
        const { calls } = await callsFixture({ isConductor: false, isSure: false }, relay, {
            total: 2,
            results,
            isSure: true,
        });
        const page = (await calls.read(id, 0, 0)).unsafeCoerce();
        expect("results" in page && page.results.map(({ task }) => task)).to.deep.equal(["a"]);
    });

    // Guards against a host that never conducts and remembers every job that ends through it.
    it("remembers no end of a job that was not open at this host", async () => {
        const { calls, registry } = await callsFixture({ isConductor: false, isSure: false });
        expect((await calls.end(id)).unsafeCoerce()).to.deep.equal({ ended: true });
        expect(registry.hasEnded(id)).to.equal(false);
    });
});
