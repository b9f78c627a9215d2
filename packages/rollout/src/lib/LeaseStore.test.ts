/**
 * An in-memory store for tests whose leases end on a handed-in clock, and whose answers to a claim or a resignation may be
 * delayed, as for a process that is paused between its write and the answer.
 */

import {
    after,
    type Clock,
    type Commit,
    type CommitResult,
    type Instant,
    jobKeys,
    type KeyValueFailure,
    type LeaseId,
    sleepUntil,
    type StoredItem,
    type StoredRange,
    type StoreLease,
} from "@tamarackpath/core";
import { type Either, Right } from "purify-ts";
import { MemoryTransactionalStore } from "./MemoryStore.test.js";

/** Removes the keys of a lease when the lease ends. */
export class LeaseStore extends MemoryTransactionalStore {
    /** Milliseconds by which the answer to each of the next claims is delayed. */
    readonly claimAnswerDelaysMs: number[] = [];
    /** Milliseconds by which the answer to each of the next resignations is delayed. */
    readonly resignationAnswerDelaysMs: number[] = [];
    private readonly deadlines = new Map<LeaseId, Instant>();
    private readonly leasedKeys = new Map<string, LeaseId>();

    constructor(private readonly clock: Clock, private readonly leaseMs: number) {
        super();
    }

    override get(key: string): Promise<Either<KeyValueFailure, StoredItem | undefined>> {
        this.expire();
        return super.get(key);
    }

    override range(prefix: string): Promise<Either<KeyValueFailure, StoredRange>> {
        this.expire();
        return super.range(prefix);
    }

    override async commit(commit: Commit): Promise<Either<KeyValueFailure, CommitResult>> {
        this.expire();
        const res = await super.commit(commit);
        for (const { key, value, lease } of commit.puts) {
            // The answer does not tell, if it is lost.
            const isStored = (await super.get(key)).unsafeCoerce()?.value === value;
            if (isStored && lease !== undefined) {
                this.leasedKeys.set(key, lease);
            }
            else if (isStored) {
                this.leasedKeys.delete(key);
            }
        }
        const claim = commit.puts.find(({ key }) => key === jobKeys.claim);
        const delays = claim?.lease === undefined ? this.resignationAnswerDelaysMs : this.claimAnswerDelaysMs;
        const delayMs = claim === undefined ? 0 : delays.shift() ?? 0;
        if (delayMs > 0) {
            await sleepUntil(this.clock, after(this.clock.now(), delayMs));
        }
        return res;
    }

    override async grantLease(): Promise<Either<KeyValueFailure, StoreLease>> {
        const id = `lease ${this.deadlines.size}` as LeaseId;
        return Right(this.extend(id));
    }

    override async renewLease(id: LeaseId): Promise<Either<KeyValueFailure, StoreLease | undefined>> {
        return Right(this.clock.now() < (this.deadlines.get(id) ?? 0) ? this.extend(id) : undefined);
    }

    private extend(id: LeaseId): StoreLease {
        const deadline = after(this.clock.now(), this.leaseMs);
        this.deadlines.set(id, deadline);
        return { id, deadline };
    }

    private expire(): void {
        const now = this.clock.now();
        const removes = [...this.leasedKeys].filter(([, lease]) => now >= this.deadlines.get(lease)!).map(([key]) =>
            key
        );
        removes.forEach(key => this.leasedKeys.delete(key));
        if (removes.length > 0) {
            void super.commit({ expected: [], puts: [], removes });
        }
    }
}
