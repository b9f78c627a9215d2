/**
 * Decides which runs move to another engine. Resuming a run after its last event costs a new connection and processing
 * its prompt and text again, so a run is moved when its engine has stopped sending events, or when it is expected to end
 * clearly earlier elsewhere, and not again before it was expected to end there. This helps steps that wait for a few long
 * samples while some engines are slow or unreachable; engines that are slow for 600 ms at a time are no reason to move. Engines of one service also differ for good by a quarter or more, and the longest samples decide when a
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
    /** Events that its text probably has left; undefined while that is unknown. */
    readonly eventsLeft?: number | undefined;
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
    /** Milliseconds by which it is expected to end earlier. */
    readonly gainMs: number;
    /** Milliseconds that it is expected to take there. */
    readonly remainingMs: number;
}

/** A run to move away from `target`, and why. */
export interface Move {
    readonly run: TaskRun;
    readonly target: TargetId;
    readonly reason: "silent" | "slow";
    /** Milliseconds by which it is expected to end earlier; undefined for a silent run. */
    readonly gainMs: number | undefined;
    /** Milliseconds that it is expected to take elsewhere. */
    readonly remainingMs: number;
}

/** Timeouts after which a run is moved. */
export interface MoveLimits {
    /** Milliseconds without an event after which a run counts as stalled. */
    readonly silentMs: number;
    /** The same before the first event, which takes longer because the engine processes the prompt first. */
    readonly silentAtStartMs: number;
    /** Milliseconds between two events of a run at an engine of speed 1; undefined while that is unknown. */
    readonly usualGapMs?: number | undefined;
}

/** How many times faster the other engine must be for a move to outweigh a new connection and processing the prompt. */
const minSpeedRatio = 2.2;

/**
 * Minimum milliseconds that a run stays at an engine before it moves to a faster one, so that runs don't move back and
 * forth.
 */
const minStayMs = 600;

/**
 * Expected gaps without an event before a run with events counts as silent, so that a slow engine, whose gaps are longer
 * than the timeout, is not taken for one that is gone.
 */
const minSilentGaps = 6;

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
    const { usualGapMs = assumedGapMs } = limits;
    const freeSlots = new Map(engines.map(engine => [engine.target, engine.freeSlots]));
    const findEngine = ({ progress }: TaskRun, from: TargetId, minSpeed: number): AvailableEngine | undefined =>
        engines.find(({ target, speed, software }) =>
            target !== from && speed >= minSpeed && freeSlots.get(target)! > 0 && progress.canContinueAt(software)
        );
    const takeSlot = ({ target }: AvailableEngine): void => {
        freeSlots.set(target, freeSlots.get(target)! - 1);
    };
    for (const movable of runs) {
        const { run, target, lastEventAt, startedAt, hasEvents } = movable;
        if (changing.has(target)) {
            continue;
        }
        const eventsLeft = movable.eventsLeft ?? expectedEventsLeft(run);
        const gapMs = usualGapMs / speedOf(target);
        const silentMs = hasEvents ? Math.max(limits.silentMs, minSilentGaps * gapMs) : limits.silentAtStartMs;
        const isSilent = now - lastEventAt > silentMs;
        const to = findEngine(run, target, isSilent ? 0 : speedOf(target) * minSpeedRatio);
        if (to === undefined) {
            continue;
        }
        const remainingMs = moveMs(run) + eventsLeft * usualGapMs / to.speed;
        if (isSilent) {
            takeSlot(to);
            moves.push({ run, target, reason: "silent", gainMs: undefined, remainingMs });
            continue;
        }
        const hasStayed = now - startedAt > minStayMs && mayMoveAgain(run, now);
        const gainMs = eventsLeft * gapMs - remainingMs;
        if (hasStayed && isWorthMoving(gainMs, eventsLeft * gapMs)) {
            takeSlot(to);
            moves.push({ run, target, reason: "slow", gainMs, remainingMs });
        }
    }
    return moves;
}

/** Milliseconds between two events of a run at an engine of the usual speed, while that is unknown. */
const assumedGapMs = 40;

/** Milliseconds that a run takes to go on at another engine: its new connection. */
const reconnectMs = 150;

/** Prompt tokens that an engine prefills in a millisecond. */
const prefillTokensPerMs = 400;

/** Events of a text of unknown length, and the share of a longer one that is probably left. */
const assumedEvents = 20;
const tailLeftShare = 0.5;

/** Minimum milliseconds that a move saves, and their share of the time that is left, since both are only estimates. */
const minGainMs = 400;
const minGainShare = 0.4;

function mayMoveAgain({ stayUntil }: TaskRun, now: Instant): boolean {
    return stayUntil === undefined || stayUntil <= now;
}

function isWorthMoving(gainMs: number, remainingHereMs: number): boolean {
    return gainMs >= minGainMs && gainMs >= minGainShare * remainingHereMs;
}

/** Milliseconds to resume a run elsewhere, where its prompt and its text are prefilled again. */
function moveMs({ size, progress }: TaskRun): number {
    const promptTokens = size === undefined ? 0 : size.sharedTokens + size.ownTokens;
    return reconnectMs + (promptTokens + progress.eventCount) / prefillTokensPerMs;
}

function expectedEventsLeft({ task: { expectedTokens = assumedEvents }, progress: { eventCount } }: TaskRun): number {
    return Math.max(1, expectedTokens - eventCount, eventCount >= expectedTokens ? eventCount * tailLeftShare : 0);
}

/** Number of events from which a run counts as one of those that a step waits for. */
const minLongEvents = 30;

/** Events that a long run is expected to have left, as a share of those that it has. */
const expectedLeftShare = 0.5;

/** Minimum milliseconds that a move to a faster engine saves; processing the prompt again takes part of it. */
const minSavedMs = 150;

/** Minimum milliseconds by which an upgraded run ends earlier, after the new connection and its prefill. */
const minUpgradeGainMs = 100;

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
            && mayMoveAgain(run, now)
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
            const eventsLeft = run.progress.eventCount * expectedLeftShare;
            const remainingMs = moveMs(run) + eventsLeft * to.usualGapMs!;
            const gainMs = eventsLeft * ownGapMs! - remainingMs;
            if (gainMs >= minUpgradeGainMs) {
                room.set(to.target, room.get(to.target)! - 1);
                moves.push({ run, target, to: to.target, gainMs, remainingMs });
            }
        }
    }
    return moves;
}
