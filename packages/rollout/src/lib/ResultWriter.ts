/**
 * Writes the results of jobs in chunks. Results are gathered while the trainer has to wait for others anyway, so that a
 * step costs only a few writes. They are written at once when the trainer's awaited groups are complete, when the job
 * is nearly due, or when no task is left.
 */

import {
    after,
    type Clock,
    type GroupId,
    type JobId,
    type KeyRevision,
    type OpenJob,
    sleepUntil,
    type StoredItem,
} from "@tamarackpath/core";
import { type JobStore } from "./JobStore.js";
import { type Journal } from "./Journal.js";
import { type RolloutSettings } from "./RolloutSettings.js";

/** Options of a result writer. */
export interface ResultWriterOptions {
    readonly settings: RolloutSettings;
    /** Fencing token of this host's claim, or undefined while it has none. */
    readonly fence: () => KeyRevision | undefined;
    /** Called with the item of the claim's key when a write under `fence` fails because the claim changed. */
    readonly onClaimChanged: (item: StoredItem | undefined, fence: KeyRevision) => void;
}

/** Milliseconds between retries of a write that failed. */
const writeRetryDelayMs = 150;

/** Milliseconds before a job's due time from which its results are written at once. */
const dueSoonMs = 1500;

/** Writes the results of open jobs. */
export class ResultWriter {
    private readonly flushing = new Set<JobId>();
    private readonly gathering = new Map<JobId, AbortController>();

    constructor(
        private readonly options: ResultWriterOptions,
        private readonly isCurrent: (open: OpenJob) => boolean,
        private readonly onListed: (job: JobId) => void,
        private readonly jobs: JobStore,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {}

    /** Writes the unlisted results of a job until none are left or the job is not open on this host. */
    async write(open: OpenJob): Promise<void> {
        const { job, log } = open;
        if (this.flushing.has(job.id)) {
            this.endWaitIfDue(open);
            return;
        }
        this.flushing.add(job.id);
        try {
            while (this.isCurrent(open) && log.hasPending) {
                await this.gather(open);
                if (!await this.writeNextChunk(open)) {
                    await sleepUntil(this.clock, after(this.clock.now(), writeRetryDelayMs));
                }
            }
        }
        finally {
            this.flushing.delete(job.id);
        }
    }

    /** Waits up to `gatherMs` for more results, so that one write carries them; `endWaitIfDue` ends the wait. */
    private async gather(open: OpenJob): Promise<void> {
        const waitEnd = new AbortController();
        this.gathering.set(open.job.id, waitEnd);
        this.endWaitIfDue(open);
        await sleepUntil(this.clock, after(this.clock.now(), this.options.settings.gatherMs), waitEnd.signal);
        this.gathering.delete(open.job.id);
    }

    private endWaitIfDue(open: OpenJob): void {
        const isLast = open.waiting.length + open.running.size + open.scoring.size === 0;
        const isDue = Date.now() > open.terms.dueAt - dueSoonMs;
        if (isLast || isDue || hasAwaitedGroups(open)) {
            this.gathering.get(open.job.id)?.abort();
        }
    }

    private async writeNextChunk(open: OpenJob): Promise<boolean> {
        const { job, log } = open;
        const fence = this.options.fence();
        if (fence === undefined) {
            return false;
        }
        const chunk = log.chunkToWrite()!;
        const res = await this.jobs.append(job.id, chunk, fence);
        return res.caseOf({
            Left: failure => {
                if (failure.applied === "unknown") {
                    log.markOutOfSync();
                }
                if (failure.claim !== undefined) {
                    this.options.onClaimChanged(failure.claim.item, fence);
                }
                this.journal.log("store-write-retried", {
                    job: job.id,
                    chunk: chunk.number,
                    applied: failure.applied,
                    detail: failure.detail,
                });
                return false;
            },
            Right: stored => {
                log.adopt(stored);
                this.journal.log("results-listed", {
                    job: job.id,
                    chunk: stored.number,
                    tasks: stored.results.map(({ task, state }) => state === "completed" ? task : `${task} ${state}`),
                    listed: log.listed.length,
                    total: job.tasks.length,
                    own: stored === chunk,
                });
                this.onListed(job.id);
                return true;
            },
        });
    }
}

/** Whether as many groups as the trainer waits for have all their results, including unlisted ones. */
function hasAwaitedGroups({ job, log }: OpenJob): boolean {
    const left = new Map<GroupId, number>();
    for (const task of job.tasks) {
        left.set(task.group, (left.get(task.group) ?? 0) + (log.hasResult(task.id) ? 0 : 1));
    }
    return [...left.values()].filter(count => count === 0).length >= job.targetGroups;
}
