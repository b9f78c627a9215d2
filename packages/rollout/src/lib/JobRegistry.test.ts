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

interface Fixture {
    readonly registry: JobRegistry;
    readonly store: MemoryTransactionalStore;
    readonly openIds: () => readonly JobId[];
    readonly setFence: (fence: number | undefined) => void;
    readonly setRouted: (isRouted: boolean) => void;
}

function registryFixture(store = new MemoryTransactionalStore()): Fixture {
    let fence: number | undefined = 3;
    let isRouted = true;
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
            termsOf: () => isRouted ? terms : undefined,
            fence: () => fence as KeyRevision | undefined,
            onClaimChanged: () => undefined,
        },
        scheduler,
        new JobStore(store, clock),
        clock,
        noopJournal,
    );
    registry.activate();
    return {
        registry,
        store,
        openIds: () => scheduler.open.map(({ job }) => job.id),
        setFence: value => fence = value,
        setRouted: value => isRouted = value,
    };
}

describe("JobRegistry", () => {
    it("opens no job after its host lost the claim, and keeps the open ones", async () => {
        const { registry, openIds, setFence } = registryFixture();
        await registry.open(jobFixture("a"), true);
        setFence(undefined);
        await registry.open(jobFixture("b"), true);
        expect(openIds()).to.deep.equal(["a"]);
    });

    // The next two guard against items of an ended job that run because the end came while the job was not open yet.
    it("opens no job that ends while its results are read", async () => {
        const { registry, openIds } = registryFixture();
        const opening = registry.open(jobFixture("a"), false);
        registry.close(asId<JobId>("a"));
        await opening;
        expect(openIds()).to.deep.equal([]);
    });

    it("opens no job that ends while it waits for a route", async () => {
        const { registry, openIds, setRouted } = registryFixture();
        setRouted(false);
        await registry.open(jobFixture("a"), true);
        await registry.open(jobFixture("b"), true);
        registry.close(asId<JobId>("a"));
        setRouted(true);
        await registry.applyRoutes();
        expect(openIds()).to.deep.equal(["b"]);
    });
});
