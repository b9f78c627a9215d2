/** Replay of steps on engines of unequal speed. */

import { expect } from "chai";
import { asId, type GroupId, type Instant, type JobId, type TaskId } from "../ids.js";
import { FinishEstimate, type TaskRest } from "./FinishEstimate.js";
import { engineFixture, jobFixture, taskFixture, termsFixture } from "./jobFixtures.test.js";
import { randomFixture, Replay } from "./replayFixtures.test.js";

interface UnevenFigures {
    readonly meanStepMs: number;
    readonly longestStepMs: number;
    /** Share of the prompt tokens that are shared prompts prefilled again. */
    readonly repeatedShare: number;
    /** Busy time of the busiest engine, relative to the mean. */
    readonly busiestRatio: number;
    readonly interruptedShare: number;
    readonly interrupted: Readonly<Record<string, number>>;
    readonly mostRunning: number;
}

/** Four trainers with a step of 13 groups of 8 tasks every 4 s on 33 engines, which become slow for 600 ms at times. */
function replayUneven(seed: number, describesPrompts: boolean): UnevenFigures {
    const random = randomFixture(seed);
    const outputs = new Map<string, number>();
    const engines = Array.from({ length: 33 }, (unused, nth) => ({
        name: `e${nth}`,
        slots: 8,
        memoryTokens: 28_644 + Math.floor(random() * 55_648),
        gapMs: 40 / (0.55 + 0.65 * random()),
        troubles: Array.from({ length: 6 }, () => {
            const from = 60_000 * random();
            return { from, until: from + 600, slowFactor: 3 };
        }),
    }));
    const replay = new Replay(engines, task => outputs.get(task)!, describesPrompts);
    const submitted = new Map<string, number>();
    for (let step = 0; step < 12; step++) {
        for (const model of ["m0", "m1", "m2", "m3"]) {
            const sharedTokens = [260, 1000, 1000, 2500][Math.floor(random() * 4)]!;
            const tasks = Array.from({ length: 13 * 8 }, (unused, nth) => {
                const id = `${model}-${step}-${nth}`;
                const group = `${model}-${step}-g${nth >> 3}`;
                const events = random() < 0.02 ? 40 + Math.floor(100 * random()) : 9 + Math.floor(16 * random());
                outputs.set(id, events);
                return taskFixture(nth, {
                    id: asId<TaskId>(id),
                    group: asId<GroupId>(group),
                    expectedTokens: Math.round(events * (0.7 + 0.6 * random())),
                    prompt: [{ id: group, tokens: sharedTokens }, { id, tokens: 16 }],
                    usage: { promptTokens: sharedTokens + 16, maxOutputTokens: 140 },
                });
            });
            const at = step * 4000 + Number(model.slice(1)) * 700;
            const id = asId<JobId>(`${model}-${step}`);
            submitted.set(id, at);
            const terms = termsFixture({ dueAt: (at + 7500) as Instant, expiresAt: 1e9 as Instant });
            replay.submit(at, jobFixture(tasks, { id, model, targetGroups: 12 }), terms, true);
        }
    }
    replay.moveRunsFrom(100);
    replay.run(80_000);
    const stepMs = [...submitted].map(([job, at]) => replay.completedAt.get(job)! - at);
    const busyMs = replay.engines.map(engine => engine.busyMs);
    const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);
    const meanOf = (values: readonly number[]): number => sumOf(values) / values.length;
    return {
        meanStepMs: meanOf(stepMs),
        longestStepMs: Math.max(...stepMs),
        repeatedShare: replay.repeatedTokens / replay.prefilledTokens,
        busiestRatio: Math.max(...busyMs) / meanOf(busyMs),
        interruptedShare: sumOf([...replay.interrupted.values()]) / replay.started,
        interrupted: Object.fromEntries(replay.interrupted),
        mostRunning: replay.mostRunning,
    };
}

describe("Steps on engines of unequal speed", () => {
    // Guards against groups whose shared prompt is prefilled at many engines, and against long tasks at slow engines.
    it("shortens steps and prefills fewer shared prompts again when prompts are described", () => {
        for (const seed of [1, 2]) {
            const before = replayUneven(seed, false);
            const after = replayUneven(seed, true);
            const figures = `seed ${seed}: before ${JSON.stringify(before)}, after ${JSON.stringify(after)}`;
            if (process.env["SHOW_REPLAY"] !== undefined) {
                process.stdout.write(`${figures}\n`);
            }
            expect(after.meanStepMs, figures).to.be.below(before.meanStepMs);
            expect(after.repeatedShare, figures).to.be.below(before.repeatedShare);
            expect(after.longestStepMs, figures).to.be.below(7500);
            expect(after.mostRunning, figures).to.be.at.most(1);
        }
    });
});

describe("FinishEstimate", () => {
    const rest = (eventsLeft: number): TaskRest => ({ eventsLeft, promptTokensAt: () => 2500 });
    const slow = engineFixture("slow", { usualGapMs: 70 });
    const fast = engineFixture("fast", { usualGapMs: 36, running: 3 });

    it("counts the prefill, the pace, the load and the speed of the moment", () => {
        const engines = [slow, fast];
        expect(new FinishEstimate(rest(100), engines).soonest(engines).target).to.equal("fast");
        expect(new FinishEstimate(rest(0), engines).soonest(engines).target).to.equal("slow");
        const slowed = [slow, { ...fast, speed: 0.3 }];
        expect(new FinishEstimate(rest(100), slowed).soonest(slowed).target).to.equal("slow");
    });

    it("takes the mean pace for an engine without a known one, and a usual pace when none is known", () => {
        const unknown = engineFixture("unknown", { running: 0 });
        const estimate = new FinishEstimate(rest(10), [slow, fast, unknown]);
        expect(estimate.msAt(unknown)).to.be.closeTo(10 * 53 * 1.05 + 2500 / 400, 0.001);
        expect(new FinishEstimate(rest(10), [unknown]).msAt(unknown)).to.be.closeTo(10 * 40 * 1.05 + 2500 / 400, 0.001);
    });
});
