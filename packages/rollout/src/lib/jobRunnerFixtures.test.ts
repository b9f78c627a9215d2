/** Builders of a job runner with engines that the test answers for, for the tests of this folder. */

import {
    asId,
    type Clock,
    type ConfigRevision,
    type GroupId,
    type Incarnation,
    type Instant,
    type Job,
    type JobId,
    JobLog,
    JobScheduler,
    type JobTerms,
    type RolloutEngines,
    type Scaling,
    type ServiceId,
    type SoftwareVersion,
    type TargetEntryView,
    type TargetId,
    type TaskId,
    type TaskResult,
    type TaskRunOutcome,
    type WeightVersion,
    type ZoneId,
} from "@tamarackpath/core";
import Emittery from "emittery";
import { HostView } from "./HostView.js";
import { type JobRegistry, type JobRegistryEvents } from "./JobRegistry.js";
import { JobRunner } from "./JobRunner.js";
import { type Journal, noopJournal } from "./Journal.js";
import { permitsFixture } from "./permitsFixtures.test.js";
import { type RequestPermits } from "./RequestPermits.js";
import { type RewardRunner } from "./RewardRunner.js";
import { defaultRolloutSettings } from "./RolloutSettings.js";
import { type VersionEvents, type VersionTask } from "./VersionTask.js";

const engineService = asId<ServiceId>("engines");

/** A run that an engine got. */
export interface EngineRun {
    readonly target: TargetId;
    readonly entry: TargetEntryView;
    readonly task: TaskId;
    readonly afterEvent: number | undefined;
    readonly sendDeadline: Instant;
    /** Sends `count` events that follow those that the request names; each names the engine's software. */
    readonly send: (count: number) => void;
    /** Sends an event with this id; false when the run does not take it. */
    readonly sendEvent: (id: number) => boolean;
    readonly end: (outcome: TaskRunOutcome) => void;
}

export interface JobRunnerFixture {
    readonly runner: JobRunner;
    readonly permits: RequestPermits;
    readonly scheduler: JobScheduler;
    readonly view: HostView;
    readonly runs: EngineRun[];
    readonly results: TaskResult[];
    /** The rejected events: what was expected, and what came. */
    readonly rejected: (readonly [unknown, unknown])[];
    readonly entries: readonly TargetEntryView[];
    /** Sets until when tasks may be sent; without an event, as when the store is known to be out, if `isSilent`. */
    readonly setSendDeadline: (deadline: Instant | undefined, isSilent?: boolean) => void;
}

export function engineEntryFixture(
    name: string,
    slots = 4,
    changes: Partial<TargetEntryView> = {},
): TargetEntryView {
    return {
        target: asId<TargetId>(name),
        service: engineService,
        address: "10.0.0.1:80",
        zone: asId<ZoneId>("z"),
        slots,
        leaving: false,
        incarnation: 1 as Incarnation,
        models: [{ model: "m", version: 1 as WeightVersion }],
        software: asId<SoftwareVersion>("v1"),
        ...changes,
    };
}

/** A job of `tasks` tasks in one group; `expectedTokens` holds those of the first tasks. */
export function engineJobFixture(id: string, tasks: number, expectedTokens: readonly number[] = []): Job {
    return {
        id: asId<JobId>(id),
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
            expectedTokens: expectedTokens[nth],
            reward: undefined,
        })),
    };
}

export const engineTermsFixture: JobTerms = {
    configRevision: 1 as ConfigRevision,
    service: engineService,
    maxAttempts: 3,
    priority: 1,
    singleVersion: false,
    expiresAt: Infinity as Instant,
    dueAt: 0 as Instant,
};

/** Puts a configuration in force whose engines are ordered from the platform if it has `scaling`. */
export function applyEngineConfig(view: HostView, revision: number, scaling?: Scaling): void {
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const engine = { slots: 4, memoryTokens: 1, models: [] };
    const service = { id: engineService, healthPath: "/", maxConnections: 9, engine, scaling };
    const config = { revision: revision as ConfigRevision, routes: [], services: [service], limits };
    view.applyOperator({ config, versions: [], retiring: [] }, "store");
}

/** Limits and prices of engines in one zone. */
export const scalingFixture: Scaling = {
    minPerZone: 1,
    maxPerZone: 9,
    startupMs: 4000,
    reclaimablePrice: 0.2,
    zonePrices: [{ zone: asId<ZoneId>("z"), price: 1 }],
};

/** A conductor's job runner with one open job of `tasks` tasks and the engines `engineEntries`. */
export function jobRunnerFixture(
    clock: Clock,
    engineEntries: readonly (string | TargetEntryView)[],
    tasks: number,
    expectedTokens?: readonly number[],
): JobRunnerFixture {
    const entries = engineEntries.map(entry => typeof entry === "string" ? engineEntryFixture(entry) : entry);
    const results: TaskResult[] = [];
    const rejected: [unknown, unknown][] = [];
    const journal: Journal = {
        log: (event, fields) => {
            if (event === "event-rejected") {
                rejected.push([fields?.["expected"], fields?.["received"]]);
            }
        },
    };
    const view = new HostView(clock, noopJournal);
    applyEngineConfig(view, 1);
    view.applyTargets(entries, 0);
    const runs: EngineRun[] = [];
    const engines = {
        run: (entry, { task, afterEvent, sendDeadline }, onEvent, signal) =>
            new Promise(end => {
                signal.addEventListener("abort", () => end({ kind: "cancelled" }));
                let last = afterEvent ?? 0;
                const send = (count: number): void => {
                    for (let nth = 0; nth < count; nth++) {
                        onEvent({ id: ++last, data: String(entry.software) }, 1 as WeightVersion);
                    }
                };
                const sendEvent = (id: number): boolean => onEvent({ id, data: "text" }, 1 as WeightVersion);
                const { target } = entry;
                runs.push({ target, entry, task: task.id, afterEvent, sendDeadline, send, sendEvent, end });
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
    const state: { sendDeadline: Instant | undefined; } = { sendDeadline: Infinity as Instant };
    const registry = {
        events: new Emittery<JobRegistryEvents>(),
        addResult: (unused: unknown, result: TaskResult) => results.push(result),
        dropEndedFromMemory: () => undefined,
        openUndecided: async () => undefined,
        get sendDeadline() {
            return state.sendDeadline;
        },
        endsAgeMs: () => undefined,
        outageAgeMs: () => undefined,
    } as unknown as JobRegistry;
    let lastTextId = 0;
    const scheduler = new JobScheduler(() => ++lastTextId);
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
        journal,
    );
    scheduler.add(engineJobFixture("j", tasks, expectedTokens), engineTermsFixture, new JobLog());
    const setSendDeadline = (deadline: Instant | undefined, isSilent = false): void => {
        state.sendDeadline = deadline;
        if (!isSilent) {
            void registry.events.emit("endsKnown");
        }
    };
    return { runner, permits, scheduler, view, runs, results, rejected, entries, setSendDeadline };
}
