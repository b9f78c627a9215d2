/** A run at a target, with the software that it was taken to run on, and what shows later that it was not. */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { type Incarnation, type Instant, type SoftwareVersion, type TargetId } from "../ids.js";

/** A run of a request at one incarnation of a target. */
export interface SoftwareRun {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    /** The target's software as of the run's start; undefined while it was unknown. */
    readonly software: SoftwareVersion | undefined;
    readonly startedAt: Instant;
}

/** Difference in milliseconds between the clocks of a host and of a target. */
const clockToleranceMs = 500;

/**
 * Whether the entry of a restarted target shows that the run was on other software: it began when the target had
 * restarted already. An incarnation is the Unix time of its start.
 */
export function isContradictedBy(run: SoftwareRun, { target, incarnation, software }: TargetEntryView): boolean {
    return run.target === target && run.incarnation !== incarnation && run.software !== software
        && run.startedAt >= incarnation - clockToleranceMs;
}
