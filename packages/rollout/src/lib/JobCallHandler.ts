/**
 * The job calls of one host: submit, read, body and end. They are sent to the conductor, which has the jobs in memory.
 * When the conductor cannot be reached or its claim may have lapsed, the store decides. A submission is refused only
 * when no write can have taken effect, and a job is reported as unknown only when the store does not hold it or another
 * organisation submitted it.
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
    type JobRequestName,
    type JobSubmission,
    type JobTerms,
    type JobUnknown,
    mayAccessJob,
    msUntil,
    type OrganisationId,
    pageOf,
    type PeerNetwork,
    type PeerRequests,
    type Problem,
    problem,
    type ResultPage,
    sleepUntil,
    type TaskId,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type ConductorCallOptions, ConductorCalls } from "./ConductorCalls.js";
import { type ConductorTask } from "./ConductorTask.js";
import { type JobRegistry } from "./JobRegistry.js";
import { type JobStore, type StoreOutcome } from "./JobStore.js";
import { type Journal } from "./Journal.js";
import { ownedJob, StoredJobCalls, unknownJob } from "./StoredJobCalls.js";

/** Options of a job call handler. */
export interface JobCallOptions extends ConductorCallOptions {
    readonly self: HostId;
    /** Upper limit of a page of results, in bytes. */
    readonly maxPageBytes: number;
    /** The terms of a job by the configuration in force here; undefined without a route for it. */
    readonly termsOf: (job: Job) => JobTerms | undefined;
}

/** Milliseconds that the conductor has for an answer in addition to the wait that the call allows. */
const peerAnswerMarginMs = 900;

/** Milliseconds for which a submission waits for the conductor before it goes to the store directly. */
const conductorSubmitTimeoutMs = 1500;

/**
 * Milliseconds before the caller's deadline at which a submission stops retrying, so that the answer arrives in time.
 */
const submitAnswerMarginMs = 150;

/** Answers job calls at one host. */
export class JobCallHandler {
    private readonly stored: StoredJobCalls;
    private readonly calls: ConductorCalls;

    constructor(
        private readonly options: JobCallOptions,
        private readonly conductor: ConductorTask,
        private readonly registry: JobRegistry,
        private readonly jobs: JobStore,
        peers: PeerNetwork,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        this.calls = new ConductorCalls(options, conductor, peers, clock, journal);
        this.stored = new StoredJobCalls(options, jobs, clock, journal);
        peers.handle("job-keep", submission => this.keepForPeer(submission));
        peers.handle("job-submit", async submission =>
            (await this.keepForPeer(submission)).map(({ outcome }) => ({
                outcome: outcome === "ended" ? "kept" : outcome === "other-owner" ? "not-kept" : outcome,
            })));
        peers.handle("job-read", ask => this.readLocally(ask.job, ask.after, ask.waitMs, ask.organisation));
        peers.handle("job-body", async ask => this.bodyLocally(ask.job, ask.task, ask.organisation));
        peers.handle("job-end", ask => this.endLocally(ask.job, ask.organisation));
    }

    /** Stores a job, retrying until shortly before `deadline`; "unknown" means that it may be stored. */
    async submit(submitted: Job, deadline: Instant): Promise<JobAcceptance> {
        const job = this.withTerms(submitted);
        const retryUntil = after(deadline, -submitAnswerMarginMs);
        const { acceptance, route } = await this.submitToConductorOrStore(job, retryUntil);
        const event = {
            "kept": "job-kept",
            "ended": "job-ended-before",
            "not-kept": "job-refused",
            "other-owner": "job-of-other-owner",
            "unknown": "job-unsure",
        } as const;
        this.journal.log(event[acceptance.outcome], {
            job: job.id,
            step: job.step,
            tasks: job.tasks.length,
            via: route,
            ms: Date.now() - job.submittedAt,
        });
        return acceptance;
    }

    /** Returns the results from `position` on, waiting up to `waitMs` for the first one. */
    async read(
        job: JobId,
        position: number,
        waitMs: number,
        organisation?: OrganisationId,
    ): Promise<Either<Problem, ResultPage | JobUnknown>> {
        const res = this.conductor.isConductor
            ? await this.readLocally(job, position, waitMs, organisation)
            : await this.requestFromConductor(
                "job-read",
                { job, after: position, waitMs, organisation },
                waitMs + peerAnswerMarginMs,
            );
        const answer = res.toMaybe().extract();
        const page = answer === undefined || "unknown" in answer ? answer : this.limitPage(answer);
        if (page !== undefined && ("unknown" in page || page.isSure)) {
            return Right(page);
        }
        const stored = await this.stored.read(job, position, organisation);
        // Listed results never change, so the conductor's page is a valid answer when the store does not answer.
        return page !== undefined && stored.isLeft() ? Right(page) : stored;
    }

    async body(
        job: JobId,
        task: TaskId,
        organisation?: OrganisationId,
    ): Promise<Either<Problem, { readonly body: Uint8Array; } | JobUnknown>> {
        const res = this.conductor.isConductor
            ? this.bodyLocally(job, task, organisation)
            : await this.requestFromConductor("job-body", { job, task, organisation }, peerAnswerMarginMs);
        return res.isRight() ? res : this.stored.body(job, task, organisation);
    }

    async end(
        job: JobId,
        organisation?: OrganisationId,
    ): Promise<Either<Problem, { readonly ended: true; } | JobUnknown>> {
        const res = this.conductor.isConductor
            ? await this.endLocally(job, organisation)
            : await this.requestFromConductor("job-end", { job, organisation }, peerAnswerMarginMs);
        const end = res.isRight() ? res : await this.stored.end(job, organisation);
        // This host may still run the job: it conducts without being certain, or lost the claim and knows no successor.
        const hasEnded = end.map(answer => "ended" in answer).orDefault(false);
        if (hasEnded && this.registry.scheduler.get(job) !== undefined) {
            this.registry.close(job);
        }
        return end;
    }

    private async submitToConductorOrStore(
        job: Job,
        deadline: Instant,
    ): Promise<{ acceptance: JobAcceptance; route: string; }> {
        if (this.conductor.isSure) {
            return { acceptance: await this.storeAndOpen(job, deadline), route: "self" };
        }
        let mayBeKept = false;
        const ms = Math.min(conductorSubmitTimeoutMs, msUntil(deadline, this.clock.now()));
        const end = await this.calls.ask("job-keep", { job, deadlineMs: ms }, ms + 200);
        if (end.kind === "answered") {
            const { outcome } = end.answer;
            if (outcome === "kept" || outcome === "ended" || outcome === "other-owner") {
                return { acceptance: end.answer, route: this.conductor.conductor ?? "relay" };
            }
            mayBeKept = outcome === "unknown";
        }
        mayBeKept ||= end.kind === "no-answer";
        const outcome = await this.jobs.keep(job, deadline, this.options.isCutOff);
        const isUnsure = outcome === "not-kept" && mayBeKept;
        return { acceptance: { outcome: isUnsure ? "unknown" : acceptedAs(outcome) }, route: "store" };
    }

    private async keepForPeer({ job, deadlineMs }: JobSubmission): Promise<Either<Problem, JobAcceptance>> {
        return this.conductor.isSure
            ? Right(await this.storeAndOpen(job, after(this.clock.now(), deadlineMs)))
            : Left(notConductor);
    }

    /** Adds the terms on which a job is accepted, unless the host that its caller submitted it to has added them. */
    private withTerms(job: Job): Job {
        const acceptedTerms = job.acceptedTerms ?? this.options.termsOf(job);
        return acceptedTerms === undefined ? job : { ...job, acceptedTerms };
    }

    /** Stores a job and opens it on this host, which is the conductor, unless the job has ended. */
    private async storeAndOpen(submitted: Job, deadline: Instant): Promise<JobAcceptance> {
        // A host of earlier software sends a job without its terms.
        const job = this.withTerms(submitted);
        if (this.registry.has(job.id) && !this.isOpenTo(job.id, job.organisation)) {
            return { outcome: "other-owner" };
        }
        if (this.registry.hasEnded(job.id)) {
            return { outcome: "ended" };
        }
        if (this.registry.has(job.id)) {
            return { outcome: "kept" };
        }
        const outcome = await this.jobs.keep(job, deadline, () => !this.conductor.isConductor);
        if (outcome === "kept" || outcome === "kept-open-to-all") {
            await this.registry.openStored(outcome === "kept" ? job : { ...job, organisation: undefined });
        }
        return { outcome: acceptedAs(outcome) };
    }

    /** Whether a caller of `organisation` may read or end a job that is open or ended in memory. */
    private isOpenTo(job: JobId, organisation: OrganisationId | undefined): boolean {
        return mayAccessJob(this.registry.ownerOf(job), organisation);
    }

    /** A conductor with earlier software counts the size of a page in characters, so it may send a larger one. */
    private limitPage(page: ConductorPage): ConductorPage {
        return { ...page, results: pageOf(page.results, 0, this.options.maxPageBytes) };
    }

    /**
     * The answer about a job of another organisation, for certain only while this host is certain to conduct. A host of
     * earlier software names no organisation and takes this answer for final although its caller may own the job, so a host
     * that names none reads the store.
     */
    private deny(organisation: OrganisationId | undefined): Either<Problem, JobUnknown> {
        return organisation !== undefined && this.conductor.isSure ? Right(ownedJob) : Left(notConductor);
    }

    private async readLocally(
        job: JobId,
        position: number,
        waitMs: number,
        organisation: OrganisationId | undefined,
    ): Promise<Either<Problem, ConductorPage | JobUnknown>> {
        const deadline = after(this.clock.now(), waitMs);
        for (;;) {
            const known = this.conductor.isConductor ? this.registry.logOf(job) : undefined;
            if (known === undefined) {
                if (this.conductor.isSure && await this.registry.loadEnded(job)) {
                    continue;
                }
                return Left(notConductor);
            }
            if (!mayAccessJob(known.organisation, organisation)) {
                return this.deny(organisation);
            }
            const { log, total } = known;
            const isWhole = log.listed.length >= total || this.registry.hasEnded(job);
            const isSure = this.conductor.isSure && log.isInSync;
            if (log.listed.length > position || isWhole || !isSure || this.clock.now() >= deadline) {
                return Right({ total, results: pageOf(log.listed, position, this.options.maxPageBytes), isSure });
            }
            await this.waitForListing(job, deadline);
        }
    }

    private bodyLocally(
        job: JobId,
        task: TaskId,
        organisation: OrganisationId | undefined,
    ): Either<Problem, { readonly body: Uint8Array; } | JobUnknown> {
        const open = this.conductor.isConductor ? this.registry.scheduler.get(job) : undefined;
        if (!mayAccessJob(open?.job.organisation, organisation)) {
            return this.deny(organisation);
        }
        const known = open?.job.tasks.find(({ id }) => id === task);
        if (known === undefined && this.conductor.isSure && this.registry.hasEnded(job)) {
            return Right(unknownJob);
        }
        return known === undefined ? Left(notConductor) : Right({ body: known.body });
    }

    private async endLocally(
        job: JobId,
        organisation: OrganisationId | undefined,
    ): Promise<Either<Problem, { readonly ended: true; } | JobUnknown>> {
        if (!this.isOpenTo(job, organisation)) {
            return this.deny(organisation);
        }
        if (!this.conductor.isSure) {
            // The store decides, but this host may still run the job's tasks.
            void this.registry.end(job);
            return Left(notConductor);
        }
        return await this.registry.end(job) ? Right({ ended: true }) : Left(notConductor);
    }

    private async requestFromConductor<Name extends JobRequestName>(
        name: Name,
        ask: PeerRequests[Name]["ask"],
        ms: number,
    ): Promise<Either<Problem, PeerRequests[Name]["answer"]>> {
        const end = await this.calls.ask(name, ask, ms);
        return end.kind === "answered" ? Right(end.answer) : Left(problem("unavailable", end.detail));
    }

    private async waitForListing(job: JobId, deadline: Instant): Promise<void> {
        const done = new AbortController();
        const off = this.registry.events.on("listed", listed => {
            if (listed === job) {
                done.abort();
            }
        });
        await sleepUntil(this.clock, deadline, done.signal);
        off();
    }
}

function acceptedAs(outcome: StoreOutcome): JobAcceptance["outcome"] {
    return outcome === "kept-open-to-all" ? "kept" : outcome;
}

const notConductor = problem("unavailable", "This host does not conduct the job.");
