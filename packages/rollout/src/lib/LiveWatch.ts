/**
 * Follows the store's live keys while this host conducts: its own claim, jobs that other hosts stored and jobs that they
 * ended. When the store has dropped its history, or a watch fell silent, the range is read again.
 */

import {
    after,
    type Clock,
    type JobId,
    jobKeys,
    type KeyRevision,
    sleepUntil,
    type StoredItem,
    type TransactionalStore,
} from "@tamarackpath/core";
import { unpack } from "msgpackr";
import { type ConductorTask } from "./ConductorTask.js";
import { type JobBook } from "./JobBook.js";
import { type EndedJob, type JobStore } from "./JobStore.js";

/** Milliseconds that a watch waits for changes. */
const waitMs = 4000;

/** Milliseconds after a failure before the range is read again. */
const pauseMs = 200;

/** Follows the live keys. */
export class LiveWatch {
    private turn = 0;

    constructor(
        private readonly store: TransactionalStore,
        private readonly jobs: JobStore,
        private readonly book: JobBook,
        private readonly conductor: ConductorTask,
        private readonly clock: Clock,
    ) {}

    activate(): void {
        this.turn++;
        void this.loop(this.turn);
    }

    deactivate(): void {
        this.turn++;
    }

    private async loop(turn: number): Promise<void> {
        let asOf: KeyRevision | undefined;
        while (turn === this.turn) {
            asOf = asOf === undefined ? await this.readAll(turn) : await this.follow(asOf, turn);
            if (asOf === undefined) {
                await sleepUntil(this.clock, after(this.clock.now(), pauseMs));
            }
        }
    }

    private async readAll(turn: number): Promise<KeyRevision | undefined> {
        const range = (await this.store.range(jobKeys.live, "jobs")).toMaybe().extract();
        if (range === undefined || turn !== this.turn) {
            return undefined;
        }
        const byKey = new Map(range.items.map(item => [item.key, item]));
        this.conductor.noteChange(byKey.get(jobKeys.claim));
        if (!this.conductor.isConductor) {
            return undefined;
        }
        const open = range.items.filter(({ key }) => key.startsWith(jobKeys.openPrefix));
        const ended = range.items.filter(({ key }) => key.startsWith(jobKeys.endedPrefix));
        ended.forEach(({ key }) => this.book.close(jobOf(key, jobKeys.endedPrefix)));
        await Promise.all(open.map(item => this.takeOpen(item)));
        void this.book.sweep(
            ended.map(item => ({
                job: jobOf(item.key, jobKeys.endedPrefix),
                endedAt: (unpack(item.value) as EndedJob).endedAt,
            })),
        );
        return range.asOf;
    }

    private async follow(asOf: KeyRevision, turn: number): Promise<KeyRevision | undefined> {
        const seen = (await this.store.changes(jobKeys.live, asOf, waitMs, "jobs")).toMaybe().extract();
        if (seen === undefined || seen.kind === "compacted" || turn !== this.turn) {
            return undefined;
        }
        for (const { key, item } of seen.changes) {
            if (key === jobKeys.claim) {
                this.conductor.noteChange(item);
            }
            else if (key.startsWith(jobKeys.endedPrefix) && item !== undefined) {
                this.book.close(jobOf(key, jobKeys.endedPrefix));
            }
            else if (key.startsWith(jobKeys.openPrefix) && item !== undefined) {
                await this.takeOpen(item);
            }
        }
        return seen.asOf;
    }

    private async takeOpen(item: StoredItem): Promise<void> {
        if (this.book.knows(jobOf(item.key, jobKeys.openPrefix))) {
            return;
        }
        const job = (await this.jobs.readOpen(item)).toMaybe().extract();
        if (job !== undefined) {
            await this.book.open(job, false);
        }
    }
}

function jobOf(key: string, prefix: string): JobId {
    return key.slice(prefix.length) as JobId;
}
