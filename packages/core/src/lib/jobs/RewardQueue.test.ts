/** Tests of the order of reward calls, their limits at a target, and what follows an attempt, under bursts and faults. */

import { expect } from "chai";
import fc from "fast-check";
import { type TargetEntryView } from "../directory/TargetDirectory.js";
import {
    asId,
    type GroupId,
    type Incarnation,
    type Instant,
    type JobId,
    type ServiceId,
    type TaskId,
    type ZoneId,
} from "../ids.js";
import {
    engineFixture,
    jobFixture,
    rewardFixture,
    schedulerFixture,
    taskFixture,
    termsFixture,
} from "./jobFixtures.test.js";
import { JobLog } from "./JobLog.js";
import { type JobScheduler, type OpenJob, type TaskRun } from "./JobScheduler.js";
import { type RewardAttempt, type RewardAttemptEnd, RewardQueue, type RewardRoute } from "./RewardQueue.js";

const zone = asId<ZoneId>("z");
const start = 1000 as Instant;

function targetFixture(name: string, slots = 6): TargetEntryView {
    return {
        target: asId(name),
        service: asId<ServiceId>("scorer"),
        address: "10.0.0.1:80",
        zone,
        slots,
        leaving: false,
        incarnation: 1 as Incarnation,
        models: [],
    };
}

function routeFixture(changes: Partial<RewardRoute> = {}): RewardRoute {
    return {
        targets: ["a", "b", "c"].map(name => targetFixture(name)),
        maxAttempts: 2,
        hedgeAfterMs: 190,
        timeoutMs: 1500,
        ...changes,
    };
}

/** A scheduler with a job of `count` tasks in groups of two, the first `completed` of which wait for their score. */
function scoringFixture(
    count: number,
    completed = count,
    changes: { readonly id?: string; readonly dueAt?: number; readonly targetGroups?: number; } = {},
    scheduler: JobScheduler = schedulerFixture(),
): { readonly scheduler: JobScheduler; readonly open: OpenJob; readonly runs: readonly TaskRun[]; } {
    const { id = "job", dueAt = 7500, targetGroups } = changes;
    const tasks = Array.from({ length: count }, (unused, nth) =>
        taskFixture(nth, {
            id: asId<TaskId>(`${id}-${nth}`),
            group: asId<GroupId>(`${id}-group-${nth >> 1}`),
            reward: rewardFixture(nth),
        }));
    const job = jobFixture(tasks, {
        id: asId<JobId>(id),
        ...(targetGroups === undefined ? {} : { targetGroups }),
    });
    const open = scheduler.add(job, termsFixture({ dueAt: dueAt as Instant, maxAttempts: 1 }), new JobLog());
    const engine = engineFixture("engine", { slots: 1000 });
    for (let next = scheduler.next([engine], start); next !== undefined; next = scheduler.next([engine], start)) {
        // Every task runs; those beyond `completed` keep running.
    }
    const runs = [...open.running].sort((a, b) => tasks.indexOf(a.task) - tasks.indexOf(b.task));
    runs.slice(0, completed).forEach(run => scheduler.end(run, "completed", start));
    return { scheduler, open, runs };
}

function startAll(queue: RewardQueue, jobs: readonly OpenJob[], route: RewardRoute, at: number): RewardAttempt[] {
    return [...queue.start(jobs, () => route, at as Instant)];
}

describe("RewardQueue", () => {
    it("leaves slots of each target to its other callers when a step's texts are completed at once", () => {
        const { open } = scoringFixture(200);
        const attempts = startAll(new RewardQueue(zone), [open], routeFixture(), 1000);
        const atTarget = (name: string): number => attempts.filter(({ target }) => target.target === name).length;
        expect(["a", "b", "c"].map(atTarget)).to.deep.equal([4, 4, 4]);
    });

    it("scores a burst of 200 texts without ever exceeding a target's limit", () => {
        const { scheduler, open } = scoringFixture(200);
        const queue = new RewardQueue(zone);
        let now = 1000;
        let scored = 0;
        let inFlight: RewardAttempt[] = [];
        while (scored < 200) {
            inFlight.push(...startAll(queue, [open], routeFixture(), now));
            expect(inFlight.length).to.be.within(1, 12);
            now += 43;
            for (const attempt of inFlight) {
                expect(queue.end(attempt, "scored", now as Instant)).to.equal("list");
                scheduler.endScoring(attempt.run, "s");
                scored++;
            }
            inFlight = [];
        }
        expect(now).to.be.below(1000 + 43 * 18);
    });

    it("sends fewer calls to a target that refuses them, and more again once it answers", () => {
        const { open } = scoringFixture(20);
        const queue = new RewardQueue(zone);
        const route = routeFixture({ targets: [targetFixture("a")] });
        const first = startAll(queue, [open], route, 1000);
        expect(first).to.have.length(4);
        first.forEach(attempt => expect(queue.end(attempt, "not-run", 1001 as Instant)).to.equal("retry"));
        const second = startAll(queue, [open], route, 2000);
        expect(second).to.have.length(1);
        second.forEach(attempt => queue.end(attempt, "scored", 2030 as Instant));
        expect(startAll(queue, [open], route, 2040)).to.have.length(2);
    });

    it("sends the calls first that complete a group, and those of awaited groups before the surplus", () => {
        const scheduler = schedulerFixture();
        const later = scoringFixture(4, 3, { id: "later", dueAt: 9000 }, scheduler);
        const surplus = scoringFixture(4, 2, { id: "surplus", dueAt: 1000, targetGroups: 0 }, scheduler);
        const route = routeFixture({ targets: [targetFixture("a", 100)] });
        const attempts = startAll(new RewardQueue(zone), [later.open, surplus.open], route, 1000);
        const tasks = attempts.map(({ run }) => run.task.id);
        expect(tasks).to.deep.equal(["later-0", "later-1", "later-2", "surplus-0", "surplus-1"]);
        scheduler.endScoring(later.runs[0]!, "s");
        const again = startAll(new RewardQueue(zone), [later.open], route, 1000);
        expect(again[0]!.run.task.id).to.equal("later-1");
    });

    it("asks a second target when the first does not answer, and takes the first score", () => {
        const { open } = scoringFixture(1);
        const queue = new RewardQueue(zone);
        const [first] = startAll(queue, [open], routeFixture(), 1000);
        expect(startAll(queue, [open], routeFixture(), 1100)).to.deep.equal([]);
        expect(queue.nextStartAt(1100 as Instant)).to.equal(1190);
        const [second] = startAll(queue, [open], routeFixture(), 1190);
        expect(second!.target.target).not.to.equal(first!.target.target);
        expect(startAll(queue, [open], routeFixture(), 1900)).to.deep.equal([]);
        expect(queue.end(second!, "scored", 1210 as Instant)).to.equal("list");
        expect(queue.end(first!, "cancelled", 1211 as Instant)).to.equal("wait");
    });

    it("sends no second attempts while calls wait, and few when a whole service is slow", () => {
        // The load of a grown site: calls took 450 ms, half were sent twice, and the scores of a step came 7 s late.
        const queue = new RewardQueue(zone);
        const burst = scoringFixture(200);
        expect(startAll(queue, [burst.open], routeFixture(), 1000)).to.have.length(12);
        expect(startAll(queue, [burst.open], routeFixture(), 1450)).to.deep.equal([]);
        const slow = scoringFixture(8);
        const others = new RewardQueue(zone);
        expect(startAll(others, [slow.open], routeFixture(), 1000)).to.have.length(8);
        expect(startAll(others, [slow.open], routeFixture(), 1450)).to.have.length(2);
        expect(startAll(others, [slow.open], routeFixture(), 1600)).to.deep.equal([]);
    });

    it("gives a call up only after as many answers with status 500 as the route and the job allow", () => {
        const { open } = scoringFixture(1);
        const queue = new RewardQueue(zone);
        const steps = (["unknown", "not-run", "failed", "unknown", "failed"] as const).map((end, nth) => {
            const [attempt] = startAll(queue, [open], routeFixture(), 1000 + nth * 5000);
            return queue.end(attempt!, end, 1000 + nth * 5000 as Instant);
        });
        expect(steps).to.deep.equal(["retry", "retry", "retry", "retry", "give-up"]);
    });

    it("uses no leaving target, and waits while the route has none", () => {
        const { open } = scoringFixture(1);
        const queue = new RewardQueue(zone);
        const leaving = { ...targetFixture("a"), leaving: true };
        expect(startAll(queue, [open], routeFixture({ targets: [leaving] }), 1000)).to.deep.equal([]);
        expect(queue.start([open], () => undefined, start)).to.deep.equal([]);
        expect(startAll(queue, [open], routeFixture(), 1000)).to.have.length(1);
    });

    it("marks a repeat at the same target, where a late copy of the earlier answer may arrive", () => {
        const { open } = scoringFixture(1);
        const queue = new RewardQueue(zone);
        const route = routeFixture({ targets: [targetFixture("a")] });
        const [first] = startAll(queue, [open], route, 1000);
        expect(first!.isRepeatAtTarget).to.equal(false);
        queue.end(first!, "failed", 1040 as Instant);
        expect(startAll(queue, [open], route, 2000)[0]!.isRepeatAtTarget).to.equal(true);
    });

    it("ends each call once, whatever order attempts end in, and counts no attempt that is gone", () => {
        const ends: readonly RewardAttemptEnd[] = ["scored", "failed", "not-run", "unknown", "cancelled"];
        const moves = fc.array(fc.tuple(fc.nat(400), fc.nat(20), fc.constantFrom(...ends)), {
            maxLength: 120,
            size: "max",
        });
        fc.assert(
            fc.property(moves, steps => {
                const { scheduler, open } = scoringFixture(12);
                const queue = new RewardQueue(zone);
                const inFlight: RewardAttempt[] = [];
                const failures = new Map<TaskRun, number>();
                const ended = new Set<TaskRun>();
                let now = 1000;
                for (const [ms, nth, end] of steps) {
                    now += ms;
                    inFlight.push(...startAll(queue, [open], routeFixture(), now));
                    expect(inFlight.length).to.be.at.most(12);
                    const [attempt] = inFlight.splice(nth % Math.max(1, inFlight.length), 1);
                    if (attempt === undefined) {
                        continue;
                    }
                    const step = queue.end(attempt, end, now as Instant);
                    failures.set(attempt.run, (failures.get(attempt.run) ?? 0) + (end === "failed" ? 1 : 0));
                    if (step === "list" || step === "give-up") {
                        expect(ended.has(attempt.run)).to.equal(false);
                        expect(step === "list" ? end === "scored" : failures.get(attempt.run)! >= 2).to.equal(true);
                        ended.add(attempt.run);
                        expect(scheduler.endScoring(attempt.run, step === "list" ? "s" : undefined)).to.not.equal(
                            undefined,
                        );
                    }
                }
                inFlight.forEach(attempt => queue.end(attempt, "cancelled", now as Instant));
                for (let round = 0; round < 12 && ended.size < 12; round++) {
                    now += 10_000;
                    for (const attempt of startAll(queue, [open], routeFixture(), now)) {
                        expect(queue.end(attempt, "scored", now as Instant)).to.equal("list");
                        scheduler.endScoring(attempt.run, "s");
                        ended.add(attempt.run);
                    }
                }
                expect(ended.size).to.equal(12);
            }),
            { numRuns: 400 },
        );
    });
});
