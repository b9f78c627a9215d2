/**
 * Decides which hosts of a zone read the key-value service. A few preferred hosts watch it; when nobody in the zone
 * has read it for a while, the others try now and then, so that any host that can reach it serves the zone.
 */

import { type HostId, type Instant } from "../ids.js";
import { rankNodes } from "../membership/rendezvous.js";

/** What a host does about the key-value service in one round. */
export type StoreReadRole = "watch" | "try" | "rest";

/** Hosts of a zone that watch the key-value service. */
export const watchersPerZone = 2;

/** Milliseconds without a read in the zone after which its other hosts try. */
export const zoneReadTimeoutMs = 2500;

const triesPerRound = 3;
const dutyKey = "store-watch";

/** Tracks when the zone last read the key-value service. */
export class StoreReadTracker {
    private seenAt = Number.NEGATIVE_INFINITY;

    /** Notes that a host of the zone read the service at `at`. */
    recordRead(at: Instant): void {
        this.seenAt = Math.max(this.seenAt, at);
    }

    /** Milliseconds since the last read, or undefined when none is known. */
    ageMs(now: Instant): number | undefined {
        return Number.isFinite(this.seenAt) ? Math.max(0, now - this.seenAt) : undefined;
    }

    isReadOverdue(now: Instant): boolean {
        return now - this.seenAt > zoneReadTimeoutMs;
    }
}

/** The hosts that should watch, preferred first. */
export function storeWatchers(live: readonly HostId[]): readonly HostId[] {
    return rankNodes(dutyKey, live).slice(0, watchersPerZone);
}

/** The duty of `host`; `random` lies between 0 and 1. */
export function chooseStoreReadRole(
    host: HostId,
    live: readonly HostId[],
    sight: StoreReadTracker,
    now: Instant,
    random: number,
): StoreReadRole {
    if (storeWatchers(live).includes(host)) {
        return "watch";
    }
    const isDrawn = random < triesPerRound / Math.max(1, live.length);
    return sight.isReadOverdue(now) && isDrawn ? "try" : "rest";
}
