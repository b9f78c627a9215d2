/**
 * Counts the use of this host and, on the conductor, fixes the counts of all hosts by window and reports them to the platform.
 * Hosts send their counts with each pull of the view. The steps are decided by `UsageReporter`; one of them runs at a time.
 */

import {
    after,
    type Clock,
    type ConductorClaim,
    decodeUsageRecord,
    type DutyCallEnd,
    type DutyPlatform,
    encodeUsageRecord,
    type ForwardedCall,
    type HostId,
    type HostUsage,
    type Instant,
    jobKeys,
    type KeyRevision,
    type PeerNetwork,
    problem,
    sleepUntil,
    type TransactionalStore,
    UsageCounter,
    UsageLedger,
    usageRecordKey,
    UsageReporter,
    type UsageStep,
} from "@tamarackpath/core";
import { Left, Right } from "purify-ts";
import { type RunCounter } from "./AttemptRun.js";
import { type ConductorTask } from "./ConductorTask.js";
import { type Journal } from "./Journal.js";
import { repeatUntil } from "./repeatUntil.js";

/** Options of a usage task. */
export interface UsageTaskOptions {
    readonly self: HostId;
    /** The host's name, which the reports state. */
    readonly name: string;
    /** Length of a window of use in milliseconds. */
    readonly windowMs: number;
    /** Upper limit of the calls per second of all duties. */
    readonly maxCallsPerSecond: number;
    /** Unix milliseconds. */
    readonly timeOfDay: () => number;
    /** Number of hosts as the last conductor that this host followed counted them; undefined if there was none. */
    readonly hostsBefore: () => number | undefined;
}

/** Share of the platform's calls that the reports of use may take; the rest is for orders of capacity. */
const maxCallShare = 0.5;

/** Milliseconds between decisions while there is nothing to do. */
const stepIntervalMs = 100;

/** Milliseconds for which a stopping host tries to send its last counts, and for one answer. */
const lastCountsMs = { total: 500, answer: 250, retry: 50 } as const;

/** Outcomes of calls for reports of use, in the order of the metric's labels. */
export const usageOutcomes: readonly DutyCallEnd[] = ["accepted", "none-available", "rejected", "busy", "no-answer"];

type StepOf<Kind extends UsageStep["kind"]> = Extract<UsageStep, { readonly kind: Kind; }>;

/** Counts and reports use. */
export class UsageTask implements RunCounter {
    readonly timeOfDay: () => number;
    private readonly counter: UsageCounter;
    private readonly ledger: UsageLedger;
    /** Requests that have been counted; an entry lives as long as its call. */
    private readonly counted = new WeakSet<ForwardedCall>();
    private readonly outcomes = new Map<DutyCallEnd, number>();
    private reporter: UsageReporter | undefined;
    private loggedLateCount = 0;
    private lateRequests = 0;

    constructor(
        private readonly options: UsageTaskOptions,
        private readonly conductor: Pick<ConductorTask, "term" | "conductor" | "isConductor" | "applyClaimChange">,
        private readonly store: TransactionalStore,
        private readonly duties: DutyPlatform,
        private readonly peers: PeerNetwork,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        const { timeOfDay, windowMs } = options;
        this.timeOfDay = timeOfDay;
        this.counter = new UsageCounter(timeOfDay(), windowMs);
        this.ledger = new UsageLedger(windowMs);
        peers.handle("usage-counts", async (usage, from) => {
            if (!conductor.isConductor) {
                return Left(problem("unavailable", "This host does not conduct."));
            }
            this.adoptCounts(from, usage);
            return Right({ usageFixedTo: this.fixedTo });
        });
    }

    /** The newest window that is fixed in the store, as this host knows as conductor. */
    get fixedTo(): number | undefined {
        return this.reporter?.fixedTo;
    }

    /** Milliseconds since the end of the oldest window that is fixed and not reported; 0 if there is none, or elsewhere. */
    get unreportedAgeMs(): number {
        const window = this.conductor.isConductor ? this.reporter?.unreported[0]?.window : undefined;
        return window === undefined ? 0 : this.ageOf(window);
    }

    /** Number of requests that are in no report, as far as this host knows. */
    get lateCount(): number {
        return this.lateRequests + this.counter.lateCount;
    }

    /** Number of calls for reports with this outcome. */
    countOf(outcome: DutyCallEnd): number {
        return this.outcomes.get(outcome) ?? 0;
    }

    recordRun(call: ForwardedCall, begunAt: number): void {
        if (call.organisation !== undefined && !this.counted.has(call)) {
            this.counted.add(call);
            this.counter.record(call.organisation, begunAt);
        }
    }

    /** This host's counts that are not fixed, for the conductor. */
    report(): HostUsage {
        return this.counter.report(this.timeOfDay());
    }

    /** Records that the conductor has fixed all windows up to `window`. */
    adoptFixed(window: number | undefined): void {
        if (window !== undefined) {
            this.counter.recordFixed(window);
        }
        const { lateCount } = this.counter;
        if (lateCount > this.loggedLateCount) {
            this.journal.log("usage-late", { host: this.options.name, requests: lateCount - this.loggedLateCount });
            this.loggedLateCount = lateCount;
        }
    }

    /** As conductor, takes over the counts of a host. */
    adoptCounts(host: HostId, usage: HostUsage): void {
        const requests = this.ledger.adopt(host, usage, this.timeOfDay());
        if (requests > 0) {
            this.lateRequests += requests;
            this.journal.log("usage-late", { host, requests });
        }
    }

    /** Begins to fix and report windows under this host's claim; ends by itself when the claim ends. */
    activate(): void {
        const { term } = this.conductor;
        const claim = term.currentClaim;
        if (claim === undefined) {
            return;
        }
        const { clock, journal } = this;
        const { windowMs, maxCallsPerSecond, timeOfDay, hostsBefore } = this.options;
        // The last conductor may be lost.
        const expectedHosts = (hostsBefore() ?? 0) - 1;
        const callIntervalMs = 1000 / (maxCallShare * maxCallsPerSecond);
        const reporter = new UsageReporter(
            this.ledger,
            windowMs,
            callIntervalMs,
            clock.now(),
            timeOfDay(),
            expectedHosts,
        );
        this.reporter = reporter;
        const isEnded = (): boolean => term.currentClaim !== claim || this.reporter !== reporter;
        void repeatUntil(isEnded, () => this.takeStep(reporter, claim), { name: "report use", clock, journal });
    }

    deactivate(): void {
        this.reporter = undefined;
    }

    /** Sends the counts that the conductor may not have, before this host's process ends. */
    async sendLastCounts(): Promise<void> {
        const { windows, ...usage } = this.report();
        const deadline = after(this.clock.now(), lastCountsMs.total);
        if (windows.length === 0) {
            return;
        }
        // The present window gets no further counts either.
        const last = { ...usage, windows, window: usage.window + 1 };
        while (this.clock.now() < deadline) {
            const host = this.conductor.conductor;
            if (host !== undefined && host !== this.options.self) {
                this.peers.setAddress(host, host);
                const answerBy = Math.min(deadline, after(this.clock.now(), lastCountsMs.answer)) as Instant;
                const res = await this.peers.ask(host, "usage-counts", last, answerBy);
                if (res.toMaybe().chain(answer => answer.toMaybe()).isJust()) {
                    return;
                }
            }
            await this.pause(lastCountsMs.retry);
        }
        this.journal.log("usage-unsent", { windows: windows.map(({ window }) => window) });
    }

    private async takeStep(reporter: UsageReporter, claim: ConductorClaim): Promise<void> {
        this.adoptCounts(this.options.self, this.report());
        const step = reporter.next(this.clock.now(), this.timeOfDay());
        switch (step.kind) {
            case "wait":
                return this.pause(stepIntervalMs);
            case "read":
                return this.read(reporter);
            case "write":
                return this.write(reporter, claim, step);
            case "send":
                return this.send(reporter, claim, step);
        }
    }

    private async read(reporter: UsageReporter): Promise<void> {
        const res = await this.store.get(usageRecordKey, "duties");
        res.ifLeft(() => reporter.recordStoreFailure(this.clock.now()));
        res.ifRight(item => {
            if (item === undefined) {
                reporter.recordRead(undefined, 0 as KeyRevision);
                return;
            }
            const record = decodeUsageRecord(item.value);
            record.ifRight(read => reporter.recordRead(read, item.revision));
            record.ifLeft(detail => {
                this.journal.log("stored-value-unreadable", { key: usageRecordKey, detail });
                reporter.recordUnreadable(item.revision, this.timeOfDay());
            });
        });
        this.adoptFixed(reporter.fixedTo);
    }

    private async write(
        reporter: UsageReporter,
        claim: ConductorClaim,
        { record, revision, fixed, dropped }: StepOf<"write">,
    ): Promise<void> {
        const res = await this.store.commit(
            {
                expected: [{ key: jobKeys.claim, revision: claim.fence }, { key: usageRecordKey, revision }],
                puts: [{ key: usageRecordKey, value: encodeUsageRecord(record) }],
                removes: [],
            },
            "duties",
        );
        const result = res.toMaybe().extract();
        if (result?.kind !== "committed") {
            reporter.recordStoreFailure(this.clock.now());
            const item = result?.kind === "conflict"
                ? result.current.find(({ key }) => key === jobKeys.claim)
                : undefined;
            if (result?.kind === "conflict" && item?.revision !== claim.fence) {
                this.conductor.applyClaimChange(item, item?.revision ?? claim.fence);
            }
            return;
        }
        reporter.recordWritten(record, result.revision);
        this.adoptFixed(record.fixedTo);
        if (fixed.length > 0) {
            this.journal.log("usage-fixed", {
                windows: fixed.map(({ window }) => window),
                requests: fixed.flatMap(({ counts }) => Object.values<number>(counts)).reduce(
                    (sum, each) => sum + each,
                    0,
                ),
                unreported: record.unreported.length,
                fence: claim.fence,
                afterMs: this.ageOf(record.fixedTo),
            });
        }
        if (dropped > 0) {
            this.journal.log("usage-dropped", { windows: dropped });
        }
    }

    private async send(reporter: UsageReporter, claim: ConductorClaim, { report }: StepOf<"send">): Promise<void> {
        const { term } = this.conductor;
        const sentAt = this.clock.now();
        if (!term.canOrder(sentAt)) {
            await this.pause(stepIntervalMs);
            return;
        }
        term.recordOrder(sentAt);
        const end = await this.duties.reportUsage(report, {
            name: this.options.name,
            fence: claim.fence,
            deadline: term.orderDeadline(sentAt),
        });
        this.outcomes.set(end, this.countOf(end) + 1);
        const isSettled = reporter.recordCall(report.window, end, this.clock.now());
        this.journal.log("usage-reported", {
            window: report.window,
            end,
            repeated: !isSettled,
            fence: claim.fence,
            ms: this.clock.now() - sentAt,
            afterMs: this.ageOf(report.window),
        });
    }

    /** Milliseconds since the end of a window. */
    private ageOf(window: number): number {
        return this.timeOfDay() - (window + 1) * this.options.windowMs;
    }

    private pause(ms: number): Promise<void> {
        return sleepUntil(this.clock, after(this.clock.now(), ms));
    }
}
