/**
 * Decides when a conductor with callers hands over to a host without callers. Load: all hosts start at once, and now and
 * then one with callers and a third of the processor claims first; it then runs the tasks of all trainers beside its
 * callers for as long as it keeps the claim, and its orders and results come late.
 */

import { after, type Instant } from "../ids.js";

/** What a conductor with callers knows at one time. */
export interface PreferenceInput {
    readonly now: Instant;
    /** When this host's present term began. */
    readonly termBeganAt: Instant;
    /** Whether a host without callers that reaches targets follows this host. */
    readonly hasBetterFollower: boolean;
}

/** Milliseconds for which a term lasts at least, so that the work of the predecessor has been taken over. */
const minTermMs = 4000;

/** Milliseconds for which a host without callers must have followed without a break; a restart takes less. */
const minFollowMs = 2000;

/**
 * Milliseconds before this host hands over once more: if the others cannot claim, as when the store turns them away, the
 * claim returns here, and each change of the conductor costs steps some time.
 */
const handOverIntervalMs = 60_000;

/** Keeps what one host has seen of better conductors. */
export class ConductorPreference {
    private betterSince: Instant | undefined;
    private handedOverAt = -Infinity as Instant;

    /** Whether to hand over at `now`; true at most once in `handOverIntervalMs`. */
    shouldHandOver({ now, termBeganAt, hasBetterFollower }: PreferenceInput): boolean {
        this.betterSince = hasBetterFollower ? this.betterSince ?? now : undefined;
        const isDue = this.betterSince !== undefined && now >= after(this.betterSince, minFollowMs)
            && now >= after(termBeganAt, minTermMs) && now >= after(this.handedOverAt, handOverIntervalMs);
        if (isDue) {
            this.handedOverAt = now;
            this.betterSince = undefined;
        }
        return isDue;
    }
}
