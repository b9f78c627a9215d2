/**
 * Holds back the starts of tasks while their jobs may have ended in the store without this host's knowledge, and detects
 * when this process is late, so that a silent engine or an unreachable store is not taken for the cause.
 */

import { after, type Instant } from "@tamarackpath/core";
import { type JobRegistry } from "./JobRegistry.js";
import { type Journal } from "./Journal.js";

/** Milliseconds by which a check may be late before this process, and not the engines, counts as the cause of silent runs. */
const maxCheckDelayMs = 200;

/** Milliseconds after a late check for which this process counts as late. */
const lateTtlMs = 2000;

/** Decides whether tasks may start. */
export class StartHold {
    /** Until when this process counts as late, because it had more to do than its processor allows or was paused. */
    private lateUntil = 0 as Instant;
    private wasHeldLast = false;

    constructor(private readonly registry: JobRegistry, private readonly journal: Journal) {}

    /** Whether the starts of tasks were held back when that was last asked. */
    get wasHeld(): boolean {
        return this.wasHeldLast;
    }

    /** Whether the starts of tasks are held back at `now`; logs when that begins and ends. */
    isHeld(now: Instant): boolean {
        const isHeld = !this.mayStart(now);
        if (isHeld !== this.wasHeldLast) {
            this.wasHeldLast = isHeld;
            this.journal.log("starts-held", {
                held: isHeld,
                storeReachable: this.registry.isStoreReachable,
                endsAgeMs: this.registry.endsAgeMs(now),
            });
        }
        return isHeld;
    }

    /**
     * Records how late a check at `now` is that was due at `dueAt`; true when this process counts as late. `running` is the
     * number of runs in progress, for the log.
     */
    recordCheckDelay(dueAt: Instant, now: Instant, running: number): boolean {
        if (now - dueAt > maxCheckDelayMs) {
            if (now >= this.lateUntil) {
                this.journal.log("process-late", { ms: now - dueAt, running });
            }
            this.lateUntil = after(now, lateTtlMs);
            return true;
        }
        return false;
    }

    /**
     * Whether tasks may start: their jobs may have ended in the store without this host's knowledge. While the store does
     * not answer, no job can end there, unless the calls to it fail because this process is late itself.
     */
    private mayStart(now: Instant): boolean {
        return this.registry.areEndsKnown(now) || !this.registry.isStoreReachable && now >= this.lateUntil;
    }
}
