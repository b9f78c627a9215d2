/**
 * Holds back the starts of tasks while their jobs may have ended in the store without this host's knowledge, and detects
 * when this process is late, so that its runs are not taken for silent.
 */

import { after, type Instant } from "@tamarackpath/core";
import { type JobRegistry } from "./JobRegistry.js";
import { type Journal } from "./Journal.js";

/** Milliseconds by which a check may be late before this process, and not the engines, counts as the cause of silent runs. */
const maxCheckDelayMs = 200;

/** Milliseconds after a late check for which further ones are not logged. */
const lateLogIntervalMs = 2000;

/** Decides until when tasks may be sent. */
export class StartHold {
    private lateLoggedUntil = 0 as Instant;
    private wasHeldLast = false;

    constructor(private readonly registry: JobRegistry, private readonly journal: Journal) {}

    /** Whether the starts of tasks were held back when that was last asked. */
    get wasHeld(): boolean {
        return this.wasHeldLast;
    }

    /**
     * Until when tasks that are chosen at `now` may be sent; undefined while starts are held back. Logs when that begins
     * and ends.
     */
    sendDeadline(now: Instant): Instant | undefined {
        const { sendDeadline } = this.registry;
        const isHeld = sendDeadline === undefined || now >= sendDeadline;
        if (isHeld !== this.wasHeldLast) {
            this.wasHeldLast = isHeld;
            this.journal.log("starts-held", {
                held: isHeld,
                endsAgeMs: this.registry.endsAgeMs(now),
                outageAgeMs: this.registry.outageAgeMs(now),
            });
        }
        return isHeld ? undefined : sendDeadline;
    }

    /**
     * Records how late a check at `now` is that was due at `dueAt`; true when this process counts as late. `running` is the
     * number of runs in progress, for the log.
     */
    recordCheckDelay(dueAt: Instant, now: Instant, running: number): boolean {
        if (now - dueAt > maxCheckDelayMs) {
            if (now >= this.lateLoggedUntil) {
                this.journal.log("process-late", { ms: now - dueAt, running });
            }
            this.lateLoggedUntil = after(now, lateLogIntervalMs);
            return true;
        }
        return false;
    }
}
