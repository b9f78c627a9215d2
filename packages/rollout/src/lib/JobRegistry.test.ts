/** Tests that only the holder of the claim opens jobs. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    asId,
    type Instant,
    type Job,
    type JobId,
    JobScheduler,
    type KeyRevision,
    type ServiceId,
} from "@tamarackpath/core";
import { expect } from "chai";
import { JobRegistry } from "./JobRegistry.js";
import { JobStore } from "./JobStore.js";
import { noopJournal } from "./Journal.js";
import { MemoryTransactionalStore } from "./MemoryStore.test.js";
import { defaultRolloutSettings } from "./RolloutSettings.js";

function jobFixture(id: string): Job {
    return {
        id: asId<JobId>(id),
        host: "h",
        path: "/p/",
        submittedAt: 0 as Instant,
        step: 0,
        model: "m",
        minVersion: 1 as Job["minVersion"],
        targetGroups: 1,
        tasks: [],
    };
}

describe("JobRegistry", () => {
    it("opens no job after its host lost the claim, and keeps the open ones", async () => {
        let fence: KeyRevision | undefined = 3 as KeyRevision;
        const clock = createMonotonicClock();
        const scheduler = new JobScheduler(() => 1);
        const terms = {
            service: asId<ServiceId>("s"),
            maxAttempts: 3,
            priority: 1,
            singleVersion: false,
            expiresAt: 0 as Instant,
            dueAt: 0 as Instant,
        };
        const registry = new JobRegistry(
            {
                settings: defaultRolloutSettings,
                termsOf: () => terms,
                fence: () => fence,
                onClaimChanged: () => undefined,
            },
            scheduler,
            new JobStore(new MemoryTransactionalStore(), clock),
            clock,
            noopJournal,
        );
        registry.activate();
        await registry.open(jobFixture("a"), true);
        fence = undefined;
        await registry.open(jobFixture("b"), true);
        expect(scheduler.open.map(({ job }) => job.id)).to.deep.equal(["a"]);
    });
});
