/** What a conductor knows of one engine: its last report, the order that may still be under way, and failures. */

import { after, type Instant, type TargetId, type WeightVersion } from "../ids.js";
import { type EngineReport } from "../ports/Targets.js";

/** How an order ended: "unknown" stands for a lost answer, after which the swap may still be under way. */
export type OrderOutcome = "done" | "failed" | "unknown";

/** The part of a report that conducting needs. */
export type WeightReport = Pick<EngineReport, "version" | "versionWhole">;

const backoffMs = { first: 250, longest: 4000 } as const;

/** Follows one engine. */
export class EngineTracker {
    private report: WeightReport | undefined;
    private highestOrdered = -1;
    /** When an order last began or ended. */
    private changedAt: Instant | undefined;
    private pendingUntil: Instant | undefined;
    private failures = 0;
    private notBefore = 0;

    constructor(readonly target: TargetId) {}

    /** Takes the report of a reading begun at `readAt`; undefined when the engine did not answer. */
    noteReport(report: WeightReport | undefined, readAt: Instant): void {
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

    noteOrdered(version: WeightVersion, now: Instant, until: Instant): void {
        this.highestOrdered = Math.max(this.highestOrdered, version);
        this.changedAt = now;
        this.pendingUntil = until;
    }

    noteOrderEnd(outcome: OrderOutcome, now: Instant, retryNotBefore?: Instant): void {
        if (outcome === "unknown") {
            return;
        }
        this.pendingUntil = undefined;
        this.changedAt = now;
        if (outcome === "failed") {
            this.report = undefined;
            const waitMs = Math.min(backoffMs.longest, backoffMs.first * 2 ** this.failures);
            this.failures++;
            this.notBefore = Math.max(after(now, waitMs), retryNotBefore ?? 0);
        }
    }

    isPending(now: Instant): boolean {
        return this.pendingUntil !== undefined && now < this.pendingUntil;
    }

    /** True when the engine last said that its weights are whole and no order has begun since. */
    isServing(now: Instant): boolean {
        return this.report?.versionWhole === true && !this.isPending(now);
    }

    /** True when nothing is known of the engine's weights. */
    isUnknown(now: Instant): boolean {
        return this.report === undefined && !this.isPending(now);
    }

    isBehind(desired: WeightVersion): boolean {
        return this.report !== undefined && (this.report.version < desired || !this.report.versionWhole);
    }

    /** Whether an order to be at `version` may be sent: never a lower one than reported or ordered before. */
    accepts(version: WeightVersion, now: Instant): boolean {
        return this.isBehind(version) && !this.isPending(now) && now >= this.notBefore
            && version >= this.highestOrdered && version >= (this.report?.version ?? 0);
    }

    describe(): object {
        const { target, report, highestOrdered, pendingUntil, failures } = this;
        return { target, report, highestOrdered, pendingUntil, failures };
    }
}
