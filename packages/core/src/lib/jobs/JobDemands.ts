/**
 * What open jobs demand of the engines, as input to the order of jobs. The needs of a job are summed over its tasks, up
 * to 150 of them, so they are kept until one of its tasks ends, or for a short time while its texts grow.
 */

import { after, type Instant, type JobId } from "../ids.js";
import { type EngineCapacity } from "./enginePlacement.js";
import { type GroupNeeds, needsOf } from "./groupNeeds.js";
import { type JobDemand, type OrderedJob, orderJobs } from "./jobOrder.js";
import { type OpenJob, type TaskRun } from "./JobScheduler.js";

/** Milliseconds for which the needs of a job are kept. */
const needsTtlMs = 200;

/** Milliseconds between two events of a run, while no engine's pace is known. */
const assumedGapMs = 40;

/** Milliseconds from the start of a run to its first event. */
const startMs = 100;

interface KeptNeeds {
    readonly needs: GroupNeeds;
    readonly until: Instant;
}

/** A job's demand. */
export interface OpenJobDemand extends JobDemand {
    readonly open: OpenJob;
}

/** Keeps the needs of open jobs, and orders the jobs by them. */
export class JobDemands {
    private readonly kept = new Map<JobId, KeptNeeds>();

    /** `leftOf` estimates the events that a run has left. */
    constructor(private readonly leftOf: (run: TaskRun) => number) {}

    /** Drops the needs of a job after one of its tasks has ended. */
    forget(job: JobId): void {
        this.kept.delete(job);
    }

    /** Whether a run belongs to a group that its trainer needs, by the last order. */
    isNeeded({ job, task }: TaskRun): boolean {
        return this.kept.get(job.job.id)?.needs.needed.has(task.group) === true;
    }

    /** The order of the jobs. Jobs of different services do not compete. `wallNow` is in the clock of the due times. */
    order(
        jobs: readonly OpenJob[],
        engines: readonly EngineCapacity[],
        now: Instant,
        wallNow: Instant,
    ): readonly OrderedJob<OpenJobDemand>[] {
        const services = new Set(jobs.map(({ terms }) => terms.service));
        return [...services].flatMap(service => {
            const own = engines.filter(engine => engine.service === service);
            const slots = own.reduce((sum, engine) => sum + engine.slots, 0);
            const gapMs = own.reduce((sum, engine) => sum + gapOf(engine), 0) / Math.max(1, own.length) || assumedGapMs;
            const demands = jobs.filter(({ terms }) => terms.service === service).map(open => {
                const needs = this.needsOf(open, now);
                return {
                    open,
                    trainer: open.job.model,
                    dueAt: open.terms.dueAt,
                    neededSlotMs: needs.eventsLeft * gapMs + needs.tasks * startMs,
                    longestMs: needs.longestLeft * gapMs + (needs.tasks > 0 ? startMs : 0),
                    running: open.running.size,
                };
            });
            return orderJobs(demands, slots, wallNow);
        });
    }

    private needsOf(open: OpenJob, now: Instant): GroupNeeds {
        const { id } = open.job;
        const known = this.kept.get(id);
        if (known !== undefined && now < known.until) {
            return known.needs;
        }
        const needs = needsOf(open, this.leftOf);
        this.kept.set(id, { needs, until: after(now, needsTtlMs) });
        return needs;
    }
}

/** Milliseconds between two events of a run at an engine. */
function gapOf({ usualGapMs, speed }: EngineCapacity): number {
    return (usualGapMs ?? assumedGapMs) / Math.min(1, speed);
}
