/**
 * Decides which runs go on elsewhere when their engine has announced to leave. The load: the platform takes all reclaimable
 * engines of a zone away 2 to 3 s after a notice, which reaches this host up to a second late. A run that breaks off there
 * loses no text, but it waits until the break is noticed and competes with all others at once. So runs move while there is
 * room: those with the most work left first, and none that probably ends before its engine is gone.
 */

import { type TargetId } from "../ids.js";
import { type AvailableEngine, type MovableRun } from "./MovePlan.js";

/** A run to move from its leaving engine to the engine `to`. */
export interface LeavingMove {
    readonly run: MovableRun["run"];
    readonly to: TargetId;
}

/** Milliseconds within which a run must be expected to end to stay: the shortest notice less the age of the list. */
const minLeftMs = 800;

/** Milliseconds between events of an engine whose pace is unknown. */
const defaultGapMs = 40;

/** Events that a run beyond its expected length is expected to have left, as a share of those that it has. */
const overrunLeftShare = 0.5;

/** The moves of `runs`, which are all at engines that leave, to `engines`, which stay; each takes one free slot. */
export function planLeavingMoves(
    runs: readonly MovableRun[],
    engines: readonly AvailableEngine[],
    gapMsOf: (target: TargetId) => number | undefined,
): readonly LeavingMove[] {
    const candidates = runs
        .map(({ run, target }) => ({ run, leftMs: eventsLeft(run) * (gapMsOf(target) ?? defaultGapMs) }))
        .filter(({ leftMs }) => leftMs > minLeftMs)
        .sort((a, b) => b.leftMs - a.leftMs);
    // The engines with the most room come first, and each goes to the end after it took a run, so that they share them.
    const queue = engines.filter(({ freeSlots }) => freeSlots > 0)
        .sort((a, b) => b.freeSlots * b.speed - a.freeSlots * a.speed);
    return candidates.flatMap(({ run }) => {
        const nth = queue.findIndex(({ software }) => run.progress.canContinueAt(software));
        const [engine] = nth < 0 ? [] : queue.splice(nth, 1);
        if (engine === undefined) {
            return [];
        }
        if (engine.freeSlots > 1) {
            queue.push({ ...engine, freeSlots: engine.freeSlots - 1 });
        }
        return [{ run, to: engine.target }];
    });
}

function eventsLeft({ task, progress }: MovableRun["run"]): number {
    const left = (task.expectedTokens ?? task.tokens) - progress.eventCount;
    return left > 0 ? left : progress.eventCount * overrunLeftShare;
}
