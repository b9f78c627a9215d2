/**
 * Decides until when tasks may be sent to engines, so that none runs long after its job ended elsewhere. Load: other
 * hosts end jobs in the store while the conductor learns of them late, since its processor, a connection or the store is
 * slow. The deadline holds until the request is written, however long it waits for that.
 */

import { after, type Instant } from "../ids.js";

/** What is known at a host of the ends of jobs in the store. */
export interface KnownEnds {
    /** A time until which all ends are known; undefined before the first read. */
    readonly knownUntil: Instant | undefined;
    /**
     * The latest time at which the store is known to have been unavailable to this host: no host can end a job in a store
     * that is out for all, and one that refuses this host alone gives its claim to another within the claim's lifetime.
     */
    readonly lastOutageAt: Instant | undefined;
}

/** Until when tasks may be sent; undefined if they may not be. `maxUnknownEndMs` is how long an end may be unknown. */
export function sendDeadlineOf({ knownUntil, lastOutageAt }: KnownEnds, maxUnknownEndMs: number): Instant | undefined {
    const latest = Math.max(knownUntil ?? -Infinity, lastOutageAt ?? -Infinity);
    return latest === -Infinity ? undefined : after(latest as Instant, maxUnknownEndMs);
}
