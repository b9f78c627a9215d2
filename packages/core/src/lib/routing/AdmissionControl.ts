/** Refuses work early when what waits before it cannot be finished in time at the rate seen lately. */

import { after, type Instant } from "../ids.js";
import { type Work } from "./Work.js";

/** The verdict on new work. */
export type AdmissionVerdict =
    | { readonly admitted: true; }
    | { readonly admitted: false; readonly notBefore: Instant; };

const windowMs = 2000;
const fewestToJudge = 16;

/** Follows how fast a pool hands out slots. */
export class AdmissionControl {
    private readonly grants: Instant[] = [];
    private head = 0;

    /** Notes that waiting work got a slot. */
    granted(now: Instant): void {
        this.grants.push(now);
        this.trim(now);
    }

    /** Judges work with `ahead` pieces before it. */
    judge(work: Work, ahead: number, now: Instant): AdmissionVerdict {
        this.trim(now);
        const count = this.grants.length - this.head;
        if (ahead === 0 || count < fewestToJudge) {
            return { admitted: true };
        }
        const span = Math.max(1, now - this.grants[this.head]!);
        const waitMs = ahead * span / count;
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
