/**
 * The positions of a job's results. Results are written in chunks, each under a key of its own that must not exist yet,
 * so two writers cannot fill one position. A chunk is shown only once its write is acknowledged, and while a write's
 * outcome is unknown its content stays the same, so that a write that takes effect late does no harm.
 */

import { type TaskId } from "../ids.js";
import { type TaskResult } from "./Job.js";

/** A chunk to write, or written. */
export interface ResultChunk {
    readonly number: number;
    readonly results: readonly TaskResult[];
}

/** Bytes of output in a chunk, below the store's 1 MiB value after base64. */
const largestChunkBytes = 500_000;

/** The results of one job. */
export class JobLog {
    private readonly listedResults: TaskResult[] = [];
    private readonly listedIds = new Set<TaskId>();
    private readonly listedChunks: ResultChunk[] = [];
    private pending: TaskResult[] = [];
    private nextNumber = 0;
    private writing: ResultChunk | undefined;
    private mayMissResults = false;
    private doubts = 0;

    get listed(): readonly TaskResult[] {
        return this.listedResults;
    }

    /** False while the store may hold results that are not listed here, such as those of a write without an answer. */
    get isInSync(): boolean {
        return !this.mayMissResults;
    }

    /** Notes that the store may hold more; returns the number of the doubt. */
    markOutOfSync(): number {
        this.mayMissResults = true;
        return ++this.doubts;
    }

    /** Notes that what gave rise to doubt `number` has been adopted or cannot take effect; a later doubt stays. */
    markInSync(number: number): void {
        this.mayMissResults = this.doubts !== number;
    }

    get chunks(): readonly ResultChunk[] {
        return this.listedChunks;
    }

    /** Results that are not listed yet. */
    get unlisted(): readonly TaskResult[] {
        return [...this.writing?.results ?? [], ...this.pending];
    }

    get hasPending(): boolean {
        return this.pending.length > 0 || this.writing !== undefined;
    }

    /** True once a task has a result, listed or about to be. */
    hasResult(task: TaskId): boolean {
        return this.listedIds.has(task) || this.pending.some(result => result.task === task)
            || this.writing?.results.some(result => result.task === task) === true;
    }

    isListed(task: TaskId): boolean {
        return this.listedIds.has(task);
    }

    /** Queues a result; a task's second result is dropped. */
    add(result: TaskResult): boolean {
        if (this.hasResult(result.task)) {
            return false;
        }
        this.pending.push(result);
        return true;
    }

    /** The chunk to write now; the same one again until `adopt` tells its outcome. */
    chunkToWrite(): ResultChunk | undefined {
        if (this.writing === undefined && this.pending.length > 0) {
            const results: TaskResult[] = [];
            let bytes = 0;
            while (
                this.pending.length > 0 && (bytes === 0 || bytes + this.pending[0]!.output.length < largestChunkBytes)
            ) {
                const result = this.pending.shift()!;
                bytes += result.output.length + 1;
                results.push(result);
            }
            this.writing = { number: this.nextNumber, results };
        }
        return this.writing;
    }

    /** Takes a chunk as the store holds it. Results of ours that another writer's chunk took the place of are queued again. */
    adopt(chunk: ResultChunk): void {
        if (chunk.number !== this.nextNumber) {
            return;
        }
        const displaced = this.writing?.results ?? [];
        this.writing = undefined;
        this.mayMissResults = false;
        this.list(chunk);
        this.pending = [...displaced, ...this.pending].filter(result => !this.listedIds.has(result.task));
    }

    /** Number of the chunk that comes next. */
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

/** The results from `after` on, as many as fit into `mostBytes`, at least one if there is one. */
export function pageOf(listed: readonly TaskResult[], after: number, mostBytes: number): readonly TaskResult[] {
    const page: TaskResult[] = [];
    let bytes = 0;
    for (let nth = after; nth < listed.length; nth++) {
        bytes += listed[nth]!.output.length + resultOverheadBytes;
        if (page.length > 0 && bytes > mostBytes) {
            break;
        }
        page.push(listed[nth]!);
    }
    return page;
}

/** Bytes that a result takes besides its output: ids, state, versions and punctuation. */
const resultOverheadBytes = 150;
