/** Builders of jobs, terms and engines for the tests of this folder. */

import {
    asId,
    type ConfigRevision,
    type GroupId,
    type Incarnation,
    type Instant,
    type JobId,
    type RewardCallId,
    type ServiceId,
    type SoftwareVersion,
    type TargetId,
    type TaskId,
    type WeightVersion,
} from "../ids.js";
import { type EngineCapacity } from "./enginePlacement.js";
import { type Job, type RewardCall, type Task } from "./Job.js";
import { JobScheduler } from "./JobScheduler.js";
import { type JobTerms } from "./JobTerms.js";

export function schedulerFixture(): JobScheduler {
    let serial = 0;
    return new JobScheduler(() => ++serial);
}

export function taskFixture(nth: number, changes: Partial<Task> = {}): Task {
    return {
        id: asId<TaskId>(`task-${nth}`),
        group: asId<GroupId>(`group-${nth >> 1}`),
        path: `/p/${nth}`,
        headers: {},
        body: new Uint8Array(),
        tokens: 100,
        expectedTokens: 50,
        reward: undefined,
        ...changes,
    };
}

export function rewardFixture(nth = 0): RewardCall {
    return { id: asId<RewardCallId>(`call-${nth}`), host: "h", path: "/s/", body: new Uint8Array() };
}

export function jobFixture(tasks: readonly Task[], changes: Partial<Job> = {}): Job {
    return {
        id: asId<JobId>("job"),
        host: "h",
        path: "/p/",
        submittedAt: 0 as Instant,
        step: 0,
        model: "m",
        minVersion: 1 as WeightVersion,
        targetGroups: new Set(tasks.map(({ group }) => group)).size,
        tasks,
        ...changes,
    };
}

export function termsFixture(changes: Partial<JobTerms> = {}): JobTerms {
    return {
        configRevision: 1 as ConfigRevision,
        service: asId<ServiceId>("s"),
        maxAttempts: 3,
        priority: 1,
        singleVersion: false,
        expiresAt: 40_000 as Instant,
        dueAt: 7500 as Instant,
        ...changes,
    };
}

export function engineFixture(name: string, changes: Partial<EngineCapacity> = {}): EngineCapacity {
    return {
        target: asId<TargetId>(name),
        service: asId<ServiceId>("s"),
        slots: 4,
        running: 0,
        versionOf: () => 1 as WeightVersion,
        speed: 1,
        usualGapMs: undefined,
        incarnation: 1 as Incarnation,
        software: asId<SoftwareVersion>("v1"),
        ...changes,
    };
}
