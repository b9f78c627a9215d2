/** Builders of a job runner with engines that the test answers for, for the tests of this folder. */

import {
    asId,
    type Clock,
    type ConfigRevision,
    type GroupId,
    type Incarnation,
    type Instant,
    type JobId,
    JobLog,
    JobScheduler,
    type RolloutEngines,
    type ServiceId,
    type TargetEntryView,
    type TargetId,
    type TaskId,
    type TaskRunOutcome,
    type WeightVersion,
    type ZoneId,
} from "@tamarackpath/core";
import Emittery from "emittery";
import { HostView } from "./HostView.js";
import { type JobRegistry, type JobRegistryEvents } from "./JobRegistry.js";
import { JobRunner } from "./JobRunner.js";
import { noopJournal } from "./Journal.js";
import { permitsFixture } from "./permitsFixtures.test.js";
import { type RequestPermits } from "./RequestPermits.js";
import { type RewardRunner } from "./RewardRunner.js";
import { defaultRolloutSettings } from "./RolloutSettings.js";
import { type VersionEvents, type VersionTask } from "./VersionTask.js";

const engineService = asId<ServiceId>("engines");

/** A run that an engine got. */
export interface EngineRun {
    readonly target: TargetId;
    readonly task: TaskId;
    readonly end: (outcome: TaskRunOutcome) => void;
}

export interface JobRunnerFixture {
    readonly runner: JobRunner;
    readonly permits: RequestPermits;
    readonly runs: EngineRun[];
    readonly entries: readonly TargetEntryView[];
}

export function engineEntryFixture(name: string, slots = 4): TargetEntryView {
    return {
        target: asId<TargetId>(name),
        service: engineService,
        address: "10.0.0.1:80",
        zone: asId<ZoneId>("z"),
        slots,
        leaving: false,
        incarnation: 1 as Incarnation,
        models: [{ model: "m", version: 1 as WeightVersion }],
    };
}

/** A conductor's job runner with one open job of `tasks` tasks and the engines `names`. */
export function jobRunnerFixture(clock: Clock, names: readonly string[], tasks: number): JobRunnerFixture {
    const entries = names.map(name => engineEntryFixture(name));
    const view = new HostView(clock, noopJournal);
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const service = {
        id: engineService,
        healthPath: "/",
        maxConnections: 9,
        engine: { slots: 4, memoryTokens: 1, models: [] },
    };
    view.applyOperator({
        config: { revision: 1 as ConfigRevision, routes: [], services: [service], limits },
        versions: [],
        retiring: [],
    }, "store");
    view.applyTargets(entries, 0);
    const runs: EngineRun[] = [];
    const engines = {
        run: (entry, { task }, unused, signal) =>
            new Promise(end => {
                signal.addEventListener("abort", () => end({ kind: "cancelled" }));
                runs.push({ target: entry.target, task: task.id, end });
            }),
    } satisfies Partial<RolloutEngines> as unknown as RolloutEngines;
    const versions = {
        events: new Emittery<VersionEvents>(),
        versionOf: () => 1 as WeightVersion,
        nextReadyAt: () => undefined,
        isChanging: () => false,
        recordServedVersion: () => undefined,
        recordStillChanging: () => undefined,
    } as unknown as VersionTask;
    const registry = {
        events: new Emittery<JobRegistryEvents>(),
        addResult: () => undefined,
        dropEndedFromMemory: () => undefined,
    } as unknown as JobRegistry;
    const scheduler = new JobScheduler(() => 1);
    const permits = permitsFixture(undefined, clock);
    const runner = new JobRunner(
        defaultRolloutSettings,
        "self",
        scheduler,
        registry,
        view,
        versions,
        { dispatch: () => undefined } as unknown as RewardRunner,
        permits,
        engines,
        clock,
        noopJournal,
    );
    scheduler.add(
        {
            id: asId<JobId>("j"),
            host: "h",
            path: "/p/",
            submittedAt: 0 as Instant,
            step: 0,
            model: "m",
            minVersion: 1 as WeightVersion,
            targetGroups: 1,
            tasks: Array.from({ length: tasks }, (unused, nth) => ({
                id: asId<TaskId>(`t${nth}`),
                group: asId<GroupId>("g"),
                path: "/p/",
                headers: {},
                body: new Uint8Array(),
                tokens: 1,
                expectedTokens: undefined,
                reward: undefined,
            })),
        },
        {
            service: engineService,
            maxAttempts: 3,
            priority: 1,
            singleVersion: false,
            expiresAt: Infinity as Instant,
            dueAt: 0 as Instant,
        },
        new JobLog(),
    );
    return { runner, permits, runs, entries };
}
