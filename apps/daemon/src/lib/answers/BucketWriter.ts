/**
 * Writes one bucket of claims. Changes that arrive while a write is under way share the next one, and writes are held
 * to this writer's part of the key-value service's budget. Claims are written at once, outcomes gather for a moment.
 * The swap alone guards the bucket: several writers are safe.
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

const burstWrites = 4;
const commitTries = 6;
const gatherMs = 100;
const absent = 0 as KeyRevision;

interface PendingChange {
    readonly change: ClaimChange;
    readonly deadline: Instant;
    readonly resolve: (verdict: ClaimChangeOutcome) => void;
}

interface StoredBucket {
    readonly text: string | undefined;
    readonly revision: KeyRevision;
}

/** Writes one bucket. */
export class BucketWriter {
    private pending: PendingChange[] = [];
    private isWriting = false;
    private stopGathering: () => void = () => undefined;
    private stored: StoredBucket | undefined;
    private earnedAt = 0 as Instant;

    constructor(
        private readonly ctx: AnswerContext,
        private readonly bucket: number,
        private readonly zones: () => number,
    ) {}

    /** Makes a change; "unconfirmed" when the key-value service does not confirm it by `deadline`. */
    change(change: ClaimChange, deadline: Instant): Promise<ClaimChangeOutcome> {
        return new Promise(resolve => {
            this.pending.push({ change, deadline, resolve });
            if (change.kind === "claim") {
                this.stopGathering();
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
            await this.gather();
            await this.earnWrite();
            const batch = this.takeBatch();
            const verdicts = await this.commit(batch.map(entry => entry.change));
            batch.forEach((entry, nth) => entry.resolve(verdicts[nth] ?? { kind: "unconfirmed" }));
        }
        this.isWriting = false;
    }

    /** Lets outcomes gather until a claim comes or their time is over. */
    private gather(): Promise<void> {
        if (this.pending.some(({ change }) => change.kind === "claim")) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const { clock } = this.ctx;
            const cancel = clock.callAt(after(clock.now(), gatherMs), resolve);
            this.stopGathering = () => {
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

    private async earnWrite(): Promise<void> {
        const { clock } = this.ctx;
        const everyMs = claimBucketWriteIntervalMs(this.zones());
        const freeAt = after(this.earnedAt, -burstWrites * everyMs);
        if (freeAt > clock.now()) {
            await sleepUntil(clock, freeAt);
        }
        this.earnedAt = after(Math.max(this.earnedAt, clock.now()) as Instant, everyMs);
    }

    private async commit(changes: readonly ClaimChange[]): Promise<readonly ClaimChangeOutcome[]> {
        let isFresh = this.stored === undefined;
        let base = this.stored ?? await this.read();
        for (let tries = 0; tries < commitTries && base !== undefined && changes.length > 0; tries++) {
            const claims = parseClaimBucket(base.text);
            if (claims === undefined) {
                break;
            }
            const update = applyClaimChanges(claims, changes, this.ctx.clock.now());
            if (update.text === undefined && isFresh) {
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
            isFresh = true;
        }
        this.stored = undefined;
        return [];
    }

    /** Swaps the bucket; when that fails or its answer is lost, gives the bucket as it stands now. */
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
