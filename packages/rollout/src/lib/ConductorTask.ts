/**
 * Elects the conductor: the one host that reads the platform's documents for the others, runs the jobs and orders
 * weight versions. The claim is a key in the store under a lease. Hosts that receive answers from the conductor do not
 * read the claim. A host that receives none looks it up, and makes its own claim when there is none. A conductor that
 * stops resigns by a write to the claim's key.
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
import { pack } from "msgpackr";
import { type ClaimRecord, decodeClaim, orderDelayAfter } from "./claimRecord.js";
import { type Journal } from "./Journal.js";
import { type RolloutSettings } from "./RolloutSettings.js";

/** Events of the claim; `conductor` carries the new conductor, or undefined when none is known. */
export interface ConductorEvents {
    readonly claimed: undefined;
    /** This host's term has ended; always before `claimed` of its next term. */
    readonly lost: undefined;
    /** Other hosts may look for the next conductor: after `lost`, and when this host resigns, after the write to the store. */
    readonly released: undefined;
    readonly conductor: HostId | undefined;
}

/** Options of a conductor task. */
export interface ConductorOptions {
    readonly self: HostId;
    readonly settings: RolloutSettings;
    /** Milliseconds that this host waits before it claims, so that preferred hosts claim first. */
    readonly claimDelayMs: () => number;
    /** False while the host stops or is being retired. */
    readonly canClaim: () => boolean;
    /**
     * Takes over the previous conductor's work. The request must be sent before `deadline`, when this host's lease may
     * end. Returns the age of the predecessor's last order in milliseconds, or undefined when it does not answer.
     */
    readonly takeOver: (predecessor: HostId, fence: KeyRevision, deadline: Instant) => Promise<number | undefined>;
}

/** Milliseconds between lookups of the claim while there is no conductor to follow. */
const claimLookupIntervalMs = 400;

/** Upper limit of concurrent renewals: one more than fit into the time limit of a call. */
const maxOpenRenewals = 3;

/**
 * Milliseconds that a new conductor waits for the previous conductor's work. A host that can answer does so within a
 * few round trips; work that arrives later is still taken over.
 */
const takeOverWaitMs = 120;

/**
 * Milliseconds for which an answer of the store takes precedence over another host's report of the conductor. Such a
 * report may be this old, because a host waits that long for its conductor's answer before it stops reporting it.
 */
const storeAnswerTtlMs = 1500;

/** Tracks which host conducts, and makes, renews and ends this host's own claim. */
export class ConductorTask {
    readonly events = new Emittery<ConductorEvents>();
    readonly term = new ConductorTerm();
    private currentConductor: HostId | undefined;
    /** Fencing token of the claim of `currentConductor`, if it is known; earlier software does not tell it. */
    private conductorFence: KeyRevision | undefined;
    /** The last known conductor before the current one. */
    private predecessor: HostId | undefined;
    /** When the store last answered a lookup of the claim. */
    private lastStoreAnswerAt = -Infinity as Instant;
    /** The highest fencing token of a claim that this host has held or seen. */
    private latestFence = 0 as KeyRevision;
    private isRenewing = false;
    private openRenewals = 0;
    private stopped = false;

    constructor(
        private readonly options: ConductorOptions,
        private readonly store: TransactionalStore,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {}

    /** The conductor as last read, reported or claimed; undefined when none is known. */
    get conductor(): HostId | undefined {
        return this.currentConductor;
    }

    get isConductor(): boolean {
        return this.term.currentClaim !== undefined;
    }

    /** True while this host's lease is certain to run, so that no other host can hold the claim. */
    get isSure(): boolean {
        return this.term.isValid(this.clock.now());
    }

    /** The conductor to report to other hosts; a holder whose claim may have lapsed does not report itself. */
    get confirmedConductor(): HostId | undefined {
        return this.isConductor && !this.isSure ? undefined : this.currentConductor;
    }

    /** Looks the claim up in the store, and claims when no host holds it; false when the store did not answer. */
    async lookUpClaim(): Promise<boolean> {
        const found = await this.store.get(jobKeys.claim, "conductor");
        const item = found.toMaybe().extract();
        if (found.isLeft()) {
            await this.pause(claimLookupIntervalMs);
            return false;
        }
        this.lastStoreAnswerAt = this.clock.now();
        this.recordFence(item?.revision);
        const record = item === undefined ? undefined : decodeClaim(item);
        if (record !== undefined && record.resigned === undefined && record.host !== this.options.self) {
            this.setConductor(record.host, item?.revision);
            return true;
        }
        this.setConductor(undefined);
        if (this.options.canClaim()) {
            await this.claim(item, record);
        }
        else {
            await this.pause(claimLookupIntervalMs);
        }
        return true;
    }

    /**
     * Adopts the conductor that another host reports, unless the store has answered more recently. `fence` is undefined in
     * reports of earlier software.
     */
    adoptReportedConductor(host: HostId | undefined, fence: KeyRevision | undefined): void {
        const isOlderThanStore = this.clock.now() - this.lastStoreAnswerAt < storeAnswerTtlMs;
        const isStale = isOlderThanStore || fence !== undefined && this.isOutdated(fence);
        if (host !== undefined && host !== this.options.self && !this.isConductor && !isStale) {
            this.recordFence(fence);
            this.setConductor(host, fence);
        }
    }

    /**
     * Records under which claim a host says that it conducts; false when a later claim is known. The conductor's next claim
     * makes it a new conductor, as its process may have started anew.
     */
    recordTerm(host: HostId, fence: KeyRevision): boolean {
        if (this.isOutdated(fence)) {
            return false;
        }
        this.recordFence(fence);
        if (host === this.currentConductor) {
            this.setConductor(host, fence);
        }
        return true;
    }

    /**
     * Adopts a successor that other hosts report, while this host's own claim may have lapsed. `fence` is the successor's
     * fencing token; hosts of earlier software report none.
     */
    adoptReportedSuccessor(host: HostId, fence: KeyRevision | undefined): void {
        const claim = this.term.currentClaim;
        const isStale = claim !== undefined && fence !== undefined && fence < claim.fence;
        if (host !== this.options.self && claim !== undefined && !this.isSure && !isStale) {
            this.endTerm("Other hosts report another conductor.", fence);
            this.setConductor(host, fence);
        }
    }

    /**
     * Applies the state of the claim's key at the store's revision `asOf`, as a watch or a failed write showed it. A state
     * from before this host's claim says nothing about that claim.
     */
    applyClaimChange(item: StoredItem | undefined, asOf: KeyRevision): void {
        const claim = this.term.currentClaim;
        this.recordFence(item?.revision);
        if (claim !== undefined && asOf >= claim.fence && item?.revision !== claim.fence) {
            this.endTerm(
                item === undefined ? "The claim's key was removed." : "Another host holds the claim.",
                item?.revision,
            );
            const record = item === undefined ? undefined : decodeClaim(item);
            if (record !== undefined && record.resigned === undefined && record.host !== this.options.self) {
                this.setConductor(record.host, item?.revision);
            }
        }
    }

    /**
     * Ends this host's term, and with it its work, when `successor` holds the claim under the later fencing token `fence`.
     * False when this host has held or seen a later claim: the sender's has lapsed, as when its process was paused.
     */
    yieldTo(successor: HostId, fence: KeyRevision): boolean {
        if (this.isOutdated(fence) || fence === this.term.currentClaim?.fence) {
            this.journal.log("yield-refused", {
                from: successor,
                fence: this.term.currentClaim?.fence,
                latestFence: this.latestFence,
                otherFence: fence,
                leaseLeftMs: this.isConductor ? this.leaseLeftMs : undefined,
            });
            return false;
        }
        this.endTerm("A successor holds the claim.", fence);
        this.recordFence(fence);
        if (this.currentConductor === undefined || this.currentConductor === this.options.self) {
            this.setConductor(successor, fence);
        }
        return true;
    }

    /**
     * Milliseconds since the last order of this host, or since one that an earlier holder may have sent; undefined when this
     * host has never held the claim.
     */
    get lastOrderAgeMs(): number | undefined {
        const { lastOrderAt = -Infinity, ordersNotBeforeAt } = this.term;
        const earlierOrderAt = after(ordersNotBeforeAt, -this.options.settings.orderCalmMs);
        const ageMs = this.clock.now() - Math.max(lastOrderAt, earlierOrderAt);
        return Number.isFinite(ageMs) ? ageMs : undefined;
    }

    /** Records that a claim under `fence` has existed. */
    private recordFence(fence: KeyRevision | undefined): void {
        if (fence !== undefined && fence > this.latestFence) {
            this.latestFence = fence;
        }
    }

    /** Whether a claim later than the one under `fence` has existed. */
    private isOutdated(fence: KeyRevision): boolean {
        return fence < this.latestFence;
    }

    /** Ends this host's term and marks the claim as resigned, so that the next host may take it at once. */
    async resign(): Promise<void> {
        this.stopped = true;
        await this.stepDown();
    }

    /** Gives the claim up for another host; this host may claim again later. */
    async stepDown(): Promise<void> {
        const claim = this.term.currentClaim;
        if (claim === undefined) {
            return;
        }
        const { leaseLeftMs, lastOrderAgeMs } = this;
        const lastOrderAt = lastOrderAgeMs === undefined ? undefined : Date.now() - lastOrderAgeMs;
        this.term.end();
        // While the write is on its way this host may claim again, and a later event would stop its new term's work.
        void this.events.emit("lost");
        const record: ClaimRecord = { host: this.options.self, resigned: { lastOrderAt } };
        const res = await this.store.commit(
            {
                expected: [{ key: jobKeys.claim, revision: claim.fence }],
                puts: [{ key: jobKeys.claim, value: pack(record) }],
                removes: [],
            },
            "conductor",
        );
        this.journal.log("conductor-resigned", { fence: claim.fence, leaseLeftMs, written: res.isRight() });
        // Meanwhile this host may have claimed again or found a successor.
        if (!this.isConductor && this.currentConductor === this.options.self) {
            this.setConductor(undefined);
        }
        await this.events.emit("released");
    }

    private async claim(item: StoredItem | undefined, record: ClaimRecord | undefined): Promise<void> {
        await this.pause(
            record?.resigned === undefined ? this.options.claimDelayMs() : this.options.claimDelayMs() / 4,
        );
        const { claimTtlMs } = this.options.settings;
        const leased = await this.store.grantLease(claimTtlMs);
        const lease = leased.toMaybe().extract();
        if (lease === undefined || !this.options.canClaim() || this.clock.now() >= lease.deadline) {
            return;
        }
        const orderDelayMs = orderDelayAfter(record, this.options.self, this.options.settings.orderCalmMs);
        const claimed: ClaimRecord = { host: this.options.self, ordersNotBefore: Date.now() + orderDelayMs };
        const res = await this.store.commit(
            {
                expected: [{ key: jobKeys.claim, revision: item?.revision ?? 0 as KeyRevision }],
                puts: [{ key: jobKeys.claim, value: pack(claimed), lease: lease.id }],
                removes: [],
            },
            "conductor",
        );
        await res.caseOf<Promise<void>>({
            Left: async () => undefined,
            Right: async result => {
                if (result.kind !== "committed") {
                    return;
                }
                const claim = { lease: lease.id, fence: result.revision };
                this.recordFence(claim.fence);
                // The answer may have been delayed, or this process paused, until another host holds the claim.
                if (this.clock.now() >= lease.deadline) {
                    this.logLoss(claim, "The lease ended before the answer to the claim.", undefined, lease.deadline);
                    return;
                }
                await this.beginTerm(claim, lease.deadline, orderDelayMs, record?.host);
            },
        });
    }

    private async beginTerm(
        claim: ConductorClaim,
        deadline: Instant,
        orderDelayMs: number,
        previousHolder: HostId | undefined,
    ): Promise<void> {
        this.term.begin(claim, deadline, after(this.clock.now(), orderDelayMs));
        if (!this.options.canClaim()) {
            // The host began to stop while the claim was on its way.
            await this.stepDown();
            return;
        }
        this.journal.log("conductor-claimed", { fence: claim.fence, ordersInMs: orderDelayMs });
        const predecessor = previousHolder ?? this.currentConductor ?? this.predecessor;
        void this.renewLoop();
        if (predecessor !== undefined && predecessor !== this.options.self) {
            await Promise.race([this.takeOver(predecessor, claim), this.pause(takeOverWaitMs)]);
        }
        if (this.term.currentClaim === claim && !this.isSure) {
            this.endTerm("The lease ended before the work began.");
        }
        if (this.term.currentClaim === claim) {
            this.setConductor(this.options.self, claim.fence);
            await this.events.emit("claimed");
        }
    }

    /** Takes over the previous conductor's work; the age of its last order may allow this host to order earlier. */
    private async takeOver(predecessor: HostId, claim: ConductorClaim): Promise<void> {
        const lastOrderAgeMs = await this.options.takeOver(predecessor, claim.fence, this.term.validUntilAt);
        if (lastOrderAgeMs !== undefined && this.term.currentClaim === claim) {
            const orderDelayMs = Math.max(0, this.options.settings.orderCalmMs - lastOrderAgeMs);
            this.term.setOrdersNotBefore(after(this.clock.now(), orderDelayMs));
        }
    }

    /** Renews the lease at regular intervals; a renewal without an answer does not delay the next one. */
    private async renewLoop(): Promise<void> {
        if (this.isRenewing) {
            return;
        }
        this.isRenewing = true;
        try {
            while (this.term.currentClaim !== undefined && !this.stopped) {
                await this.pause(this.options.settings.claimRenewMs);
                const claim = this.term.currentClaim as ConductorClaim | undefined;
                if (claim !== undefined && this.openRenewals < maxOpenRenewals) {
                    void this.renewOnce(claim);
                }
            }
        }
        finally {
            this.isRenewing = false;
        }
    }

    private async renewOnce(claim: ConductorClaim): Promise<void> {
        this.openRenewals++;
        const res = await this.store.renewLease(claim.lease, this.options.settings.claimTtlMs);
        this.openRenewals--;
        res.ifRight(lease => {
            if (lease !== undefined) {
                this.term.renew(lease.id, lease.deadline);
            }
            else if (this.term.currentClaim === claim) {
                this.endTerm("The lease has ended.");
            }
        });
    }

    /** Milliseconds until this host's lease may end; negative when it may have ended already. */
    private get leaseLeftMs(): number {
        return this.term.validUntilAt - this.clock.now();
    }

    private endTerm(reason: string, otherFence?: KeyRevision): void {
        const claim = this.term.currentClaim;
        if (claim === undefined) {
            return;
        }
        this.logLoss(claim, reason, otherFence, this.term.validUntilAt);
        this.term.end();
        this.setConductor(undefined);
        void this.events.emit("lost");
        void this.events.emit("released");
    }

    /** Logs that `claim` is lost; `otherFence` is the fencing token of the claim that took its place, if it is known. */
    private logLoss(
        claim: ConductorClaim,
        reason: string,
        otherFence: KeyRevision | undefined,
        leaseDeadline: Instant,
    ): void {
        this.journal.log("conductor-lost", {
            fence: claim.fence,
            otherFence,
            leaseLeftMs: leaseDeadline - this.clock.now(),
            reason,
        });
    }

    private setConductor(host: HostId | undefined, fence?: KeyRevision): void {
        const isSameClaim = fence === undefined || fence === this.conductorFence;
        if (host === this.currentConductor && isSameClaim) {
            return;
        }
        if (host !== this.currentConductor) {
            this.predecessor = this.currentConductor ?? this.predecessor;
        }
        this.currentConductor = host;
        this.conductorFence = fence;
        this.journal.log("conductor-changed", { conductor: host ?? "none", otherFence: fence });
        void this.events.emit("conductor", host);
    }

    private pause(ms: number): Promise<void> {
        return sleepUntil(this.clock, after(this.clock.now(), ms));
    }
}
