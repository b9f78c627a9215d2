/**
 * Distinguishes an outage of a service from calls that failed for a reason of this host. Load: a process that has more to
 * do than its processor allows, or whose link is full, gives up calls that the service carries out, while other hosts
 * reach the service all the time. A call that was given up therefore shows nothing.
 */

import { type Instant } from "../ids.js";

/** Keeps when a service was last unavailable to this host. */
export class OutageDetector {
    private contactAt = -Infinity as Instant;
    private answeredAt = -Infinity as Instant;
    private outageAt: Instant | undefined;

    /**
     * The latest time at which the service is known to have been unavailable to this host; undefined if it never was, or if it
     * has carried out a call since.
     */
    get lastOutageAt(): Instant | undefined {
        return this.outageAt !== undefined && this.outageAt > this.answeredAt ? this.outageAt : undefined;
    }

    /** Records that the service answered a call otherwise than by a refusal. */
    recordAnswer(now: Instant): void {
        this.answeredAt = now;
    }

    /** Records that bytes of the service arrived, or that a connection to it is open. */
    recordContact(now: Instant): void {
        this.contactAt = now;
    }

    /** Records that the service said that it is unavailable, or refused a connection, after it was asked at `askedAt`. */
    recordRefusal(askedAt: Instant): void {
        this.recordOutage(askedAt);
    }

    /**
     * Records that a connection that was requested at `askedAt` did not open within its time limit. It shows an outage only
     * if there was no contact since then.
     */
    recordNoConnection(askedAt: Instant): void {
        if (this.contactAt < askedAt) {
            this.recordOutage(askedAt);
        }
    }

    private recordOutage(at: Instant): void {
        if (this.outageAt === undefined || at > this.outageAt) {
            this.outageAt = at;
        }
    }
}
