/**
 * An in-memory store for tests. Faults are drawn from a list: a write may be refused, may lose its answer, or may be
 * carried out late, when its condition is checked again.
 */

import {
    type Commit,
    type CommitResult,
    type Instant,
    type KeyRevision,
    type KeyValueFailure,
    type LeaseId,
    type StoredChanges,
    type StoredItem,
    type StoredPage,
    type StoredRange,
    type StoreLease,
    type TransactionalStore,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";

/** The fault of a write. */
export type WriteFault = "none" | "refused" | "answer-lost" | "late";

/** Upper limit of a value in bytes, as the store counts it in base64. */
const maxValueBytes = 1_048_576;

/** Keeps items in memory. */
export class MemoryTransactionalStore implements TransactionalStore {
    readonly lastOutageAt: Instant | undefined = undefined;
    private readonly items = new Map<string, StoredItem>();
    private readonly late: Commit[] = [];
    private revision = 0;

    constructor(private readonly faults: WriteFault[] = []) {}

    get isReachable(): boolean {
        return true;
    }

    /** Whether any write has ever taken effect. */
    get hasBeenWritten(): boolean {
        return this.revision > 0;
    }

    /** Sets the faults of the next writes. */
    setFaults(faults: readonly WriteFault[]): void {
        this.faults.splice(0, this.faults.length, ...faults);
    }

    async get(key: string): Promise<Either<KeyValueFailure, StoredItem | undefined>> {
        return Right(this.items.get(key));
    }

    async range(prefix: string): Promise<Either<KeyValueFailure, StoredRange>> {
        const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix));
        return Right({ items: items.sort((a, b) => a.key < b.key ? -1 : 1), asOf: this.revision as KeyRevision });
    }

    /** Number of items in a page. */
    pageSize = 500;

    async page(prefix: string, after?: string): Promise<Either<KeyValueFailure, StoredPage>> {
        return (await this.range(prefix)).map(({ items, asOf }) => {
            const rest = items.filter(({ key }) => after === undefined || key > after);
            return { items: rest.slice(0, this.pageSize), asOf, hasMore: rest.length > this.pageSize };
        });
    }

    async changes(): Promise<Either<KeyValueFailure, StoredChanges>> {
        return Right({ kind: "changes", changes: [], asOf: this.revision as KeyRevision });
    }

    async commit(commit: Commit): Promise<Either<KeyValueFailure, CommitResult>> {
        const fault = this.faults.shift() ?? "none";
        if (fault === "refused") {
            return Left({ applied: "no", detail: "refused" });
        }
        if (fault === "late") {
            this.late.push(commit);
            return Left({ applied: "unknown", detail: "late" });
        }
        if (commit.puts.some(({ value }) => Buffer.from(value).toString("base64").length > maxValueBytes)) {
            return Left({ applied: "no", detail: "A value is too large.", answered: true });
        }
        const result = this.apply(commit);
        return fault === "answer-lost" ? Left({ applied: "unknown", detail: "lost" }) : Right(result);
    }

    /** Carries out the late writes. */
    applyLate(): void {
        this.late.splice(0).forEach(commit => this.apply(commit));
    }

    async grantLease(): Promise<Either<KeyValueFailure, StoreLease>> {
        return Right({ id: "lease" as LeaseId, deadline: 0 as Instant });
    }

    async renewLease(id: LeaseId): Promise<Either<KeyValueFailure, StoreLease | undefined>> {
        return Right({ id, deadline: 0 as Instant });
    }

    private apply({ expected, puts, removes }: Commit): CommitResult {
        const isAsExpected = expected.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision);
        if (!isAsExpected) {
            return { kind: "conflict", current: expected.flatMap(({ key }) => this.items.get(key) ?? []) };
        }
        this.revision++;
        puts.forEach(({ key, value }) => this.items.set(key, { key, value, revision: this.revision as KeyRevision }));
        removes.forEach(key => this.items.delete(key));
        return { kind: "committed", revision: this.revision as KeyRevision };
    }
}
