/**
 * Keeps one conductor: the host that reads the platform's documents for the others, runs the jobs and orders weight
 * versions. The claim is a key under a lease. Hosts that hear the conductor leave the store alone; a host that no longer
 * hears it looks the claim up, and claims when there is none. A host that stops hands the claim over in writing.
 */

import {
    after,
    type Clock,
    type ConductorClaim,
    ConductorTerm,
    type HostId,
    type Instant,
    jobKeys,
    type KeyRevision,
    sleepUntil,
    type StoredItem,
    type TransactionalStore,
} from "@tamarackpath/core";
import Emittery from "emittery";
import { pack, unpack } from "msgpackr";
import { type Journal } from "./Journal.js";
import { type RolloutSettings } from "./RolloutSettings.js";

/** What the claim's key holds. */
interface ClaimRecord {
    readonly host: HostId;
    /** Set when the holder gave it up; wall-clock time of its last order, if it gave any. */
    readonly resigned?: { readonly lastOrderAt: number | undefined; };
}

/** What may happen to the claim. */
export interface ConductorEvents {
    readonly claimed: undefined;
    readonly lost: undefined;
    readonly conductor: HostId | undefined;
}

/** Settings of one host's part. */
export interface ConductorOptions {
    readonly self: HostId;
    readonly settings: RolloutSettings;
    /** Milliseconds that this host lets others claim first. */
    readonly claimDelayMs: () => number;
    /** False while the host stops or is to be emptied. */
    readonly mayClaim: () => boolean;
    /** Takes over what the host before has; returns the age of its last order, or undefined when it does not answer. */
    readonly takeOver: (predecessor: HostId, fence: number) => Promise<number | undefined>;
}

/** Milliseconds after which a lookup of the claim is repeated while the conductor is not heard. */
const lookupEveryMs = 400;

/** Renewals without an answer at once: one more than fit into the time limit of a call. */
const mostOpenRenewals = 3;

/**
 * Milliseconds that a new conductor waits for the work of the host before, which answers within a few round trips if at
 * all; what comes later is taken all the same.
 */
const takeOverGraceMs = 120;

/**
 * Milliseconds after an answer of the store for which another host's word of who conducts counts as older: as long as a host
 * may wait for a conductor before it stops to name it.
 */
const storeTrustMs = 1500;

/** Keeps this host's belief in who conducts, and its own claim. */
export class ConductorTask {
    readonly events = new Emittery<ConductorEvents>();
    readonly tenure = new ConductorTerm();
    private believed: HostId | undefined;
    /** The host that conducted last, as far as this one knows. */
    private predecessor: HostId | undefined;
    /** When the store last said who holds the claim. */
    private toldAt = -Infinity as Instant;
    private renewing = false;
    private openRenewals = 0;
    private stopped = false;

    constructor(
        private readonly options: ConductorOptions,
        private readonly store: TransactionalStore,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {}

    /** The host that conducts, as far as this one knows. */
    get conductor(): HostId | undefined {
        return this.believed;
    }

    get isConductor(): boolean {
        return this.tenure.currentClaim !== undefined;
    }

    /** True while no other host can have the claim. */
    get isSure(): boolean {
        return this.tenure.isValid(this.clock.now());
    }

    /** The conductor to name to other hosts; a holder whose claim may have lapsed does not name itself. */
    get vouchedFor(): HostId | undefined {
        return this.isConductor && !this.isSure ? undefined : this.believed;
    }

    /** Looks up who conducts, and claims when nobody does; false when the store did not answer. */
    async lookUp(): Promise<boolean> {
        const found = await this.store.get(jobKeys.claim, "conductor");
        const item = found.toMaybe().extract();
        if (found.isLeft()) {
            await this.pause(lookupEveryMs);
            return false;
        }
        this.toldAt = this.clock.now();
        const record = item === undefined ? undefined : readRecord(item);
        if (record !== undefined && record.resigned === undefined && record.host !== this.options.self) {
            this.believe(record.host);
            return true;
        }
        this.believe(undefined);
        if (this.options.mayClaim()) {
            await this.claim(item, record);
        }
        else {
            await this.pause(lookupEveryMs);
        }
        return true;
    }

    /** Takes another host's word for who conducts, when the store cannot be asked. */
    takeWord(host: HostId | undefined): void {
        const isOlderThanStore = this.clock.now() - this.toldAt < storeTrustMs;
        if (host !== undefined && host !== this.options.self && !this.isConductor && !isOlderThanStore) {
            this.believe(host);
        }
    }

    /** Takes other hosts' word that another host conducts, while this one's claim may have lapsed. */
    takeSuccessor(host: HostId): void {
        if (host !== this.options.self && this.isConductor && !this.isSure) {
            this.lose("Other hosts hear another conductor.");
            this.believe(host);
        }
    }

    /** Takes a change of the claim's key that a watch saw. */
    noteChange(item: StoredItem | undefined): void {
        const claim = this.tenure.currentClaim;
        if (claim !== undefined && item?.revision !== claim.fence) {
            this.lose(item === undefined ? "The claim's key is gone." : "Another host holds the claim.");
            const record = item === undefined ? undefined : readRecord(item);
            if (record !== undefined && record.resigned === undefined && record.host !== this.options.self) {
                this.believe(record.host);
            }
        }
    }

    /** Takes note that another host has the claim under a later `fence`; returns the age of this host's last order. */
    yieldTo(fence: number): number | undefined {
        const claim = this.tenure.currentClaim;
        if (claim !== undefined && claim.fence < fence) {
            this.lose("A successor holds the claim.");
        }
        const { lastOrderAt } = this.tenure;
        return lastOrderAt === undefined ? undefined : this.clock.now() - lastOrderAt;
    }

    /** Gives the claim to whoever takes it next. */
    async resign(): Promise<void> {
        this.stopped = true;
        const claim = this.tenure.currentClaim;
        if (claim === undefined) {
            return;
        }
        const lastOrderAt = this.tenure.lastOrderAt === undefined
            ? undefined
            : Date.now() - (this.clock.now() - this.tenure.lastOrderAt);
        this.tenure.end();
        const record: ClaimRecord = { host: this.options.self, resigned: { lastOrderAt } };
        const res = await this.store.commit(
            {
                expected: [{ key: jobKeys.claim, revision: claim.fence }],
                puts: [{ key: jobKeys.claim, value: pack(record) }],
                removes: [],
            },
            "conductor",
        );
        this.journal.log("conductor-resigned", { written: res.isRight() });
        this.believe(undefined);
        await this.events.emit("lost");
    }

    private async claim(item: StoredItem | undefined, record: ClaimRecord | undefined): Promise<void> {
        await this.pause(
            record?.resigned === undefined ? this.options.claimDelayMs() : this.options.claimDelayMs() / 4,
        );
        const { claimTtlMs } = this.options.settings;
        const leased = await this.store.grantLease(claimTtlMs);
        const lease = leased.toMaybe().extract();
        if (lease === undefined || !this.options.mayClaim()) {
            return;
        }
        const res = await this.store.commit(
            {
                expected: [{ key: jobKeys.claim, revision: item?.revision ?? 0 as KeyRevision }],
                puts: [{ key: jobKeys.claim, value: pack({ host: this.options.self }), lease: lease.id }],
                removes: [],
            },
            "conductor",
        );
        await res.caseOf<Promise<void>>({
            Left: async () => undefined,
            Right: async result => {
                if (result.kind === "committed") {
                    await this.begin({ lease: lease.id, fence: result.revision }, lease.deadline, record);
                }
            },
        });
    }

    private async begin(claim: ConductorClaim, deadline: Instant, before: ClaimRecord | undefined): Promise<void> {
        const claimedAt = this.clock.now();
        const { orderCalmMs } = this.options.settings;
        const resignedAt = before?.resigned?.lastOrderAt;
        const wasOwn = before?.host === this.options.self;
        const calmMs = before?.resigned === undefined
            ? wasOwn ? 0 : orderCalmMs
            : resignedAt === undefined
            ? 0
            : Math.max(0, resignedAt + orderCalmMs - Date.now());
        this.tenure.begin(claim, deadline, after(claimedAt, calmMs));
        this.journal.log("conductor-claimed", { fence: claim.fence, ordersInMs: calmMs });
        const predecessor = before?.host ?? this.believed ?? this.predecessor;
        void this.renew();
        if (predecessor !== undefined && predecessor !== this.options.self) {
            await Promise.race([this.takeOver(predecessor, claim), this.pause(takeOverGraceMs)]);
        }
        if (this.tenure.currentClaim === claim) {
            this.believe(this.options.self);
            await this.events.emit("claimed");
        }
    }

    /** Takes what the host before has; its last order may allow earlier orders here. */
    private async takeOver(predecessor: HostId, claim: ConductorClaim): Promise<void> {
        const lastOrderAgeMs = await this.options.takeOver(predecessor, claim.fence);
        if (lastOrderAgeMs !== undefined && this.tenure.currentClaim === claim) {
            const calmMs = Math.max(0, this.options.settings.orderCalmMs - lastOrderAgeMs);
            this.tenure.setOrdersNotBefore(after(this.clock.now(), calmMs));
        }
    }

    /** Renews the lease at regular times; a renewal without an answer does not hold the next one back. */
    private async renew(): Promise<void> {
        if (this.renewing) {
            return;
        }
        this.renewing = true;
        try {
            while (this.tenure.currentClaim !== undefined && !this.stopped) {
                await this.pause(this.options.settings.claimRenewMs);
                const claim = this.tenure.currentClaim as ConductorClaim | undefined;
                if (claim !== undefined && this.openRenewals < mostOpenRenewals) {
                    void this.renewOnce(claim);
                }
            }
        }
        finally {
            this.renewing = false;
        }
    }

    private async renewOnce(claim: ConductorClaim): Promise<void> {
        this.openRenewals++;
        const res = await this.store.renewLease(claim.lease, this.options.settings.claimTtlMs);
        this.openRenewals--;
        res.ifRight(lease => {
            if (lease !== undefined) {
                this.tenure.renew(lease.id, lease.deadline);
            }
            else if (this.tenure.currentClaim === claim) {
                this.lose("The lease has ended.");
            }
        });
    }

    private lose(reason: string): void {
        if (this.tenure.currentClaim === undefined) {
            return;
        }
        this.journal.log("conductor-lost", { fence: this.tenure.currentClaim.fence, reason });
        this.tenure.end();
        this.believe(undefined);
        void this.events.emit("lost");
    }

    private believe(host: HostId | undefined): void {
        if (host !== this.believed) {
            this.predecessor = this.believed ?? this.predecessor;
            this.believed = host;
            this.journal.log("conductor-changed", { conductor: host ?? "none" });
            void this.events.emit("conductor", host);
        }
    }

    private pause(ms: number): Promise<void> {
        return sleepUntil(this.clock, after(this.clock.now(), ms));
    }
}

function readRecord(item: StoredItem): ClaimRecord {
    return unpack(item.value) as ClaimRecord;
}
