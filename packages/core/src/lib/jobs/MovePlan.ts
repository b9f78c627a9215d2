/**
 * Decides which runs move to another engine. Resuming a run after its last event costs little more than processing its
 * prompt again, so a run is moved when its engine has stopped sending events, or generates tokens much slower than
 * another engine with free slots. This helps steps that wait for a few long samples while some engines are slow or
 * unreachable. Engines of one service also differ for good by a quarter or more, and the longest samples decide when a
 * step ends: these move to a faster engine once it has room. A run only moves to engines that can go on with its text.
 */

import { type Instant, type SoftwareVersion, type TargetId } from "../ids.js";
import { type TaskRun } from "./JobScheduler.js";

/** A run at an engine, with what decides whether it moves. */
export interface MovableRun {
    readonly run: TaskRun;
    readonly target: TargetId;
    /** When its last event was received, or when it began if there is none. */
    readonly lastEventAt: Instant;
    readonly startedAt: Instant;
    readonly hasEvents: boolean;
}

/** An engine that may take over runs. */
export interface AvailableEngine {
    readonly target: TargetId;
    /** Number of free slots. */
    readonly freeSlots: number;
    /** Relative speed; 1 is usual. */
    readonly speed: number;
    /** The engine's software, or undefined while it is unknown. */
    readonly software: SoftwareVersion | undefined;
}

/** An engine with room, and its usual pace. */
export interface PacedEngine {
    readonly target: TargetId;
    readonly slots: number;
    readonly freeSlots: number;
    /** Milliseconds between events of a run there while it has little other work; undefined while that is unknown. */
    readonly usualGapMs: number | undefined;
    /** The engine's software, or undefined while it is unknown. */
    readonly software: SoftwareVersion | undefined;
}

/** A long run to move from `target` to the faster engine `to`. */
export interface UpgradeMove {
    readonly run: TaskRun;
    readonly target: TargetId;
    readonly to: TargetId;
}

/** A run to move away from `target`, and why. */
export interface Move {
    readonly run: TaskRun;
    readonly target: TargetId;
    readonly reason: "silent" | "slow";
}

/** Timeouts after which a run is moved. */
export interface MoveLimits {
    /** Milliseconds without an event after which a run counts as stalled. */
    readonly silentMs: number;
    /** The same before the first event, which takes longer because the engine processes the prompt first. */
    readonly silentAtStartMs: number;
}

/** How many times faster the other engine must be for a move to outweigh a new connection and processing the prompt. */
const minSpeedRatio = 2.2;

/**
 * Minimum milliseconds that a run stays at an engine before it moves to a faster one, so that runs don't move back and
 * forth.
 */
const minStayMs = 600;

/** The runs to move at `now`. Runs at the engines in `changing` stay: these pause while they change their weights. */
export function planMoves(
    runs: readonly MovableRun[],
    engines: readonly AvailableEngine[],
    speedOf: (target: TargetId) => number,
    changing: ReadonlySet<TargetId>,
    limits: MoveLimits,
    now: Instant,
): readonly Move[] {
    const moves: Move[] = [];
    const freeSlots = new Map(engines.map(engine => [engine.target, engine.freeSlots]));
    const takeSlot = ({ progress }: TaskRun, from: TargetId, minSpeed: number): boolean => {
        const other = engines.find(({ target, speed, software }) =>
            target !== from && speed >= minSpeed && freeSlots.get(target)! > 0 && progress.canContinueAt(software)
        );
        if (other !== undefined) {
            freeSlots.set(other.target, freeSlots.get(other.target)! - 1);
        }
        return other !== undefined;
    };
    for (const { run, target, lastEventAt, startedAt, hasEvents } of runs) {
        if (changing.has(target)) {
            continue;
        }
        const silentMs = hasEvents ? limits.silentMs : limits.silentAtStartMs;
        if (now - lastEventAt > silentMs && takeSlot(run, target, 0)) {
            moves.push({ run, target, reason: "silent" });
        }
        else if (now - startedAt > minStayMs && takeSlot(run, target, speedOf(target) * minSpeedRatio)) {
            moves.push({ run, target, reason: "slow" });
        }
    }
    return moves;
}

/** Number of events from which a run counts as one of those that a step waits for. */
const minLongEvents = 30;

/** Events that a long run is expected to have left, as a share of those that it has. */
const expectedLeftShare = 0.5;

/** Minimum milliseconds that a move to a faster engine saves; processing the prompt again takes part of it. */
const minSavedMs = 150;

/** Share of the faster engine's slots that must be free, since a busier engine is not faster. */
const minFreeShare = 0.3;

/** The long runs to move to engines that are faster for good, the longest first. */
export function planUpgrades(
    runs: readonly MovableRun[],
    engines: readonly PacedEngine[],
    changing: ReadonlySet<TargetId>,
    now: Instant,
): readonly UpgradeMove[] {
    const moves: UpgradeMove[] = [];
    const paces = new Map(engines.map(({ target, usualGapMs }) => [target, usualGapMs]));
    const room = new Map(engines.map(({ target, slots, freeSlots }) => [target, freeSlots - minFreeShare * slots]));
    const candidates = runs
        .filter(({ run, target, startedAt }) =>
            run.progress.eventCount >= minLongEvents && !changing.has(target) && now - startedAt > minStayMs
        )
        .sort((a, b) => b.run.progress.eventCount - a.run.progress.eventCount);
    for (const { run, target } of candidates) {
        const ownGapMs = paces.get(target);
        const maxGapMs = (ownGapMs ?? 0) - minSavedMs / (run.progress.eventCount * expectedLeftShare);
        const to = engines
            .filter(engine =>
                engine.target !== target && (engine.usualGapMs ?? Infinity) < maxGapMs && !changing.has(engine.target)
                && room.get(engine.target)! > 0 && run.progress.canContinueAt(engine.software)
            )
            .reduce<PacedEngine | undefined>(
                (best, engine) => best === undefined || engine.usualGapMs! < best.usualGapMs! ? engine : best,
                undefined,
            );
        if (to !== undefined) {
            room.set(to.target, room.get(to.target)! - 1);
            moves.push({ run, target, to: to.target });
        }
    }
    return moves;
}
