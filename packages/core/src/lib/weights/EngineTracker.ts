/** A conductor's state of one engine: its last report, the order that may still be in progress, and failures. */

import { after, type Instant, type TargetId, type WeightVersion } from "../ids.js";
import { type EngineReport } from "../ports/Targets.js";

/** How an order ended. "unknown" means a lost answer, after which the swap may still be in progress. */
export type OrderOutcome = "done" | "failed" | "unknown";

/** The part of an engine's report that a conductor uses. */
export type WeightReport = Pick<EngineReport, "version" | "versionWhole">;

/** Backoff in milliseconds after the first consecutive failure, and its upper limit. It doubles with each failure. */
const backoffMs = { first: 250, max: 4000 } as const;

/** Tracks one engine. */
export class EngineTracker {
    private report: WeightReport | undefined;
    /** Highest version that was ordered, or -1. */
    private highestOrdered = -1;
    /** When an order last began or ended. */
    private changedAt: Instant | undefined;
    /** Until when the last order may still be in progress. */
    private pendingUntil: Instant | undefined;
    /** Number of consecutive failures. */
    private failures = 0;
    private notBefore = 0;

    constructor(readonly target: TargetId) {}

    /** Records the report that was requested at `readAt`; undefined if the engine did not answer. */
    recordReport(report: WeightReport | undefined, readAt: Instant): void {
        const isOlderThanOrder = this.changedAt !== undefined && readAt <= this.changedAt;
        if (isOlderThanOrder && report?.versionWhole === true) {
            return;
        }
        this.report = report;
        if (report?.versionWhole === true && report.version >= this.highestOrdered) {
            this.pendingUntil = undefined;
            this.failures = 0;
        }
    }

    /** Records an order of `version`, which may be in progress until `until`. */
    recordOrder(version: WeightVersion, now: Instant, until: Instant): void {
        this.highestOrdered = Math.max(this.highestOrdered, version);
        this.changedAt = now;
        this.pendingUntil = until;
    }

    /**
     * Records how an order ended. After a failure no order is accepted before `retryNotBefore` or before the backoff
     * ends.
     */
    recordOrderEnd(outcome: OrderOutcome, now: Instant, retryNotBefore?: Instant): void {
        if (outcome === "unknown") {
            return;
        }
        this.pendingUntil = undefined;
        this.changedAt = now;
        if (outcome === "failed") {
            this.report = undefined;
            const waitMs = Math.min(backoffMs.max, backoffMs.first * 2 ** this.failures);
            this.failures++;
            this.notBefore = Math.max(after(now, waitMs), retryNotBefore ?? 0);
        }
    }

    isPending(now: Instant): boolean {
        return this.pendingUntil !== undefined && now < this.pendingUntil;
    }

    /** Whether the engine last reported complete weights and no order is in progress. */
    isServing(now: Instant): boolean {
        return this.report?.versionWhole === true && !this.isPending(now);
    }

    /** Whether there is no valid report and no order is in progress. */
    hasNoReport(now: Instant): boolean {
        return this.report === undefined && !this.isPending(now);
    }

    isBehind(desired: WeightVersion): boolean {
        return this.report !== undefined && (this.report.version < desired || !this.report.versionWhole);
    }

    /** Whether an order of `version` may be sent. It must not be lower than any version reported or ordered before. */
    accepts(version: WeightVersion, now: Instant): boolean {
        return this.isBehind(version) && !this.isPending(now) && now >= this.notBefore
            && version >= this.highestOrdered && version >= (this.report?.version ?? 0);
    }

    describe(): object {
        const { target, report, highestOrdered, pendingUntil, failures } = this;
        return { target, report, highestOrdered, pendingUntil, failures };
    }
}
