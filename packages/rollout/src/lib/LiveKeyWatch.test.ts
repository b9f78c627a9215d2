/** Tests of what the conductor knows of jobs that other hosts end in the store. */

import {
    asId,
    type Instant,
    type JobId,
    jobKeys,
    JobScheduler,
    type KeyRevision,
    type ServiceId,
} from "@tamarackpath/core";
import { expect } from "chai";
import { type ConductorTask } from "./ConductorTask.js";
import { JobRegistry } from "./JobRegistry.js";
import { engineJobFixture } from "./jobRunnerFixtures.test.js";
import { JobStore } from "./JobStore.js";
import { noopJournal } from "./Journal.js";
import { LiveKeyWatch } from "./LiveKeyWatch.js";
import { MemoryTransactionalStore } from "./MemoryStore.test.js";
import { defaultRolloutSettings } from "./RolloutSettings.js";
import { createSteppingClock, settle } from "./steppingClock.test.js";

const jobTargetMs = 3000;

/** A store whose watches get no answer, as on a connection that has gone silent. */
class SilentWatchStore extends MemoryTransactionalStore {
    readonly waits: number[] = [];

    override changes(...args: readonly unknown[]): ReturnType<MemoryTransactionalStore["changes"]> {
        this.waits.push(Number(args[2]));
        return new Promise(() => undefined);
    }
}

describe("LiveKeyWatch", () => {
    // Guards against tasks that start more than three seconds after their job ended in the store.
    it("lets the conductor know for how long ends of jobs may be unknown to it", async () => {
        const clock = createSteppingClock(1);
        const store = new SilentWatchStore();
        const jobs = new JobStore(store, clock);
        const job = engineJobFixture("j", 1);
        await jobs.keep(job, jobTargetMs as Instant, () => false);
        const registry = new JobRegistry(
            {
                settings: defaultRolloutSettings,
                termsOf: () => ({
                    service: asId<ServiceId>("s"),
                    maxAttempts: 1,
                    priority: 0,
                    singleVersion: false,
                    expiresAt: Infinity as Instant,
                    dueAt: 0 as Instant,
                }),
                fence: () => 1 as KeyRevision,
                onClaimChanged: () => undefined,
            },
            new JobScheduler(() => 1),
            jobs,
            clock,
            noopJournal,
        );
        registry.activate();
        const conductor = { isConductor: true, applyClaimChange: () => undefined } as unknown as ConductorTask;
        const watch = new LiveKeyWatch(store, jobs, registry, conductor, clock, noopJournal);
        expect(registry.areEndsKnown(clock.now())).to.equal(false);
        watch.activate();
        await settle();
        expect(registry.has(asId<JobId>("j"))).to.equal(true);
        expect(registry.areEndsKnown(clock.now())).to.equal(true);
        // Another host ends the job; the watch that would report it gets no answer.
        await store.commit({
            expected: [],
            puts: [{ key: jobKeys.ended(job.id), value: new Uint8Array([1]) }],
            removes: [jobKeys.open(job.id)],
        });
        await clock.advance(defaultRolloutSettings.maxUnknownEndMs + 1);
        expect(registry.areEndsKnown(clock.now())).to.equal(false);
        // A watch that waits longer than this would be late even with a connection that answers.
        expect(Math.max(...store.waits)).to.be.lessThan(defaultRolloutSettings.maxUnknownEndMs / 2);
        watch.deactivate();
    });
});
