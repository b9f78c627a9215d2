/**
 * Decides at which engines a task may run next, by their software. A text goes on only at the software that began it.
 * While no engine with that software has room, waiting is compared with what beginning again costs: generating the events
 * that the text has once more. A text that begins, and is long or has begun before, goes to software that stays, so that
 * a release that replaces all engines does not make it begin again and again.
 */

import { after, type Instant, type SoftwareVersion } from "../ids.js";
import { type EngineCapacity } from "./enginePlacement.js";
import { type TaskRun } from "./JobScheduler.js";

/** The engines for a task's next run: to go on with its text, or to begin it; or to wait until `until` at most. */
export type SoftwareFit =
    | { readonly kind: "continue" | "begin"; readonly engines: readonly EngineCapacity[]; }
    | { readonly kind: "wait"; readonly until: Instant; };

/** Milliseconds between two events of a run, while no engine's pace is known. */
const assumedGapMs = 40;

/** Upper limit in milliseconds for which a text waits for an engine with its software. */
const maxSoftwareWaitMs = 2000;

/** Expected tokens of a task, relative to the mean of its job, from which it counts as long. */
const longTaskRatio = 1.5;

/** The engines among `available`, which can serve the run and have a free slot; `listed` is the software in service. */
export function fitSoftware(
    run: TaskRun,
    available: readonly EngineCapacity[],
    listed: ReadonlySet<SoftwareVersion>,
    now: Instant,
): SoftwareFit {
    const { progress } = run;
    if (progress.eventCount === 0) {
        return { kind: "begin", engines: isLong(run) || run.restarts > 0 ? preferStaying(available) : available };
    }
    const fitting = available.filter(({ software }) => progress.canContinueAt(software));
    if (fitting.length > 0) {
        return { kind: "continue", engines: fitting };
    }
    if (progress.software !== undefined && listed.has(progress.software)) {
        const until = run.softwareWaitUntil ?? after(now, regenerationMs(progress.eventCount, available));
        if (now < until) {
            return { kind: "wait", until };
        }
    }
    return { kind: "begin", engines: preferStaying(available) };
}

/** Milliseconds that generating `events` again takes, up to the limit of the wait. */
function regenerationMs(events: number, engines: readonly EngineCapacity[]): number {
    const gaps = engines.flatMap(({ usualGapMs }) => usualGapMs ?? []);
    const gapMs = gaps.length === 0 ? assumedGapMs : gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length;
    return Math.min(maxSoftwareWaitMs, events * gapMs);
}

function preferStaying(engines: readonly EngineCapacity[]): readonly EngineCapacity[] {
    const staying = engines.filter(({ isBeingReplaced }) => isBeingReplaced !== true);
    return staying.length > 0 ? staying : engines;
}

function isLong({ task: { expectedTokens }, job: { meanTokens } }: TaskRun): boolean {
    return expectedTokens !== undefined && expectedTokens > meanTokens * longTaskRatio;
}
