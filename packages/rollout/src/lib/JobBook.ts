/**
 * The conductor's jobs: opens and ends them, writes their results, and answers reads from memory. What is not in memory
 * is read from the store, which also settles what this host cannot be sure of.
 */

import {
    after,
    type Clock,
    type Instant,
    type Job,
    type JobId,
    JobLog,
    type JobScheduler,
    type JobTerms,
    type OpenJob,
    sleepUntil,
    type TaskResult,
    type TaskRun,
} from "@tamarackpath/core";
import Emittery from "emittery";
import { type JobStore, partsOf } from "./JobStore.js";
import { type Journal } from "./Journal.js";
import { ResultWriter, type ResultWriterOptions } from "./ResultWriter.js";
import { type RolloutSettings } from "./RolloutSettings.js";

/** What may happen to jobs. */
export interface JobBookEvents {
    readonly opened: OpenJob;
    /** Runs of a job that has ended; they are stopped. */
    readonly stopped: readonly TaskRun[];
    readonly listed: JobId;
}

/** What the book needs. */
export interface JobBookOptions extends ResultWriterOptions {
    readonly settings: RolloutSettings;
    /** The terms of a job by the routes in force, or undefined when no route fits it. */
    readonly termsOf: (job: Job) => JobTerms | undefined;
}

interface KeptLog {
    readonly log: JobLog;
    readonly total: number;
    readonly endedAt: Instant;
}

/** Milliseconds between tries to read results that the store did not give. */
const rereadMs = 150;

/** Milliseconds for which an ended job's results stay in memory. */
const rememberMs = 20_000;

/** Most chunks of an ended job; keys beyond it are left to the next clean-up. */
const mostForgottenAtOnce = 4;

/** Keeps the jobs of the conductor. */
export class JobBook {
    readonly events = new Emittery<JobBookEvents>();
    private readonly writer: ResultWriter;
    private readonly ended = new Map<JobId, KeptLog>();
    private readonly opening = new Set<JobId>();
    /** Results of a host that conducted before, for jobs that are not open here yet. */
    private readonly inherited = new Map<JobId, TaskResult[]>();
    /** Stored jobs that no known route fits yet. */
    private readonly unplaced = new Map<JobId, Job>();
    private isActive = false;

    constructor(
        private readonly options: JobBookOptions,
        readonly board: JobScheduler,
        private readonly jobs: JobStore,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        this.writer = new ResultWriter(
            options,
            open => this.isActive && board.get(open.job.id) === open,
            job => void this.events.emit("listed", job),
            jobs,
            clock,
            journal,
        );
    }

    /** Begins to accept jobs, after the host became conductor; jobs that it still knows are compared with the store. */
    activate(): void {
        this.isActive = true;
        this.board.open.forEach(open => void this.refresh(open));
    }

    /** Forgets every job, after the host lost the claim. */
    deactivate(): void {
        this.isActive = false;
        this.board.open.forEach(open => void this.events.emit("stopped", this.board.remove(open.job.id)));
        this.ended.clear();
        this.unplaced.clear();
        this.inherited.clear();
    }

    /** Results that are not listed yet, for a successor. */
    get unlisted(): readonly { readonly job: JobId; readonly result: TaskResult; }[] {
        return this.board.open.flatMap(({ job, log }) => log.unlisted.map(result => ({ job: job.id, result })));
    }

    /** Takes a result of the host that conducted before, now or once its job is open here. */
    inherit(job: JobId, result: TaskResult): void {
        const open = this.board.get(job);
        if (open !== undefined) {
            this.addResult(open, result);
            void this.events.emit("stopped", this.board.dropFinished(open));
            return;
        }
        this.inherited.set(job, [...this.inherited.get(job) ?? [], result]);
    }

    /** A host that lost the claim goes on with its jobs for a moment, but takes no others. */
    private get mayOpen(): boolean {
        return this.isActive && this.options.fence() !== undefined;
    }

    /** Opens a job that the store holds; `isNew` spares the reading of its results. */
    async open(job: Job, isNew: boolean): Promise<void> {
        if (!this.mayOpen || this.opening.has(job.id) || this.knows(job.id)) {
            return;
        }
        const terms = this.options.termsOf(job);
        if (terms === undefined) {
            this.unplaced.set(job.id, job);
            return;
        }
        this.unplaced.delete(job.id);
        this.opening.add(job.id);
        try {
            const log = isNew ? new JobLog() : await this.readLog(job.id);
            if (!this.mayOpen || this.ended.has(job.id)) {
                return;
            }
            (this.inherited.get(job.id) ?? []).forEach(result => log.add(result));
            this.inherited.delete(job.id);
            const open = this.board.add(job, terms, log);
            void this.writer.write(open);
            this.journal.log("job-opened", {
                job: job.id,
                step: job.step,
                tasks: job.tasks.length,
                listed: log.listed.length,
                minVersion: job.minVersion,
                resumed: open.waiting.filter(run => run.progress.eventCount > 0).length,
            });
            await this.events.emit("opened", open);
        }
        finally {
            this.opening.delete(job.id);
        }
    }

    /** Opens a job that was just stored; it may have been stored and partly run before. */
    async openKept(job: Job): Promise<void> {
        await this.open(job, false);
    }

    /** Takes the routes in force: jobs move with their route, and those that waited for one are opened. */
    async applyRoutes(): Promise<void> {
        for (const open of this.board.open) {
            open.terms = this.options.termsOf(open.job) ?? open.terms;
        }
        for (const job of [...this.unplaced.values()]) {
            await this.open(job, false);
        }
    }

    hasEnded(job: JobId): boolean {
        return this.ended.has(job);
    }

    /** Reads an ended job that is no longer in memory; false when the store cannot tell. */
    async recall(id: JobId): Promise<boolean> {
        const stored = (await this.jobs.find(id)).toMaybe().extract();
        const chunks = stored?.kind === "ended" ? (await this.jobs.results(id)).toMaybe().extract() : undefined;
        if (stored?.kind !== "ended" || chunks === undefined || !this.isActive) {
            return false;
        }
        const log = new JobLog();
        chunks.forEach(chunk => log.adopt(chunk));
        this.ended.set(id, { log, total: stored.ended.total, endedAt: this.clock.now() });
        return true;
    }

    knows(job: JobId): boolean {
        return this.board.get(job) !== undefined || this.ended.has(job);
    }

    /** The results of a job in memory, with the number of its tasks. */
    logOf(job: JobId): { readonly log: JobLog; readonly total: number; } | undefined {
        const open = this.board.get(job);
        return open === undefined ? this.ended.get(job) : { log: open.log, total: open.job.tasks.length };
    }

    /** Ends a job; true once the store holds its mark. */
    async end(id: JobId): Promise<boolean> {
        const open = this.board.get(id);
        if (open === undefined) {
            return this.ended.has(id);
        }
        const { job } = open;
        const res = await this.jobs.end(id, job.tasks.length, partsOf(job));
        if (res.isLeft()) {
            return false;
        }
        this.close(id);
        return true;
    }

    /** Takes note that the store says that a job has ended. */
    close(id: JobId): void {
        const open = this.board.get(id);
        if (open === undefined) {
            return;
        }
        const stopped = this.board.remove(id);
        this.ended.set(id, { log: open.log, total: open.job.tasks.length, endedAt: this.clock.now() });
        this.journal.log("job-ended", {
            job: id,
            listed: open.log.listed.length,
            tasks: open.job.tasks.length,
            stopped: stopped.length,
        });
        void this.events.emit("stopped", stopped);
        void this.events.emit("listed", id);
    }

    /** Queues a task's result to be written. */
    addResult(open: OpenJob, result: TaskResult): void {
        if (open.log.add(result)) {
            void this.writer.write(open);
        }
    }

    /** Drops ended jobs from memory, and from the store what nobody may read any more. */
    forgetOld(): void {
        const now = this.clock.now();
        for (const [job, { endedAt }] of this.ended) {
            if (now - endedAt > rememberMs) {
                this.ended.delete(job);
            }
        }
    }

    /** Removes ended jobs from the store once their results need not be readable any more. */
    async sweep(marks: readonly { readonly job: JobId; readonly endedAt: number; }[]): Promise<void> {
        const old = marks.filter(({ endedAt }) => Date.now() - endedAt > this.options.settings.keepResultsMs);
        for (const { job } of old.slice(0, mostForgottenAtOnce)) {
            const chunks = (await this.jobs.results(job)).toMaybe().extract();
            if (chunks !== undefined) {
                await this.jobs.forget([{ job, chunks: chunks.length }]);
            }
        }
    }

    /** Takes results that another host listed while this one did not hold the claim. */
    private async refresh(open: OpenJob): Promise<void> {
        const doubt = open.log.markOutOfSync();
        const log = await this.readLog(open.job.id);
        log.chunks.forEach(chunk => open.log.adopt(chunk));
        // Writes under the claim before cannot take effect any more.
        open.log.markInSync(doubt);
        void this.events.emit("stopped", this.board.dropFinished(open));
        void this.writer.write(open);
        void this.events.emit("listed", open.job.id);
    }

    private async readLog(job: JobId): Promise<JobLog> {
        const log = new JobLog();
        while (this.isActive) {
            const chunks = (await this.jobs.results(job)).toMaybe().extract();
            if (chunks !== undefined) {
                chunks.forEach(chunk => log.adopt(chunk));
                return log;
            }
            await sleepUntil(this.clock, after(this.clock.now(), rereadMs));
        }
        return log;
    }
}
