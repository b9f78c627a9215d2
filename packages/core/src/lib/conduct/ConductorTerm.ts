/**
 * What a host may do as conductor. The claim lives under a lease; its revision is the fencing token. After a claim that
 * was not handed over, orders wait until the host before can no longer believe that it holds the claim.
 */

import { after, type Instant, type KeyRevision, type LeaseId } from "../ids.js";

/** A claim that this host made. */
export interface ConductorClaim {
    readonly lease: LeaseId;
    readonly fence: KeyRevision;
}

/** Milliseconds before the lease's deadline from which nothing more is ordered: the longest flight of an order. */
const orderMarginMs = 700;

/** The hold of one host on the conductor's duties. */
export class ConductorTerm {
    private claim: ConductorClaim | undefined;
    private validUntil = 0 as Instant;
    private ordersFrom = 0 as Instant;
    private orderedAt: Instant | undefined;

    get currentClaim(): ConductorClaim | undefined {
        return this.claim;
    }

    get lastOrderAt(): Instant | undefined {
        return this.orderedAt;
    }

    begin(claim: ConductorClaim, validUntil: Instant, ordersFrom: Instant): void {
        this.claim = claim;
        this.validUntil = validUntil;
        this.ordersFrom = ordersFrom;
        this.orderedAt = undefined;
    }

    setOrdersNotBefore(at: Instant): void {
        this.ordersFrom = at;
    }

    renew(lease: LeaseId, validUntil: Instant): void {
        if (this.claim?.lease === lease) {
            // Answers to renewals may overtake each other.
            this.validUntil = Math.max(this.validUntil, validUntil) as Instant;
        }
    }

    end(): void {
        this.claim = undefined;
    }

    /** Whether the lease surely still runs. */
    isValid(now: Instant): boolean {
        return this.claim !== undefined && now < this.validUntil;
    }

    canOrder(now: Instant): boolean {
        return this.claim !== undefined && now >= this.ordersFrom && now < after(this.validUntil, -orderMarginMs);
    }

    recordOrder(now: Instant): void {
        this.orderedAt = now;
    }
}
