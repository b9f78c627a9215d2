/** Tests of the order, the places and the texts of tasks under the loads that the board answers. */

import { expect } from "chai";
import { asId, type GroupId, type Instant, type JobId, type WeightVersion } from "../ids.js";
import { boardFixture, jobFixture, seatFixture, taskFixture, termsFixture } from "./jobFixtures.test.js";
import { JobLog } from "./JobLog.js";
import { type EngineCapacity, type TaskRun } from "./JobScheduler.js";

const now = 0 as Instant;
const one = 1 as WeightVersion;

function textOf(events: number, versions: readonly WeightVersion[] = [one]): {
    textId: number;
    pieces: string[];
    versions: readonly WeightVersion[];
    lastEventId: number;
} {
    return {
        textId: 77,
        pieces: Array.from({ length: events }, (unused, nth) => `e${nth}`),
        versions,
        lastEventId: events,
    };
}

function startAll(board: ReturnType<typeof boardFixture>, seats: readonly EngineCapacity[]): readonly TaskRun[] {
    const runs: TaskRun[] = [];
    for (let next = board.next(seats, now); next !== undefined; next = board.next(seats, now)) {
        runs.push(next.run);
    }
    return runs;
}

describe("JobBoard", () => {
    it("starts long groups first and last those beyond the groups that the trainer waits for", () => {
        const board = boardFixture();
        const lengths = [10, 10, 90, 90, 50, 50];
        const tasks = lengths.map((expectedTokens, nth) => taskFixture(nth, { expectedTokens }));
        board.add(jobFixture(tasks, { targetGroups: 2 }), termsFixture(), new JobLog());
        const groups = startAll(board, [seatFixture("a", { slots: 100 })]).map(({ task }) => task.group);
        expect(groups.filter((group, nth) => groups.indexOf(group) === nth))
            .to.deep.equal(["group-2", "group-0", "group-1"]);
    });

    it("leaves engines alone whose weights are too old, change, or belong to another service", () => {
        const board = boardFixture();
        board.add(jobFixture([taskFixture(0)], { minVersion: 3 as WeightVersion }), termsFixture(), new JobLog());
        const seats = [
            seatFixture("old", { versionOf: () => 2 as WeightVersion }),
            seatFixture("changing", { versionOf: () => undefined }),
            seatFixture("full", { versionOf: () => 3 as WeightVersion, running: 4 }),
        ];
        expect(board.next(seats, now)).to.equal(undefined);
        const fresh = seatFixture("fresh", { versionOf: () => 3 as WeightVersion });
        expect(board.next([...seats, fresh], now)?.target).to.equal("fresh");
    });

    it("keeps a group together until its engine is clearly busier than another", () => {
        const board = boardFixture();
        const group = asId<GroupId>("g");
        const tasks = [0, 1, 2].map(nth => taskFixture(nth, { group }));
        board.add(jobFixture(tasks), termsFixture(), new JobLog());
        const first = board.next([seatFixture("a", { slots: 8 }), seatFixture("b", { slots: 8, running: 1 })], now)!;
        expect(first.target).to.equal("a");
        const near = [seatFixture("a", { slots: 8, running: 1 }), seatFixture("b", { slots: 8 })];
        expect(board.next(near, now)?.target).to.equal("a");
        const busy = [seatFixture("a", { slots: 8, running: 6 }), seatFixture("b", { slots: 8 })];
        expect(board.next(busy, now)?.target).to.equal("b");
    });

    it("gives slowed engines less work", () => {
        const board = boardFixture();
        board.add(jobFixture([taskFixture(0)]), termsFixture(), new JobLog());
        const seats = [seatFixture("slow", { speed: 0.25 }), seatFixture("usual", { running: 2 })];
        expect(board.next(seats, now)?.target).to.equal("usual");
    });

    it("takes a run that broke off up again elsewhere after its last event", () => {
        const board = boardFixture();
        board.add(jobFixture([taskFixture(0)]), termsFixture(), new JobLog());
        const seats = [seatFixture("a"), seatFixture("b", { running: 1 })];
        const { run } = board.next(seats, now)!;
        run.progress.append({ id: 1, data: "x" }, one);
        expect(board.end(run, "broken", now)).to.equal(undefined);
        const again = board.next(seats, 1000 as Instant)!;
        expect(again.target).to.equal("b");
        expect(again.run.progress.lastEventId).to.equal(1);
    });

    it("lists a task as failed only after its last attempt, when it is impossible, or when its time is over", () => {
        const board = boardFixture();
        const log = new JobLog();
        board.add(jobFixture([taskFixture(0), taskFixture(1), taskFixture(2)]), termsFixture({ maxAttempts: 2 }), log);
        const runs = startAll(board, [seatFixture("a", { slots: 2 }), seatFixture("b", { slots: 1 })]);
        expect(board.end(runs[0]!, "failed", now)).to.equal(undefined);
        const again = board.next([seatFixture("a")], 1000 as Instant)!.run;
        expect(board.end(again, "failed", now)?.state).to.equal("failed");
        expect(board.end(runs[1]!, "impossible", now)?.state).to.equal("failed");
        board.end(runs[2]!, "not-run", now);
        expect(board.expire(39_999 as Instant)).to.deep.equal([]);
        expect(board.expire(40_000 as Instant).map(({ result }) => result.task)).to.deep.equal(["task-2"]);
    });

    it("uses the text of a task that comes again in a later job only if its versions fit", () => {
        for (const [minVersion, events] of [[1, 1], [2, 0]] as const) {
            const board = boardFixture();
            const first = jobFixture([taskFixture(0)]);
            board.add(first, termsFixture(), new JobLog());
            board.next([seatFixture("a")], now)!.run.progress.append({ id: 1, data: "x" }, one);
            board.remove(first.id);
            const later = { id: asId<JobId>("later"), minVersion: minVersion as WeightVersion };
            const open = board.add(jobFixture([taskFixture(0)], later), termsFixture(), new JobLog());
            expect(open.waiting[0]!.progress.eventCount).to.equal(events);
        }
    });

    it("begins a text of one version anew at an engine of another one", () => {
        const board = boardFixture();
        board.add(jobFixture([taskFixture(0)]), termsFixture({ singleVersion: true }), new JobLog());
        const { run } = board.next([seatFixture("a")], now)!;
        run.progress.append({ id: 1, data: "x" }, one);
        board.end(run, "broken", now);
        const other = seatFixture("b", { versionOf: () => 2 as WeightVersion });
        expect(board.next([other], 1000 as Instant)?.run.progress.eventCount).to.equal(0);
    });

    it("goes on from another host's copy of a text when that is longer, under an id of its own", () => {
        const board = boardFixture();
        const open = board.add(jobFixture([taskFixture(0), taskFixture(1)]), termsFixture(), new JobLog());
        const { run } = board.next([seatFixture("a", { slots: 1 })], now)!;
        const waiting = open.waiting[0]!;
        expect(board.adoptText({ task: waiting.task.id, text: textOf(30) })).to.equal(undefined);
        expect(waiting.progress.lastEventId).to.equal(30);
        expect(waiting.progress.textId).not.to.equal(77);
        expect(board.adoptText({ task: run.task.id, text: textOf(30) })).to.equal(run);
        expect(board.adoptText({ task: run.task.id, text: textOf(3) })).to.equal(undefined);
        expect(board.adoptText({ task: run.task.id, text: textOf(30, [0 as WeightVersion]) })).to.equal(undefined);
    });

    it("stops the runs of tasks that another host has listed meanwhile", () => {
        const board = boardFixture();
        const open = board.add(jobFixture([taskFixture(0), taskFixture(1)]), termsFixture(), new JobLog());
        const { run } = board.next([seatFixture("a", { slots: 1 })], now)!;
        const results = open.job.tasks.map(({ id }) => ({
            task: id,
            state: "completed" as const,
            output: "",
            versions: [],
        }));
        open.log.adopt({ number: 0, results });
        expect(board.dropFinished(open)).to.deep.equal([run]);
        expect(open.waiting).to.deep.equal([]);
    });

    it("runs the tasks of the job that is due first before those of others", () => {
        const board = boardFixture();
        const late = { id: asId<JobId>("late") };
        board.add(jobFixture([taskFixture(0)], late), termsFixture({ dueAt: 9000 as Instant }), new JobLog());
        const soon = { id: asId<JobId>("soon") };
        board.add(jobFixture([taskFixture(1)], soon), termsFixture({ dueAt: 8000 as Instant }), new JobLog());
        expect(board.next([seatFixture("a")], now)?.run.job.job.id).to.equal("soon");
    });
});
