/** Keeps the rate limits that targets state in their responses to this host, and logs each change of one. */

import {
    type Clock,
    type RateLimitRecord,
    RateLimitTable,
    type TargetEntryView,
    type TargetResponse,
} from "@tamarackpath/core";
import { type Journal } from "./Journal.js";

/** The rate limit of a target as fields of a line of the journal. */
export interface RateLimitFields {
    /** Requests a second; undefined without a limit. */
    readonly limitPerSecond: number | undefined;
    readonly limitAgeMs: number | undefined;
    readonly [field: string]: number | undefined;
}

/** The stated rate limits of the targets. */
export class RequestPermits {
    private readonly table = new RateLimitTable();

    constructor(private readonly clock: Clock, private readonly journal: Journal) {}

    /** Records what a target's response to this host states. */
    recordResponse({ target, sentAt, rateLimit }: TargetResponse): void {
        if (rateLimit.kind === "invalid") {
            this.journal.log("rate-limit-rejected", { target: target.target, value: rateLimit.text });
            return;
        }
        this.merge({
            target: target.target,
            incarnation: target.incarnation,
            perSecond: rateLimit.kind === "limit" ? rateLimit.perSecond : undefined,
            sentAt,
            receivedAt: this.clock.now(),
        });
    }

    /** The limit of a target and its age, for a line of the journal. */
    describe(entry: TargetEntryView): RateLimitFields {
        const known = this.table.get(entry);
        return {
            limitPerSecond: known?.perSecond,
            limitAgeMs: known === undefined ? undefined : this.clock.now() - known.receivedAt,
        };
    }

    private merge(record: RateLimitRecord): void {
        const before = this.table.get(record)?.perSecond;
        if (this.table.merge(record) === "changed") {
            this.journal.log("rate-limit-changed", {
                target: record.target,
                perSecond: record.perSecond ?? "none",
                before: before ?? "none",
                ageMs: this.clock.now() - record.receivedAt,
            });
        }
    }
}
