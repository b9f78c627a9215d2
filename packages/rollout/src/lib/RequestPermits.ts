/**
 * Permits the requests to targets that state a rate limit. Responses to any host show the limit; hosts report each change
 * to the conductor, and it returns the changes of all with the view that they pull. The conductor paces the requests of
 * all hosts to these targets: it permits those of its own tasks, and other hosts ask it for a permit each. Requests to
 * all other targets are permitted at once. A host whose conductor does not answer uses a small share of the limit.
 */

import {
    after,
    type Clock,
    type HostId,
    type Instant,
    type PacedTarget,
    type PeerNetwork,
    problem,
    type RateLimitReport,
    RateLimitTable,
    RequestPacer,
    RequestPermit,
    type TargetEntryView,
    type TargetId,
    type TargetResponse,
} from "@tamarackpath/core";
import { Left, Right } from "purify-ts";
import { ConductorReporter, type ConductorView } from "./ConductorReporter.js";
import { type Journal } from "./Journal.js";

/** The rate limit of a target as fields of a line of the journal. */
export interface RateLimitFields {
    /** Requests a second; undefined without a limit. */
    readonly limitPerSecond: number | undefined;
    readonly limitAgeMs: number | undefined;
    readonly [field: string]: number | undefined;
}

/** A permit that is valid from `at` on, or when a request that gets none may be sent again. */
export type PermitOutcome =
    | { readonly kind: "permitted"; readonly permit: RequestPermit; readonly at: Instant; }
    | { readonly kind: "refused"; readonly retryAt: Instant; };

/** Outcomes of requests for permits at targets with a limit, as they are counted. */
export const permitOutcomes = ["permitted", "refused", "permitted-alone", "refused-alone"] as const;

/** Outcome of a request for a permit; "alone" means without the conductor. */
export type PermitOutcomeName = typeof permitOutcomes[number];

/** Milliseconds that the conductor has to answer a request for a permit: far above a round trip between zones. */
const permitTimeoutMs = 200;

/** Milliseconds from the time for which a request is permitted until its permit expires. */
const permitTtlMs = 500;

/** Milliseconds between reports to the conductor of an unchanged limit. */
const confirmationIntervalMs = 2000;

/** Milliseconds that the conductor has to acknowledge a report. */
const reportTimeoutMs = 600;

/** Milliseconds without a response after which one request is sent to see whether the target still states its limit. */
const unconfirmedLimitMs = 10_000;

/** Assumed number of hosts before the first answer of a conductor. */
const defaultHostCount = 32;

/**
 * Part of a limit that all hosts without a conductor use together. Others may get permits from a conductor at the same
 * time, which hands out the whole limit.
 */
const aloneShare = 0.5;

/** Permits a host's requests to targets. */
export class RequestPermits {
    private readonly table = new RateLimitTable();
    private readonly pacer = new RequestPacer();
    private alonePacer = new RequestPacer(aloneShare / defaultHostCount);
    private hostCount = defaultHostCount;
    private isHostCountKnown = false;
    private readonly reporter: ConductorReporter<TargetId>;
    private readonly reportedAt = new Map<TargetId, Instant>();
    private readonly changeListeners = new Set<() => void>();
    private readonly counts = new Map<PermitOutcomeName, number>();
    private wasConducting = false;

    constructor(
        private readonly conductor: ConductorView,
        private readonly peers: PeerNetwork,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        peers.handle("rate-limits", async ({ reports }) => {
            this.adoptReports(reports);
            return Right({});
        });
        peers.handle("request-permit", async ({ flow, reports, latestInMs, isTrial }) => {
            this.adoptReports(reports);
            if (!this.conductor.isSure) {
                return Left(problem("unavailable", "This host does not conduct."));
            }
            const now = clock.now();
            const targets = reports.map(({ target, incarnation }) => ({ target, incarnation }));
            const outcome = this.permitAsConductor(targets, flow, after(now, latestInMs), isTrial);
            const known = targets.flatMap(entry => this.table.find(entry) ?? []).map(record => this.toReport(record));
            return Right(
                outcome.kind === "refused"
                    ? { retryInMs: outcome.retryAt - now, reports: known }
                    : { permitted: { target: outcome.permit.target, inMs: outcome.at - now }, reports: known },
            );
        });
        conductor.events.on("conductor", () => void this.ownPacer());
        this.reporter = new ConductorReporter(
            conductor,
            clock,
            () => this.table.all.map(({ target }) => target),
            (host, targets) => this.sendReports(host, targets),
        );
    }

    /** Increases with each change of a limit. */
    get revision(): number {
        return this.table.revision;
    }

    /** Targets that state a limit, for metrics. */
    get limitedTargets(): number {
        return this.table.all.filter(({ perSecond }) => perSecond !== undefined).length;
    }

    countOf(outcome: PermitOutcomeName): number {
        return this.counts.get(outcome) ?? 0;
    }

    /** Calls `listener` after each change of a limit, until the returned function is called. */
    onChange(listener: () => void): () => void {
        this.changeListeners.add(listener);
        return () => this.changeListeners.delete(listener);
    }

    /** Records what a target's response to this host states. */
    recordResponse({ target, sentAt, rateLimit }: TargetResponse): void {
        if (rateLimit.kind === "invalid") {
            this.journal.log("rate-limit-rejected", { target: target.target, value: rateLimit.text });
            return;
        }
        const change = this.merge({
            target: target.target,
            incarnation: target.incarnation,
            perSecond: rateLimit.kind === "limit" ? rateLimit.perSecond : undefined,
            sentAt,
            receivedAt: this.clock.now(),
        }, "response");
        const reportedAt = this.reportedAt.get(target.target) ?? -Infinity;
        if (change === "changed" || change === "confirmed" && this.clock.now() - reportedAt > confirmationIntervalMs) {
            this.reporter.add(target.target);
        }
    }

    /** The limits that changed after `revision`, for a host that pulls this host's view. */
    changesSince(revision: number): readonly RateLimitReport[] {
        return this.table.changesSince(revision).map(record => this.toReport(record));
    }

    /** Adopts what other hosts' responses showed. */
    adoptReports(reports: readonly RateLimitReport[]): void {
        const now = this.clock.now();
        for (const { sentAgeMs, receivedAgeMs, ...rest } of reports) {
            const sentAt = (now - sentAgeMs) as Instant;
            this.merge({ ...rest, sentAt, receivedAt: (now - receivedAgeMs) as Instant }, "host");
        }
    }

    /** Number of hosts that share the limits, as far as this host knows. */
    get hosts(): number {
        return this.hostCount;
    }

    /** The number that a conductor stated; undefined before the first one did. */
    get statedHosts(): number | undefined {
        return this.isHostCountKnown ? this.hostCount : undefined;
    }

    /** Sets the number of hosts, as the conductor counts them. */
    setHostCount(hosts: number): void {
        this.isHostCountKnown = true;
        if (hosts !== this.hostCount) {
            this.hostCount = hosts;
            this.alonePacer = new RequestPacer(aloneShare / Math.max(1, hosts));
        }
    }

    /** Drops the pacing of targets that are not listed. */
    retain(listed: readonly TargetEntryView[]): void {
        const ids = new Set(listed.map(({ target }) => target));
        this.pacer.retain(ids);
        this.alonePacer.retain(ids);
        [...this.reportedAt.keys()].filter(target => !ids.has(target)).forEach(target =>
            this.reportedAt.delete(target)
        );
    }

    isLimited(entry: TargetEntryView): boolean {
        return this.table.get(entry) !== undefined;
    }

    /** Whether no response has confirmed a target's limit for some time. */
    isUnconfirmed(entry: TargetEntryView): boolean {
        const known = this.table.get(entry);
        return known !== undefined && this.clock.now() - known.receivedAt > unconfirmedLimitMs;
    }

    /** The limit of a target and its age, for a line of the journal. */
    describe(entry: TargetEntryView): RateLimitFields {
        const known = this.table.get(entry);
        return {
            limitPerSecond: known?.perSecond,
            limitAgeMs: known === undefined ? undefined : this.clock.now() - known.receivedAt,
        };
    }

    /** Number of requests of `flow` that this host may send to a target at once; Infinity without a limit. */
    available(entry: TargetEntryView, flow: string, now: Instant): number {
        const paced = this.pacedOf(entry);
        return paced === undefined ? Infinity : this.ownPacer().available(paced, flow, now);
    }

    /** When this host may send requests of `flow` again to those targets to which it may send none at `now`. */
    nextTimes(entries: readonly TargetEntryView[], flow: string, now: Instant): readonly Instant[] {
        return entries.flatMap(entry => this.pacedOf(entry) ?? [])
            .filter(paced => this.ownPacer().available(paced, flow, now) < 1)
            .map(paced => this.ownPacer().nextAt(paced, flow, now));
    }

    /** Permits a request of this host and counts it, whether or not the limit allows it at this time. */
    take(entry: TargetEntryView, flow: string): RequestPermit {
        const now = this.clock.now();
        const paced = this.pacedOf(entry);
        if (paced === undefined) {
            return new RequestPermit(entry.target, Infinity as Instant);
        }
        this.ownPacer().take(paced, flow, now);
        return new RequestPermit(entry.target, after(now, permitTtlMs));
    }

    /**
     * Asks for a permit for one request of `flow` to one of `targets` that may be sent until `latestAt`. A trial is only
     * permitted at a target whose limit no response to any host has confirmed for some time.
     */
    async acquire(
        targets: readonly TargetEntryView[],
        flow: string,
        latestAt: Instant,
        isTrial = false,
    ): Promise<PermitOutcome> {
        if (this.conductor.isSure) {
            return this.count(this.permitAsConductor(targets, flow, latestAt, isTrial), false);
        }
        const outcome = await this.askConductor(targets, flow, latestAt, isTrial);
        if (outcome !== undefined) {
            return this.count(outcome, false);
        }
        const now = this.clock.now();
        return this.count(
            isTrial ? { kind: "refused", retryAt: now } : this.reserve(this.alonePacer, targets, flow, latestAt),
            true,
        );
    }

    private async askConductor(
        targets: readonly TargetEntryView[],
        flow: string,
        latestAt: Instant,
        isTrial: boolean,
    ): Promise<PermitOutcome | undefined> {
        const host = this.conductor.conductor;
        if (host === undefined) {
            return undefined;
        }
        const askedAt = this.clock.now();
        const reports = targets.flatMap(entry => this.table.find(entry) ?? []).map(record => this.toReport(record));
        const ask = { flow, reports, latestInMs: latestAt - askedAt, isTrial };
        const res = await this.peers.ask(host, "request-permit", ask, after(askedAt, permitTimeoutMs));
        const answer = res.toMaybe().chain(each => each.toMaybe()).extract();
        if (answer === undefined) {
            return undefined;
        }
        this.adoptReports(answer.reports);
        if ("retryInMs" in answer) {
            return { kind: "refused", retryAt: after(this.clock.now(), answer.retryInMs) };
        }
        // Counted from the sending of the request, so that a slow answer does not prolong the permit.
        const at = after(askedAt, answer.permitted.inMs);
        return { kind: "permitted", permit: new RequestPermit(answer.permitted.target, after(at, permitTtlMs)), at };
    }

    private permitAsConductor(
        entries: readonly Pick<TargetEntryView, "target" | "incarnation">[],
        flow: string,
        latestAt: Instant,
        isTrial: boolean,
    ): PermitOutcome {
        const now = this.clock.now();
        const unlimited = entries.find(entry => this.pacedOf(entry) === undefined);
        if (unlimited !== undefined) {
            return { kind: "permitted", permit: new RequestPermit(unlimited.target, after(now, permitTtlMs)), at: now };
        }
        const allowed = isTrial
            ? entries.filter(entry => now - this.table.get(entry)!.receivedAt > unconfirmedLimitMs)
            : entries;
        return allowed.length === 0
            ? { kind: "refused", retryAt: now }
            : this.reserve(this.ownPacer(), allowed, flow, latestAt);
    }

    private reserve(
        pacer: RequestPacer,
        entries: readonly Pick<TargetEntryView, "target" | "incarnation">[],
        flow: string,
        latestAt: Instant,
    ): PermitOutcome {
        const now = this.clock.now();
        const targets = entries.flatMap(entry => this.pacedOf(entry) ?? []);
        // A request that must not wait is permitted if there is room now, though time has passed since it was made.
        const reservation = pacer.reserve(targets, flow, Math.max(latestAt, now) as Instant, now);
        if (reservation.kind === "refused") {
            return reservation;
        }
        const { target, at } = reservation;
        return { kind: "permitted", permit: new RequestPermit(target, after(at, permitTtlMs)), at };
    }

    private pacedOf(entry: Pick<TargetEntryView, "target" | "incarnation">): PacedTarget | undefined {
        const perSecond = this.table.get(entry)?.perSecond;
        return perSecond === undefined ? undefined : { target: entry.target, perSecond };
    }

    /** The pacer of all hosts' requests while this host conducts, which begins anew with each term. */
    private ownPacer(): RequestPacer {
        const isConducting = this.conductor.isSure;
        if (isConducting && !this.wasConducting) {
            this.pacer.retain(new Set());
            const now = this.clock.now();
            this.table.all.flatMap(record => this.pacedOf(record) ?? []).forEach(each => this.pacer.track(each, now));
        }
        this.wasConducting = isConducting;
        return isConducting ? this.pacer : this.alonePacer;
    }

    private count(outcome: PermitOutcome, isAlone: boolean): PermitOutcome {
        const name: PermitOutcomeName = isAlone ? `${outcome.kind}-alone` : outcome.kind;
        this.counts.set(name, this.countOf(name) + 1);
        return outcome;
    }

    private merge(
        record: Parameters<RateLimitTable["merge"]>[0],
        source: "response" | "host",
    ): ReturnType<RateLimitTable["merge"]> {
        const before = this.table.get(record)?.perSecond;
        const change = this.table.merge(record);
        if (change === "changed") {
            this.journal.log("rate-limit-changed", {
                target: record.target,
                perSecond: record.perSecond ?? "none",
                before: before ?? "none",
                source,
                ageMs: this.clock.now() - record.receivedAt,
            });
            const paced = this.pacedOf(record);
            if (paced !== undefined && this.conductor.isSure) {
                this.ownPacer().track(paced, this.clock.now());
            }
            this.changeListeners.forEach(listener => listener());
        }
        return change;
    }

    private toReport({ sentAt, receivedAt, ...rest }: Parameters<RateLimitTable["merge"]>[0]): RateLimitReport {
        const now = this.clock.now();
        return { ...rest, sentAgeMs: now - sentAt, receivedAgeMs: now - receivedAt };
    }

    private async sendReports(host: HostId, targets: ReadonlySet<TargetId>): Promise<boolean> {
        const now = this.clock.now();
        targets.forEach(target => this.reportedAt.set(target, now));
        const reports = this.table.all.filter(({ target }) => targets.has(target)).map(record => this.toReport(record));
        const res = await this.peers.ask(host, "rate-limits", { reports }, after(now, reportTimeoutMs));
        return res.toMaybe().chain(answer => answer.toMaybe()).isJust();
    }
}
