/**
 * Writes one bucket of claims. Changes that arrive during a write are batched into the next one, and the write rate is
 * limited to this writer's share of the key-value service's budget. Claims are written at once; outcomes are batched
 * for a short time. Compare-and-swap protects the bucket, so several writers are safe.
 */

import {
    after,
    applyClaimChanges,
    claimBucketKey,
    claimBucketWriteIntervalMs,
    type ClaimChange,
    type ClaimChangeOutcome,
    type Instant,
    type KeyRevision,
    parseClaimBucket,
    sleepUntil,
} from "@tamarackpath/core";
import { type AnswerContext } from "./TicketCalls.js";

const maxBurstWrites = 4;
const maxCommitAttempts = 6;
/** How long an outcome waits for others, so that they are written in one batch. */
const gatherMs = 100;
const absent = 0 as KeyRevision;

interface PendingChange {
    readonly change: ClaimChange;
    readonly deadline: Instant;
    readonly resolve: (outcome: ClaimChangeOutcome) => void;
}

interface StoredBucket {
    readonly text: string | undefined;
    readonly revision: KeyRevision;
}

/** Writes one bucket. */
export class BucketWriter {
    private pending: PendingChange[] = [];
    private isWriting = false;
    private endBatchWait: () => void = () => undefined;
    /** The bucket after this writer's last write or read; another writer may have changed it since. */
    private stored: StoredBucket | undefined;
    /** The time up to which the writes so far use the write rate. A burst makes it run ahead of the clock. */
    private budgetedUntil = 0 as Instant;

    constructor(
        private readonly ctx: AnswerContext,
        private readonly bucket: number,
        private readonly zones: () => number,
    ) {}

    /** Applies a change; "unconfirmed" when the key-value service does not confirm it before `deadline`. */
    change(change: ClaimChange, deadline: Instant): Promise<ClaimChangeOutcome> {
        return new Promise(resolve => {
            this.pending.push({ change, deadline, resolve });
            if (change.kind === "claim") {
                this.endBatchWait();
            }
            void this.write();
        });
    }

    private async write(): Promise<void> {
        if (this.isWriting) {
            return;
        }
        this.isWriting = true;
        while (this.pending.length > 0) {
            await this.waitForBatch();
            await this.waitForWriteBudget();
            const batch = this.takeBatch();
            const outcomes = await this.commit(batch.map(entry => entry.change));
            batch.forEach((entry, nth) => entry.resolve(outcomes[nth] ?? { kind: "unconfirmed" }));
        }
        this.isWriting = false;
    }

    /** Waits for further outcomes to batch, until a claim arrives or the batching time is over. */
    private waitForBatch(): Promise<void> {
        if (this.pending.some(({ change }) => change.kind === "claim")) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const { clock } = this.ctx;
            const cancel = clock.callAt(after(clock.now(), gatherMs), resolve);
            this.endBatchWait = () => {
                cancel();
                resolve();
            };
        });
    }

    private takeBatch(): readonly PendingChange[] {
        const now = this.ctx.clock.now();
        const batch = this.pending.filter(entry => entry.deadline > now);
        this.pending.filter(entry => entry.deadline <= now).forEach(entry => entry.resolve({ kind: "unconfirmed" }));
        this.pending = [];
        return batch;
    }

    private async waitForWriteBudget(): Promise<void> {
        const { clock } = this.ctx;
        const writeIntervalMs = claimBucketWriteIntervalMs(this.zones());
        const allowedAt = after(this.budgetedUntil, -maxBurstWrites * writeIntervalMs);
        if (allowedAt > clock.now()) {
            await sleepUntil(clock, allowedAt);
        }
        this.budgetedUntil = after(Math.max(this.budgetedUntil, clock.now()) as Instant, writeIntervalMs);
    }

    /**
     * Applies the changes with compare-and-swap, and again when another writer has changed the bucket. When the changes
     * have no effect on the cached bucket, they are applied to a fresh one. Returns no outcomes when the write failed.
     */
    private async commit(changes: readonly ClaimChange[]): Promise<readonly ClaimChangeOutcome[]> {
        let isFreshlyRead = this.stored === undefined;
        let base = this.stored ?? await this.read();
        for (let attempt = 0; attempt < maxCommitAttempts && base !== undefined && changes.length > 0; attempt++) {
            const claims = parseClaimBucket(base.text);
            if (claims === undefined) {
                break;
            }
            const update = applyClaimChanges(claims, changes, this.ctx.clock.now());
            if (update.text === undefined && isFreshlyRead) {
                this.stored = base;
                return update.outcomes;
            }
            const next: "done" | StoredBucket | undefined = update.text === undefined
                ? await this.read()
                : await this.swap(base.revision, update.text);
            if (next === "done") {
                return update.outcomes;
            }
            base = next;
            isFreshlyRead = true;
        }
        this.stored = undefined;
        return [];
    }

    /**
     * Swaps the bucket; "done" on success. When another writer was first or the answer is lost, returns the bucket as it
     * is stored. Undefined when the swap certainly failed or the bucket cannot be read.
     */
    private async swap(expected: KeyRevision, text: string): Promise<"done" | StoredBucket | undefined> {
        const res = await this.ctx.ports.keyValue.swap(claimBucketKey(this.bucket), expected, text);
        return await res.caseOf<Promise<"done" | StoredBucket | undefined>>({
            Left: failure => failure.applied === "no" ? Promise.resolve(undefined) : this.read(),
            Right: result => {
                if (result.swapped) {
                    this.stored = { text, revision: result.revision };
                    return Promise.resolve("done");
                }
                return Promise.resolve({ text: result.current?.value, revision: result.current?.revision ?? absent });
            },
        });
    }

    private async read(): Promise<StoredBucket | undefined> {
        const res = await this.ctx.ports.keyValue.get(claimBucketKey(this.bucket));
        return res.caseOf<StoredBucket | undefined>({
            Left: () => undefined,
            Right: entry => ({ text: entry?.value, revision: entry?.revision ?? absent }),
        });
    }
}
