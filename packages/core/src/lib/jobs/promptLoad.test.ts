/** Replay of long prompts beside short ones, and properties of the admission of tasks to engines. */

import { expect } from "chai";
import * as fc from "fast-check";
import { asId, type GroupId, type Incarnation, type Instant, type JobId, type TaskId } from "../ids.js";
import { EngineMemory } from "./EngineMemory.js";
import { type Task } from "./Job.js";
import { engineFixture, jobFixture, schedulerFixture, taskFixture, termsFixture } from "./jobFixtures.test.js";
import { JobLog } from "./JobLog.js";
import { type TaskRun } from "./JobScheduler.js";
import { randomFixture, Replay } from "./replayFixtures.test.js";

interface PromptShape {
    readonly sharedTokens: number;
    readonly ownTokens: number;
    readonly outputTokens: number;
}

function promptTask(id: string, group: string, { sharedTokens, ownTokens, outputTokens }: PromptShape): Task {
    return taskFixture(0, {
        id: asId<TaskId>(id),
        group: asId<GroupId>(group),
        tokens: sharedTokens + ownTokens + outputTokens,
        expectedTokens: undefined,
        prompt: [{ id: group, tokens: sharedTokens }, { id, tokens: ownTokens }],
        usage: { promptTokens: sharedTokens + ownTokens, maxOutputTokens: outputTokens },
    });
}

interface Delays {
    readonly shortMs: readonly number[];
    readonly longMs: readonly number[];
    readonly mostUsedShare: number;
}

/** Jobs of `tasksPerJob` tasks every 500 ms on 8 engines; each task is a group of its own, every fourth has a long prompt. */
function replayMixed(seed: number, tasksPerJob: number, describesPrompts: boolean): Delays {
    const random = randomFixture(seed);
    const outputs = new Map<string, number>();
    const engines = Array.from({ length: 8 }, (unused, nth) => ({
        name: `e${nth}`,
        slots: 8,
        memoryTokens: 28_644 + Math.floor(random() * 55_648),
        gapMs: 36 + 8 * random(),
    }));
    const replay = new Replay(engines, task => outputs.get(task)!, describesPrompts);
    for (let nth = 0; nth < 24; nth++) {
        const tasks = Array.from({ length: tasksPerJob }, (unused, task) => {
            const isLong = random() < 0.25;
            const id = `${isLong ? "long" : "short"}-${nth}-${task}`;
            outputs.set(id, random() < 0.04 ? 140 : 9 + Math.floor(16 * random()));
            const ownTokens = Math.floor(isLong ? 2500 + 5500 * random() : 16 + 244 * random());
            return promptTask(id, id, { sharedTokens: 0, ownTokens, outputTokens: 140 });
        });
        const at = nth * 500;
        const dueAt = (at + 7500) as Instant;
        replay.submit(at, jobFixture(tasks, { id: asId<JobId>(`job-${nth}`) }), termsFixture({ dueAt }), false);
    }
    replay.run(60_000);
    const delaysOf = (kind: string): number[] =>
        [...replay.timings].filter(([task]) => task.startsWith(kind))
            .map(([, { firstEventAt, submittedAt }]) => firstEventAt! - submittedAt).sort((a, b) => a - b);
    return { shortMs: delaysOf("short"), longMs: delaysOf("long"), mostUsedShare: replay.mostUsedShare };
}

function quantile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]!;
}

function show(delays: Delays): string {
    return [delays.shortMs, delays.longMs]
        .map(sorted => [0.5, 0.95, 1].map(share => quantile(sorted, share).toFixed(0)).join("/")).join(" ");
}

describe("Long prompts beside short ones", () => {
    // Guards against short prompts that wait at an engine behind several long ones. The longest delay of a long prompt
    // is bounded by the ageing, the prefills before it and its own.
    it("shortens the delay of short prompts, and lets no long prompt wait for long", () => {
        for (const tasksPerJob of [22, 26]) {
            for (const seed of [1, 2, 3]) {
                const before = replayMixed(seed, tasksPerJob, false);
                const after = replayMixed(seed, tasksPerJob, true);
                const figures = `short and long ms p50/p95/max: before ${show(before)}, after ${show(after)}`;
                if (process.env["SHOW_REPLAY"] !== undefined) {
                    process.stdout.write(`${tasksPerJob} tasks, seed ${seed}, ${figures}\n`);
                }
                expect(quantile(after.shortMs, 0.95), figures).to.be.below(0.5 * quantile(before.shortMs, 0.95));
                expect(quantile(after.longMs, 1), figures).to.be.below(1000);
                expect(after.mostUsedShare).to.be.at.most(0.9);
            }
        }
    });
});

describe("TaskAdmission", () => {
    const shapes = fc.record({
        sharedTokens: fc.constantFrom(0, 260, 1000, 2500),
        ownTokens: fc.constantFrom(16, 200, 3000, 9000),
        outputTokens: fc.constantFrom(20, 140, 2000),
    });
    const engines = fc.array(
        fc.record({ slots: fc.integer({ min: 1, max: 8 }), memory: fc.integer({ min: 2000, max: 40_000 }) }),
        {
            minLength: 1,
            maxLength: 4,
        },
    );
    const steps = fc.array(fc.record({ act: fc.constantFrom("event", "end", "wait"), pick: fc.nat() }), {
        maxLength: 60,
    });

    it("never exceeds memory or slots, and leaves no engine idle while a task waits", () => {
        fc.assert(
            fc.property(
                engines,
                fc.array(fc.tuple(shapes, fc.nat(5)), { maxLength: 40 }),
                steps,
                (specs, sizes, acts) => {
                    const scheduler = schedulerFixture();
                    const tasks = sizes.map(([shape, group], nth) =>
                        promptTask(`t${nth}`, `g${group}`, {
                            ...shape,
                            sharedTokens: group * 400,
                        })
                    );
                    const open = scheduler.add(jobFixture(tasks), termsFixture(), new JobLog());
                    const runs: TaskRun[] = [];
                    const at = (nth: number): readonly TaskRun[] => runs.filter(({ target }) => target === `e${nth}`);
                    const usedAt = (nth: number): number => {
                        const own = at(nth).reduce((sum, { size }) => sum + size!.ownTokens + size!.outputTokens, 0);
                        const shared = new Map(at(nth).map(({ task, size }) => [task.group, size!.sharedTokens]));
                        return own + [...shared.values()].reduce((sum, tokens) => sum + tokens, 0);
                    };
                    let now = 0;
                    const startAll = (): void => {
                        for (;;) {
                            const capacities = specs.map(({ slots, memory }, nth) =>
                                engineFixture(`e${nth}`, { slots, running: at(nth).length, memoryTokens: memory })
                            );
                            const next = scheduler.next(capacities, now as Instant);
                            if (next === undefined) {
                                break;
                            }
                            runs.push(next.run);
                        }
                        specs.forEach(({ slots, memory }, nth) => {
                            expect(at(nth).length).to.be.at.most(slots);
                            expect(at(nth).length <= 1 || usedAt(nth) <= 0.9 * memory, "memory").to.equal(true);
                            const canStart = open.waiting.some(({ notBefore }) => notBefore <= now);
                            expect(canStart && at(nth).length === 0, "an engine idles").to.equal(false);
                        });
                    };
                    startAll();
                    for (const { act, pick } of acts) {
                        now += act === "wait" ? 350 : 5;
                        const run = runs[pick % Math.max(1, runs.length)];
                        if (run !== undefined && act === "event") {
                            scheduler.recordFirstEvent(run);
                        }
                        if (run !== undefined && act === "end") {
                            runs.splice(runs.indexOf(run), 1);
                            scheduler.end(run, pick % 3 === 0 ? "broken" : "completed", now as Instant);
                        }
                        startAll();
                    }
                },
            ),
        );
    });

    it("starts a long prompt although short ones keep arriving", () => {
        const scheduler = schedulerFixture();
        const long = promptTask("long", "long", { sharedTokens: 0, ownTokens: 6000, outputTokens: 100 });
        const shorts = Array.from(
            { length: 2000 },
            (unused, nth) => promptTask(`s${nth}`, `s${nth}`, { sharedTokens: 0, ownTokens: 200, outputTokens: 20 }),
        );
        scheduler.add(jobFixture([...shorts, long]), termsFixture({ dueAt: 1e6 as Instant }), new JobLog());
        let running: TaskRun[] = [];
        for (let now = 0; now <= 700; now += 10) {
            const capacity = (): ReturnType<typeof engineFixture> =>
                engineFixture("a", { slots: 40, running: running.length, memoryTokens: 50_000 });
            // Half of the runs end, the other half has its first event, so that some prompt is always being prefilled.
            running.filter((unused, nth) => nth % 2 === 1).forEach(run => scheduler.recordFirstEvent(run));
            running.filter((unused, nth) => nth % 2 === 0).forEach(run =>
                scheduler.end(run, "completed", now as Instant)
            );
            running = running.filter((unused, nth) => nth % 2 === 1);
            for (let next = scheduler.next([capacity()], now as Instant); next !== undefined;) {
                if (next.run.task.id === "long") {
                    return;
                }
                running.push(next.run);
                next = scheduler.next([capacity()], now as Instant);
            }
        }
        expect.fail("The long prompt did not start.");
    });

    // Guards against an engine that admits nothing any more after its runs broke off during their prefill.
    it("frees the memory and the budget of runs that break off or whose job ends", () => {
        const scheduler = schedulerFixture();
        const shape = { sharedTokens: 2000, ownTokens: 40, outputTokens: 100 };
        const tasks = [promptTask("t0", "g0", shape), promptTask("t1", "g1", shape)];
        const job = jobFixture(tasks);
        scheduler.add(job, termsFixture(), new JobLog());
        const engine = engineFixture("a", { memoryTokens: 4000 });
        const first = scheduler.next([engine], 0 as Instant)!;
        expect(scheduler.next([engine], 0 as Instant)).to.equal(undefined);
        expect(scheduler.waitingByReason(0 as Instant)).to.deep.equal({ "memory": 1, "prompt-budget": 0, "slots": 0 });
        scheduler.end(first.run, "broken", 0 as Instant);
        expect(scheduler.next([engine], 1 as Instant)!.run.task.id).to.equal("t1");
        scheduler.remove(job.id);
        scheduler.add({ ...job, id: asId<JobId>("later") }, termsFixture(), new JobLog());
        expect(scheduler.next([engine], 2 as Instant)).not.to.equal(undefined);
    });

    it("keeps the prompt of a group cached after its last run, until memory runs out or the engine restarts", () => {
        const memory = new EngineMemory<string>();
        const engine = engineFixture("a", { memoryTokens: 4000 });
        const group = asId<GroupId>("g");
        const holds = (incarnation = 1): boolean =>
            memory.holdsPrompt({ ...engine, incarnation: incarnation as Incarnation }, group);
        memory.place(engine, "run", group, { sharedTokens: 2000, ownTokens: 10, outputTokens: 10 });
        memory.release(engine.target, "run");
        expect([holds(), holds(2), memory.usedAt(engine.target)]).to.deep.equal([true, false, 0]);
        memory.place(engine, "other", asId<GroupId>("h"), { sharedTokens: 2500, ownTokens: 10, outputTokens: 10 });
        expect([holds(), memory.holdersOf(group).size]).to.deep.equal([false, 0]);
    });
});
