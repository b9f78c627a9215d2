/**
 * Decides which runs go on at another engine. A run is resumed after its last event for little more than the reading of
 * its prompt, so a run that has fallen silent, or that makes tokens much slower than others with room do, is moved. A
 * step ends with its longest samples, so a long run also leaves an engine that is a little slower for good. It answers
 * steps that wait for a few long samples while some engines are slowed, slower than others, or unreachable.
 */

import { type Instant, type TargetId } from "../ids.js";
import { type TaskRun } from "./JobBoard.js";

/** A run as the plan sees it. */
export interface MovableRun {
    readonly run: TaskRun;
    readonly target: TargetId;
    /** When it began or last made an event. */
    readonly heardAt: Instant;
    readonly startedAt: Instant;
    readonly hasEvents: boolean;
    /** Whether its sample is longer than most. */
    readonly isLong: boolean;
}

/** An engine with room for runs. */
export interface RoomyEngine {
    readonly target: TargetId;
    readonly free: number;
    readonly speed: number;
    /** The speed that it has for good. */
    readonly lastingSpeed: number;
}

/** A run to move, and why. */
export interface Move {
    readonly run: TaskRun;
    readonly target: TargetId;
    readonly reason: "silent" | "slow" | "long";
}

/** Bounds of the plan. */
export interface MoveLimits {
    /** Milliseconds without an event after which a run counts as silent. */
    readonly silentMs: number;
    /** The same before the first event, which waits for the reading of prompts. */
    readonly silentAtStartMs: number;
}

/** How many times faster the other engine must be, so that a move pays for a new connection and the prompt's reading. */
const leastGain = 2.2;

/** How many times faster another engine must be for good, for a long run to move: clearly more than its load changes. */
const leastLongGain = 1.2;

/** Milliseconds between the start of a run and its move for a lasting difference. */
const longStayMs = 1500;

/** Milliseconds that a run stays where it is after its start, so that it is not moved to and fro. */
const leastStayMs = 600;

/** Speeds of engines, lately and for good. */
export interface EngineSpeeds {
    readonly speedOf: (target: TargetId) => number;
    readonly lastingSpeedOf: (target: TargetId) => number;
}

/** The runs to move at `now`; engines in `changing` pause their runs on purpose. */
export function planMoves(
    runs: readonly MovableRun[],
    rooms: readonly RoomyEngine[],
    speeds: EngineSpeeds,
    changing: ReadonlySet<TargetId>,
    limits: MoveLimits,
    now: Instant,
): readonly Move[] {
    const moves: Move[] = [];
    const free = new Map(rooms.map(room => [room.target, room.free]));
    const take = (from: TargetId, fits: (room: RoomyEngine) => boolean): boolean => {
        const room = rooms.find(room => room.target !== from && free.get(room.target)! > 0 && fits(room));
        if (room !== undefined) {
            free.set(room.target, free.get(room.target)! - 1);
        }
        return room !== undefined;
    };
    for (const { run, target, heardAt, startedAt, hasEvents, isLong } of runs) {
        if (changing.has(target)) {
            continue;
        }
        const speed = speeds.speedOf(target);
        const lastingSpeed = speeds.lastingSpeedOf(target);
        const silentMs = hasEvents ? limits.silentMs : limits.silentAtStartMs;
        if (now - heardAt > silentMs && take(target, () => true)) {
            moves.push({ run, target, reason: "silent" });
        }
        else if (now - startedAt <= leastStayMs) {
            continue;
        }
        else if (take(target, room => room.speed >= speed * leastGain)) {
            moves.push({ run, target, reason: "slow" });
        }
        else if (
            isLong
            && now - startedAt > longStayMs
            && take(target, room => room.lastingSpeed >= lastingSpeed * leastLongGain && room.speed >= speed)
        ) {
            moves.push({ run, target, reason: "long" });
        }
    }
    return moves;
}
