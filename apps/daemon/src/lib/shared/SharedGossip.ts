/**
 * Spreads shared entries between hosts: a notice to a few peers on each change, and a comparison of digests with one
 * watcher and one random peer each round. Bodies are fetched once, from whoever has the higher number.
 */

import {
    after,
    type HostId,
    type Instant,
    type SharedDigestRequest,
    type SharedDigestResponse,
    type SharedEntry,
    type SharedEntryRegistry,
    type StoreReadTracker,
    storeWatchers,
} from "@tamarackpath/core";
import { Right } from "purify-ts";
import { type Context } from "../Context.js";
import { type MembershipTask } from "../tasks/MembershipTask.js";
import { repeat } from "../tasks/repeat.js";

const roundEveryMs = 500;
const askTimeoutMs = 1000;
const noticeFanout = 3;

/** Where the entries of a peer are put. */
export type TakeEntries = (entries: readonly SharedEntry[]) => unknown;

/** Exchanges shared entries with peers. */
export class SharedGossip {
    private readonly fetching = new Map<string, number>();
    private otherZones: readonly { readonly host: HostId; readonly address: string; }[] = [];
    private cancel: () => void = () => undefined;

    constructor(
        private readonly ctx: Context,
        private readonly members: MembershipTask,
        private readonly book: SharedEntryRegistry,
        private readonly sight: StoreReadTracker,
        private readonly take: TakeEntries,
    ) {}

    start(): void {
        const { peers } = this.ctx.ports;
        peers.handle("shared-digest", async (ask, from) => Right(this.answerDigest(ask, from)));
        peers.handle("shared-fetch", async ({ keys }) => Right({ entries: this.book.entries(keys) }));
        peers.handle("shared-notice", async ({ numbers }, from) => {
            void this.fetch(from, this.book.compare(new Map(Object.entries(numbers))).keysToFetch, numbers);
            return Right({});
        });
        this.ctx.bus.on("hostListRead", ({ hosts }) => {
            this.otherZones = hosts
                .filter(({ zone, leaving }) => zone !== this.ctx.zone && !leaving)
                .map(({ host, peerAddress }) => ({ host, address: peerAddress }));
        });
        this.cancel = repeat(this.ctx, roundEveryMs, () => this.round());
    }

    stop(): void {
        this.cancel();
    }

    /** Tells a few peers that an entry rose. */
    announce(key: string): void {
        const number = this.book.numbers().get(key);
        if (number === undefined) {
            return;
        }
        for (const host of this.draw(this.others(), noticeFanout)) {
            void this.notify(host, { [key]: number });
        }
    }

    private async round(): Promise<void> {
        const others = this.others();
        const watchers = storeWatchers(this.members.live()).filter(host => host !== this.ctx.host);
        const partners = new Set([...this.draw(watchers, 1), ...this.draw(others, 1), ...this.abroad()]);
        await Promise.all([...partners].map(host => this.compareWith(host)));
    }

    /** A host of another zone, while this zone cannot read the key-value service. */
    private abroad(): readonly HostId[] {
        const isWatcher = storeWatchers(this.members.live()).includes(this.ctx.host);
        if (!isWatcher || !this.sight.isReadOverdue(this.ctx.clock.now())) {
            return [];
        }
        return this.draw(this.otherZones, 1).map(({ host, address }) => {
            this.ctx.ports.peers.setAddress(host, address);
            return host;
        });
    }

    private async compareWith(host: HostId): Promise<void> {
        const askedAt = this.ctx.clock.now();
        const ask = { digest: this.book.digest(), storeAgeMs: this.sight.ageMs(askedAt) };
        const res = await this.ctx.ports.peers.ask(host, "shared-digest", ask, after(askedAt, askTimeoutMs));
        const answer = res.toMaybe().chain(inner => inner.toMaybe()).extract();
        if (answer === undefined) {
            return;
        }
        if (this.isHere(host)) {
            this.noteAge(answer.storeAgeMs, askedAt);
        }
        if (answer.numbers !== undefined) {
            const { keysToFetch: wanted, keysToOffer: offered } = this.book.compare(
                new Map(Object.entries(answer.numbers)),
            );
            const numbers = this.book.numbers();
            await this.fetch(host, wanted, answer.numbers);
            if (offered.length > 0) {
                await this.notify(host, Object.fromEntries(offered.map(key => [key, numbers.get(key) ?? 0])));
            }
        }
    }

    private answerDigest({ digest, storeAgeMs }: SharedDigestRequest, from: HostId): SharedDigestResponse {
        const now = this.ctx.clock.now();
        const numbers = digest === this.book.digest() ? undefined : Object.fromEntries(this.book.numbers());
        const answer = { storeAgeMs: this.sight.ageMs(now), numbers };
        if (this.isHere(from)) {
            this.noteAge(storeAgeMs, now);
        }
        return answer;
    }

    private async fetch(
        host: HostId,
        keys: readonly string[],
        numbers: Readonly<Record<string, number>>,
    ): Promise<void> {
        const missing = keys.filter(key => (this.fetching.get(key) ?? -1) < numbers[key]!);
        if (missing.length === 0) {
            return;
        }
        missing.forEach(key => this.fetching.set(key, numbers[key]!));
        const deadline = after(this.ctx.clock.now(), askTimeoutMs);
        const res = await this.ctx.ports.peers.ask(host, "shared-fetch", { keys: missing }, deadline);
        missing.forEach(key => this.fetching.delete(key));
        res.ifRight(inner => inner.ifRight(({ entries }) => this.take(entries)));
    }

    private async notify(host: HostId, numbers: Readonly<Record<string, number>>): Promise<void> {
        const deadline = after(this.ctx.clock.now(), askTimeoutMs);
        await this.ctx.ports.peers.ask(host, "shared-notice", { numbers }, deadline);
    }

    private noteAge(ageMs: number | undefined, askedAt: Instant): void {
        if (ageMs !== undefined) {
            this.sight.recordRead(after(askedAt, -ageMs));
        }
    }

    private isHere(host: HostId): boolean {
        return !this.otherZones.some(other => other.host === host);
    }

    private others(): readonly HostId[] {
        return this.members.live().filter(host => host !== this.ctx.host);
    }

    private draw<Item>(items: readonly Item[], count: number): readonly Item[] {
        return items
            .map(item => ({ item, order: this.ctx.random() }))
            .sort((a, b) => a.order - b.order)
            .slice(0, count)
            .map(({ item }) => item);
    }
}
