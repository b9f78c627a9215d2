/** Tests of the order of tasks, their placement on engines, and the reuse of their texts. */

import { expect } from "chai";
import { asId, type GroupId, type Instant, type JobId, type WeightVersion } from "../ids.js";
import { type EngineCapacity } from "./enginePlacement.js";
import {
    engineFixture,
    jobFixture,
    rewardFixture,
    schedulerFixture,
    taskFixture,
    termsFixture,
} from "./jobFixtures.test.js";
import { JobLog } from "./JobLog.js";
import { type TaskRun } from "./JobScheduler.js";

const now = 0 as Instant;
const one = 1 as WeightVersion;
const reward = rewardFixture();

function textOf(events: number, versions: readonly WeightVersion[] = [one]): {
    textId: number;
    pieces: string[];
    versions: readonly WeightVersion[];
    lastEventId: number;
    isComplete: boolean;
} {
    return {
        textId: 77,
        pieces: Array.from({ length: events }, (unused, nth) => `e${nth}`),
        versions,
        lastEventId: events,
        isComplete: false,
    };
}

function startAll(
    scheduler: ReturnType<typeof schedulerFixture>,
    engines: readonly EngineCapacity[],
): readonly TaskRun[] {
    const runs: TaskRun[] = [];
    for (let next = scheduler.next(engines, now); next !== undefined; next = scheduler.next(engines, now)) {
        runs.push(next.run);
    }
    return runs;
}

describe("JobScheduler", () => {
    it("starts the longest awaited groups first, and the groups beyond the awaited number last", () => {
        const scheduler = schedulerFixture();
        const lengths = [10, 10, 90, 90, 50, 50];
        const tasks = lengths.map((expectedTokens, nth) => taskFixture(nth, { expectedTokens }));
        scheduler.add(jobFixture(tasks, { targetGroups: 2 }), termsFixture(), new JobLog());
        const groups = startAll(scheduler, [engineFixture("a", { slots: 100 })]).map(({ task }) => task.group);
        expect(groups.filter((group, nth) => groups.indexOf(group) === nth))
            .to.deep.equal(["group-2", "group-0", "group-1"]);
    });

    it("uses no engine whose weights are too old or changing, or whose slots are all taken", () => {
        const scheduler = schedulerFixture();
        scheduler.add(jobFixture([taskFixture(0)], { minVersion: 3 as WeightVersion }), termsFixture(), new JobLog());
        const engines = [
            engineFixture("old", { versionOf: () => 2 as WeightVersion }),
            engineFixture("changing", { versionOf: () => undefined }),
            engineFixture("full", { versionOf: () => 3 as WeightVersion, running: 4 }),
        ];
        expect(scheduler.next(engines, now)).to.equal(undefined);
        const fresh = engineFixture("fresh", { versionOf: () => 3 as WeightVersion });
        expect(scheduler.next([...engines, fresh], now)?.target).to.equal("fresh");
    });

    it("keeps a group at one engine until that engine is clearly busier than another", () => {
        const scheduler = schedulerFixture();
        const group = asId<GroupId>("g");
        const tasks = [0, 1, 2].map(nth => taskFixture(nth, { group }));
        scheduler.add(jobFixture(tasks), termsFixture(), new JobLog());
        const first = scheduler.next(
            [engineFixture("a", { slots: 8 }), engineFixture("b", { slots: 8, running: 1 })],
            now,
        )!;
        expect(first.target).to.equal("a");
        const near = [engineFixture("a", { slots: 8, running: 1 }), engineFixture("b", { slots: 8 })];
        expect(scheduler.next(near, now)?.target).to.equal("a");
        const busy = [engineFixture("a", { slots: 8, running: 6 }), engineFixture("b", { slots: 8 })];
        expect(scheduler.next(busy, now)?.target).to.equal("b");
    });

    it("gives slower engines less work", () => {
        const scheduler = schedulerFixture();
        scheduler.add(jobFixture([taskFixture(0)]), termsFixture(), new JobLog());
        const engines = [engineFixture("slow", { speed: 0.25 }), engineFixture("usual", { running: 2 })];
        expect(scheduler.next(engines, now)?.target).to.equal("usual");
    });

    it("resumes a run that broke off at another engine, after its last event", () => {
        const scheduler = schedulerFixture();
        scheduler.add(jobFixture([taskFixture(0)]), termsFixture(), new JobLog());
        const engines = [engineFixture("a"), engineFixture("b", { running: 1 })];
        const { run } = scheduler.next(engines, now)!;
        run.progress.append({ id: 1, data: "x" }, one);
        expect(scheduler.end(run, "broken", now)).to.equal(undefined);
        const again = scheduler.next(engines, 1000 as Instant)!;
        expect(again.target).to.equal("b");
        expect(again.run.progress.lastEventId).to.equal(1);
    });

    it("places a long sample that lost its engine at the fastest one, and a short one at the least busy one", () => {
        // Paces of a day on which two of eight engines are slower by 30%, in the middle of a change of weights.
        const engines = [
            engineFixture("own", { slots: 6, usualGapMs: 38 }),
            engineFixture("slow", { slots: 6, usualGapMs: 50 }),
            engineFixture("busy", { slots: 6, usualGapMs: 38, running: 4 }),
            engineFixture("slowed", { slots: 6, usualGapMs: 36, speed: 0.4 }),
        ];
        for (const [events, target] of [[60, "busy"], [3, "slow"]] as const) {
            const scheduler = schedulerFixture();
            scheduler.add(jobFixture([taskFixture(0)]), termsFixture(), new JobLog());
            const { run } = scheduler.next([engines[0]!], now)!;
            for (let id = 1; id <= events; id++) {
                run.progress.append({ id, data: "x" }, one);
            }
            scheduler.end(run, "broken", now);
            expect(scheduler.next(engines.slice(1), 1000 as Instant)?.target).to.equal(target);
        }
    });

    // Guards against a text that no value of the store holds: its result could not be written, nor those behind it.
    it("begins a text again that is too long for a result, and gives it up only when the task expires", () => {
        const scheduler = schedulerFixture();
        const terms = termsFixture({ maxAttempts: 2, expiresAt: 9000 as Instant });
        scheduler.add(jobFixture([taskFixture(0), taskFixture(1)]), terms, new JobLog());
        const { run } = scheduler.next([engineFixture("a")], now)!;
        const event = { id: 1, data: "\u0001".repeat(100_000) };
        expect(run.progress.append(event, one)).to.equal(undefined);
        expect(run.progress.append({ ...event, id: 2 }, one)).to.equal("too-long");
        expect(run.progress.eventCount).to.equal(1);
        expect(scheduler.end(run, "too-long", now)).to.equal(undefined);
        expect(run.progress.eventCount).to.equal(0);
        const later = 1000 as Instant;
        const other = scheduler.next([engineFixture("a")], later)!.run;
        expect(other).to.equal(run);
        expect(scheduler.end(run, "too-long", later)).to.equal(undefined);
        expect(scheduler.next([engineFixture("a")], 2000 as Instant)!.run).to.not.equal(run);
        expect(scheduler.nextRetryAt(2000 as Instant)).to.equal(undefined);
        expect(scheduler.expire(9000 as Instant).map(({ result }) => result.state)).to.deep.equal(["failed"]);
    });

    it("fails a task only after its last attempt, when it is impossible, or when it has expired", () => {
        const scheduler = schedulerFixture();
        const log = new JobLog();
        scheduler.add(
            jobFixture([taskFixture(0), taskFixture(1), taskFixture(2)]),
            termsFixture({ maxAttempts: 2 }),
            log,
        );
        const runs = startAll(scheduler, [engineFixture("a", { slots: 2 }), engineFixture("b", { slots: 1 })]);
        expect(scheduler.end(runs[0]!, "failed", now)).to.equal(undefined);
        const again = scheduler.next([engineFixture("a")], 1000 as Instant)!.run;
        expect(scheduler.end(again, "failed", now)?.state).to.equal("failed");
        expect(scheduler.end(runs[1]!, "impossible", now)?.state).to.equal("failed");
        scheduler.end(runs[2]!, "not-run", now);
        expect(scheduler.expire(39_999 as Instant)).to.deep.equal([]);
        expect(scheduler.expire(40_000 as Instant).map(({ result }) => result.task)).to.deep.equal(["task-2"]);
    });

    it("reuses the text of a task that a later job submits again only if its versions are allowed", () => {
        for (const [minVersion, events] of [[1, 1], [2, 0]] as const) {
            const scheduler = schedulerFixture();
            const first = jobFixture([taskFixture(0)]);
            scheduler.add(first, termsFixture(), new JobLog());
            scheduler.next([engineFixture("a")], now)!.run.progress.append({ id: 1, data: "x" }, one);
            scheduler.remove(first.id);
            const later = { id: asId<JobId>("later"), minVersion: minVersion as WeightVersion };
            const open = scheduler.add(jobFixture([taskFixture(0)], later), termsFixture(), new JobLog());
            expect(open.waiting[0]!.progress.eventCount).to.equal(events);
        }
    });

    it("discards a single-version text when it runs at an engine with another version", () => {
        const scheduler = schedulerFixture();
        scheduler.add(jobFixture([taskFixture(0)]), termsFixture({ singleVersion: true }), new JobLog());
        const { run } = scheduler.next([engineFixture("a")], now)!;
        run.progress.append({ id: 1, data: "x" }, one);
        scheduler.end(run, "broken", now);
        const other = engineFixture("b", { versionOf: () => 2 as WeightVersion });
        expect(scheduler.next([other], 1000 as Instant)?.run.progress.eventCount).to.equal(0);
    });

    it("continues from another host's copy of a text if that is longer, under a new text id", () => {
        const scheduler = schedulerFixture();
        const open = scheduler.add(jobFixture([taskFixture(0), taskFixture(1)]), termsFixture(), new JobLog());
        const { run } = scheduler.next([engineFixture("a", { slots: 1 })], now)!;
        const waiting = open.waiting[0]!;
        expect(scheduler.adoptText({ task: waiting.task.id, text: textOf(30) })).to.equal(undefined);
        expect(waiting.progress.lastEventId).to.equal(30);
        expect(waiting.progress.textId).not.to.equal(77);
        expect(scheduler.adoptText({ task: run.task.id, text: textOf(30) })).to.equal(run);
        expect(scheduler.adoptText({ task: run.task.id, text: textOf(3) })).to.equal(undefined);
        expect(scheduler.adoptText({ task: run.task.id, text: textOf(30, [0 as WeightVersion]) })).to.equal(undefined);
    });

    it("stops the runs of tasks for which another host has listed results", () => {
        const scheduler = schedulerFixture();
        const open = scheduler.add(jobFixture([taskFixture(0), taskFixture(1)]), termsFixture(), new JobLog());
        const { run } = scheduler.next([engineFixture("a", { slots: 1 })], now)!;
        const results = open.job.tasks.map(({ id }) => ({
            task: id,
            state: "completed" as const,
            output: "",
            versions: [],
            score: undefined,
        }));
        open.log.adopt({ number: 0, results });
        expect(scheduler.dropFinished(open)).to.deep.equal([run]);
        expect(open.waiting).to.deep.equal([]);
    });

    it("runs the tasks of the job that is due first before those of other jobs", () => {
        const scheduler = schedulerFixture();
        const late = { id: asId<JobId>("late") };
        scheduler.add(jobFixture([taskFixture(0)], late), termsFixture({ dueAt: 9000 as Instant }), new JobLog());
        const soon = { id: asId<JobId>("soon") };
        scheduler.add(jobFixture([taskFixture(1)], soon), termsFixture({ dueAt: 8000 as Instant }), new JobLog());
        expect(scheduler.next([engineFixture("a")], now)?.run.job.job.id).to.equal("soon");
    });

    it("lets a task with a reward call wait for its score, and frees its engine at once", () => {
        const scheduler = schedulerFixture();
        const open = scheduler.add(
            jobFixture([taskFixture(0, { reward }), taskFixture(1)]),
            termsFixture(),
            new JobLog(),
        );
        const [scored, plain] = startAll(scheduler, [engineFixture("a")]);
        scored!.progress.append({ id: 1, data: "x" }, one);
        expect(scheduler.end(scored!, "completed", now)).to.equal(undefined);
        expect(scheduler.end(plain!, "completed", now)).to.deep.include({ state: "completed", score: undefined });
        expect([open.running.size, open.waiting.length, open.scoring.size]).to.deep.equal([0, 0, 1]);
        expect(scheduler.endScoring(scored!, "s1")).to.deep.include({ state: "completed", output: "x", score: "s1" });
        expect(scheduler.endScoring(scored!, "s2")).to.equal(undefined);
    });

    it("fails a task whose reward call is given up, and gives up waiting for scores once the job has expired", () => {
        const scheduler = schedulerFixture();
        scheduler.add(
            jobFixture([taskFixture(0, { reward }), taskFixture(1, { reward })]),
            termsFixture(),
            new JobLog(),
        );
        const runs = startAll(scheduler, [engineFixture("a")]);
        runs.forEach(run => scheduler.end(run, "completed", now));
        expect(scheduler.endScoring(runs[0]!, undefined)).to.deep.include({ state: "failed", output: "" });
        const expired = scheduler.expire(40_000 as Instant).map(({ result }) => result);
        expect(expired.map(({ task, state }) => [task, state])).to.deep.equal([[runs[1]!.task.id, "failed"]]);
        expect(scheduler.endScoring(runs[1]!, "s")).to.equal(undefined);
    });

    it("scores a complete text again, without a run, when a later job submits its task", () => {
        const scheduler = schedulerFixture();
        const first = jobFixture([taskFixture(0, { reward })]);
        scheduler.add(first, termsFixture(), new JobLog());
        const { run } = scheduler.next([engineFixture("a")], now)!;
        run.progress.append({ id: 1, data: "x" }, one);
        scheduler.end(run, "completed", now);
        expect(scheduler.remove(first.id)).to.deep.equal([run]);
        const later = { id: asId<JobId>("later") };
        const open = scheduler.add(jobFixture([taskFixture(0, { reward })], later), termsFixture(), new JobLog());
        expect([open.waiting.length, open.scoring.size]).to.deep.equal([0, 1]);
        expect(scheduler.endScoring([...open.scoring][0]!, "s")).to.deep.include({ output: "x", score: "s" });
    });

    it("takes over another host's complete text for a waiting task, and stops a run for it", () => {
        const scheduler = schedulerFixture();
        const tasks = [taskFixture(0, { reward }), taskFixture(1, { reward })];
        const open = scheduler.add(jobFixture(tasks), termsFixture(), new JobLog());
        const { run } = scheduler.next([engineFixture("a", { slots: 1 })], now)!;
        const waiting = open.waiting[0]!;
        const copy = { ...textOf(2), isComplete: true };
        expect(scheduler.adoptText({ task: waiting.task.id, text: copy })).to.equal(undefined);
        expect([...open.scoring]).to.deep.equal([waiting]);
        expect(scheduler.adoptText({ task: run.task.id, text: copy })).to.equal(run);
        const tooOld = { ...copy, versions: [0 as WeightVersion] };
        expect(scheduler.adoptText({ task: run.task.id, text: tooOld })).to.equal(undefined);
        expect(scheduler.adoptText({ task: waiting.task.id, text: textOf(30) })).to.equal(undefined);
        expect(waiting.progress.eventCount).to.equal(2);
    });

    it("stops the reward calls of tasks for which another host has listed results", () => {
        const scheduler = schedulerFixture();
        const open = scheduler.add(jobFixture([taskFixture(0, { reward })]), termsFixture(), new JobLog());
        const { run } = scheduler.next([engineFixture("a")], now)!;
        scheduler.end(run, "completed", now);
        open.log.add({ task: run.task.id, state: "completed", output: "", versions: [], score: "s" });
        expect(scheduler.dropFinished(open)).to.deep.equal([run]);
        expect(open.scoring.size).to.equal(0);
    });
});
