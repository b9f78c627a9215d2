/**
 * Reads shared entries from the key-value service while this host has that role: with a watch for low latency, and with
 * small polls for the changes since the last read, which also detect a watch that delivers no events.
 */

import {
    after,
    chooseStoreReadRole,
    type KeyRevision,
    type KeyValueEntry,
    type SharedEntry,
    type StoreReadRole,
    type StoreReadTracker,
} from "@tamarackpath/core";
import { type Context } from "../Context.js";
import { type MembershipTask } from "../tasks/MembershipTask.js";
import { repeat } from "../tasks/repeat.js";

const pollIntervalMs = 1000;
/** One poll in this many reads all entries instead of the later changes. */
const pollsPerFullRead = 60;
/** A watch that was opened more recently is not replaced when a poll finds a change that it did not deliver. */
const watchGraceMs = 1500;

interface OpenWatch {
    readonly abort: AbortController;
    readonly openedAt: number;
}

/** Receives what the follower reads. */
export interface FollowerHandler {
    /** Offers the entries that were read; returns whether all of them are in force afterwards. */
    offer(entries: readonly SharedEntry[]): boolean;
    /** Called after each full read of the entries below `prefix`. */
    onFullRead(prefix: string, entries: readonly KeyValueEntry[]): void;
    /** Called when a key was deleted. */
    onDeleted(key: string): void;
}

/** Follows one prefix of the key-value service. */
export class StoreFollower {
    /** The highest revision that was read. */
    private seen = 0;
    private polls = 0;
    private needsFullRead = true;
    /** A host with the role "rest" reads only once, after its start, and otherwise relies on its peers. */
    private duty: StoreReadRole = "rest";
    private watch: OpenWatch | undefined;
    /** Number of watches that were replaced because they delivered no events. */
    private silentWatches = 0;
    private lastReadFailed = false;
    private cancel: () => void = () => undefined;

    constructor(
        private readonly ctx: Context,
        private readonly members: MembershipTask,
        private readonly storeReadTracker: StoreReadTracker,
        private readonly prefix: string,
        private readonly handler: FollowerHandler,
    ) {}

    start(): void {
        this.cancel = repeat(this.ctx, pollIntervalMs, () => this.round());
    }

    stop(): void {
        this.cancel();
        this.watch?.abort.abort();
    }

    dump(): unknown {
        const { prefix, duty, seen, silentWatches, lastReadFailed } = this;
        return { prefix, duty, seen, watching: this.watch !== undefined, silentWatches, lastReadFailed };
    }

    private async round(): Promise<void> {
        const { host, clock } = this.ctx;
        this.duty = chooseStoreReadRole(
            host,
            this.members.live(),
            this.storeReadTracker,
            clock.now(),
            this.ctx.random(),
        );
        if (this.duty !== "watch") {
            this.closeWatch();
        }
        if (this.duty === "rest" && this.polls > 0) {
            return;
        }
        const read = await this.poll();
        if (read && this.duty === "watch" && this.watch === undefined) {
            this.openWatch();
        }
    }

    private async poll(): Promise<boolean> {
        const isFull = this.needsFullRead || this.polls % pollsPerFullRead === 0;
        this.polls++;
        const startedAt = this.ctx.clock.now();
        const from = isFull ? undefined : this.seen + 1 as KeyRevision;
        const res = await this.ctx.ports.keyValue.list(this.prefix, from);
        this.lastReadFailed = res.isLeft();
        res.ifRight(entries => {
            this.storeReadTracker.recordRead(startedAt);
            this.receive(entries, isFull);
        });
        return res.isRight();
    }

    private receive(entries: readonly KeyValueEntry[], isFull: boolean): void {
        const highest = Math.max(0, ...entries.map(entry => entry.revision));
        const hasMissedChanges = !isFull && highest > this.seen;
        if (hasMissedChanges && this.watch !== undefined && this.ctx.clock.now() - this.watch.openedAt > watchGraceMs) {
            this.silentWatches++;
            this.ctx.log("config").warn("The watch delivers no events; it is opened again.", { prefix: this.prefix });
            this.closeWatch();
        }
        this.seen = isFull ? highest : Math.max(this.seen, highest);
        this.needsFullRead &&= !isFull;
        const isInForce = this.handler.offer(entries.map(({ key, value }) => ({ key, text: value })));
        this.needsFullRead ||= !isFull && !isInForce;
        if (isFull) {
            this.handler.onFullRead(this.prefix, entries);
        }
    }

    private closeWatch(): void {
        this.watch?.abort.abort();
        this.watch = undefined;
    }

    private openWatch(): void {
        const watch = { abort: new AbortController(), openedAt: after(this.ctx.clock.now(), 0) };
        this.watch = watch;
        const from = this.seen + 1 as KeyRevision;
        void this.ctx.ports.keyValue
            .watch(this.prefix, from, change => this.onChange(change.key, change.entry), watch.abort.signal)
            .then(() => {
                if (this.watch === watch) {
                    this.watch = undefined;
                    this.needsFullRead = true;
                }
            });
    }

    private onChange(key: string, entry: KeyValueEntry | undefined): void {
        if (entry === undefined) {
            this.handler.onDeleted(key);
            this.needsFullRead = true;
            return;
        }
        this.seen = Math.max(this.seen, entry.revision);
        this.needsFullRead ||= !this.handler.offer([{ key, text: entry.value }]);
    }
}
