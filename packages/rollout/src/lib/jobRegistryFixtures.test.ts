/** Builders of a conductor's job registry over a store, for the tests of this folder. */

import {
    type Clock,
    type JobFate,
    type JobId,
    JobScheduler,
    type JobTerms,
    type KeyRevision,
} from "@tamarackpath/core";
import { JobRegistry } from "./JobRegistry.js";
import { engineTermsFixture } from "./jobRunnerFixtures.test.js";
import { JobStore } from "./JobStore.js";
import { noopJournal } from "./Journal.js";
import { type MemoryTransactionalStore } from "./MemoryStore.test.js";
import { defaultRolloutSettings } from "./RolloutSettings.js";

export interface RegistryFixture<Store extends MemoryTransactionalStore> {
    readonly registry: JobRegistry;
    readonly store: Store;
    readonly jobs: JobStore;
    readonly openIds: () => readonly JobId[];
    readonly setFence: (fence: number | undefined) => void;
    readonly setRouted: (isRouted: boolean) => void;
    /** Changes the terms that the route of every job gives; open jobs keep theirs until the routes are applied. */
    readonly setTerms: (changes: Partial<JobTerms>) => void;
}

/** A registry that is active under a claim, with a route for every job. */
export function registryFixture<Store extends MemoryTransactionalStore>(
    store: Store,
    clock: Clock,
): RegistryFixture<Store> {
    let fence: number | undefined = 3;
    let isRouted = true;
    let terms = engineTermsFixture;
    const jobs = new JobStore(store, clock);
    const scheduler = new JobScheduler(() => 1);
    const registry = new JobRegistry(
        {
            settings: defaultRolloutSettings,
            decideTerms: (): JobFate => isRouted ? { kind: "by-route", terms } : { kind: "undecided" },
            fence: () => fence as KeyRevision | undefined,
            onClaimChanged: () => undefined,
        },
        scheduler,
        jobs,
        clock,
        noopJournal,
    );
    registry.activate();
    return {
        registry,
        store,
        jobs,
        openIds: () => scheduler.open.map(({ job }) => job.id),
        setFence: value => fence = value,
        setRouted: value => isRouted = value,
        setTerms: changes => terms = { ...terms, ...changes },
    };
}
