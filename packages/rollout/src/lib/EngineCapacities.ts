/** The capacity of each engine for tasks, as the scheduler and the plans of moves use it. */

import {
    type Clock,
    type EngineCapacity,
    type Instant,
    type PaceTracker,
    type ServiceId,
    type ServiceSpec,
    type SoftwareVersion,
    type TargetEntryView,
} from "@tamarackpath/core";
import { type EngineBackoff } from "./EngineBackoff.js";
import { type HostView } from "./HostView.js";
import { type RequestPermits } from "./RequestPermits.js";
import { type RunningTasks } from "./RunningTasks.js";
import { type VersionTask } from "./VersionTask.js";

/** Name of the runs of tasks among the requests to engines with a rate limit. */
export const tasksFlow = "tasks";

/** Computes the capacity of engines from this host's view, its runs and what it measured. */
export class EngineCapacities {
    constructor(
        private readonly view: HostView,
        private readonly versions: VersionTask,
        private readonly permits: RequestPermits,
        private readonly running: RunningTasks,
        private readonly paceTracker: PaceTracker,
        private readonly backoff: EngineBackoff,
        private readonly clock: Clock,
    ) {}

    /** The capacities of all engines where tasks may start. */
    all(): readonly EngineCapacity[] {
        const now = this.clock.now();
        return this.view.directory.targets.flatMap(entry => this.of(entry, now) ?? []);
    }

    /** The capacity of an engine; undefined if no task may start there. */
    of(entry: TargetEntryView, now: Instant): EngineCapacity | undefined {
        const spec = this.view.routes?.service(entry.service);
        if (spec?.engine === undefined || entry.leaving || this.backoff.isBackingOff(entry, now)) {
            return undefined;
        }
        const running = this.running.countAt(entry.target);
        return {
            target: entry.target,
            service: entry.service,
            slots: Math.min(slotsOf(entry, spec), running + this.permits.available(entry, tasksFlow, now)),
            running,
            versionOf: model => this.versions.versionOf(entry, model, now),
            speed: this.paceTracker.speedOf(entry.target, now),
            usualGapMs: this.paceTracker.usualGapMs(entry.target),
            incarnation: entry.incarnation,
            software: this.view.software.of(entry),
            isBeingReplaced: this.view.releases.isBeingReplaced(entry.service, entry.software, now),
        };
    }

    /** The software of a service's engines that stay, with those that have no room or are in backoff. */
    listedSoftware(service: ServiceId): ReadonlySet<SoftwareVersion> {
        const staying = this.view.directory.targets.filter(entry => entry.service === service && !entry.leaving);
        return new Set(staying.flatMap(({ software }) => software ?? []));
    }
}

/** Number of tasks that an engine runs at once. */
export function slotsOf(entry: TargetEntryView, spec: ServiceSpec): number {
    return entry.slots > 0 ? entry.slots : spec.engine!.slots;
}
