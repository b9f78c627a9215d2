/**
 * Model test of a scored task's life across conductors: random interleavings of events, breaks, answers to reward calls
 * that are lost, late or repeated, standby copies of any age, and takeovers at each point.
 */

import { expect } from "chai";
import fc from "fast-check";
import { type TargetEntryView } from "../directory/TargetDirectory.js";
import {
    asId,
    type Incarnation,
    type Instant,
    type ServiceId,
    type TaskId,
    type WeightVersion,
    type ZoneId,
} from "../ids.js";
import { type TaskResult } from "./Job.js";
import {
    engineFixture,
    jobFixture,
    rewardFixture,
    schedulerFixture,
    taskFixture,
    termsFixture,
} from "./jobFixtures.test.js";
import { JobLog } from "./JobLog.js";
import { type JobScheduler, type OpenJob, type RunEnd, type TaskRun } from "./JobScheduler.js";
import { type RewardAttempt, type RewardAttemptEnd, RewardQueue } from "./RewardQueue.js";
import { type ProgressSnapshot } from "./TaskProgress.js";

const runs = Number(process.env["TAMARACK_RUNS"] ?? 500);
const taskCount = 3;
const textLength = 6;
const one = 1 as WeightVersion;

const scorer: TargetEntryView = {
    target: asId("scorer"),
    service: asId<ServiceId>("scorers"),
    address: "10.0.0.1:80",
    zone: asId<ZoneId>("z"),
    slots: 8,
    leaving: false,
    incarnation: 1 as Incarnation,
    models: [],
};
const route = {
    targets: [scorer, { ...scorer, target: asId("other") } as TargetEntryView],
    maxAttempts: 2,
    hedgeAfterMs: 100,
    timeoutMs: 900,
};

/** One conductor: its scheduler, its reward calls and what it has listed. */
interface Conductor {
    readonly scheduler: JobScheduler;
    readonly open: OpenJob;
    readonly queue: RewardQueue;
    readonly attempts: RewardAttempt[];
    readonly completions: Map<TaskId, number>;
}

interface ScoredCall {
    readonly startedAt: number;
    readonly isTextComplete: boolean;
}

/** The conductors one after the other, the standby's copies and the store's results. */
class Model {
    conductor: Conductor;
    now = 1000;
    readonly listed = new Map<TaskId, TaskResult>();
    private readonly copies = new Map<TaskId, ProgressSnapshot>();
    private readonly unlistedCopies = new Map<TaskId, TaskResult>();
    private readonly scores = new Map<string, ScoredCall>();
    private readonly failures = new Map<TaskId, number>();

    constructor() {
        this.conductor = this.beginTerm();
    }

    step(command: readonly [number, number, number]): void {
        const [kind, nth, variant] = command;
        this.now += 37;
        const commands = [
            () => this.receiveEvent(nth),
            () => this.receiveEvent(nth),
            () => this.breakRun(nth, variant),
            () => this.conductor.attempts.push(...this.startCalls()),
            () => this.endCall(nth, variant),
            () => this.endCall(nth, 0),
            () => this.copy(nth),
            () => this.list(nth),
            () => this.takeOver(variant),
        ];
        commands[kind % commands.length]!();
    }

    /** Lets everything go on without faults until all tasks are listed. */
    finish(): void {
        for (let round = 0; round < 400 && this.listed.size < taskCount; round++) {
            this.now += 700;
            for (let nth = 0; nth < taskCount; nth++) {
                this.receiveEvent(nth);
            }
            this.conductor.attempts.push(...this.startCalls());
            while (this.conductor.attempts.length > 0) {
                this.endCall(0, 0);
            }
            for (let nth = 0; nth < taskCount; nth++) {
                this.list(nth);
            }
        }
    }

    private beginTerm(): Conductor {
        const scheduler = schedulerFixture();
        const log = new JobLog();
        log.adopt({ number: 0, results: [...this.listed?.values() ?? []] });
        const tasks = Array.from(
            { length: taskCount },
            (unused, nth) => taskFixture(nth, { reward: rewardFixture(nth) }),
        );
        const open = scheduler.add(
            jobFixture(tasks),
            termsFixture({ maxAttempts: 1, expiresAt: Infinity as Instant }),
            log,
        );
        return { scheduler, open, queue: new RewardQueue(scorer.zone), attempts: [], completions: new Map() };
    }

    private startRuns(): void {
        const engines = [engineFixture("a"), engineFixture("b")];
        while (this.conductor.scheduler.next(engines, this.now as Instant) !== undefined) {
            // Each waiting task gets a run.
        }
    }

    private receiveEvent(nth: number): void {
        this.startRuns();
        const run = [...this.conductor.open.running].find(({ task }) => task.id === `task-${nth % taskCount}`);
        if (run === undefined) {
            return;
        }
        const id = (run.progress.lastEventId ?? 0) + 1;
        run.progress.append({ id, data: `${run.task.id}:${id}` }, one);
        if (id === textLength) {
            this.end(run, "completed");
        }
    }

    private end(run: TaskRun, end: RunEnd): void {
        expect(this.conductor.scheduler.end(run, end, this.now as Instant)).to.equal(undefined);
        if (end === "completed") {
            const count = (this.conductor.completions.get(run.task.id) ?? 0) + 1;
            this.conductor.completions.set(run.task.id, count);
            expect(count, "a complete text is not generated again").to.equal(1);
        }
    }

    private breakRun(nth: number, variant: number): void {
        const run = [...this.conductor.open.running][nth % taskCount];
        if (run !== undefined) {
            this.end(run, variant % 2 === 0 ? "broken" : "not-run");
        }
    }

    private startCalls(): readonly RewardAttempt[] {
        const attempts = this.conductor.queue.start([this.conductor.open], () => route, this.now as Instant);
        for (const { run } of attempts) {
            expect(run.progress.eventCount, "a call begins only after the last event").to.equal(textLength);
            expect(this.listed.has(run.task.id)).to.equal(false);
        }
        return attempts;
    }

    private endCall(nth: number, variant: number): void {
        const ends: readonly RewardAttemptEnd[] = ["scored", "failed", "not-run", "unknown", "cancelled"];
        const { attempts, queue, scheduler, open } = this.conductor;
        const [attempt] = attempts.splice(nth % Math.max(1, attempts.length), 1);
        if (attempt === undefined) {
            return;
        }
        const end = ends[variant % ends.length]!;
        const { run, startedAt } = attempt;
        const step = queue.end(attempt, end, this.now as Instant);
        if (end === "failed") {
            this.failures.set(run.task.id, (this.failures.get(run.task.id) ?? 0) + 1);
        }
        if (step !== "list" && step !== "give-up") {
            return;
        }
        const score = step === "list" ? `${run.task.id}@${startedAt}/${this.now}` : undefined;
        if (score !== undefined) {
            this.scores.set(score, { startedAt, isTextComplete: run.progress.isComplete });
        }
        const result = scheduler.endScoring(run, score);
        if (result !== undefined) {
            open.log.add(result);
            expect(result.state === "completed" || this.failures.get(run.task.id)! >= 2).to.equal(true);
        }
    }

    /** Copies one task's text or unlisted result to the standby; a copy that is not made stays at its earlier state. */
    private copy(nth: number): void {
        const id = asId<TaskId>(`task-${nth % taskCount}`);
        const text = this.conductor.scheduler.texts.find(({ task }) => task === id)?.progress.snapshot(0);
        const result = this.conductor.open.log.unlisted.find(({ task }) => task === id);
        if (text !== undefined) {
            this.copies.set(id, text);
        }
        if (result !== undefined) {
            this.unlistedCopies.set(id, result);
        }
    }

    private list(nth: number): void {
        const id = `task-${nth % taskCount}`;
        const result = this.conductor.open.log.unlisted.find(({ task }) => task === id);
        if (result === undefined || this.listed.has(result.task)) {
            return;
        }
        this.listed.set(result.task, result);
        if (result.state === "completed") {
            const pieces = Array.from({ length: textLength }, (unused, piece) => `${id}:${piece + 1}`);
            expect(result.output).to.equal(pieces.join("\n"));
            const call = this.scores.get(result.score!);
            expect(call?.isTextComplete).to.equal(true);
            expect(result.score!.startsWith(`${id}@`)).to.equal(true);
        }
    }

    /** Another host conducts; it gets the standby's copies before or after it has started its own runs. */
    private takeOver(variant: number): void {
        this.conductor = this.beginTerm();
        if (variant % 2 === 0) {
            this.startRuns();
        }
        const { scheduler, open } = this.conductor;
        if (variant % 3 !== 0) {
            this.unlistedCopies.forEach(result => open.log.add(result));
            scheduler.dropFinished(open);
        }
        for (const [task, text] of this.copies) {
            const run = scheduler.adoptText({ task, text });
            if (run !== undefined) {
                run.progress.replace(text, scheduler.newTextId());
                scheduler.end(run, text.isComplete ? "completed" : "broken", this.now as Instant);
            }
        }
    }
}

describe("the reward stage", () => {
    it("lists each task once, whole, with a score of its own call after its last event, across takeovers", () => {
        const command = fc.tuple(fc.nat(8), fc.nat(20), fc.nat(30));
        fc.assert(
            fc.property(fc.array(command, { maxLength: 90, size: "max" }), commands => {
                const model = new Model();
                commands.forEach(each => model.step(each));
                model.finish();
                expect(model.listed.size).to.equal(taskCount);
            }),
            { numRuns: runs },
        );
    });
});
