/** Builders of jobs whose texts are complete and wait for their score, for the tests of this folder. */

import {
    asId,
    type ConfigRevision,
    type GroupId,
    type Incarnation,
    type Instant,
    type Job,
    type JobId,
    JobLog,
    type JobScheduler,
    type RewardCallId,
    type ServiceId,
    type SoftwareVersion,
    type TargetId,
    type TaskId,
    type TaskRun,
    type WeightVersion,
} from "@tamarackpath/core";

function scoredJobFixture(tasks: readonly TaskId[]): Job {
    return {
        id: asId<JobId>("j"),
        host: "h",
        path: "/p/",
        submittedAt: 0 as Instant,
        step: 0,
        model: "m",
        minVersion: 1 as WeightVersion,
        targetGroups: 1,
        tasks: tasks.map((id, nth) => ({
            id,
            group: asId<GroupId>("g"),
            path: "/p/",
            headers: {},
            body: new Uint8Array(),
            tokens: 1,
            expectedTokens: undefined,
            reward: { id: asId<RewardCallId>(`r${nth}`), host: "h", path: "/s/x", body: new Uint8Array([1]) },
        })),
    };
}

/** Opens a job with `tasks` in `scheduler`, whose texts "text" are complete. */
export function addScoringJob(scheduler: JobScheduler, tasks: readonly TaskId[]): readonly TaskRun[] {
    const terms = {
        configRevision: 1 as ConfigRevision,
        service: asId<ServiceId>("engines"),
        maxAttempts: 1,
        priority: 1,
        singleVersion: false,
        expiresAt: Infinity as Instant,
        dueAt: 0 as Instant,
    };
    const open = scheduler.add(scoredJobFixture(tasks), terms, new JobLog());
    const engine = {
        target: asId<TargetId>("e"),
        service: terms.service,
        slots: tasks.length,
        running: 0,
        versionOf: () => 1 as WeightVersion,
        speed: 1,
        usualGapMs: undefined,
        incarnation: 1 as Incarnation,
        software: asId<SoftwareVersion>("v1"),
    };
    const runs = open.job.tasks.map(() => scheduler.next([engine], 0 as Instant)!.run);
    runs.forEach(run => {
        run.progress.append({ id: 1, data: "text" }, 1 as WeightVersion);
        scheduler.end(run, "completed", 0 as Instant);
    });
    return runs;
}
