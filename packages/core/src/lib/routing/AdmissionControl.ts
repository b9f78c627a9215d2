/** Admission control: rejects work that cannot end by its deadline at the recent rate of grants. */

import { after, type Instant } from "../ids.js";
import { type Work } from "./Work.js";

/** The decision on new work. A rejected caller should not retry before `notBefore`. */
export type AdmissionDecision =
    | { readonly admitted: true; }
    | { readonly admitted: false; readonly notBefore: Instant; };

/** Milliseconds over which the rate of grants is measured. */
const windowMs = 2000;

/** Minimum number of grants in the window for an estimate; with fewer, all work is admitted. */
const minGrants = 16;

/** Tracks how fast a pool grants slots, and admits or rejects work by that rate. */
export class AdmissionControl {
    private readonly grants: Instant[] = [];
    private head = 0;

    /** Records that queued work got a slot. */
    recordGrant(now: Instant): void {
        this.grants.push(now);
        this.trim(now);
    }

    /** Decides on work that has `ahead` pieces of work before it in the queue. */
    decide(work: Work, ahead: number, now: Instant): AdmissionDecision {
        this.trim(now);
        const count = this.grants.length - this.head;
        if (ahead === 0 || count < minGrants) {
            return { admitted: true };
        }
        const spanMs = Math.max(1, now - this.grants[this.head]!);
        const waitMs = ahead * spanMs / count;
        const lateMs = now + waitMs + (work.expectedMs ?? 0) - work.deadline;
        return lateMs <= 0 ? { admitted: true } : { admitted: false, notBefore: after(now, Math.ceil(lateMs)) };
    }

    private trim(now: Instant): void {
        while (this.head < this.grants.length && this.grants[this.head]! < now - windowMs) {
            this.head++;
        }
        if (this.head > 1024 && this.head * 2 > this.grants.length) {
            this.grants.splice(0, this.head);
            this.head = 0;
        }
    }
}
