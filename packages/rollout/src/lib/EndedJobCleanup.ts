/**
 * Removes ended jobs and their results from the store once nobody may read them any more. The end marks are read page by page, since
 * those of days of operation do not fit into the memory of a host: a job ends each second where four trainers are at work.
 */

import { after, type Clock, type JobId, jobKeys, sleepUntil, type TransactionalStore } from "@tamarackpath/core";
import { unpack } from "msgpackr";
import { type ConductorTask } from "./ConductorTask.js";
import { type EndedJob, type JobStore } from "./JobStore.js";
import { type Journal } from "./Journal.js";
import { repeatUntil } from "./repeatUntil.js";
import { type RolloutSettings } from "./RolloutSettings.js";

/**
 * Milliseconds between two pages: `busy` after one with expired jobs, `next` after one without, and `idle` after the last one. A page
 * with 500 marks is removed in some 30 writes, so a backlog leaves most of the store's writes to others.
 */
const pageIntervalMs = { busy: 500, next: 1000, idle: 30_000 } as const;

/** Removes ended jobs while this host conducts. */
export class EndedJobCleanup {
    private generation = 0;
    /** The key after which the next page begins; undefined for the first page. */
    private position: string | undefined;

    constructor(
        private readonly settings: Pick<RolloutSettings, "keepResultsMs">,
        private readonly store: TransactionalStore,
        private readonly jobs: JobStore,
        private readonly conductor: Pick<ConductorTask, "isConductor">,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {}

    activate(): void {
        const generation = ++this.generation;
        const { clock, journal } = this;
        const hasEnded = (): boolean => generation !== this.generation || !this.conductor.isConductor;
        void repeatUntil(hasEnded, () => this.removePage(), { name: "remove ended jobs", clock, journal });
    }

    deactivate(): void {
        this.generation++;
    }

    private async removePage(): Promise<void> {
        const page = (await this.store.page(jobKeys.endedPrefix, this.position, "results")).toMaybe().extract();
        if (page === undefined) {
            await this.pause(pageIntervalMs.idle);
            return;
        }
        const expired = page.items.map(({ key, value }) => ({
            job: key.slice(jobKeys.endedPrefix.length) as JobId,
            mark: unpack(value) as EndedJob,
        })).filter(({ mark }) => Date.now() - mark.endedAt > this.settings.keepResultsMs);
        const removable: { readonly job: JobId; readonly chunks: number; }[] = [];
        for (const { job, mark } of expired) {
            // Marks of earlier software, and of ends that did not come through the conductor, name no chunks.
            const chunks = mark.chunks ?? (await this.jobs.results(job)).toMaybe().extract()?.length;
            if (chunks !== undefined) {
                removable.push({ job, chunks });
            }
        }
        await this.jobs.removeEnded(removable);
        if (expired.length > 0) {
            this.journal.log("ended-jobs-removed", { jobs: expired.length, hasMore: page.hasMore });
        }
        this.position = page.hasMore ? page.items.at(-1)?.key : undefined;
        await this.pause(
            expired.length > 0
                ? pageIntervalMs.busy
                : page.hasMore
                ? pageIntervalMs.next
                : pageIntervalMs.idle,
        );
    }

    private pause(ms: number): Promise<void> {
        return sleepUntil(this.clock, after(this.clock.now(), ms));
    }
}
