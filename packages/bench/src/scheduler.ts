/**
 * Measures the processor time of `JobScheduler.next` for four steps of 150 tasks on 44 engines with 8 slots: to fill the
 * free slots, to replace one ended run at a time, and to find that nothing can start; and of the speeds of the engines
 * after one event, which each dispatch needs.
 *
 * Run with `node --conditions=tamarackpath-source --import=tsx packages/bench/src/scheduler.ts`.
 */

import {
    asId,
    type EngineCapacity,
    type GroupId,
    type Incarnation,
    type Instant,
    type Job,
    type JobId,
    JobLog,
    JobScheduler,
    type JobTerms,
    PaceTracker,
    type ServiceId,
    type SoftwareVersion,
    type TargetId,
    type Task,
    type TaskId,
    type TaskRun,
    type WeightVersion,
} from "@tamarackpath/core";

const rounds = 40;
const engineCount = 44;
const slots = 8;
const trainers = 4;
const groups = 15;
const groupSize = 10;
const service = asId<ServiceId>("s");

function createTask(job: number, nth: number): Task {
    const id = `job-${job}-${nth}`;
    const group = Math.floor(nth / groupSize);
    return {
        id: asId<TaskId>(id),
        group: asId<GroupId>(`job-${job}-group-${group}`),
        path: "/p/",
        headers: {},
        body: new Uint8Array(),
        tokens: 1200,
        expectedTokens: 9 + group,
        reward: undefined,
        ...{
            prompt: [{ id: `shared-${job}-${group}`, tokens: 1000 }, { id, tokens: 16 }],
            usage: { promptTokens: 1016, maxOutputTokens: 140 },
        },
    };
}

function createJob(nth: number): Job {
    return {
        id: asId<JobId>(`job-${nth}`),
        host: "h",
        path: "/p/",
        submittedAt: 0 as Instant,
        step: 0,
        model: `m${nth}`,
        minVersion: 1 as WeightVersion,
        targetGroups: groups - 2,
        tasks: Array.from({ length: groups * groupSize }, (unused, task) => createTask(nth, task)),
    };
}

function termsOf(nth: number): JobTerms {
    return {
        service,
        maxAttempts: 3,
        priority: 1,
        singleVersion: false,
        expiresAt: 40_000 as Instant,
        dueAt: (7500 + 1000 * nth) as Instant,
    };
}

const engines = Array.from({ length: engineCount }, (unused, nth) => ({
    target: asId<TargetId>(`e${nth}`),
    service,
    slots,
    running: 0,
    versionOf: () => 1 as WeightVersion,
    speed: 1,
    usualGapMs: 40,
    incarnation: 1 as Incarnation,
    software: asId<SoftwareVersion>("v1"),
    ...{ memoryTokens: 60_000 },
}));

interface Totals {
    ms: number;
    calls: number;
}

function measure(totals: Totals, work: () => number): void {
    const before = performance.now();
    totals.calls += work();
    totals.ms += performance.now() - before;
}

const fill: Totals = { ms: 0, calls: 0 };
const replace: Totals = { ms: 0, calls: 0 };
const idle: Totals = { ms: 0, calls: 0 };
for (let round = 0; round < rounds; round++) {
    let serial = 0;
    const scheduler = new JobScheduler(() => ++serial);
    for (let nth = 0; nth < trainers; nth++) {
        scheduler.add(createJob(nth), termsOf(nth), new JobLog());
    }
    const running: TaskRun[] = [];
    const byTarget = new Map<TargetId, { running: number; }>();
    const capacities: EngineCapacity[] = engines.map(engine => {
        const copy = { ...engine };
        byTarget.set(copy.target, copy);
        return copy;
    });
    const startAll = (now: Instant): number => {
        for (let calls = 1;; calls++) {
            const next = scheduler.next(capacities, now);
            if (next === undefined) {
                return calls;
            }
            byTarget.get(next.target)!.running++;
            running.push(next.run);
        }
    };
    let now = 0;
    const recordEvents = (): void => {
        for (const run of running) {
            if (run.progress.eventCount === 0) {
                run.progress.append({ id: 1, data: "x" }, 1 as WeightVersion);
                scheduler.recordFirstEvent(run);
            }
        }
    };
    for (let before = -1; before < running.length;) {
        before = running.length;
        measure(fill, () => startAll(now as Instant));
        recordEvents();
    }
    measure(idle, () => {
        for (let nth = 0; nth < 200; nth++) {
            scheduler.next(capacities, now as Instant);
        }
        return 200;
    });
    measure(replace, () => {
        let calls = 0;
        for (let nth = 0; nth < 200; nth++) {
            now += 5;
            const run = running.shift()!;
            byTarget.get(run.target!)!.running--;
            scheduler.end(run, "completed", now as Instant);
            calls += startAll(now as Instant);
            recordEvents();
        }
        return calls;
    });
}
const speeds: Totals = { ms: 0, calls: 0 };
const paces = new PaceTracker();
for (let now = 0; now < 2000; now += 40) {
    engines.forEach(({ target }, nth) => paces.recordGap(target, 36 + nth / 4, now as Instant));
}
for (let nth = 0; nth < 2000; nth++) {
    paces.recordGap(engines[0]!.target, 36, (2000 + nth / 100) as Instant);
    measure(speeds, () => {
        engines.forEach(({ target }) => paces.speedOf(target, (2000 + nth / 100) as Instant));
        return 1;
    });
}
for (const [name, { ms, calls }] of Object.entries({ fill, replace, idle, speeds })) {
    process.stdout.write(`${name}: ${(1000 * ms / calls).toFixed(1)} us a call (${calls} calls)\n`);
}
