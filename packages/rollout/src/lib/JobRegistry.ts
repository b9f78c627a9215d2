/**
 * The conductor's jobs: opens and ends them, writes their results, and keeps the results in memory for reads. The store
 * is read for the results of a job that is not in memory, and when this host's copy may be incomplete.
 */

import {
    after,
    type Clock,
    type Instant,
    type Job,
    type JobFate,
    type JobId,
    JobLog,
    type JobScheduler,
    type JobTerms,
    type OpenJob,
    type OrganisationId,
    sendDeadlineOf,
    sleepUntil,
    type TaskResult,
    type TaskRun,
} from "@tamarackpath/core";
import Emittery from "emittery";
import { isDeepStrictEqual } from "node:util";
import { type JobStore, partsOf } from "./JobStore.js";
import { type Journal } from "./Journal.js";
import { ResultWriter, type ResultWriterOptions } from "./ResultWriter.js";
import { type RolloutSettings } from "./RolloutSettings.js";

/** Events of jobs; `listed` carries a job that has new results or has ended. */
export interface JobRegistryEvents {
    readonly opened: OpenJob;
    /** Runs that are to be stopped, because their job has ended or their result is known. */
    readonly stopped: readonly TaskRun[];
    readonly listed: JobId;
    /** Ends of jobs are known here again after a time in which they were not. */
    readonly endsKnown: undefined;
}

/** Options of a job registry. */
export interface JobRegistryOptions extends ResultWriterOptions {
    readonly settings: RolloutSettings;
    /**
     * Decides on what terms a job runs under the configuration in force, which is known to be as new as the job if it was proven
     * after `seenAt`; `known` are the terms that are known of the job.
     */
    readonly decideTerms: (job: Job, known: JobTerms | undefined, seenAt: Instant) => JobFate;
}

/** The results of a job in memory. */
export interface KnownJobLog {
    readonly log: JobLog;
    /** Number of the job's tasks. */
    readonly total: number;
    /** The organisation that submitted the job. */
    readonly organisation: OrganisationId | undefined;
}

interface EndedJobLog extends KnownJobLog {
    readonly endedAt: Instant;
}

/** Milliseconds between attempts to read results from the store. */
const readRetryDelayMs = 150;

/** Milliseconds between attempts to write the end mark of a job. */
const endRetryDelayMs = 500;

/** Milliseconds for which an ended job's results stay in memory. */
const endedJobTtlMs = 20_000;

/** Keeps the jobs of the conductor by id. */
export class JobRegistry {
    readonly events = new Emittery<JobRegistryEvents>();
    private readonly writer: ResultWriter;
    private readonly ended = new Map<JobId, EndedJobLog>();
    /** Jobs whose end became known while they were not open here, with the time of that and their organisation. */
    private readonly endedUnopened = new Map<
        JobId,
        { readonly knownAt: Instant; readonly organisation: OrganisationId | undefined; }
    >();
    /** Jobs that are being opened. Each term has its own set, as openings end with the term in which they began. */
    private opening = new Set<JobId>();
    /** Results from a previous conductor, for jobs that are not open here yet. */
    private readonly inherited = new Map<JobId, TaskResult[]>();
    /** Stored jobs about which too little is known yet to run them or to give them up, and since when they are known here. */
    private readonly undecided = new Map<JobId, { readonly job: Job; readonly seenAt: Instant; }>();
    private isActive = false;
    /** A time until which all ends of jobs in the store are known here; undefined before the first read. */
    private endsKnownUntil: Instant | undefined;

    constructor(
        private readonly options: JobRegistryOptions,
        readonly scheduler: JobScheduler,
        private readonly jobs: JobStore,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        this.writer = new ResultWriter(
            options,
            open => this.isActive && scheduler.get(open.job.id) === open,
            job => void this.events.emit("listed", job),
            jobs,
            clock,
            journal,
        );
    }

    /**
     * Begins to open jobs once the host is conductor; jobs that are still open in memory are updated from the store.
     */
    activate(): void {
        this.isActive = true;
        this.scheduler.open.forEach(open => void this.refresh(open));
    }

    /** Drops every job from memory, after the host lost the claim. */
    deactivate(): void {
        this.isActive = false;
        this.scheduler.open.forEach(open => void this.events.emit("stopped", this.scheduler.remove(open.job.id)));
        this.ended.clear();
        this.endedUnopened.clear();
        // It says something about the ends that have just been dropped.
        this.endsKnownUntil = undefined;
        this.opening = new Set();
        this.undecided.clear();
        this.inherited.clear();
    }

    /** Results that are not listed yet, for a successor. */
    get unlisted(): readonly { readonly job: JobId; readonly result: TaskResult; }[] {
        return this.scheduler.open.flatMap(({ job, log }) => log.unlisted.map(result => ({ job: job.id, result })));
    }

    /** Adds a result from a previous conductor, at once or when its job is opened here. */
    adoptResult(job: JobId, result: TaskResult): void {
        const open = this.scheduler.get(job);
        if (open !== undefined) {
            this.addResult(open, result);
            void this.events.emit("stopped", this.scheduler.dropFinished(open));
            return;
        }
        this.inherited.set(job, [...this.inherited.get(job) ?? [], result]);
    }

    /** A host that lost the claim continues its open jobs until another host conducts, but opens no others. */
    private get canOpen(): boolean {
        return this.isActive && this.options.fence() !== undefined;
    }

    /** Opens a job that the store holds; a new job has no results to read. */
    async open(job: Job, isNew: boolean): Promise<void> {
        if (!this.canOpen || this.opening.has(job.id) || this.has(job.id)) {
            return;
        }
        const { seenAt } = this.undecided.get(job.id) ?? { seenAt: this.clock.now() };
        const fate = this.options.decideTerms(job, job.acceptedTerms, seenAt);
        if (fate.kind === "undecided") {
            this.undecided.set(job.id, { job, seenAt });
            return;
        }
        this.undecided.delete(job.id);
        const { opening } = this;
        opening.add(job.id);
        try {
            const log = isNew ? new JobLog() : await this.readLog(job.id);
            // The end of a job that was known in an earlier term may be forgotten in this one.
            if (!this.canOpen || opening !== this.opening || this.hasEnded(job.id)) {
                return;
            }
            (this.inherited.get(job.id) ?? []).forEach(result => log.add(result));
            this.inherited.delete(job.id);
            const open = this.scheduler.add(job, fate.terms, log);
            // Another configuration may have come into force while the results were read.
            this.applyTerms(open);
            void this.writer.write(open);
            this.journal.log("job-opened", {
                job: job.id,
                step: job.step,
                tasks: job.tasks.length,
                listed: log.listed.length,
                minVersion: job.minVersion,
                terms: fate.kind,
                config: fate.terms.configRevision,
                resumed: open.waiting.filter(run => run.progress.eventCount > 0).length,
            });
            await this.events.emit("opened", open);
        }
        finally {
            opening.delete(job.id);
        }
    }

    /** Opens a job that was just stored, with the results of an earlier submission if there are any. */
    async openStored(job: Job): Promise<void> {
        await this.open(job, false);
    }

    /**
     * Applies the routes in force: open jobs get the terms of their route, or keep those that they have, and undecided jobs are
     * opened.
     */
    async applyRoutes(): Promise<void> {
        for (const open of this.scheduler.open) {
            this.applyTerms(open);
        }
        await this.openUndecided();
    }

    /** Opens the jobs about which enough is known by now. */
    async openUndecided(): Promise<void> {
        for (const waiting of [...this.undecided.values()]) {
            // The job may have ended while the ones before it were opened, and its end may be forgotten by now.
            if (this.undecided.get(waiting.job.id) === waiting) {
                await this.open(waiting.job, false);
            }
        }
    }

    private applyTerms(open: OpenJob): void {
        const fate = this.options.decideTerms(open.job, open.terms, this.clock.now());
        if (fate.kind === "undecided" || isDeepStrictEqual(fate.terms, open.terms)) {
            return;
        }
        open.terms = fate.terms;
        this.journal.log("job-terms-changed", {
            job: open.job.id,
            terms: fate.kind,
            config: fate.terms.configRevision,
            service: fate.terms.service,
            waiting: open.waiting.length,
        });
    }

    /** The jobs that have not ended, as far as is known here: those that are open, being opened, or wait for that. */
    get unended(): ReadonlySet<JobId> {
        return new Set([
            ...this.scheduler.open.map(({ job }) => job.id),
            ...this.opening,
            ...this.undecided.keys(),
            ...this.inherited.keys(),
        ].filter(job => !this.hasEnded(job)));
    }

    /** Records that every end of a job that the store held at `at` has been applied here. */
    recordEndsKnown(at: Instant): void {
        const isFirst = !this.areEndsKnown(this.clock.now());
        this.endsKnownUntil = at;
        if (isFirst) {
            void this.events.emit("endsKnown");
        }
    }

    /**
     * Whether the ends of jobs that the store held `maxUnknownEndMs` before `now` are known here, so that no task of a job
     * that ended before then is started.
     */
    areEndsKnown(now: Instant): boolean {
        return this.endsKnownUntil !== undefined
            && now - this.endsKnownUntil <= this.options.settings.maxUnknownEndMs;
    }

    /** Milliseconds since the time until which all ends of jobs in the store are known here; undefined before the first read. */
    endsAgeMs(now: Instant): number | undefined {
        return this.endsKnownUntil === undefined ? undefined : now - this.endsKnownUntil;
    }

    /** Until when tasks may be sent to engines, as far as is known now; undefined if they may not be. */
    get sendDeadline(): Instant | undefined {
        return sendDeadlineOf(
            { knownUntil: this.endsKnownUntil, lastOutageAt: this.jobs.lastOutageAt },
            this.options.settings.maxUnknownEndMs,
        );
    }

    /** Milliseconds since the store is known to have been unavailable to this host. */
    outageAgeMs(now: Instant): number | undefined {
        const { lastOutageAt } = this.jobs;
        return lastOutageAt === undefined ? undefined : now - lastOutageAt;
    }

    hasEnded(job: JobId): boolean {
        return this.ended.has(job) || this.endedUnopened.has(job);
    }

    /** Loads an ended job from the store into memory; false when the job has not ended or the store does not answer. */
    async loadEnded(id: JobId): Promise<boolean> {
        const stored = (await this.jobs.find(id)).toMaybe().extract();
        const chunks = stored?.kind === "ended" ? (await this.jobs.results(id)).toMaybe().extract() : undefined;
        if (stored?.kind !== "ended" || chunks === undefined || !this.isActive) {
            return false;
        }
        const log = new JobLog();
        chunks.forEach(chunk => log.adopt(chunk));
        const { total, organisation } = stored.ended;
        this.ended.set(id, { log, total, organisation, endedAt: this.clock.now() });
        return true;
    }

    has(job: JobId): boolean {
        return this.scheduler.get(job) !== undefined || this.hasEnded(job);
    }

    /** The organisation of a job that is open or ended here, if it has one. */
    ownerOf(job: JobId): OrganisationId | undefined {
        return this.logOf(job)?.organisation ?? this.endedUnopened.get(job)?.organisation;
    }

    /** The results of a job in memory. */
    logOf(job: JobId): KnownJobLog | undefined {
        const open = this.scheduler.get(job);
        return open === undefined
            ? this.ended.get(job)
            : { log: open.log, total: open.job.tasks.length, organisation: open.job.organisation };
    }

    /**
     * Ends a job; true once the store holds its end mark. No task of the job is chosen to start from this call on: if the mark
     * cannot be written now, the write is repeated, as the end counts as acknowledged some seconds after it was requested.
     */
    async end(id: JobId): Promise<boolean> {
        const open = this.scheduler.get(id);
        if (open === undefined) {
            return this.hasEnded(id);
        }
        const isRepeated = open.isEnding;
        open.isEnding = true;
        const hasEnded = await this.writeEnd(open);
        if (!hasEnded && !isRepeated) {
            void this.repeatEnd(open).catch((err: unknown) =>
                this.journal.log("unexpected-error", { loop: "end a job", detail: String(err) })
            );
        }
        return hasEnded;
    }

    private async writeEnd(open: OpenJob): Promise<boolean> {
        const { job, log } = open;
        // One more chunk may be on its way.
        const chunks = log.hasPending ? undefined : log.chunks.length;
        const res = await this.jobs.end(job.id, job.tasks.length, partsOf(job), job.organisation, chunks);
        if (res.isRight() && this.scheduler.get(job.id) === open) {
            this.close(job.id, job.organisation);
        }
        return res.isRight();
    }

    /** Repeats the write of an end mark until the job is closed here, by this write or by another host's. */
    private async repeatEnd(open: OpenJob): Promise<void> {
        while (this.scheduler.get(open.job.id) === open) {
            await sleepUntil(this.clock, after(this.clock.now(), endRetryDelayMs));
            if (this.scheduler.get(open.job.id) === open) {
                await this.writeEnd(open);
            }
        }
    }

    /**
     * Closes a job that the store holds as ended, and stops its runs; a job that is not open yet is not opened.
     * `organisation` is that of the end mark.
     */
    close(id: JobId, organisation?: OrganisationId): void {
        const open = this.scheduler.get(id);
        if (open === undefined) {
            this.undecided.delete(id);
            this.inherited.delete(id);
            if (!this.hasEnded(id)) {
                this.endedUnopened.set(id, { knownAt: this.clock.now(), organisation });
            }
            return;
        }
        const stopped = this.scheduler.remove(id);
        this.ended.set(id, {
            log: open.log,
            total: open.job.tasks.length,
            organisation: open.job.organisation,
            endedAt: this.clock.now(),
        });
        this.journal.log("job-ended", {
            job: id,
            listed: open.log.listed.length,
            tasks: open.job.tasks.length,
            stopped: stopped.length,
        });
        void this.events.emit("stopped", stopped);
        void this.events.emit("listed", id);
    }

    /** Adds a task's result and queues it for writing. */
    addResult(open: OpenJob, result: TaskResult): void {
        if (open.log.add(result)) {
            void this.writer.write(open);
        }
    }

    /** Drops ended jobs from memory after `endedJobTtlMs`; the end of a job that is still being opened is kept. */
    dropEndedFromMemory(): void {
        const now = this.clock.now();
        for (const [job, { endedAt }] of this.ended) {
            if (now - endedAt > endedJobTtlMs) {
                this.ended.delete(job);
            }
        }
        for (const [job, { knownAt }] of this.endedUnopened) {
            // Reading the results of a job may take any time, and a job whose end is forgotten meanwhile is opened.
            if (now - knownAt > endedJobTtlMs && !this.opening.has(job)) {
                this.endedUnopened.delete(job);
            }
        }
    }

    /** Adopts results that another host listed while this one did not hold the claim. */
    private async refresh(open: OpenJob): Promise<void> {
        const syncMark = open.log.markOutOfSync();
        const log = await this.readLog(open.job.id);
        log.chunks.forEach(chunk => open.log.adopt(chunk));
        // Writes under the previous claim cannot take effect, because their fencing token is outdated.
        open.log.markInSync(syncMark);
        void this.events.emit("stopped", this.scheduler.dropFinished(open));
        void this.writer.write(open);
        void this.events.emit("listed", open.job.id);
    }

    /** Reads the listed results of a job; incomplete when the term ends before the store answers. */
    private async readLog(job: JobId): Promise<JobLog> {
        const log = new JobLog();
        const { opening } = this;
        while (this.isActive && opening === this.opening) {
            const chunks = (await this.jobs.results(job)).toMaybe().extract();
            if (chunks !== undefined) {
                chunks.forEach(chunk => log.adopt(chunk));
                return log;
            }
            await sleepUntil(this.clock, after(this.clock.now(), readRetryDelayMs));
        }
        return log;
    }
}
