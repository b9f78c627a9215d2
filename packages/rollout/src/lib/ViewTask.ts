/**
 * Keeps a host's view up to date with few calls to the store: the conductor reads the documents several times in two
 * seconds, and the other hosts pull its view by long polling. A host whose view is stale reads the documents itself.
 */

import {
    after,
    type Clock,
    configOfAnswer,
    type ConfigRevision,
    configWatchWaitMs,
    type HostId,
    type Instant,
    isProofAgeing,
    type KeyRevision,
    mayLackOrganisations,
    type OperatorView,
    type PeerNetwork,
    type PeerRequests,
    type PlatformDocuments,
    proofAgeAtArrival,
    provenByAnswer,
    type RelayHost,
    shouldProveConfig,
    sleepUntil,
    type ZoneId,
} from "@tamarackpath/core";
import { Right } from "purify-ts";
import { type ConductorTask } from "./ConductorTask.js";
import { type CrashGuard } from "./CrashGuard.js";
import { type HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";
import { PullResponder, pullWaitMs } from "./PullResponder.js";
import { repeatUntil } from "./repeatUntil.js";
import { type RequestPermits } from "./RequestPermits.js";
import { type RolloutSettings } from "./RolloutSettings.js";
import { type Follower } from "./StandbyTask.js";
import { type UsageTask } from "./UsageTask.js";

/** Options of a view task. */
export interface ViewTaskOptions {
    readonly settings: RolloutSettings;
    /** Hosts that are asked for the conductor when the store does not answer. */
    readonly seeds: readonly HostId[];
    readonly zone: ZoneId;
    readonly hasCallers: boolean;
    readonly reachesTargets: () => boolean;
    /** Some hosts that reach targets, for a host of a zone that pulls this host's view. */
    readonly relaysFor: (host: HostId, zone: ZoneId) => readonly RelayHost[];
    /** Receives the hosts that reach targets, as the conductor tells. */
    readonly onRelays: (relays: readonly RelayHost[]) => void;
    /** Undefined where use is not reported. */
    readonly usage?: UsageTask | undefined;
}

/** Milliseconds within which a host must answer a request, in addition to the wait that the request allows. */
const answerMarginMs = 600;

/** Milliseconds without an answer from outside the zone after which a host counts as cut off. */
const cutOffDelayMs = 300;

/** Milliseconds for which another host's statement that it follows a conductor counts: longer than a failed pull takes. */
const othersFollowTtlMs = 3000;

/** Milliseconds that a host has to confirm that it still conducts: far above a round trip between zones. */
const conductorCheckTimeoutMs = 250;

/** Followers that are asked for the conductor when this host's claim may have lapsed; some may be cut off as well. */
const maxAskedFollowers = 4;

/** Upper limit in milliseconds of the time between lookups of the conductor at a host with callers. */
const maxLookupDelayMs = 1000;

/** Milliseconds between checks whether the view of a host that does not conduct is stale. */
const staleCheckIntervalMs = 300;

/** Milliseconds before a loop tries again after it had no result or nothing to do. */
const retryDelayMs = 250;

/** Another host's answer about the conductor. */
type ConductorReport = PeerRequests["conductor-ask"]["answer"];

/** A view that this host pulled. Its revisions count the changes in one process of the conductor. */
interface PulledView {
    readonly host: HostId;
    /** Fencing token of the conductor's claim, which no other process has had; earlier software tells none. */
    readonly fence: KeyRevision | undefined;
    readonly hadContent: boolean;
    readonly number: number;
    readonly limits: number;
    readonly crashes: number;
    /** Revision of the configuration that this view of that process has. */
    readonly config: ConfigRevision | undefined;
}

/** Runs the loops of a host's view. */
export class ViewTask {
    private stopped = false;
    private noAnswerSince: Instant | undefined;
    private hasConductorAnswered = false;
    /** Until when another host's statement counts that a conductor answers it. */
    private othersFollowUntil = -Infinity as Instant;
    /** Number of consecutive pulls without an answer. */
    private missedPulls = 0;
    private readonly pulls: PullResponder;
    /** The view that was last pulled; undefined once this host has read the documents itself. */
    private lastPulledView: PulledView | undefined;
    /** When this host's last own read of the operators' documents began. */
    private operatorReadAt = -Infinity as Instant;
    /** Revision of the newest configuration that this host read itself. */
    private readRevision: ConfigRevision | undefined;
    /** Whether the conductor's configuration may lack organisations that the store has. */
    private isConfigPartial = false;

    constructor(
        private readonly options: ViewTaskOptions,
        private readonly view: HostView,
        private readonly conductor: ConductorTask,
        private readonly permits: RequestPermits,
        private readonly crashes: CrashGuard,
        private readonly documents: PlatformDocuments,
        private readonly peers: PeerNetwork,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        this.pulls = new PullResponder(options.relaysFor, view, conductor, permits, crashes, clock, options.usage);
        peers.handle("view-pull", (ask, from) => this.pulls.answer(ask, from));
        peers.handle("conductor-ask", async () => {
            const { zone } = options;
            const isKnown = conductor.isConductor || this.hasConductorAnswered;
            return Right({
                conductor: isKnown ? conductor.confirmedConductor : undefined,
                fence: conductor.term.currentClaim?.fence ?? this.lastPulledView?.fence,
                zone,
                config: view.routes?.config.revision,
                configProofAgeMs: proofAgeAtArrival(clock.now(), view.configProvenAt),
            });
        });
    }

    /**
     * True while neither the conductor nor a seed outside this host's zone answers. If the store cannot be reached
     * either, hosts of other zones serve callers better.
     */
    get isCutOff(): boolean {
        return this.noAnswerSince !== undefined && this.clock.now() - this.noAnswerSince > cutOffDelayMs;
    }

    /**
     * True while the conductor does not answer this host, though others say that it answers them. If the store does not answer
     * either, other hosts can take jobs and this one cannot; while all hosts lack the conductor, waiting for it serves callers
     * better.
     */
    get isIsolated(): boolean {
        return !this.hasConductorAnswered && this.othersFollowUntil > this.clock.now();
    }

    /** Hosts that pulled this host's view recently. */
    get followers(): readonly Follower[] {
        return this.pulls.followers;
    }

    start(): void {
        const { clock, journal } = this;
        const isStopped = (): boolean => this.stopped;
        void repeatUntil(isStopped, () => this.follow(), { name: "follow the conductor", clock, journal });
        void repeatUntil(isStopped, () => this.readWhenDue(), { name: "read the documents", clock, journal });
        void repeatUntil(isStopped, () => this.watchOperator(), { name: "watch the operators", clock, journal });
    }

    stop(): void {
        this.stopped = true;
    }

    /**
     * Reads the targets while this host conducts, and the targets and the operators' documents while its view is stale. The
     * operators' documents are also read when the proof of the configuration ages.
     */
    private async readWhenDue(): Promise<void> {
        const { pollMs, staleViewMs } = this.options.settings;
        const isStale = (this.view.ageMs ?? Infinity) > staleViewMs;
        if (this.conductor.isConductor) {
            await this.readTargets();
        }
        else if (isStale) {
            await Promise.all([this.readOperator(), this.readTargets()]);
        }
        else if (this.shouldProveConfig()) {
            await this.readOperator();
        }
        const delayMs = this.conductor.isConductor || isStale ? pollMs : staleCheckIntervalMs;
        await sleepUntil(this.clock, after(this.clock.now(), delayMs));
    }

    /** Waits for a change of the operators' documents while this host conducts. */
    private async watchOperator(): Promise<void> {
        if (!this.conductor.isConductor) {
            await sleepUntil(this.clock, after(this.clock.now(), retryDelayMs));
            return;
        }
        const startedAt = this.clock.now();
        const seen = await this.documents.awaitOperatorChange(configWatchWaitMs(this.view.hasOrganisations));
        seen.ifRight(read => this.view.applyOperatorRead(read, startedAt));
        if (seen.isLeft()) {
            await sleepUntil(this.clock, after(this.clock.now(), retryDelayMs));
        }
    }

    private shouldProveConfig(): boolean {
        return shouldProveConfig({
            now: this.clock.now(),
            provenAt: this.view.configProvenAt,
            revocationMs: this.options.settings.revocationMs,
            isPartial: this.isConfigPartial,
            lastReadAt: this.operatorReadAt,
        });
    }

    private async readOperator(): Promise<void> {
        const startedAt = this.clock.now();
        this.operatorReadAt = startedAt;
        (await this.documents.readOperator()).ifRight(read => {
            this.view.applyOperatorRead(read, startedAt);
            this.readRevision = read.config?.revision ?? this.readRevision;
            this.isConfigPartial = false;
        });
    }

    /**
     * Applies the operators' documents of a conductor. One of earlier software leaves organisations out, without which requests
     * need no credential, so a host that has some takes the next configuration from the store.
     */
    private applyOperatorOfConductor(operator: OperatorView, proofAgeMs: number | undefined): void {
        this.isConfigPartial = mayLackOrganisations(operator.config, proofAgeMs, this.readRevision);
        const isWithheld = this.isConfigPartial && this.view.hasOrganisations;
        this.view.applyOperator(isWithheld ? { ...operator, config: undefined } : operator, "conductor");
    }

    private async readTargets(): Promise<void> {
        const startedAt = this.clock.now();
        const res = await this.documents.readTargets();
        res.ifRight(read => {
            this.view.applyTargets(read, undefined, startedAt);
            this.lastPulledView = undefined;
        });
        res.ifLeft(() => this.view.directory.recordFailure(startedAt));
    }

    /** Pulls the conductor's view once, and looks for a conductor when none answers. */
    private async follow(): Promise<void> {
        const host = this.conductor.conductor;
        if (this.conductor.isConductor) {
            await sleepUntil(this.clock, after(this.clock.now(), retryDelayMs));
            const { revocationMs } = this.options.settings;
            const isAgeing = isProofAgeing(this.clock.now(), this.view.configProvenAt, revocationMs);
            // A host that the store turns away may conduct; others that read the documents prove the configuration for it.
            if (!this.conductor.isSure || isAgeing) {
                await this.checkForSuccessor();
            }
            return;
        }
        const shouldPull = host !== undefined
            && (this.missedPulls === 0 || this.options.hasCallers || await this.isStillConductor(host));
        this.hasConductorAnswered = shouldPull && await this.pull(host);
        this.missedPulls = this.hasConductorAnswered ? 0 : this.missedPulls + 1;
        if (this.hasConductorAnswered) {
            this.noAnswerSince = undefined;
            return;
        }
        await this.findConductor();
    }

    private async findConductor(): Promise<void> {
        const seedRequests = this.requestFromSeeds().then(hasSeedAnswered => {
            this.noAnswerSince = hasSeedAnswered ? undefined : this.noAnswerSince ?? this.clock.now();
        });
        // The seeds' answers are only used when the store does not answer.
        if (!await this.conductor.lookUpClaim()) {
            await seedRequests;
        }
        if (this.missedPulls > 1) {
            // Every host with callers looks for the new conductor at once, and each lookup is billed.
            const maxDelayMs = this.options.hasCallers ? maxLookupDelayMs : retryDelayMs;
            const delayMs = Math.min(maxDelayMs, retryDelayMs * 2 ** (this.missedPulls - 2));
            await sleepUntil(this.clock, after(this.clock.now(), delayMs));
        }
    }

    /**
     * Whether a host that did not answer in time confirms that it conducts. Hosts without callers send this short
     * request before the next pull, because they are the first to claim and have to detect a lapsed claim early. A pull
     * to a host that is cut off would only time out much later.
     */
    private async isStillConductor(host: HostId): Promise<boolean> {
        this.peers.setAddress(host, host);
        const res = await this.peers.ask(host, "conductor-ask", {}, after(this.clock.now(), conductorCheckTimeoutMs));
        return res.toMaybe().chain(answer => answer.toMaybe()).extract()?.conductor === host;
    }

    /**
     * What this host may say that it has of the conductor `host`. A conductor of earlier software does not tell which of its
     * processes answered, so what came from it is only offered once, and then all is pulled again.
     */
    private revisionsToOffer(host: HostId): PulledView | undefined {
        const last = this.lastPulledView;
        const isOffered = last?.host === host && (last.fence !== undefined || last.hadContent);
        return isOffered ? last : undefined;
    }

    private async pull(host: HostId): Promise<boolean> {
        this.peers.setAddress(host, host);
        const { zone, hasCallers } = this.options;
        const last = this.revisionsToOffer(host);
        const ask = {
            have: last?.number ?? -1,
            haveLimits: last?.limits ?? -1,
            haveCrashes: last?.crashes ?? -1,
            haveFence: last?.fence,
            zone,
            hasCallers,
            reachesTargets: this.options.reachesTargets(),
            usage: this.options.usage?.report(),
        };
        const pulledAt = this.clock.now();
        const deadline = after(pulledAt, pullWaitMs + answerMarginMs);
        const res = await this.peers.ask(host, "view-pull", ask, deadline);
        const shared = res.toMaybe().chain(answer => answer.toMaybe()).extract();
        if (shared?.ageMs === undefined) {
            return false;
        }
        if (shared.fence !== undefined && !this.conductor.recordTerm(host, shared.fence)) {
            return false;
        }
        const config = configOfAnswer(shared, last);
        this.lastPulledView = {
            host,
            config,
            fence: shared.fence,
            hadContent: shared.content !== undefined,
            number: shared.number,
            limits: shared.limits?.number ?? -1,
            crashes: shared.crashes?.number ?? -1,
        };
        this.options.usage?.adoptFixed(shared.usageFixedTo);
        this.crashes.adoptReports(shared.crashes?.reports ?? []);
        this.permits.adoptReports(shared.limits?.reports ?? []);
        if (shared.relays !== undefined) {
            this.options.onRelays(shared.relays);
        }
        if (shared.hosts !== undefined) {
            this.permits.setHostCount(shared.hosts);
        }
        // The answer may have been delayed on its way, or while this process was paused.
        const readStartedAt = after(pulledAt, -(shared.readAgeMs ?? shared.ageMs));
        if (shared.content === undefined) {
            this.view.confirmTargets(shared.ageMs, readStartedAt);
        }
        else {
            this.applyOperatorOfConductor(shared.content.operator, shared.configProofAgeMs);
            this.view.applyTargets(shared.content.targets, shared.ageMs, readStartedAt);
        }
        this.recordProof(pulledAt, shared.configProofAgeMs, config);
        return true;
    }

    /** Records what an answer about the configuration of revision `answered` proves; the request was sent at `askedAt`. */
    private recordProof(askedAt: Instant, proofAgeMs: number | undefined, answered: ConfigRevision | undefined): void {
        const provenAt = provenByAnswer(askedAt, proofAgeMs, answered, this.view.routes?.config.revision);
        if (provenAt !== undefined) {
            this.view.recordConfigProof(provenAt);
        }
    }

    /** Asks recent followers and the seeds for another conductor, in which case this host's claim has lapsed. */
    private async checkForSuccessor(): Promise<void> {
        const answers = await this.requestConductors([
            ...this.pulls.latestFollowers.slice(0, maxAskedFollowers),
            ...this.options.seeds,
        ]);
        const successor = latestClaim(answers);
        if (successor?.conductor !== undefined) {
            this.conductor.adoptReportedSuccessor(successor.conductor, successor.fence);
        }
    }

    /** Asks hosts for the conductor; their answers also prove the configuration, if they have the same one. */
    private async requestConductors(hosts: readonly HostId[]): Promise<readonly ConductorReport[]> {
        const askedAt = this.clock.now();
        const answers = await Promise.all(hosts.map(async host => {
            this.peers.setAddress(host, host);
            const res = await this.peers.ask(host, "conductor-ask", {}, after(askedAt, answerMarginMs));
            const report = res.toMaybe().chain(answer => answer.toMaybe()).extract();
            this.recordProof(askedAt, report?.configProofAgeMs, report?.config);
            return report;
        }));
        return answers.filter(answer => answer !== undefined);
    }

    /** Asks the seeds for the conductor; true when one of another zone answered. */
    private async requestFromSeeds(): Promise<boolean> {
        const answers = await this.requestConductors(this.options.seeds);
        const latest = latestClaim(answers);
        if (latest !== undefined) {
            this.othersFollowUntil = after(this.clock.now(), othersFollowTtlMs);
        }
        this.conductor.adoptReportedConductor(latest?.conductor, latest?.fence);
        return answers.some(({ zone }) => zone !== this.options.zone);
    }
}

/** The report that names a conductor under the latest claim; reports of earlier software name no claim and come last. */
function latestClaim(reports: readonly ConductorReport[]): ConductorReport | undefined {
    return reports.filter(({ conductor }) => conductor !== undefined)
        .sort((a, b) => (b.fence ?? 0) - (a.fence ?? 0))[0];
}
