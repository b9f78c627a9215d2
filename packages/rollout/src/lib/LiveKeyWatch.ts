/**
 * Watches the store's live keys while this host conducts: its own claim, jobs that other hosts stored and jobs that
 * they ended. When the store has compacted its history, or a watch gets no answer, the whole range is read again.
 */

import {
    after,
    type Clock,
    type JobId,
    jobKeys,
    type KeyRevision,
    sleepUntil,
    type StoredItem,
    type TransactionalStore,
} from "@tamarackpath/core";
import { unpack } from "msgpackr";
import { type ConductorTask } from "./ConductorTask.js";
import { type JobRegistry } from "./JobRegistry.js";
import { type EndedJob, type JobStore } from "./JobStore.js";
import { type Journal } from "./Journal.js";
import { repeatUntil } from "./repeatUntil.js";

/**
 * Milliseconds that one call of the watch waits for changes. A connection without answers is only noticed after this time,
 * and until then ends of jobs that other hosts wrote to the store are unknown here.
 */
const waitMs = 1000;

/** Milliseconds after a failure before the range is read again. */
const rereadDelayMs = 200;

/** Applies changes of the live keys to the conductor's claim and jobs. */
export class LiveKeyWatch {
    private generation = 0;
    /** Jobs that are being opened for the current generation, so that a repeated read of the range does not read them again. */
    private opening = new Set<JobId>();

    constructor(
        private readonly store: TransactionalStore,
        private readonly jobs: JobStore,
        private readonly registry: JobRegistry,
        private readonly conductor: ConductorTask,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {}

    activate(): void {
        this.generation++;
        this.opening = new Set();
        void this.loop(this.generation);
    }

    deactivate(): void {
        this.generation++;
    }

    private async loop(generation: number): Promise<void> {
        const { clock, journal } = this;
        let asOf: KeyRevision | undefined;
        const step = async (): Promise<void> => {
            const from = asOf;
            // After an error the whole range is read again.
            asOf = undefined;
            asOf = from === undefined ? await this.readAll(generation) : await this.followChanges(from, generation);
            if (asOf === undefined) {
                await sleepUntil(clock, after(clock.now(), rereadDelayMs));
            }
        };
        await repeatUntil(() => generation !== this.generation, step, { name: "watch the jobs", clock, journal });
    }

    private async readAll(generation: number): Promise<KeyRevision | undefined> {
        const startedAt = this.clock.now();
        const range = (await this.store.range(jobKeys.live, "jobs")).toMaybe().extract();
        if (range === undefined || generation !== this.generation) {
            return undefined;
        }
        const byKey = new Map(range.items.map(item => [item.key, item]));
        this.conductor.applyClaimChange(byKey.get(jobKeys.claim), range.asOf);
        if (!this.conductor.isConductor) {
            return undefined;
        }
        const open = range.items.filter(({ key }) => key.startsWith(jobKeys.openPrefix));
        const ended = range.items.filter(({ key }) => key.startsWith(jobKeys.endedPrefix));
        ended.forEach(item => this.closeEnded(item));
        this.registry.recordEndsKnown(startedAt);
        this.openBeside(open);
        void this.registry.removeEndedFromStore(
            ended.map(item => ({
                job: jobOf(item.key, jobKeys.endedPrefix),
                endedAt: (unpack(item.value) as EndedJob).endedAt,
            })),
        );
        return range.asOf;
    }

    private async followChanges(asOf: KeyRevision, generation: number): Promise<KeyRevision | undefined> {
        const startedAt = this.clock.now();
        const seen = (await this.store.changes(jobKeys.live, asOf, waitMs, "jobs")).toMaybe().extract();
        if (seen === undefined || seen.kind === "compacted" || generation !== this.generation) {
            return undefined;
        }
        for (const { key, item } of seen.changes) {
            if (key === jobKeys.claim) {
                this.conductor.applyClaimChange(item, item?.revision ?? seen.asOf);
            }
            else if (key.startsWith(jobKeys.endedPrefix) && item !== undefined) {
                this.closeEnded(item);
            }
        }
        this.registry.recordEndsKnown(startedAt);
        this.openBeside(
            seen.changes.flatMap(({ key, item }) =>
                key.startsWith(jobKeys.openPrefix) && item !== undefined ? [item] : []
            ),
        );
        return seen.asOf;
    }

    private closeEnded({ key, value }: StoredItem): void {
        this.registry.close(jobOf(key, jobKeys.endedPrefix), (unpack(value) as EndedJob).organisation);
    }

    /**
     * Opens stored jobs while the watch goes on. Reading a job's parts and results takes any time, in which ends of other
     * jobs would stay unknown.
     */
    private openBeside(items: readonly StoredItem[]): void {
        const { opening } = this;
        for (const item of items) {
            const job = jobOf(item.key, jobKeys.openPrefix);
            if (this.registry.has(job) || opening.has(job)) {
                continue;
            }
            opening.add(job);
            void this.openStored(item)
                .catch((err: unknown) =>
                    this.journal.log("unexpected-error", { loop: "open a job", detail: String(err) })
                )
                .finally(() => opening.delete(job));
        }
    }

    private async openStored(item: StoredItem): Promise<void> {
        const { generation } = this;
        const job = (await this.jobs.readOpen(item)).toMaybe().extract();
        // A job that was requested for an earlier generation may have ended since; the current one reads the range itself.
        if (job !== undefined && generation === this.generation) {
            await this.registry.open(job, false);
        }
    }
}

function jobOf(key: string, prefix: string): JobId {
    return key.slice(prefix.length) as JobId;
}
