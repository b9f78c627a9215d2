/**
 * Tests that no text is joined from two software versions, on each path on which a text goes on at another engine. The
 * table of paths has one entry for each reason of a move, so that a new reason without an entry does not compile.
 */

import { asId, JobLog, type ProgressSnapshot, type SoftwareVersion, type TargetEntryView } from "@tamarackpath/core";
import { expect } from "chai";
import { type RunMoveReason } from "./JobRunner.js";
import {
    applyEngineConfig,
    engineEntryFixture,
    engineJobFixture,
    type EngineRun,
    engineTermsFixture,
    type JobRunnerFixture,
    jobRunnerFixture,
    scalingFixture,
} from "./jobRunnerFixtures.test.js";
import { createSteppingClock, settle, type SteppingClock } from "./steppingClock.test.js";

const oldSoftware = asId<SoftwareVersion>("v1");
const newSoftware = asId<SoftwareVersion>("v2");

function engine(name: string, software: SoftwareVersion | undefined): TargetEntryView {
    return engineEntryFixture(name, 4, { software });
}

interface Fixture extends JobRunnerFixture {
    readonly clock: SteppingClock;
    /** The run that began the text. */
    readonly first: EngineRun;
}

/** A text of `events` events that began at engine `a`, with the old software; all other engines have the new one. */
async function startedText(events: number): Promise<Fixture> {
    const clock = createSteppingClock(0.01);
    const fixture = jobRunnerFixture(clock, [engine("a", oldSoftware)], 1);
    fixture.runner.activate();
    await settle();
    const [first] = fixture.runs;
    first!.send(events);
    fixture.view.applyTargets([...fixture.entries, engine("b", newSoftware), engine("c", newSoftware)], 0);
    await settle();
    return { ...fixture, clock, first: first! };
}

function copyOf(events: number, software: SoftwareVersion | undefined): ProgressSnapshot {
    return {
        textId: 77,
        pieces: Array.from({ length: events }, () => String(software)),
        versions: [],
        lastEventId: events,
        isComplete: false,
        software,
    };
}

/** Interrupts the text's run, or replaces its text, so that it goes on at another engine. */
const paths: Record<
    RunMoveReason | "fault" | "unreachable" | "engine gone" | "handover" | "retained",
    (
        fixture: Fixture,
    ) => Promise<void>
> = {
    "fault": async ({ first }) => first.end({ kind: "fault", detail: "reset" }),
    "unreachable": async ({ first }) => first.end({ kind: "unreachable", detail: "refused" }),
    "engine gone": async ({ first, view }) => {
        view.applyTargets([engine("b", newSoftware), engine("c", newSoftware)], 0);
        first.end({ kind: "fault", detail: "reset" });
    },
    "silent": async ({ clock }) => clock.advance(3000),
    "slow": async ({ clock, first, runs }) => {
        // The other engines become known as fast by another run, the first one as slow by its own.
        for (let nth = 0; nth < 60; nth++) {
            await clock.advance(50);
            first.send(nth % 8 === 0 ? 1 : 0);
            runs.filter(({ entry }) => entry.software === newSoftware).forEach(run => run.send(5));
        }
    },
    "upgraded": async ({ clock, first, runs }) => {
        for (let nth = 0; nth < 60; nth++) {
            await clock.advance(20);
            first.send(1);
            runs.filter(({ entry }) => entry.software === newSoftware).forEach(run => run.send(4));
        }
    },
    "changing": async ({ runner, first }) => runner.moveLongRuns(first.target, "m"),
    "inherited": async ({ runner, scheduler, first }) => {
        const text = copyOf(60, oldSoftware);
        const run = scheduler.adoptText({ task: first.task, text })!;
        runner.restartFrom(run, text);
    },
    "handover": async ({ scheduler, first, view }) => {
        view.applyTargets([engine("b", newSoftware), engine("c", newSoftware)], 0);
        first.end({ kind: "fault", detail: "reset" });
        scheduler.adoptText({ task: first.task, text: copyOf(60, oldSoftware) });
    },
    "leaving": async ({ clock, first, view }) => {
        const others = [engine("b", newSoftware), engine("c", newSoftware)];
        applyEngineConfig(view, 2, scalingFixture);
        view.applyTargets([{ ...engine("a", oldSoftware), leaving: true }, ...others], 0);
        await clock.advance(500);
        view.applyTargets(others, 0);
        first.end({ kind: "fault", detail: "reset" });
    },
    "restarted": async ({ view }) => {
        // The engine had restarted with other software before the run began, and its entry shows it only now.
        const incarnation = 100 as TargetEntryView["incarnation"];
        view.applyTargets([
            engineEntryFixture("a", 4, { software: newSoftware, incarnation }),
            engine("b", newSoftware),
        ], 0);
    },
    "retained": async ({ scheduler, runner, first, view }) => {
        scheduler.remove(engineJobFixture("j", 1).id);
        first.end({ kind: "fault", detail: "stopped" });
        view.applyTargets([engine("b", newSoftware), engine("c", newSoftware)], 0);
        scheduler.add(engineJobFixture("k", 1), engineTermsFixture, new JobLog());
        runner.dispatch();
    },
};

/** Lets each run send some events and complete, and returns the software that generated each event of the results. */
async function completeAll({ clock, runs, results }: Fixture): Promise<readonly (readonly string[])[]> {
    const ended = new Set<EngineRun>();
    for (let nth = 0; nth < 200 && results.length === 0; nth++) {
        await clock.advance(50);
        const run = runs.at(-1)!;
        // A run that no engine may go on with stays where it is, and completes there.
        if ((runs.length > 1 || nth > 100) && !ended.has(run)) {
            ended.add(run);
            run.send(3);
            run.end({ kind: "completed" });
            await settle();
        }
    }
    return results.map(({ output }) => [...new Set(output.split("\n"))]);
}

describe("Texts of one software version", () => {
    for (const [name, interrupt] of Object.entries(paths)) {
        it(`does not join a text from two software versions (${name})`, async () => {
            const fixture = await startedText(40);
            await interrupt(fixture);
            await settle();
            const texts = await completeAll(fixture);
            fixture.runner.deactivate();
            expect(texts.map(generators => generators.length), "versions in each result").to.deep.equal([1]);
            const joins = fixture.runs.filter(({ afterEvent, entry }) =>
                afterEvent !== undefined && entry.software !== oldSoftware
            );
            expect(joins.map(({ target }) => target), "engines that went on with the text").to.deep.equal([]);
        });
    }

    it("discards what a run made at an engine that had restarted with other software", async () => {
        const fixture = await startedText(40);
        await paths.restarted(fixture);
        await completeAll(fixture);
        fixture.runner.deactivate();
        expect(fixture.runs.slice(1).map(({ afterEvent }) => afterEvent)).to.deep.equal([undefined]);
    });

    it("never joins a text whose software is not known", async () => {
        const fixture = await startedText(40);
        fixture.view.applyTargets([engine("b", undefined), engine("c", undefined)], 0);
        fixture.first.end({ kind: "fault", detail: "reset" });
        fixture.scheduler.adoptText({ task: fixture.first.task, text: copyOf(60, undefined) });
        await completeAll(fixture);
        fixture.runner.deactivate();
        expect(fixture.runs.slice(1).map(({ afterEvent }) => afterEvent)).to.deep.equal([undefined]);
    });
});
