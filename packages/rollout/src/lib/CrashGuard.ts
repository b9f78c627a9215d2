/**
 * Keeps requests that end their targets from further targets, at all hosts. Each host records the connections that are
 * lost while a target runs a request, reports them to the conductor, and pulls those of other hosts with its view, so that
 * repeats of a request are recognised wherever they arrive. Tasks of jobs and their reward calls do not pass here: they
 * stay owed, also when targets end under them.
 */

import {
    after,
    type Clock,
    type CrashRecord,
    type CrashReport,
    CrashTable,
    type ForwardedCall,
    type ForwardOutcome,
    type HostId,
    type Instant,
    type PeerNetwork,
    problem,
    type RequestFingerprint,
    type TargetEntryView,
} from "@tamarackpath/core";
import { Left, Right } from "purify-ts";
import { ConductorReporter, type ConductorView } from "./ConductorReporter.js";
import { type Journal } from "./Journal.js";
import { fingerprintOf } from "./requestFingerprint.js";

/** What a host may do with a call: a "trial" gets one attempt, a "suspect" no second attempt at the same time. */
export type Admission = "sound" | "suspect" | "trial" | "blocked";

/** Milliseconds that the conductor has to acknowledge a report or to permit a trial. */
const answerTimeoutMs = 600;

/** Records and blocks requests that end their targets. */
export class CrashGuard {
    private readonly table = new CrashTable();
    private readonly reporter: ConductorReporter<RequestFingerprint>;
    private readonly changeListeners = new Set<() => void>();

    constructor(
        private readonly conductor: ConductorView,
        private readonly peers: PeerNetwork,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        peers.handle("crash-reports", async ({ reports }) => {
            this.adoptReports(reports);
            return Right({});
        });
        peers.handle("crash-trial", async ({ fingerprint }) =>
            conductor.isSure
                ? Right({ isPermitted: this.permitTrial(fingerprint) })
                : Left(problem("unavailable", "This host does not conduct.")));
        this.reporter = new ConductorReporter(
            conductor,
            clock,
            () => this.table.all.map(({ fingerprint }) => fingerprint),
            (host, fingerprints) => this.sendReports(host, fingerprints),
        );
    }

    /** Increases with each change of a record. */
    get revision(): number {
        return this.table.revision;
    }

    /** Number of requests that are blocked, for metrics. */
    get blockedCount(): number {
        const now = this.clock.now();
        return this.table.all.filter(({ fingerprint }) => this.isBlockedAt(fingerprint, now)).length;
    }

    /** Calls `listener` after each change of a record, until the returned function is called. */
    onChange(listener: () => void): () => void {
        this.changeListeners.add(listener);
        return () => this.changeListeners.delete(listener);
    }

    /** Decides whether a call may be sent; a trial needs the conductor's permission. */
    async admit(call: ForwardedCall): Promise<Admission> {
        const now = this.clock.now();
        this.table.expire(now);
        if (this.table.isEmpty) {
            return "sound";
        }
        const fingerprint = fingerprintOf(call);
        const verdict = this.table.verdict(fingerprint, now);
        return verdict !== "trial" ? verdict : await this.askForTrial(fingerprint) ? "trial" : "blocked";
    }

    /** Whether a call must not be sent again, as of now. */
    isBlocked(call: ForwardedCall): boolean {
        return !this.table.isEmpty && this.isBlockedAt(fingerprintOf(call), this.clock.now());
    }

    /** Whether a call may end targets, so that it must not be sent to two at once. */
    isSuspect(call: ForwardedCall): boolean {
        return !this.table.isEmpty && this.table.verdict(fingerprintOf(call), this.clock.now()) !== "sound";
    }

    /** Says why a call is blocked. */
    describe(call: ForwardedCall): string {
        const fingerprint = fingerprintOf(call);
        const record = this.table.get(fingerprint);
        const lastAt = Math.max(...record?.losses.map(({ at }) => at) ?? [], record?.trialAt ?? -Infinity);
        const targets = record?.losses.map(({ target }) => target).join(", ") ?? "";
        const ageMs = Math.round(this.clock.now() - lastAt);
        return `Not sent: the targets ${targets} ended while they ran request ${fingerprint}, ${ageMs} ms ago. `
            + "It must not be sent again.";
    }

    /** Records how an attempt at a target ended. */
    recordEnd(
        { target, incarnation }: TargetEntryView,
        call: ForwardedCall,
        end: ForwardOutcome,
        sentAt: Instant,
    ): void {
        const now = this.clock.now();
        if (end.kind === "unknown" && end.isConnectionLost === true) {
            const fingerprint = fingerprintOf(call);
            if (this.table.recordLoss(fingerprint, { target, incarnation, at: now })) {
                this.announce(fingerprint, "response");
                this.reporter.add(fingerprint);
            }
            return;
        }
        if (this.table.isEmpty || end.kind !== "answered" && end.kind !== "streamed") {
            return;
        }
        const fingerprint = fingerprintOf(call);
        const changed = this.table.recordAlive(target, incarnation, sentAt, now);
        const answered = this.table.recordAnswer(fingerprint, now) ? [fingerprint] : [];
        for (const each of new Set([...changed, ...answered])) {
            this.announce(each, "response");
            this.reporter.add(each);
        }
    }

    /** The records that changed after `revision`, for a host that pulls this host's view. */
    changesSince(revision: number): readonly CrashReport[] {
        return this.table.changesSince(revision).map(record => this.toReport(record));
    }

    /** Adopts what other hosts recorded. */
    adoptReports(reports: readonly CrashReport[]): void {
        const now = this.clock.now();
        const instantOf = (ageMs: number | undefined): Instant | undefined =>
            ageMs === undefined ? undefined : now - ageMs as Instant;
        for (const { fingerprint, losses, answeredAgeMs, trials, trialAgeMs } of reports) {
            const record: CrashRecord = {
                fingerprint,
                losses: losses.map(({ ageMs, ...loss }) => ({ ...loss, at: now - ageMs as Instant })),
                answeredAt: instantOf(answeredAgeMs),
                trials,
                trialAt: instantOf(trialAgeMs),
            };
            if (this.table.merge(record)) {
                this.announce(fingerprint, "host");
            }
        }
    }

    private isBlockedAt(fingerprint: RequestFingerprint, now: Instant): boolean {
        const verdict = this.table.verdict(fingerprint, now);
        return verdict === "blocked" || verdict === "trial";
    }

    private async askForTrial(fingerprint: RequestFingerprint): Promise<boolean> {
        if (this.conductor.isSure) {
            return this.permitTrial(fingerprint);
        }
        const host = this.conductor.conductor;
        if (host === undefined) {
            return false;
        }
        const deadline = after(this.clock.now(), answerTimeoutMs);
        const res = await this.peers.ask(host, "crash-trial", { fingerprint }, deadline);
        return res.toMaybe().chain(answer => answer.toMaybe()).extract()?.isPermitted === true;
    }

    private permitTrial(fingerprint: RequestFingerprint): boolean {
        const now = this.clock.now();
        const isPermitted = this.table.verdict(fingerprint, now) === "trial";
        if (isPermitted) {
            this.table.recordTrial(fingerprint, now);
            this.announce(fingerprint, "host");
        }
        return isPermitted;
    }

    /** Logs a changed record and shows it to the hosts that wait for changes. */
    private announce(fingerprint: RequestFingerprint, source: "response" | "host"): void {
        const now = this.clock.now();
        const record = this.table.get(fingerprint);
        const losses = record?.losses.filter(({ isVoid }) => isVoid !== true) ?? [];
        this.journal.log("request-suspected", {
            fingerprint,
            verdict: this.table.verdict(fingerprint, now),
            targets: losses.map(({ target }) => target),
            trials: record?.trials,
            source,
            ageMs: losses.length === 0 ? undefined : now - Math.max(...losses.map(({ at }) => at)),
        });
        this.changeListeners.forEach(listener => listener());
    }

    private toReport({ fingerprint, losses, answeredAt, trials, trialAt }: CrashRecord): CrashReport {
        const now = this.clock.now();
        return {
            fingerprint,
            losses: losses.map(({ at, ...loss }) => ({ ...loss, ageMs: now - at })),
            answeredAgeMs: answeredAt === undefined ? undefined : now - answeredAt,
            trials,
            trialAgeMs: trialAt === undefined ? undefined : now - trialAt,
        };
    }

    private async sendReports(host: HostId, fingerprints: ReadonlySet<RequestFingerprint>): Promise<boolean> {
        const reports = this.table.all.filter(({ fingerprint }) => fingerprints.has(fingerprint))
            .map(record => this.toReport(record));
        const deadline = after(this.clock.now(), answerTimeoutMs);
        const res = await this.peers.ask(host, "crash-reports", { reports }, deadline);
        return res.toMaybe().chain(answer => answer.toMaybe()).isJust();
    }
}
