/**
 * The rate limits that targets state in their responses. Responses on different connections overtake each other and come
 * from different hosts, so each statement has the interval in which the target made it: from the sending of the request
 * to the arrival of the response. A statement replaces one whose interval ends before its own begins. Of two whose
 * intervals overlap, the lower limit holds until a later response decides.
 */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { type Incarnation, type Instant, type TargetId } from "../ids.js";

/** What one response states about the rate of requests that its target accepts from all hosts together. */
export type RateLimitStatement =
    | { readonly kind: "none"; }
    /** Requests a second. */
    | { readonly kind: "limit"; readonly perSecond: number; }
    | { readonly kind: "invalid"; readonly text: string; };

/** What a target stated at one time. */
export interface RateLimitRecord {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    /** Requests a second that the target accepts from all hosts together; undefined when it states no limit. */
    readonly perSecond: number | undefined;
    readonly sentAt: Instant;
    readonly receivedAt: Instant;
}

/** A record as it is sent to another host, whose clock differs. */
export interface RateLimitReport extends Omit<RateLimitRecord, "sentAt" | "receivedAt"> {
    readonly sentAgeMs: number;
    readonly receivedAgeMs: number;
}

/** A response of a target, with what it states. */
export interface TargetResponse {
    readonly target: TargetEntryView;
    /** When its request was sent. */
    readonly sentAt: Instant;
    readonly rateLimit: RateLimitStatement;
    /** Whether the target says that it is leaving. */
    readonly isLeaving?: boolean;
}

/** What a record did to the table. */
export type RateLimitChange = "changed" | "confirmed" | "ignored";

/** Maximum number of targets in the table; the record that was confirmed least recently is removed first. */
const maxRecords = 10_000;

/** The last valid statement of each target that has stated a limit. */
export class RateLimitTable {
    private readonly records = new Map<TargetId, RateLimitRecord>();
    private readonly revisions = new Map<TargetId, number>();
    private number = 0;

    /** Increases with each change of a limit. */
    get revision(): number {
        return this.number;
    }

    /** The limit of a target's running incarnation, or undefined when it states none. */
    get({ target, incarnation }: Pick<TargetEntryView, "target" | "incarnation">): RateLimitRecord | undefined {
        const known = this.records.get(target);
        return known?.incarnation === incarnation && known.perSecond !== undefined ? known : undefined;
    }

    get all(): readonly RateLimitRecord[] {
        return [...this.records.values()];
    }

    /** The last statement of a target's running incarnation, which may be that it has no limit any more. */
    find({ target, incarnation }: Pick<TargetEntryView, "target" | "incarnation">): RateLimitRecord | undefined {
        const known = this.records.get(target);
        return known?.incarnation === incarnation ? known : undefined;
    }

    /** The records whose limit changed after `revision`. */
    changesSince(revision: number): readonly RateLimitRecord[] {
        return this.all.filter(({ target }) => this.revisions.get(target)! > revision);
    }

    /** Merges a record; the order in which records are merged does not matter once a later response decides. */
    merge(next: RateLimitRecord): RateLimitChange {
        const known = this.records.get(next.target);
        if (known === undefined && next.perSecond === undefined) {
            return "ignored";
        }
        if (known !== undefined && !replaces(next, known)) {
            return "ignored";
        }
        // Reinserted, so that the map is in the order of the last confirmation.
        this.records.delete(next.target);
        this.records.set(next.target, next);
        for (const oldest of this.records.keys()) {
            if (this.records.size <= maxRecords) {
                break;
            }
            this.records.delete(oldest);
            this.revisions.delete(oldest);
        }
        const isSame = known?.perSecond === next.perSecond && known?.incarnation === next.incarnation;
        if (!isSame) {
            this.number++;
            this.revisions.set(next.target, this.number);
        }
        return isSame ? "confirmed" : "changed";
    }
}

function replaces(next: RateLimitRecord, known: RateLimitRecord): boolean {
    if (next.incarnation !== known.incarnation) {
        return next.incarnation > known.incarnation;
    }
    if (next.sentAt >= known.receivedAt) {
        return true;
    }
    if (next.receivedAt <= known.sentAt) {
        return false;
    }
    return next.perSecond === known.perSecond
        ? next.receivedAt > known.receivedAt
        : (next.perSecond ?? Infinity) < (known.perSecond ?? Infinity);
}
