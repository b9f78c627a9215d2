/**
 * Propagates shared entries between hosts: a notice to a few peers on each change, and anti-entropy by comparing
 * digests in each round with one random peer and with one watcher, a host that watches the key-value service. An entry's
 * text is fetched from a peer that has a higher number of it, and only once at a time.
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

const roundIntervalMs = 500;
const requestTimeoutMs = 1000;
const noticeFanout = 3;

/** Receives the entries that were fetched from a peer. */
export type OfferEntries = (entries: readonly SharedEntry[]) => unknown;

/** Exchanges shared entries with peers. */
export class SharedGossip {
    private readonly fetching = new Map<string, number>();
    private otherZones: readonly { readonly host: HostId; readonly address: string; }[] = [];
    private cancel: () => void = () => undefined;

    constructor(
        private readonly ctx: Context,
        private readonly members: MembershipTask,
        private readonly registry: SharedEntryRegistry,
        private readonly storeReadTracker: StoreReadTracker,
        private readonly offer: OfferEntries,
    ) {}

    start(): void {
        const { peers } = this.ctx.ports;
        peers.handle("shared-digest", async (request, from) => Right(this.answerDigest(request, from)));
        peers.handle("shared-fetch", async ({ keys }) => Right({ entries: this.registry.entries(keys) }));
        peers.handle("shared-notice", async ({ numbers }, from) => {
            void this.fetch(from, this.registry.compare(new Map(Object.entries(numbers))).keysToFetch, numbers);
            return Right({});
        });
        this.ctx.bus.on("hostListRead", ({ hosts }) => {
            this.otherZones = hosts
                .filter(({ zone, leaving }) => zone !== this.ctx.zone && !leaving)
                .map(({ host, peerAddress }) => ({ host, address: peerAddress }));
        });
        this.cancel = repeat(this.ctx, roundIntervalMs, () => this.round());
    }

    stop(): void {
        this.cancel();
    }

    /** Notifies a few peers that the number of an entry has increased. */
    announce(key: string): void {
        const number = this.registry.numbers().get(key);
        if (number === undefined) {
            return;
        }
        for (const host of this.pickRandom(this.others(), noticeFanout)) {
            void this.notify(host, { [key]: number });
        }
    }

    private async round(): Promise<void> {
        const others = this.others();
        const watchers = storeWatchers(this.members.live()).filter(host => host !== this.ctx.host);
        const partners = new Set([
            ...this.pickRandom(watchers, 1),
            ...this.pickRandom(others, 1),
            ...this.otherZonePeers(),
        ]);
        await Promise.all([...partners].map(host => this.compareWith(host)));
    }

    /** A random host of another zone, if this host is a watcher and its zone cannot read the key-value service. */
    private otherZonePeers(): readonly HostId[] {
        const isWatcher = storeWatchers(this.members.live()).includes(this.ctx.host);
        if (!isWatcher || !this.storeReadTracker.isReadOverdue(this.ctx.clock.now())) {
            return [];
        }
        return this.pickRandom(this.otherZones, 1).map(({ host, address }) => {
            this.ctx.ports.peers.setAddress(host, address);
            return host;
        });
    }

    private async compareWith(host: HostId): Promise<void> {
        const requestedAt = this.ctx.clock.now();
        const request = { digest: this.registry.digest(), storeAgeMs: this.storeReadTracker.ageMs(requestedAt) };
        const res = await this.ctx.ports.peers.ask(
            host,
            "shared-digest",
            request,
            after(requestedAt, requestTimeoutMs),
        );
        const answer = res.toMaybe().chain(inner => inner.toMaybe()).extract();
        if (answer === undefined) {
            return;
        }
        if (this.isInZone(host)) {
            this.recordStoreAge(answer.storeAgeMs, requestedAt);
        }
        if (answer.numbers !== undefined) {
            const { keysToFetch, keysToOffer } = this.registry.compare(
                new Map(Object.entries(answer.numbers)),
            );
            const numbers = this.registry.numbers();
            await this.fetch(host, keysToFetch, answer.numbers);
            if (keysToOffer.length > 0) {
                await this.notify(host, Object.fromEntries(keysToOffer.map(key => [key, numbers.get(key) ?? 0])));
            }
        }
    }

    private answerDigest({ digest, storeAgeMs }: SharedDigestRequest, from: HostId): SharedDigestResponse {
        const now = this.ctx.clock.now();
        const numbers = digest === this.registry.digest() ? undefined : Object.fromEntries(this.registry.numbers());
        const answer = { storeAgeMs: this.storeReadTracker.ageMs(now), numbers };
        if (this.isInZone(from)) {
            this.recordStoreAge(storeAgeMs, now);
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
        const deadline = after(this.ctx.clock.now(), requestTimeoutMs);
        const res = await this.ctx.ports.peers.ask(host, "shared-fetch", { keys: missing }, deadline);
        missing.forEach(key => this.fetching.delete(key));
        res.ifRight(inner => inner.ifRight(({ entries }) => this.offer(entries)));
    }

    private async notify(host: HostId, numbers: Readonly<Record<string, number>>): Promise<void> {
        const deadline = after(this.ctx.clock.now(), requestTimeoutMs);
        await this.ctx.ports.peers.ask(host, "shared-notice", { numbers }, deadline);
    }

    private recordStoreAge(ageMs: number | undefined, measuredAt: Instant): void {
        if (ageMs !== undefined) {
            this.storeReadTracker.recordRead(after(measuredAt, -ageMs));
        }
    }

    private isInZone(host: HostId): boolean {
        return !this.otherZones.some(other => other.host === host);
    }

    private others(): readonly HostId[] {
        return this.members.live().filter(host => host !== this.ctx.host);
    }

    private pickRandom<Item>(items: readonly Item[], count: number): readonly Item[] {
        return items
            .map(item => ({ item, order: this.ctx.random() }))
            .sort((a, b) => a.order - b.order)
            .slice(0, count)
            .map(({ item }) => item);
    }
}
