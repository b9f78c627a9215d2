/**
 * Watches the store's live keys while this host conducts: its own claim, jobs that other hosts stored and jobs that
 * they ended. When the store has compacted its history, or a watch gets no answer, the claim and the open jobs are read again.
 */

import {
    after,
    type Clock,
    type JobId,
    jobKeys,
    type KeyRevision,
    type OrganisationId,
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
 * and until then ends of jobs that other hosts wrote to the store are unknown here. A host that reads answers late waits
 * less, since what it knows is up to two calls old.
 */
const waitMs = { min: 100, max: 1000 } as const;

/** Milliseconds after a failure before the range is read again. */
const rereadDelayMs = 200;

/**
 * Upper limit of the jobs that are opened at a time. Their results are up to a megabyte each; read all at once by a host with a
 * third of a core and a slow link, none of them arrives within its time limit, and all are read again.
 */
const maxConcurrentOpenings = 2;

/** Milliseconds after which the next job is opened although the one before is not open yet, as when its results cannot be read. */
const openingWaitMs = 3000;

/** The jobs that are opened for one generation of the watch. */
interface Openings {
    /** Jobs that wait or are being opened, so that a repeated read of the range does not open them again. */
    readonly jobs: Set<JobId>;
    readonly waiting: StoredItem[];
    running: number;
}

function createOpenings(): Openings {
    return { jobs: new Set(), waiting: [], running: 0 };
}

/** Applies changes of the live keys to the conductor's claim and jobs. */
export class LiveKeyWatch {
    private generation = 0;
    private openings = createOpenings();
    /** Milliseconds by which the answer to the last call of the watch came after the end of its wait. */
    private lateMs = 0;

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
        this.openings = createOpenings();
        void this.loop(this.generation);
    }

    deactivate(): void {
        this.generation++;
        this.openings = createOpenings();
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

    /**
     * Reads the claim and the open jobs. End marks are not read, as there may be any number of them: a job that this host takes for
     * open has ended if the store does not hold it as open any more.
     */
    private async readAll(generation: number): Promise<KeyRevision | undefined> {
        const startedAt = this.clock.now();
        const unended = new Set([...this.registry.unended, ...this.openings.jobs]);
        const open = (await this.store.range(jobKeys.openPrefix, "jobs")).toMaybe().extract();
        const claim = open === undefined ? undefined : await this.store.get(jobKeys.claim, "jobs");
        if (open === undefined || claim === undefined || claim.isLeft() || generation !== this.generation) {
            return undefined;
        }
        this.conductor.applyClaimChange(claim.toMaybe().extract(), open.asOf);
        if (!this.conductor.isConductor) {
            return undefined;
        }
        open.items.forEach(({ key }) => unended.delete(jobOf(key, jobKeys.openPrefix)));
        if (!await this.closeMissing(unended) || generation !== this.generation) {
            return undefined;
        }
        this.registry.recordEndsKnown(startedAt);
        this.openInBackground(open.items);
        return open.asOf;
    }

    /** Closes jobs that the store does not hold as open; false if it does not tell how one of them has ended. */
    private async closeMissing(missing: ReadonlySet<JobId>): Promise<boolean> {
        for (const job of missing) {
            const found = (await this.jobs.find(job)).toMaybe().extract();
            if (found === undefined) {
                return false;
            }
            if (found.kind !== "open") {
                this.close(job, found.kind === "ended" ? found.ended.organisation : undefined);
            }
        }
        return true;
    }

    private async followChanges(asOf: KeyRevision, generation: number): Promise<KeyRevision | undefined> {
        const startedAt = this.clock.now();
        const callWaitMs = Math.max(waitMs.min, waitMs.max - 2 * this.lateMs);
        const seen = (await this.store.changes(jobKeys.live, asOf, callWaitMs, "jobs")).toMaybe().extract();
        this.lateMs = Math.max(0, this.clock.now() - startedAt - callWaitMs);
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
        this.openInBackground(
            seen.changes.flatMap(({ key, item }) =>
                key.startsWith(jobKeys.openPrefix) && item !== undefined ? [item] : []
            ),
        );
        return seen.asOf;
    }

    private closeEnded({ key, value }: StoredItem): void {
        this.close(jobOf(key, jobKeys.endedPrefix), (unpack(value) as EndedJob).organisation);
    }

    /** Closes a job that has ended, also one that waits to be opened. */
    private close(job: JobId, organisation: OrganisationId | undefined): void {
        // The registry remembers the end of a job for a limited time only, and this one may wait for longer.
        const waiting = this.openings.waiting.findIndex(item => jobOf(item.key, jobKeys.openPrefix) === job);
        if (waiting >= 0) {
            this.openings.waiting.splice(waiting, 1);
            this.openings.jobs.delete(job);
        }
        this.registry.close(job, organisation);
    }

    /**
     * Opens stored jobs while the watch goes on. Reading a job's parts and results takes any time, in which ends of other
     * jobs would stay unknown.
     */
    private openInBackground(items: readonly StoredItem[]): void {
        const { openings } = this;
        for (const item of items) {
            const job = jobOf(item.key, jobKeys.openPrefix);
            if (!this.registry.has(job) && !openings.jobs.has(job)) {
                openings.jobs.add(job);
                openings.waiting.push(item);
            }
        }
        while (openings.running < maxConcurrentOpenings && openings.waiting.length > 0) {
            void this.openWaiting(openings);
        }
    }

    /** Opens the waiting jobs one after the other; a job that takes long to open does not hold up the others. */
    private async openWaiting(openings: Openings): Promise<void> {
        openings.running++;
        for (let item = openings.waiting.shift(); item !== undefined; item = openings.waiting.shift()) {
            const done = new AbortController();
            const opened = this.openStored(item, openings)
                .catch((err: unknown) =>
                    this.journal.log("unexpected-error", { loop: "open a job", detail: String(err) })
                )
                .finally(() => done.abort());
            const job = jobOf(item.key, jobKeys.openPrefix);
            void opened.then(() => openings.jobs.delete(job));
            await sleepUntil(this.clock, after(this.clock.now(), openingWaitMs), done.signal);
        }
        openings.running--;
    }

    /** Opens a job once its parts can be read, unless it has ended or belongs to an earlier generation by then. */
    private async openStored(item: StoredItem, openings: Openings): Promise<void> {
        while (openings === this.openings) {
            const read = await this.jobs.readOpen(item);
            const job = read.toMaybe().extract();
            if (job !== undefined && openings === this.openings) {
                await this.registry.open(job, false);
            }
            if (read.isRight()) {
                return;
            }
            await sleepUntil(this.clock, after(this.clock.now(), rereadDelayMs));
        }
    }
}

function jobOf(key: string, prefix: string): JobId {
    return key.slice(prefix.length) as JobId;
}
