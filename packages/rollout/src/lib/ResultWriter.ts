/**
 * Writes the results of jobs in chunks. Results are gathered while the trainer still waits for others, so that a step
 * costs a few writes, and go out at once when it has all that it waits for, when the job is nearly due, or at its end.
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

/** What the writer needs. */
export interface ResultWriterOptions {
    readonly settings: RolloutSettings;
    /** Revision of this host's claim, while it has one. */
    readonly fence: () => KeyRevision | undefined;
    /** Told of the claim's key when a write shows that it changed. */
    readonly onClaimChanged: (item: StoredItem | undefined) => void;
}

/** Milliseconds between tries to write results that the store did not take. */
const rewriteMs = 150;

/** Milliseconds before a job is due from which on results are written at once. */
const dueSoonMs = 1500;

/** Writes results. */
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

    /** Writes the results of a job that are not listed yet, until there are none or it is no longer run here. */
    async write(open: OpenJob): Promise<void> {
        const { job, log } = open;
        if (this.flushing.has(job.id)) {
            this.hurry(open);
            return;
        }
        this.flushing.add(job.id);
        try {
            while (this.isCurrent(open) && log.hasPending) {
                await this.gather(open);
                if (!await this.writeNext(open)) {
                    await sleepUntil(this.clock, after(this.clock.now(), rewriteMs));
                }
            }
        }
        finally {
            this.flushing.delete(job.id);
        }
    }

    /** Waits for more results to write with those at hand, unless the trainer has all that it waits for. */
    private async gather(open: OpenJob): Promise<void> {
        const hurry = new AbortController();
        this.gathering.set(open.job.id, hurry);
        this.hurry(open);
        await sleepUntil(this.clock, after(this.clock.now(), this.options.settings.gatherMs), hurry.signal);
        this.gathering.delete(open.job.id);
    }

    private hurry(open: OpenJob): void {
        const isLast = open.waiting.length + open.running.size === 0;
        const isDue = Date.now() > open.terms.dueAt - dueSoonMs;
        if (isLast || isDue || hasWhatIsAwaited(open)) {
            this.gathering.get(open.job.id)?.abort();
        }
    }

    private async writeNext(open: OpenJob): Promise<boolean> {
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
                    this.options.onClaimChanged(failure.claim.item);
                }
                this.journal.log("store-write-retried", {
                    job: job.id,
                    chunk: chunk.number,
                    applied: failure.applied,
                    detail: failure.detail,
                });
                return false;
            },
            Right: standing => {
                log.adopt(standing);
                this.journal.log("results-listed", {
                    job: job.id,
                    chunk: standing.number,
                    tasks: standing.results.map(({ task, state }) => state === "completed" ? task : `${task} ${state}`),
                    listed: log.listed.length,
                    total: job.tasks.length,
                    own: standing === chunk,
                });
                this.onListed(job.id);
                return true;
            },
        });
    }
}

/** Whether every group that the trainer waits for has all its results, with those that are not listed yet. */
function hasWhatIsAwaited({ job, log }: OpenJob): boolean {
    const left = new Map<GroupId, number>();
    for (const task of job.tasks) {
        left.set(task.group, (left.get(task.group) ?? 0) + (log.hasResult(task.id) ? 0 : 1));
    }
    return [...left.values()].filter(count => count === 0).length >= job.targetGroups;
}
