/**
 * Decides what the holder of the duty does next for the reports of use: read the stored record, fix windows by a conditional
 * write, or send a report. It answers holders that are lost between any two of these, writes and calls whose answers are lost,
 * and a platform that is slow or refuses calls.
 *
 * What the store holds is the truth. After a write without an answer the record is read again; a late write and a repeated one
 * expect the same revision, so that only one of them takes effect. Only counts that the store is known to hold are sent.
 */

import { after, type Instant, type KeyRevision } from "../ids.js";
import { type DutyCallEnd, type UsageReport } from "../ports/DutyPlatform.js";
import { windowAt } from "./UsageCounter.js";
import { type UsageLedger } from "./UsageLedger.js";
import { firstWindowToFix, fixWindows, type UsageRecord } from "./UsageRecord.js";

/** Milliseconds after the end of a window at which it is fixed: three pulls of a host's view. */
const fixDelayMs = 2500;

/**
 * The same if a host that reported during the window has not done so since: a zone may be cut off for 5 s, and its hosts need
 * up to a pull to return. The report is due 10 s after the end. A successor may need 5 s from the loss of this host until it
 * may send calls, so a report is late if a host is cut off and the holder is lost in the last second of this time.
 */
const maxFixDelayMs = 6000;

/** Milliseconds from the begin of a term until windows are fixed, within which hosts find the new conductor and send their counts. */
const listeningMs = 2000;

/**
 * Milliseconds between two steps from which this process counts as having been paused: more than a call takes. What hosts sent
 * meanwhile may be lost or not be read yet, so it listens anew before it fixes windows.
 */
const maxStepGapMs = 1000;

/** Milliseconds until a call is repeated; the time doubles with each failure. */
const retryDelayMs = { first: 200, max: 2000 } as const;

/** Number of times that a report is sent which the platform does not accept as it is. */
const maxRejections = 3;

/** What to do next. */
export type UsageStep =
    | { readonly kind: "wait"; }
    | { readonly kind: "read"; }
    /** Write `record` if the stored one is at `revision`. */
    | {
        readonly kind: "write";
        readonly record: UsageRecord;
        readonly revision: KeyRevision;
        /** The windows that this write fixes. */
        readonly fixed: readonly UsageReport[];
        /** Number of windows that are never reported, because too many are unreported. */
        readonly dropped: number;
    }
    | { readonly kind: "send"; readonly report: UsageReport; };

/** The record as the store is known to hold it; the revision of an absent one is 0. */
interface KnownRecord {
    readonly record: UsageRecord | undefined;
    readonly revision: KeyRevision;
}

/** Decides the steps of one term. */
export class UsageReporter {
    private known: KnownRecord | undefined;
    private readonly settled = new Set<number>();
    private failures = 0;
    private rejections = 0;
    private storeFailures = 0;
    private listensSince: Instant;
    private lastStepAt: Instant;
    private nextReadAt = -Infinity as Instant;
    private nextCallAt = -Infinity as Instant;

    /**
     * The term begins at `begunAt`, which is `timeOfDay` in Unix milliseconds. `callIntervalMs` is the least time between calls,
     * and `expectedHosts` the number of hosts that are waited for in the windows that began before the term.
     */
    constructor(
        private readonly ledger: UsageLedger,
        private readonly windowMs: number,
        private readonly callIntervalMs: number,
        begunAt: Instant,
        private readonly timeOfDay: number,
        private readonly expectedHosts: number,
    ) {
        this.listensSince = begunAt;
        this.lastStepAt = begunAt;
    }

    /** The newest fixed window in the store, or undefined while it is not known. */
    get fixedTo(): number | undefined {
        return this.known?.record?.fixedTo;
    }

    /** The fixed windows that are not reported yet. */
    get unreported(): readonly UsageReport[] {
        return (this.known?.record?.unreported ?? []).filter(({ window }) => !this.settled.has(window));
    }

    /** The next step at `now`, which is `timeOfDay` in Unix milliseconds. */
    next(now: Instant, timeOfDay: number): UsageStep {
        if (now - this.lastStepAt > maxStepGapMs) {
            this.listensSince = now;
        }
        this.lastStepAt = now;
        if (this.known === undefined) {
            return { kind: now < this.nextReadAt ? "wait" : "read" };
        }
        const { record, revision } = this.known;
        const isListening = now < after(this.listensSince, listeningMs);
        if (record === undefined) {
            return isListening
                ? { kind: "wait" }
                : { kind: "write", record: this.firstRecord(), revision, fixed: [], dropped: 0 };
        }
        const fixed = isListening ? [] : this.dueWindows(record, timeOfDay);
        if (fixed.length > 0) {
            const { record: next, dropped } = fixWindows(record, fixed, this.settled);
            return { kind: "write", record: next, revision, fixed, dropped };
        }
        const [report] = this.unreported;
        return report === undefined || now < this.nextCallAt ? { kind: "wait" } : { kind: "send", report };
    }

    /** Records what the store holds; `record` is undefined if it holds none. */
    recordRead(record: UsageRecord | undefined, revision: KeyRevision): void {
        this.known = { record, revision };
        this.storeFailures = 0;
        if (record !== undefined) {
            this.ledger.recordFixed(record.fixedTo, false);
        }
    }

    /**
     * Records that the store holds a record that cannot be read. Any window up to the present one may be fixed in it, so none
     * of them is reported.
     */
    recordUnreadable(revision: KeyRevision, timeOfDay: number): void {
        this.recordRead({ fixedTo: windowAt(timeOfDay, this.windowMs), unreported: [] }, revision);
    }

    /** Records that a read failed, or that it is not known whether a write took effect. */
    recordStoreFailure(now: Instant): void {
        this.known = undefined;
        this.nextReadAt = after(now, delayAfter(this.storeFailures++));
    }

    /** Records that the store holds `record`. */
    recordWritten(record: UsageRecord, revision: KeyRevision): void {
        this.ledger.recordFixed(record.fixedTo, true);
        this.recordRead(record, revision);
        const kept = new Set(record.unreported.map(({ window }) => window));
        [...this.settled].filter(window => !kept.has(window)).forEach(window => this.settled.delete(window));
    }

    /** Records how the call for a window ended; true if the platform has accepted or finally rejected it. */
    recordCall(window: number, end: DutyCallEnd, now: Instant): boolean {
        this.nextCallAt = after(now, this.callIntervalMs);
        const isRejected = end === "rejected" || end === "none-available";
        this.rejections = isRejected ? this.rejections + 1 : 0;
        if (end === "accepted" || this.rejections >= maxRejections) {
            this.settled.add(window);
            this.failures = 0;
            this.rejections = 0;
            return true;
        }
        this.nextCallAt = after(now, delayAfter(this.failures++));
        return false;
    }

    /**
     * The first record of a deployment. It is written before any window is due, so that the windows from now on are reported even
     * if this host is lost. The window before is included, and all in which a host has counted, as there may have been no
     * conductor or no store.
     */
    private firstRecord(): UsageRecord {
        const first = Math.min(windowAt(this.timeOfDay, this.windowMs) - 1, this.ledger.oldestWindow ?? Infinity);
        return { fixedTo: first - 1, unreported: [] };
    }

    /**
     * Whether all hosts have reported since the end of a window. Which hosts reported to the predecessor during the window is not
     * known, but how many they were.
     */
    private isComplete(window: number): boolean {
        const isOfThisTerm = window * this.windowMs >= this.timeOfDay;
        return this.ledger.isComplete(window)
            && (isOfThisTerm || this.ledger.hostsHeardAfter(window) >= this.expectedHosts);
    }

    /** The windows whose counts may be fixed, in their order. */
    private dueWindows({ fixedTo }: UsageRecord, timeOfDay: number): readonly UsageReport[] {
        const newest = windowAt(timeOfDay - fixDelayMs, this.windowMs) - 1;
        const due: UsageReport[] = [];
        for (let window = firstWindowToFix(fixedTo, newest); window <= newest; window++) {
            const isOverdue = timeOfDay >= (window + 1) * this.windowMs + maxFixDelayMs;
            if (!isOverdue && !this.isComplete(window)) {
                break;
            }
            due.push({ window, counts: this.ledger.countsOf(window) });
        }
        return due;
    }
}

function delayAfter(failures: number): number {
    return Math.min(retryDelayMs.max, retryDelayMs.first * 2 ** failures);
}
