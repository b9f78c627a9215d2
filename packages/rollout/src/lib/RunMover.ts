/**
 * Moves runs to other engines: away from engines that are silent, slow, leaving or about to change their weights, and to
 * engines that are faster for good. A run is moved by stopping it; it is resumed after its last event.
 */

import {
    type AvailableEngine,
    type EngineCapacity,
    type Instant,
    type MovableRun,
    type OpenJob,
    type PaceTracker,
    planLeavingMoves,
    planMoves,
    planUpgrades,
    type SoftwareVersion,
    type TargetId,
} from "@tamarackpath/core";
import { type EngineBackoff } from "./EngineBackoff.js";
import { type HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";
import { type RolloutSettings } from "./RolloutSettings.js";
import { type RunningTasks } from "./RunningTasks.js";
import { type VersionTask } from "./VersionTask.js";

/**
 * Number of events from which a run counts as long: most samples have ended by then, and the step waits for the others.
 */
const minLongRunEvents = 15;

/** Carries out the plans of moves. */
export class RunMover {
    constructor(
        private readonly settings: Pick<RolloutSettings, "silentMs" | "silentAtStartMs">,
        private readonly view: HostView,
        private readonly versions: VersionTask,
        private readonly running: RunningTasks,
        private readonly paceTracker: PaceTracker,
        private readonly backoff: EngineBackoff,
        private readonly journal: Journal,
    ) {}

    /**
     * Moves the long runs of an engine that is about to pause to other engines with the same software, as far as these
     * have free slots.
     */
    moveLongRuns(target: TargetId, model: string, engines: readonly EngineCapacity[]): void {
        const freeSlots = new Map<SoftwareVersion | undefined, number>();
        for (const { target: other, software, slots, running } of engines) {
            if (other !== target) {
                freeSlots.set(software, (freeSlots.get(software) ?? 0) + Math.max(0, slots - running));
            }
        }
        for (const [run, running] of this.running.entries()) {
            const isLong = run.progress.eventCount >= minLongRunEvents;
            const isAffected = running.target === target && run.job.job.model === model;
            const { software } = run.progress;
            const room = software === undefined ? 0 : freeSlots.get(software) ?? 0;
            if (isAffected && isLong && running.moved === undefined && room > 0) {
                freeSlots.set(software, room - 1);
                this.running.move(run, "changing");
            }
        }
    }

    /**
     * Stops runs that send no events, or that are much slower than engines with free slots, to resume them there, and
     * upgrades runs of the jobs `upgradable`.
     */
    moveRuns(engines: readonly EngineCapacity[], upgradable: readonly OpenJob[], now: Instant): void {
        const allRuns = this.running.movable;
        const takenSlots = this.moveFromLeaving(allRuns, engines);
        const available = engines.map(engine => ({
            ...availableOf(engine),
            freeSlots: engine.slots - engine.running - (takenSlots.get(engine.target) ?? 0),
        }));
        const runs = allRuns.filter(({ run }) => this.running.isStaying(run));
        const changing = new Set(
            runs.map(({ target }) => target).filter(target => this.versions.isChanging(target, now)),
        );
        const { silentMs, silentAtStartMs } = this.settings;
        const speedOf = (target: TargetId): number => this.paceTracker.speedOf(target, now);
        for (
            const { run, target, reason } of planMoves(
                runs,
                available,
                speedOf,
                changing,
                { silentMs, silentAtStartMs },
                now,
            )
        ) {
            const entry = this.view.directory.get(target);
            if (reason === "silent" && entry !== undefined) {
                const ms = this.backoff.recordFault(entry, now);
                this.view.software.recordConnectionLost(entry, now);
                this.journal.log("target-resting", { target, reason: "A run sent no events.", ms });
            }
            this.running.move(run, reason);
        }
        this.upgradeRuns(runs.filter(({ run }) => this.running.isStaying(run)), engines, upgradable, changing, now);
    }

    /**
     * Moves runs away from engines that have announced to leave, where engines are ordered and taken away at short notice;
     * others finish their runs. Returns the slots that the runs will take, by engine.
     */
    private moveFromLeaving(
        runs: readonly MovableRun[],
        engines: readonly EngineCapacity[],
    ): ReadonlyMap<TargetId, number> {
        const taken = new Map<TargetId, number>();
        const leaving = runs.filter(({ target }) => {
            const entry = this.view.directory.get(target);
            return entry?.leaving === true && this.view.routes?.service(entry.service)?.scaling !== undefined;
        });
        const gapMsOf = (target: TargetId): number | undefined => this.paceTracker.usualGapMs(target);
        for (const { run, to } of planLeavingMoves(leaving, engines.map(availableOf), gapMsOf)) {
            taken.set(to, (taken.get(to) ?? 0) + 1);
            run.preferredTarget = to;
            this.running.move(run, "leaving");
        }
        return taken;
    }

    /** Moves the longest runs of jobs to engines that are faster for good. */
    private upgradeRuns(
        runs: readonly MovableRun[],
        engines: readonly EngineCapacity[],
        upgradable: readonly OpenJob[],
        changing: ReadonlySet<TargetId>,
        now: Instant,
    ): void {
        for (const open of upgradable) {
            const { model, minVersion } = open.job;
            const paced = engines.filter(engine => (engine.versionOf(model) ?? -1) >= minVersion)
                .map(({ target, slots, running, usualGapMs, software }) => ({
                    target,
                    software,
                    slots,
                    freeSlots: slots - running,
                    usualGapMs,
                }));
            const own = runs.filter(({ run }) => run.job === open);
            for (const { run, to } of planUpgrades(own, paced, changing, now)) {
                run.preferredTarget = to;
                this.running.move(run, "upgraded");
            }
        }
    }
}

function availableOf({ target, slots, running, speed, software }: EngineCapacity): AvailableEngine {
    return { target, speed, software, freeSlots: slots - running };
}
