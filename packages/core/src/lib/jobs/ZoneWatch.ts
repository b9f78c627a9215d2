/**
 * Notices that a zone is cut off, from the runs at its engines. All of its runs fall silent or lose their connections at
 * about the same time; waiting for each one's own timeout, and resuming them one after the other at engines of the same
 * zone, costs a step seconds. When three runs in a zone are silent or unreachable within 300 ms, all of its silent runs
 * move at once, as far as other zones have room, and no run starts there until an event arrives from it.
 */

import { after, type Instant, type SoftwareVersion, type TargetId, type ZoneId } from "../ids.js";
import { type TaskRun } from "./JobScheduler.js";

/** A run at an engine of a zone. */
export interface ZoneRun {
    readonly run: TaskRun;
    readonly target: TargetId;
    readonly zone: ZoneId;
    /** When its last event was received, or when it began if there is none. */
    readonly lastEventAt: Instant;
    readonly hasEvents: boolean;
    /** Milliseconds between two events of a run at its engine. */
    readonly gapMs: number;
}

/** An engine that may take over runs. */
export interface ZoneEngine {
    readonly target: TargetId;
    readonly zone: ZoneId;
    readonly freeSlots: number;
    readonly software: SoftwareVersion | undefined;
}

/** A zone that is cut off, and the runs to move out of it. */
export interface CutOffZone {
    readonly zone: ZoneId;
    readonly runs: readonly ZoneRun[];
}

/** Number of runs in a zone that are silent or unreachable when it counts as cut off. */
const minRuns = 3;

/** Number of engines that these run at, since a single engine may pause for 600 ms. */
const minEngines = 2;

/** Share of the zone's runs that are silent; in a zone with slow engines the others still send events. */
const minSilentShare = 0.5;

/** Milliseconds in which the runs fall silent or lose their connections. */
const windowMs = 300;

/** Milliseconds without an event after which a run counts as silent here, and the same in expected gaps. */
const silentMs = 300;
const minSilentGaps = 4;

/** Milliseconds without the first event after which a run moves with the others. */
const silentAtStartMs = 600;

/** Milliseconds for which no run starts in a zone that is cut off, unless an event arrives from it. */
const cutOffTtlMs = 1500;

/** Watches the zones of one host's runs. */
export class ZoneWatch {
    private readonly unreachable: { readonly zone: ZoneId; readonly target: TargetId; readonly at: Instant; }[] = [];
    private readonly cutOffUntil = new Map<ZoneId, Instant>();

    /** Records that a run's connection to an engine failed. */
    recordUnreachable(zone: ZoneId, target: TargetId, now: Instant): void {
        this.unreachable.push({ zone, target, at: now });
    }

    /** Records an event of a run in a zone. */
    recordEvent(zone: ZoneId): void {
        if (this.cutOffUntil.size > 0) {
            this.cutOffUntil.delete(zone);
        }
    }

    isCutOff(zone: ZoneId, now: Instant): boolean {
        const until = this.cutOffUntil.get(zone);
        return until !== undefined && now < until;
    }

    /** When the first zone counts as reachable again, or undefined when none is cut off. */
    nextRetryAt(now: Instant): Instant | undefined {
        const times = [...this.cutOffUntil.values()].filter(until => until > now);
        return times.length === 0 ? undefined : Math.min(...times) as Instant;
    }

    /** The zones that are cut off at `now`, with their silent runs as far as `engines` of other zones have room. */
    check(runs: readonly ZoneRun[], engines: readonly ZoneEngine[], now: Instant): readonly CutOffZone[] {
        const firstKept = this.unreachable.findIndex(({ at }) => now - at <= silentMs + windowMs);
        this.unreachable.splice(0, firstKept < 0 ? this.unreachable.length : firstKept);
        const zones = new Set([...runs, ...this.unreachable].map(({ zone }) => zone));
        const cutOff = [...zones].filter(zone => this.isSilent(zone, runs, now));
        const freeSlots = new Map(
            engines.filter(({ zone }) => !cutOff.includes(zone) && !this.isCutOff(zone, now))
                .map(({ target, freeSlots: free }) => [target, free]),
        );
        return cutOff.flatMap(zone => {
            const moved = runs.filter(run => run.zone === zone && hasStopped(run, now)).filter(({ run }) => {
                const to = engines.find(({ target, software }) =>
                    (freeSlots.get(target) ?? 0) > 0 && run.progress.canContinueAt(software)
                );
                if (to !== undefined) {
                    freeSlots.set(to.target, freeSlots.get(to.target)! - 1);
                }
                return to !== undefined;
            });
            if (moved.length === 0) {
                return [];
            }
            this.cutOffUntil.set(zone, after(now, cutOffTtlMs));
            return [{ zone, runs: moved }];
        });
    }

    private isSilent(zone: ZoneId, runs: readonly ZoneRun[], now: Instant): boolean {
        const own = runs.filter(run => run.zone === zone && run.hasEvents);
        const silent = own.filter(run => isSilentRun(run, now));
        if (silent.length < minSilentShare * own.length) {
            return false;
        }
        const lost = this.unreachable.filter(failure => failure.zone === zone);
        const faults = [
            ...silent.map(({ target, lastEventAt, gapMs }) => ({
                target,
                from: lastEventAt,
                until: lastEventAt + gapMs,
            })),
            // A connection fails at the earliest when the zone is cut off, and is found to have failed later.
            ...lost.map(({ target, at }) => ({ target, from: at - silentMs, until: at as number })),
        ];
        return faults.some(({ from }) => {
            const near = faults.filter(other => other.until >= from && other.from <= from + windowMs);
            return near.length >= minRuns && new Set(near.map(({ target }) => target)).size >= minEngines;
        });
    }
}

function isSilentRun({ lastEventAt, gapMs }: ZoneRun, now: Instant): boolean {
    return now - lastEventAt >= Math.max(silentMs, minSilentGaps * gapMs);
}

function hasStopped(run: ZoneRun, now: Instant): boolean {
    return run.hasEvents ? isSilentRun(run, now) : now - run.lastEventAt >= silentAtStartMs;
}
