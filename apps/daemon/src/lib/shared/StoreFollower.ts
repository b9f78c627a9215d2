/**
 * Reads shared entries from the key-value service while it is this host's duty: a watch for speed, and a small poll of
 * what changed since, which also finds out that a watch has gone silent.
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

const pollEveryMs = 1000;
const pollsPerFullRead = 60;
const watchSettleMs = 1500;

interface OpenWatch {
    readonly abort: AbortController;
    readonly openedAt: number;
}

/** Where the follower puts what it read. */
export interface FollowerSink {
    /** Offers what was read, and returns whether all of it is in force now. */
    take(entries: readonly SharedEntry[]): boolean;
    /** Called after each reading of every entry below `prefix`. */
    compare(prefix: string, entries: readonly KeyValueEntry[]): void;
    /** Called when a key was deleted. */
    deleted(key: string): void;
}

/** Follows one prefix of the key-value service. */
export class StoreFollower {
    private seen = 0;
    private polls = 0;
    private needsFullRead = true;
    private duty: StoreReadRole = "rest";
    private watch: OpenWatch | undefined;
    private silentWatches = 0;
    private lastReadFailed = false;
    private cancel: () => void = () => undefined;

    constructor(
        private readonly ctx: Context,
        private readonly members: MembershipTask,
        private readonly sight: StoreReadTracker,
        private readonly prefix: string,
        private readonly sink: FollowerSink,
    ) {}

    start(): void {
        this.cancel = repeat(this.ctx, pollEveryMs, () => this.round());
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
        this.duty = chooseStoreReadRole(host, this.members.live(), this.sight, clock.now(), this.ctx.random());
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
            this.sight.recordRead(startedAt);
            this.receive(entries, isFull);
        });
        return res.isRight();
    }

    private receive(entries: readonly KeyValueEntry[], isFull: boolean): void {
        const highest = Math.max(0, ...entries.map(entry => entry.revision));
        const missed = !isFull && highest > this.seen;
        if (missed && this.watch !== undefined && this.ctx.clock.now() - this.watch.openedAt > watchSettleMs) {
            this.silentWatches++;
            this.ctx.log("config").warn("The watch is silent; it is opened again.", { prefix: this.prefix });
            this.closeWatch();
        }
        this.seen = isFull ? highest : Math.max(this.seen, highest);
        this.needsFullRead &&= !isFull;
        const isInForce = this.sink.take(entries.map(({ key, value }) => ({ key, text: value })));
        this.needsFullRead ||= !isFull && !isInForce;
        if (isFull) {
            this.sink.compare(this.prefix, entries);
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
            this.sink.deleted(key);
            this.needsFullRead = true;
            return;
        }
        this.seen = Math.max(this.seen, entry.revision);
        this.needsFullRead ||= !this.sink.take([{ key, text: entry.value }]);
    }
}
