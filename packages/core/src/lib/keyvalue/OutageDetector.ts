/**
 * Distinguishes an outage of a service from calls that failed by this process's own doing. Load: a process that has more
 * to do than its processor allows, or whose link is full of large answers, gives up calls that the service has answered,
 * while other hosts reach the service all the time.
 */

import { type Instant } from "../ids.js";

/**
 * Milliseconds after an answer was due for which the service must have been silent: above the 240 ms that the platform's
 * store takes when it is slowed by a factor of sixty.
 */
const minSilenceMs = 400;

/** A call that was sent and has no answer, after everything that had arrived was read. */
export interface UnansweredCall {
    readonly sentAt: Instant;
    /** When the service would have answered at the latest: `sentAt`, or the end of the wait that the call asked for. */
    readonly dueAt: Instant;
}

/** Keeps when a service was last unavailable to this host. */
export class OutageDetector {
    private heardAt = -Infinity as Instant;
    private outageAt: Instant | undefined;

    /** The latest time at which the service is known to have been unavailable to this host; undefined if it never was. */
    get lastOutageAt(): Instant | undefined {
        return this.outageAt;
    }

    /** Records that bytes of an answer to any call arrived. */
    recordBytes(now: Instant): void {
        this.heardAt = now;
    }

    /** Records that the service said that it is unavailable, or refused a connection, after it was asked at `sentAt`. */
    recordRefusal(sentAt: Instant): void {
        this.recordOutage(sentAt);
    }

    /** Records a call without an answer. It shows an outage only if no call was answered since it was sent. */
    recordSilence({ sentAt, dueAt }: UnansweredCall, now: Instant): void {
        if (now - dueAt >= minSilenceMs && this.heardAt < sentAt) {
            this.recordOutage(sentAt);
        }
    }

    private recordOutage(at: Instant): void {
        if (this.outageAt === undefined || at > this.outageAt) {
            this.outageAt = at;
        }
    }
}
