/**
 * The job calls of one host that the conductor does not answer for certain: they are answered from the store, which holds
 * the organisation of each open and ended job.
 */

import {
    after,
    type Clock,
    type JobId,
    type JobUnknown,
    mayAccessJob,
    type OrganisationId,
    pageOf,
    type Problem,
    problem,
    type ResultPage,
    type TaskId,
    type TaskResult,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type JobStore, partsOf, type StoredJob } from "./JobStore.js";
import { type Journal } from "./Journal.js";

/** Milliseconds that the store has to answer a read that the conductor could not answer for certain. */
const storeReadTimeoutMs = 1500;

/** The answer about a job that does not exist. */
export const unknownJob: JobUnknown = { unknown: true };

/** The answer about a job that another organisation submitted. */
export const ownedJob: JobUnknown = { unknown: true, isOwned: true };

/** Answers job calls from the store. A problem means that the store did not answer. */
export class StoredJobCalls {
    constructor(
        private readonly options: { readonly maxPageBytes: number; },
        private readonly jobs: JobStore,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {}

    async read(
        job: JobId,
        position: number,
        organisation: OrganisationId | undefined,
    ): Promise<Either<Problem, ResultPage | JobUnknown>> {
        const deadline = after(this.clock.now(), storeReadTimeoutMs);
        const found = await this.jobs.find(job);
        const chunks = found.isLeft() || this.clock.now() > deadline ? undefined : await this.jobs.results(job);
        return found.bimap(failure => this.unsure(job, failure.detail), stored => stored).chain(stored => {
            if (stored.kind === "absent") {
                return Right(unknownJob);
            }
            if (!mayAccessJob(ownerOf(stored), organisation)) {
                return Right(ownedJob);
            }
            const total = stored.kind === "open" ? stored.job.tasks.length : stored.ended.total;
            return chunks === undefined
                ? Left(this.unsure(job, "The store answers too slowly."))
                : chunks.bimap(failure => this.unsure(job, failure.detail), known => {
                    const listed: TaskResult[] = known.flatMap(chunk => [...chunk.results]);
                    return { total, results: pageOf(listed, position, this.options.maxPageBytes) };
                });
        });
    }

    async body(
        job: JobId,
        task: TaskId,
        organisation: OrganisationId | undefined,
    ): Promise<Either<Problem, { readonly body: Uint8Array; } | JobUnknown>> {
        const found = await this.jobs.find(job);
        return found.bimap(failure => problem("unavailable", failure.detail), stored => {
            if (!mayAccessJob(ownerOf(stored), organisation)) {
                return ownedJob;
            }
            const known = stored.kind === "open" ? stored.job.tasks.find(({ id }) => id === task) : undefined;
            return known === undefined ? unknownJob : { body: known.body };
        });
    }

    async end(
        job: JobId,
        organisation: OrganisationId | undefined,
    ): Promise<Either<Problem, { readonly ended: true; } | JobUnknown>> {
        const found = await this.jobs.find(job);
        const stored = found.toMaybe().extract();
        if (stored === undefined) {
            return Left(problem("unavailable", "The store cannot be asked."));
        }
        if (stored.kind === "absent") {
            return Right(unknownJob);
        }
        if (!mayAccessJob(ownerOf(stored), organisation)) {
            return Right(ownedJob);
        }
        if (stored.kind === "ended") {
            return Right({ ended: true });
        }
        const { job: open } = stored;
        const res = await this.jobs.end(job, open.tasks.length, partsOf(open), open.organisation);
        return res.bimap(failure => problem("unavailable", failure.detail), () => ({ ended: true }));
    }

    private unsure(job: JobId, detail: string): Problem {
        this.journal.log("read-answered", { job, outcome: "unsure", detail });
        return problem("unavailable", detail);
    }
}

function ownerOf(stored: StoredJob): OrganisationId | undefined {
    return stored.kind === "open"
        ? stored.job.organisation
        : stored.kind === "ended"
        ? stored.ended.organisation
        : undefined;
}
