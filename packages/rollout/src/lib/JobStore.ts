/**
 * Jobs in the store. A job is one conditional write; each chunk of its results is another one under a key that must not
 * exist; its end removes the job's document and leaves an end mark with the number of tasks. Every write is idempotent:
 * it can be repeated with the same content, so a lost answer, or a write that takes effect late, does no harm.
 */

import {
    type Clock,
    type CommitResult,
    type Instant,
    type Job,
    type JobId,
    jobKeys,
    type KeyRevision,
    type KeyValueFailure,
    mayAccessJob,
    type OrganisationId,
    type ResultChunk,
    sleepUntil,
    type StoredItem,
    type TransactionalStore,
} from "@tamarackpath/core";
import { pack, unpack } from "msgpackr";
import { type Either, Left, Right } from "purify-ts";

/** The end mark of a job; `endedAt` is in Unix milliseconds. */
export interface EndedJob {
    readonly total: number;
    readonly endedAt: number;
    /** Number of the chunks of its results; undefined if the writer did not know it, or in a mark of earlier software. */
    readonly chunks?: number | undefined;
    /** The organisation that submitted the job; undefined if it had none, or in a mark of earlier software. */
    readonly organisation?: OrganisationId | undefined;
}

/** A job as the store holds it. */
export type StoredJob =
    | { readonly kind: "open"; readonly job: Job; }
    | { readonly kind: "ended"; readonly ended: EndedJob; }
    | { readonly kind: "absent"; };

/**
 * How the storing of a job ended: "ended" means that the job was stored before and has ended, "kept-open-to-all" that it
 * was stored before without an organisation, which it keeps, "other-owner" that another organisation submitted it, and
 * "unknown" that it may be stored, now or later.
 */
export type StoreOutcome = "kept" | "kept-open-to-all" | "ended" | "other-owner" | "not-kept" | "unknown";

/**
 * Why results could not be written; `claim` holds the current item of the claim's key when another host has the claim.
 */
export interface AppendFailure extends KeyValueFailure {
    readonly claim: { readonly item: StoredItem | undefined; } | undefined;
}

/** Upper limit of a document's part in bytes, below the store's 1 MiB limit of a value after base64. */
const maxPartBytes = 700_000;

/** Milliseconds between retries of a write that failed. */
const retryDelayMs = 150;

const absent = 0 as KeyRevision;

/** Reads and writes jobs and their results. */
export class JobStore {
    constructor(private readonly store: TransactionalStore, private readonly clock: Clock) {}

    /** The latest time at which the store is known to have been unavailable to this host. */
    get lastOutageAt(): Instant | undefined {
        return this.store.lastOutageAt;
    }

    /** Stores a job, retrying until `deadline` or until `shouldGiveUp` returns true. */
    async keep(job: Job, deadline: Instant, shouldGiveUp: () => boolean): Promise<StoreOutcome> {
        const puts = documentsOf(job);
        let mayBeKept = false;
        for (;;) {
            const res = await this.store.commit(
                {
                    expected: [{ key: jobKeys.open(job.id), revision: absent }, {
                        key: jobKeys.ended(job.id),
                        revision: absent,
                    }],
                    puts,
                    removes: [],
                },
                "jobs",
            );
            const settled = res.caseOf<StoreOutcome | undefined>({
                Right: result => outcomeOf(result, job),
                Left: failure => {
                    mayBeKept ||= failure.applied === "unknown";
                    return undefined;
                },
            });
            if (settled !== undefined) {
                return settled;
            }
            if (this.clock.now() + retryDelayMs >= deadline || shouldGiveUp()) {
                return mayBeKept ? "unknown" : "not-kept";
            }
            await sleepUntil(this.clock, (this.clock.now() + retryDelayMs) as Instant);
        }
    }

    /** Ends a job, whose end mark keeps its organisation and number of `chunks`; Left when it may not have ended. */
    async end(
        job: JobId,
        total: number,
        parts: number,
        organisation?: OrganisationId,
        chunks?: number,
    ): Promise<Either<KeyValueFailure, CommitResult>> {
        const mark: EndedJob = {
            total,
            endedAt: Date.now(),
            ...(organisation === undefined ? {} : { organisation }),
            ...(chunks === undefined ? {} : { chunks }),
        };
        return this.store.commit(
            {
                expected: [],
                puts: [{ key: jobKeys.ended(job), value: pack(mark) }],
                removes: [
                    jobKeys.open(job),
                    ...Array.from({ length: parts }, (unused, nth) => jobKeys.openPart(job, nth)),
                ],
            },
            "jobs",
        );
    }

    async find(job: JobId): Promise<Either<KeyValueFailure, StoredJob>> {
        const open = await this.store.get(jobKeys.open(job), "jobs");
        const item = open.toMaybe().extract();
        if (item !== undefined) {
            const read = await this.readOpen(item);
            const known = read.toMaybe().extract();
            if (known !== undefined) {
                return Right({ kind: "open", job: known });
            }
            if (read.isLeft()) {
                return read.map(() => ({ kind: "absent" }));
            }
            // Parts are missing: the job has ended since its head was read.
        }
        if (open.isLeft()) {
            return open.map(() => ({ kind: "absent" }));
        }
        const ended = await this.store.get(jobKeys.ended(job), "jobs");
        return ended.map(mark =>
            mark === undefined ? { kind: "absent" } : { kind: "ended", ended: unpack(mark.value) as EndedJob }
        );
    }

    /**
     * Decodes the job of the document `item` and reads its further parts from the store; undefined when parts are
     * missing.
     */
    async readOpen(item: StoredItem): Promise<Either<KeyValueFailure, Job | undefined>> {
        const head = unpack(item.value) as JobDocument;
        if (head.parts === 0) {
            return Right(head.job);
        }
        const parts = await this.store.range(jobKeys.partsPrefix(head.id), "jobs");
        return parts.map(({ items }) => {
            const isComplete = items.length === head.parts;
            return isComplete ? unpack(Buffer.concat(items.map(part => part.value))) as Job : undefined;
        });
    }

    /** Reads every listed result of a job, in chunks. */
    async results(job: JobId): Promise<Either<KeyValueFailure, readonly ResultChunk[]>> {
        const range = await this.store.range(jobKeys.resultsPrefix(job), "results");
        return range.map(({ items }) => items.map(decodeChunk));
    }

    /**
     * Writes a chunk with the fencing token `fence` of the claim, so that a host that lost the claim cannot list
     * results. Right holds the chunk that is stored under the chunk's number: `chunk` itself when this call wrote it.
     */
    async append(job: JobId, chunk: ResultChunk, fence: KeyRevision): Promise<Either<AppendFailure, ResultChunk>> {
        const key = jobKeys.chunk(job, chunk.number);
        const value = pack(chunk);
        const res = await this.store.commit(
            {
                expected: [{ key, revision: absent }, { key: jobKeys.claim, revision: fence }],
                puts: [{ key, value }],
                removes: [],
            },
            "results",
        );
        return res.mapLeft<AppendFailure>(failure => ({ ...failure, claim: undefined })).chain(result => {
            if (result.kind === "committed") {
                return Right(chunk);
            }
            const current = result.kind === "conflict" ? result.current : [];
            const stored = current.find(item => item.key === key);
            return stored === undefined
                ? Left({
                    applied: "no",
                    detail: "This host does not hold the claim.",
                    claim: { item: current.find(item => item.key === jobKeys.claim) },
                })
                : Right(decodeChunk(stored));
        });
    }

    /** Removes the results and the end marks of ended jobs, each mark last, as it leads to what is left after a failure. */
    async removeEnded(jobs: readonly { readonly job: JobId; readonly chunks: number; }[]): Promise<void> {
        const removes = jobs.flatMap(({ job, chunks }) => [
            ...Array.from({ length: chunks }, (unused, nth) => jobKeys.chunk(job, nth)),
            jobKeys.ended(job),
        ]);
        for (let nth = 0; nth < removes.length; nth += maxKeysPerCommit) {
            const res = await this.store.commit(
                { expected: [], puts: [], removes: removes.slice(nth, nth + maxKeysPerCommit) },
                "results",
            );
            if (res.isLeft()) {
                return;
            }
        }
    }
}

/** Upper limit of the keys in one commit of the store. */
const maxKeysPerCommit = 30;

interface JobDocument {
    readonly id: JobId;
    /** Number of further parts; with 0 the document itself contains the job. */
    readonly parts: number;
    /** Undefined if the job is in further parts. */
    readonly job?: Job;
    /** The job's organisation, if the job is in further parts. */
    readonly organisation?: OrganisationId | undefined;
}

function documentsOf(job: Job): { key: string; value: Uint8Array; }[] {
    const packed = pack(job);
    if (packed.length <= maxPartBytes) {
        const document: JobDocument = { id: job.id, parts: 0, job };
        return [{ key: jobKeys.open(job.id), value: pack(document) }];
    }
    const parts = Array.from(
        { length: Math.ceil(packed.length / maxPartBytes) },
        (unused, nth) => ({
            key: jobKeys.openPart(job.id, nth),
            value: packed.subarray(nth * maxPartBytes, (nth + 1) * maxPartBytes),
        }),
    );
    const { id, organisation } = job;
    const head: JobDocument = { id, parts: parts.length, ...(organisation === undefined ? {} : { organisation }) };
    return [{ key: jobKeys.open(id), value: pack(head) }, ...parts];
}

/** Number of parts of a job's document besides its head. */
export function partsOf(job: Job): number {
    return documentsOf(job).length - 1;
}

/** What the result of a job's write says: a conflict shows the job that an earlier write stored. */
function outcomeOf(result: CommitResult, { id, organisation }: Job): StoreOutcome {
    const current = result.kind === "conflict" ? result.current : [];
    const ended = current.find(({ key }) => key === jobKeys.ended(id));
    const open = current.find(({ key }) => key === jobKeys.open(id));
    const owner = ended !== undefined
        ? (unpack(ended.value) as EndedJob).organisation
        : open !== undefined
        ? ownerOf(unpack(open.value) as JobDocument)
        : organisation;
    if (!mayAccessJob(owner, organisation)) {
        return "other-owner";
    }
    return ended !== undefined ? "ended" : owner === organisation ? "kept" : "kept-open-to-all";
}

function ownerOf({ job, organisation }: JobDocument): OrganisationId | undefined {
    return job?.organisation ?? organisation;
}

function decodeChunk(item: StoredItem): ResultChunk {
    return unpack(item.value) as ResultChunk;
}
