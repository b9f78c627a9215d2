/**
 * One host's leadership term as conductor. The claim is stored under a lease, and its revision is the fencing token.
 * After a claim without a handover, no orders are sent until the predecessor cannot regard its own claim as valid.
 */

import { after, type Instant, type KeyRevision, type LeaseId } from "../ids.js";

/** A claim that this host holds. */
export interface ConductorClaim {
    readonly lease: LeaseId;
    readonly fence: KeyRevision;
}

/**
 * Milliseconds before the lease's deadline from which no order is sent: the maximum time that an order is in flight.
 */
const orderMarginMs = 700;

/** Tracks the lease of one host's term as conductor, and when the host may send orders. */
export class ConductorTerm {
    private claim: ConductorClaim | undefined;
    private lastClaim: ConductorClaim | undefined;
    private validUntil = 0 as Instant;
    private ordersNotBefore = -Infinity as Instant;
    private orderedAt: Instant | undefined;

    get currentClaim(): ConductorClaim | undefined {
        return this.claim;
    }

    /** Fencing token of the current claim, or of the last one once the term has ended. */
    get lastFence(): KeyRevision | undefined {
        return this.lastClaim?.fence;
    }

    /** When this host last sent an order, in this term or an earlier one, or undefined if it sent none. */
    get lastOrderAt(): Instant | undefined {
        return this.orderedAt;
    }

    /** From when on orders may be sent in this term or the last one; before the first term, the distant past. */
    get ordersNotBeforeAt(): Instant {
        return this.ordersNotBefore;
    }

    /** Until when the lease is certain to be valid, or was, once the term has ended. */
    get validUntilAt(): Instant {
        return this.validUntil;
    }

    /** Begins a term under `claim`. Orders may be sent from `ordersNotBefore` until shortly before `validUntil`. */
    begin(claim: ConductorClaim, validUntil: Instant, ordersNotBefore: Instant): void {
        this.claim = claim;
        this.lastClaim = claim;
        this.validUntil = validUntil;
        this.ordersNotBefore = ordersNotBefore;
    }

    /** Sets the time from which orders may be sent. */
    setOrdersNotBefore(at: Instant): void {
        this.ordersNotBefore = at;
    }

    /** Extends the term; ignored unless `lease` is the lease of the current claim. */
    renew(lease: LeaseId, validUntil: Instant): void {
        if (this.claim?.lease === lease) {
            // Answers to renewals may arrive out of order.
            this.validUntil = Math.max(this.validUntil, validUntil) as Instant;
        }
    }

    end(): void {
        this.claim = undefined;
    }

    /** Whether the lease is certain to be valid at `now`. */
    isValid(now: Instant): boolean {
        return this.claim !== undefined && now < this.validUntil;
    }

    /** Whether an order may be sent at `now`. */
    canOrder(now: Instant): boolean {
        return this.claim !== undefined && now >= this.ordersNotBefore && now < after(this.validUntil, -orderMarginMs);
    }

    /**
     * When an order that `canOrder` allowed at `checkedAt` has to end. It counts from the check, so that a process that is paused
     * between the check and the order does not send it after its lease.
     */
    orderDeadline(checkedAt: Instant): Instant {
        return after(checkedAt, orderMarginMs);
    }

    /** Records that an order is sent at `now`. */
    recordOrder(now: Instant): void {
        this.orderedAt = now;
    }
}
