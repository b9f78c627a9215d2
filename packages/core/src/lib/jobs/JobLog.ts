/**
 * The results of a job in the order in which callers list them. Results are written in chunks, each under a key of its
 * own that must not exist yet, so two writers cannot fill the same position. A chunk is listed only once its write is
 * acknowledged. While a write's outcome is unknown its content stays the same, so that a write that takes effect late
 * does no harm.
 */

import { type TaskId } from "../ids.js";
import { type TaskResult } from "./Job.js";
import { pageBytesOf, storedBytesOf } from "./resultSize.js";

/** Consecutive results that are written under one key. */
export interface ResultChunk {
    readonly number: number;
    readonly results: readonly TaskResult[];
}

/** Upper limit of a chunk in bytes; in base64 it stays below the store's limit of 1 MiB for a value. */
const maxChunkBytes = 500_000;

/** The results of one job. */
export class JobLog {
    private readonly listedResults: TaskResult[] = [];
    private readonly listedIds = new Set<TaskId>();
    private readonly listedChunks: ResultChunk[] = [];
    private pending: TaskResult[] = [];
    private nextNumber = 0;
    private chunkInFlight: ResultChunk | undefined;
    private isOutOfSync = false;
    private outOfSyncMark = 0;

    get listed(): readonly TaskResult[] {
        return this.listedResults;
    }

    /** False while the store may hold results that are not listed here, such as those of a write that got no answer. */
    get isInSync(): boolean {
        return !this.isOutOfSync;
    }

    /** Records that the store may hold more results. Returns a mark to pass to `markInSync`. */
    markOutOfSync(): number {
        this.isOutOfSync = true;
        return ++this.outOfSyncMark;
    }

    /**
     * Records that the write behind `mark` has been adopted or cannot take effect. The log stays out of sync if
     * `markOutOfSync` was called again after it returned `mark`.
     */
    markInSync(mark: number): void {
        this.isOutOfSync = this.outOfSyncMark !== mark;
    }

    get chunks(): readonly ResultChunk[] {
        return this.listedChunks;
    }

    /** Results that are not listed yet. */
    get unlisted(): readonly TaskResult[] {
        return [...this.chunkInFlight?.results ?? [], ...this.pending];
    }

    get hasPending(): boolean {
        return this.pending.length > 0 || this.chunkInFlight !== undefined;
    }

    /** Whether a task has a result, listed or not. */
    hasResult(task: TaskId): boolean {
        return this.listedIds.has(task) || this.pending.some(result => result.task === task)
            || this.chunkInFlight?.results.some(result => result.task === task) === true;
    }

    isListed(task: TaskId): boolean {
        return this.listedIds.has(task);
    }

    /** Queues a result. Returns false, and drops the result, if the task has one already. */
    add(result: TaskResult): boolean {
        if (this.hasResult(result.task)) {
            return false;
        }
        this.pending.push(result);
        return true;
    }

    /**
     * The chunk to write next, or undefined if there is none. It stays the same until a chunk is adopted at its number.
     */
    chunkToWrite(): ResultChunk | undefined {
        if (this.chunkInFlight === undefined && this.pending.length > 0) {
            const results: TaskResult[] = [];
            let bytes = 0;
            for (const result of this.pending) {
                bytes += storedBytesOf(result);
                if (results.length > 0 && bytes > maxChunkBytes) {
                    break;
                }
                results.push(result);
            }
            this.pending.splice(0, results.length);
            this.chunkInFlight = { number: this.nextNumber, results };
        }
        return this.chunkInFlight;
    }

    /**
     * Lists a chunk as the store holds it; ignored unless its number is `next`. Own results that another writer's chunk
     * has displaced are queued again.
     */
    adopt(chunk: ResultChunk): void {
        if (chunk.number !== this.nextNumber) {
            return;
        }
        const displaced = this.chunkInFlight?.results ?? [];
        this.chunkInFlight = undefined;
        this.isOutOfSync = false;
        this.list(chunk);
        this.pending = [...displaced, ...this.pending].filter(result => !this.listedIds.has(result.task));
    }

    /** Number of the next chunk. */
    get next(): number {
        return this.nextNumber;
    }

    private list(chunk: ResultChunk): void {
        this.listedChunks.push(chunk);
        for (const result of chunk.results) {
            if (!this.listedIds.has(result.task)) {
                this.listedIds.add(result.task);
                this.listedResults.push(result);
            }
        }
        this.nextNumber = chunk.number + 1;
    }
}

/** The results from position `after` on, as many as fit into `maxBytes` of JSON, but at least one if there is one. */
export function pageOf(listed: readonly TaskResult[], after: number, maxBytes: number): readonly TaskResult[] {
    const page: TaskResult[] = [];
    let bytes = 0;
    for (let nth = after; nth < listed.length; nth++) {
        bytes += pageBytesOf(listed[nth]!);
        if (page.length > 0 && bytes > maxBytes) {
            break;
        }
        page.push(listed[nth]!);
    }
    return page;
}
