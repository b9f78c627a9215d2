/**
 * Decides which hosts of a zone read the key-value service. A few preferred hosts watch it. When no host of the zone
 * has read it for some time, the others try occasionally, so that one host that can reach it is enough for the zone.
 */

import { type HostId, type Instant } from "../ids.js";
import { rankNodes } from "../membership/rendezvous.js";

/** What a host does in one round: "watch" the key-value service, "try" to read it once, or neither ("rest"). */
export type StoreReadRole = "watch" | "try" | "rest";

/** Number of hosts of a zone that watch the key-value service. */
export const watchersPerZone = 2;

/** Milliseconds without a read in the zone after which its other hosts try to read. */
export const zoneReadTimeoutMs = 2500;

/** Expected number of hosts of a zone that try to read in one round while a read is overdue. */
const expectedTriesPerRound = 3;
const rankingKey = "store-watch";

/** Tracks when a host of the zone last read the key-value service. */
export class StoreReadTracker {
    private seenAt = Number.NEGATIVE_INFINITY;

    /** Records that a host of the zone read the service at `at`. */
    recordRead(at: Instant): void {
        this.seenAt = Math.max(this.seenAt, at);
    }

    /** Returns the milliseconds since the last read; undefined when none is recorded. */
    ageMs(now: Instant): number | undefined {
        return Number.isFinite(this.seenAt) ? Math.max(0, now - this.seenAt) : undefined;
    }

    /** Returns whether no read has been recorded for `zoneReadTimeoutMs`. */
    isReadOverdue(now: Instant): boolean {
        return now - this.seenAt > zoneReadTimeoutMs;
    }
}

/** Returns the hosts that should watch, the preferred one first. */
export function storeWatchers(live: readonly HostId[]): readonly HostId[] {
    return rankNodes(rankingKey, live).slice(0, watchersPerZone);
}

/** Returns the role of `host` for one round; `random` is a random number between 0 and 1. */
export function chooseStoreReadRole(
    host: HostId,
    live: readonly HostId[],
    reads: StoreReadTracker,
    now: Instant,
    random: number,
): StoreReadRole {
    if (storeWatchers(live).includes(host)) {
        return "watch";
    }
    const isSelected = random < expectedTriesPerRound / Math.max(1, live.length);
    return reads.isReadOverdue(now) && isSelected ? "try" : "rest";
}
