/**
 * The job calls of one host: submit, read, body and end. They go to the conductor, which has the jobs in memory; when
 * it cannot be reached or cannot be sure, the store settles them. A refusal is only given when no write can have taken
 * effect, and "no such job" only when the store says so.
 */

import {
    after,
    type Clock,
    type ConductorPage,
    type HostId,
    type Instant,
    type Job,
    type JobAcceptance,
    type JobId,
    type JobUnknown,
    msUntil,
    pageOf,
    type PeerNetwork,
    type PeerRequestName,
    type PeerRequests,
    type Problem,
    problem,
    type ResultPage,
    sleepUntil,
    type TaskId,
    type TaskResult,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type ConductorTask } from "./ConductorTask.js";
import { type JobBook } from "./JobBook.js";
import { type JobStore, partsOf } from "./JobStore.js";
import { type Journal } from "./Journal.js";

/** What the desk needs. */
export interface JobDeskOptions {
    readonly self: HostId;
    /** Bytes of a page of results. */
    readonly pageBytes: number;
    /** True while callers are better served by another host. */
    readonly isCutOff: () => boolean;
}

/** Milliseconds that the conductor has for an answer beyond what it may wait. */
const peerSlackMs = 900;

/** Milliseconds for which a submission is tried at the conductor before the store is asked directly. */
const submitAtConductorMs = 1500;

/** Milliseconds that the store has to settle a read that the conductor could not. */
const storeReadMs = 1500;

/** Milliseconds between the end of a submission's tries and its caller's deadline, for the way back. */
const returnMs = 150;

const unknownJob: JobUnknown = { unknown: true };

/** Answers job calls at one host. */
export class JobDesk {
    constructor(
        private readonly options: JobDeskOptions,
        private readonly conductor: ConductorTask,
        private readonly book: JobBook,
        private readonly jobs: JobStore,
        private readonly peers: PeerNetwork,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        peers.handle("job-submit", async ({ job, deadlineMs }) =>
            this.conductor.isSure
                ? Right(await this.keep(job, after(this.clock.now(), deadlineMs)))
                : Left(notConductor));
        peers.handle("job-read", ask => this.readHere(ask.job, ask.after, ask.waitMs));
        peers.handle("job-body", async ask => this.bodyHere(ask.job, ask.task));
        peers.handle("job-end", ask => this.endHere(ask.job));
    }

    /** Keeps a job, trying until `deadline`. */
    async submit(job: Job, deadline: Instant): Promise<JobAcceptance> {
        const until = after(deadline, -returnMs);
        const { acceptance, route } = await this.submitAnywhere(job, until);
        const event = { kept: "job-kept", "not-kept": "job-refused", unknown: "job-unsure" } as const;
        this.journal.log(event[acceptance.outcome], {
            job: job.id,
            step: job.step,
            tasks: job.tasks.length,
            via: route,
            ms: Date.now() - job.submittedAt,
        });
        return acceptance;
    }

    /** The results from `position` on, waiting up to `waitMs` for one. */
    async read(job: JobId, position: number, waitMs: number): Promise<Either<Problem, ResultPage | JobUnknown>> {
        const res = this.conductor.isConductor
            ? await this.readHere(job, position, waitMs)
            : await this.askConductor("job-read", { job, after: position, waitMs }, waitMs + peerSlackMs);
        const page = res.toMaybe().extract();
        if (page?.isSure === true) {
            return Right(page);
        }
        const stored = await this.readStored(job, position);
        // What the conductor has listed stays listed, so it is still an answer when the store cannot be asked.
        return page !== undefined && stored.isLeft() ? Right(page) : stored;
    }

    async body(job: JobId, task: TaskId): Promise<Either<Problem, { readonly body: Uint8Array; } | JobUnknown>> {
        const res = this.conductor.isConductor
            ? this.bodyHere(job, task)
            : await this.askConductor("job-body", { job, task }, peerSlackMs);
        if (res.isRight()) {
            return res;
        }
        const found = await this.jobs.find(job);
        return found.bimap(failure => problem("unavailable", failure.detail), stored => {
            const known = stored.kind === "open" ? stored.job.tasks.find(({ id }) => id === task) : undefined;
            return known === undefined ? unknownJob : { body: known.body };
        });
    }

    async end(job: JobId): Promise<Either<Problem, { readonly ended: true; } | JobUnknown>> {
        const res = this.conductor.isConductor
            ? await this.endHere(job)
            : await this.askConductor("job-end", { job }, peerSlackMs);
        return res.isRight() ? res : this.endStored(job);
    }

    private async submitAnywhere(job: Job, until: Instant): Promise<{ acceptance: JobAcceptance; route: string; }> {
        if (this.conductor.isSure) {
            return { acceptance: await this.keep(job, until), route: "self" };
        }
        let mayBeKept = false;
        if (this.conductor.conductor !== undefined) {
            const ms = Math.min(submitAtConductorMs, msUntil(until, this.clock.now()));
            const host = this.conductor.conductor;
            const res = await this.peers.ask(
                host,
                "job-submit",
                { job, deadlineMs: ms },
                after(this.clock.now(), ms + 200),
            );
            const answer = res.toMaybe().chain(inner => inner.toMaybe()).extract();
            if (answer?.outcome === "kept") {
                return { acceptance: answer, route: host };
            }
            mayBeKept = answer?.outcome === "unknown" || res.isLeft() && res.extract().reason === "no-answer";
        }
        const outcome = await this.jobs.keep(job, until, this.options.isCutOff);
        const isUnsure = outcome === "not-kept" && mayBeKept;
        return { acceptance: { outcome: isUnsure ? "unknown" : outcome }, route: "store" };
    }

    /** Stores a job and opens it here, at the conductor. */
    private async keep(job: Job, until: Instant): Promise<JobAcceptance> {
        if (this.book.knows(job.id)) {
            return { outcome: "kept" };
        }
        const outcome = await this.jobs.keep(job, until, () => !this.conductor.isConductor);
        if (outcome === "kept") {
            await this.book.openKept(job);
        }
        return { outcome };
    }

    private async readHere(
        job: JobId,
        position: number,
        waitMs: number,
    ): Promise<Either<Problem, ConductorPage>> {
        const deadline = after(this.clock.now(), waitMs);
        for (;;) {
            const known = this.conductor.isConductor ? this.book.logOf(job) : undefined;
            if (known === undefined) {
                if (this.conductor.isSure && await this.book.recall(job)) {
                    continue;
                }
                return Left(notConductor);
            }
            const { log, total } = known;
            const isWhole = log.listed.length >= total || this.book.hasEnded(job);
            const isSure = this.conductor.isSure && log.isInSync;
            if (log.listed.length > position || isWhole || !isSure || this.clock.now() >= deadline) {
                return Right({ total, results: pageOf(log.listed, position, this.options.pageBytes), isSure });
            }
            await this.nextListing(job, deadline);
        }
    }

    private bodyHere(job: JobId, task: TaskId): Either<Problem, { readonly body: Uint8Array; } | JobUnknown> {
        const open = this.conductor.isConductor ? this.book.board.get(job) : undefined;
        const known = open?.job.tasks.find(({ id }) => id === task);
        if (known === undefined && this.conductor.isSure && this.book.hasEnded(job)) {
            return Right(unknownJob);
        }
        return known === undefined ? Left(notConductor) : Right({ body: known.body });
    }

    private async endHere(job: JobId): Promise<Either<Problem, { readonly ended: true; } | JobUnknown>> {
        const hasEnded = this.conductor.isSure && await this.book.end(job);
        return hasEnded ? Right({ ended: true }) : Left(notConductor);
    }

    private async readStored(job: JobId, position: number): Promise<Either<Problem, ResultPage | JobUnknown>> {
        const deadline = after(this.clock.now(), storeReadMs);
        const found = await this.jobs.find(job);
        const chunks = found.isLeft() || this.clock.now() > deadline ? undefined : await this.jobs.results(job);
        return found.bimap(failure => this.unsure(job, failure.detail), stored => stored).chain(stored => {
            if (stored.kind === "absent") {
                return Right(unknownJob);
            }
            const total = stored.kind === "open" ? stored.job.tasks.length : stored.ended.total;
            return chunks === undefined
                ? Left(this.unsure(job, "The store answers too slowly."))
                : chunks.bimap(failure => this.unsure(job, failure.detail), known => {
                    const listed: TaskResult[] = known.flatMap(chunk => [...chunk.results]);
                    return { total, results: pageOf(listed, position, this.options.pageBytes) };
                });
        });
    }

    private async endStored(job: JobId): Promise<Either<Problem, { readonly ended: true; } | JobUnknown>> {
        const found = await this.jobs.find(job);
        const stored = found.toMaybe().extract();
        if (stored === undefined) {
            return Left(problem("unavailable", "The store cannot be asked."));
        }
        if (stored.kind !== "open") {
            return Right(stored.kind === "ended" ? { ended: true } : unknownJob);
        }
        const res = await this.jobs.end(job, stored.job.tasks.length, partsOf(stored.job));
        return res.bimap(failure => problem("unavailable", failure.detail), () => ({ ended: true }));
    }

    private unsure(job: JobId, detail: string): Problem {
        this.journal.log("read-answered", { job, outcome: "unsure", detail });
        return problem("unavailable", detail);
    }

    private async askConductor<Name extends PeerRequestName>(
        name: Name,
        ask: PeerRequests[Name]["ask"],
        ms: number,
    ): Promise<Either<Problem, PeerRequests[Name]["answer"]>> {
        const host = this.conductor.conductor;
        if (host === undefined) {
            return Left(notConductor);
        }
        const res = await this.peers.ask(host, name, ask, after(this.clock.now(), ms));
        return res.mapLeft(failure => problem("unavailable", failure.detail)).join();
    }

    private async nextListing(job: JobId, deadline: Instant): Promise<void> {
        const done = new AbortController();
        const off = this.book.events.on("listed", listed => {
            if (listed === job) {
                done.abort();
            }
        });
        await sleepUntil(this.clock, deadline, done.signal);
        off();
    }
}

const notConductor = problem("unavailable", "This host does not conduct the job.");
