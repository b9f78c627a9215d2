/**
 * Decides which runs go on at another engine. A run is resumed after its last event for little more than the reading of
 * its prompt, so a run that has fallen silent, or that makes tokens much slower than others with room do, is moved. It
 * answers steps that wait for a few long samples while some engines are slowed or unreachable.
 */

import { type Instant, type TargetId } from "../ids.js";
import { type TaskRun } from "./JobScheduler.js";

/** A run as the plan sees it. */
export interface MovableRun {
    readonly run: TaskRun;
    readonly target: TargetId;
    /** When it began or last made an event. */
    readonly lastEventAt: Instant;
    readonly startedAt: Instant;
    readonly hasEvents: boolean;
}

/** An engine with room for runs. */
export interface AvailableEngine {
    readonly target: TargetId;
    readonly free: number;
    readonly speed: number;
}

/** A run to move, and why. */
export interface Move {
    readonly run: TaskRun;
    readonly target: TargetId;
    readonly reason: "silent" | "slow";
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

/** Milliseconds that a run stays where it is after its start, so that it is not moved to and fro. */
const leastStayMs = 600;

/** The runs to move at `now`; engines in `changing` pause their runs on purpose. */
export function planMoves(
    runs: readonly MovableRun[],
    rooms: readonly AvailableEngine[],
    speedOf: (target: TargetId) => number,
    changing: ReadonlySet<TargetId>,
    limits: MoveLimits,
    now: Instant,
): readonly Move[] {
    const moves: Move[] = [];
    const free = new Map(rooms.map(room => [room.target, room.free]));
    const take = (from: TargetId, leastSpeed: number): boolean => {
        const room = rooms.find(({ target, speed }) => target !== from && speed >= leastSpeed && free.get(target)! > 0);
        if (room !== undefined) {
            free.set(room.target, free.get(room.target)! - 1);
        }
        return room !== undefined;
    };
    for (const { run, target, lastEventAt: heardAt, startedAt, hasEvents } of runs) {
        if (changing.has(target)) {
            continue;
        }
        const silentMs = hasEvents ? limits.silentMs : limits.silentAtStartMs;
        if (now - heardAt > silentMs && take(target, 0)) {
            moves.push({ run, target, reason: "silent" });
        }
        else if (now - startedAt > leastStayMs && take(target, speedOf(target) * leastGain)) {
            moves.push({ run, target, reason: "slow" });
        }
    }
    return moves;
}
