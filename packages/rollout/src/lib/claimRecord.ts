/**
 * The record that the claim's key holds, and what it tells of orders. Orders of two hosts must be a while apart, so each
 * record says when its holder, or one before it, may have sent the last one.
 */

import { type HostId, type StoredItem } from "@tamarackpath/core";
import { unpack } from "msgpackr";

/** The value of the claim's key. */
export interface ClaimRecord {
    readonly host: HostId;
    /**
     * Unix milliseconds from which the holder may send orders, since an earlier holder may have sent some shortly before the
     * claim. Claims of earlier software have none.
     */
    readonly ordersNotBefore?: number;
    /** Set when the holder resigned. `lastOrderAt`, in Unix milliseconds, is when it or a holder before it last sent an order. */
    readonly resigned?: { readonly lastOrderAt: number | undefined; };
}

export function decodeClaim(item: StoredItem): ClaimRecord {
    return unpack(item.value) as ClaimRecord;
}

/**
 * Milliseconds for which a claim of `self` that replaces `previous` gives no right to send orders; `orderCalmMs` is the time
 * between the orders of two hosts.
 */
export function orderDelayAfter(previous: ClaimRecord | undefined, self: HostId, orderCalmMs: number): number {
    const now = Date.now();
    const allowedAt = previous?.resigned !== undefined
        ? (previous.resigned.lastOrderAt ?? -Infinity) + orderCalmMs
        : previous?.host === self
        ? previous.ordersNotBefore ?? now
        : now + orderCalmMs;
    // The clocks of hosts differ.
    return Math.min(orderCalmMs, Math.max(0, allowedAt - now));
}
