/** Composes the tasks of one host from its ports, and starts and stops them. */

import {
    after,
    type CallTargets,
    type Clock,
    type ConductorHandover,
    ConductorPreference,
    type DutyPlatform,
    type HostId,
    type Instant,
    type Job,
    JobScheduler,
    type JobTerms,
    type KeyRevision,
    type PeerNetwork,
    type PlatformDocuments,
    type Problem,
    problem,
    RelayChoice,
    type RelayHost,
    type RolloutEngines,
    sleepUntil,
    type TargetResponse,
    type TransactionalStore,
    type UnstoredWork,
    type ZoneId,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { CallForwarder } from "./CallForwarder.js";
import { CapacityDemandMeter } from "./CapacityDemandMeter.js";
import { CapacityStore } from "./CapacityStore.js";
import { CapacityTask } from "./CapacityTask.js";
import { ConductorTask } from "./ConductorTask.js";
import { CrashGuard } from "./CrashGuard.js";
import { HostView } from "./HostView.js";
import { JobCallHandler } from "./JobCallHandler.js";
import { JobRegistry } from "./JobRegistry.js";
import { JobRunner } from "./JobRunner.js";
import { JobStore } from "./JobStore.js";
import { type Journal } from "./Journal.js";
import { LiveKeyWatch } from "./LiveKeyWatch.js";
import { ReachTask, selectRelays, watchEngines } from "./ReachTask.js";
import { RelayedTargets } from "./RelayedTargets.js";
import { RequestPermits } from "./RequestPermits.js";
import { RewardRunner } from "./RewardRunner.js";
import { type RolloutSettings } from "./RolloutSettings.js";
import { SoftwareCheck } from "./SoftwareCheck.js";
import { StandbyTask } from "./StandbyTask.js";
import { StreamOrigins } from "./StreamOrigins.js";
import { UsageTask } from "./UsageTask.js";
import { VersionTask } from "./VersionTask.js";
import { ViewTask } from "./ViewTask.js";

/** The ports of a host. */
export interface RolloutPorts {
    readonly store: TransactionalStore;
    readonly documents: PlatformDocuments;
    readonly engines: RolloutEngines;
    readonly targets: CallTargets;
    readonly peers: PeerNetwork;
    readonly clock: Clock;
    readonly random: () => number;
    readonly journal: Journal;
    /** The platform's calls that one host makes at a time; undefined where the settings have none. */
    readonly duties?: DutyPlatform | undefined;
    /** Unix milliseconds; the process's own time of day by default. */
    readonly timeOfDay?: () => number;
}

/** Identity of a host. */
export interface RolloutIdentity {
    /** Address of its peer socket, which is its id among its peers. */
    readonly self: HostId;
    /** The host's name in the operators' documents and in logs. */
    readonly name: string;
    readonly zone: ZoneId;
    readonly seeds: readonly HostId[];
    /** Whether callers connect to it; hosts without callers are preferred as conductor. */
    readonly hasCallers: boolean;
    /** Whether no host of this system has ever run before. */
    readonly isFirstStart: boolean;
}

/** Upper limit of the results in one page, in bytes: the callers' limit of 1 MB less the surrounding JSON. */
const maxPageBytes = 900_000;

/**
 * Milliseconds before a host claims, plus a random jitter: hosts without callers claim before those with callers, and
 * hosts that reach no target last.
 */
const claimDelayMs = { withCallers: 700, withoutCallers: 60, jitter: 250, cutOff: 1500 } as const;

/** Milliseconds that the previous conductor has to answer a request for its work. */
const handoverTimeoutMs = 500;

/** Milliseconds for which a host that resigned continues its tasks, until a successor takes them over. */
const resignedRunMs = 1500;

/** The tasks of one host. */
export class RolloutHost {
    readonly view: HostView;
    readonly jobCalls: JobCallHandler;
    readonly forwarder: CallForwarder;
    readonly conductor: ConductorTask;
    private readonly viewTask: ViewTask;
    private readonly scheduler: JobScheduler;
    private readonly registry: JobRegistry;
    private readonly rewards: RewardRunner;
    private readonly runner: JobRunner;
    private readonly versions: VersionTask;
    /** Undefined where the hosts order no engines; it does nothing while no service has limits for that. */
    readonly capacity: CapacityTask | undefined;
    private readonly standby: StandbyTask;
    private readonly watch: LiveKeyWatch;
    readonly permits: RequestPermits;
    readonly crashes: CrashGuard;
    readonly streams: StreamOrigins;
    readonly targets: RelayedTargets;
    readonly reach: ReachTask;
    /** Undefined where use is not reported. */
    readonly usage: UsageTask | undefined;
    private readonly relays: RelayChoice;
    private isStopping = false;
    private readonly preference = new ConductorPreference();
    private termBeganAt = -Infinity as Instant;

    constructor(
        private readonly identity: RolloutIdentity,
        private readonly settings: RolloutSettings,
        private readonly ports: RolloutPorts,
    ) {
        const { store, documents, peers, clock, random, journal } = ports;
        const { self, zone, seeds, hasCallers } = identity;
        this.view = new HostView(clock, journal);
        this.reach = new ReachTask(this.view, ports.targets, random, clock, journal);
        this.relays = new RelayChoice(zone, random);
        // Until the conductor names hosts that reach targets, the seeds are asked; they refuse if they reach none.
        this.relays.setHosts(seeds.map(host => ({ host, zone })));
        const targets = new RelayedTargets(
            self,
            ports.targets,
            this.reach,
            this.relays,
            this.view,
            peers,
            clock,
            journal,
        );
        const engines = watchEngines(ports.engines, () => void this.reach.suspect());
        this.targets = targets;
        const delay = hasCallers ? claimDelayMs.withCallers : claimDelayMs.withoutCallers;
        this.conductor = new ConductorTask(
            {
                self,
                settings,
                claimDelayMs: () =>
                    delay + claimDelayMs.jitter * random() + (this.reach.isCutOff ? claimDelayMs.cutOff : 0),
                takeOver: (predecessor, fence, deadline) => this.takeOver(predecessor, fence, deadline),
                canClaim: () => !this.isStopping && !this.view.retiring.includes(identity.name) && !this.isStranded,
            },
            store,
            clock,
            journal,
        );
        this.permits = new RequestPermits(this.conductor, peers, clock, journal);
        this.crashes = new CrashGuard(this.conductor, peers, clock, journal);
        this.usage = this.createUsageTask(settings);
        const jobs = new JobStore(store, clock);
        this.scheduler = new JobScheduler(() => Math.floor(random() * Number.MAX_SAFE_INTEGER));
        this.registry = new JobRegistry(
            {
                settings,
                termsOf: job => this.termsOf(job),
                fence: () => this.conductor.term.currentClaim?.fence,
                onClaimChanged: (item, fence) => this.conductor.applyClaimChange(item, item?.revision ?? fence),
            },
            this.scheduler,
            jobs,
            clock,
            journal,
        );
        this.versions = new VersionTask(
            settings,
            identity.name,
            this.view,
            this.conductor,
            this.permits,
            engines,
            clock,
            journal,
        );
        this.rewards = new RewardRunner(
            zone,
            this.scheduler,
            this.registry,
            this.view,
            targets,
            this.permits,
            random,
            clock,
            journal,
        );
        this.runner = new JobRunner(
            settings,
            identity.name,
            this.scheduler,
            this.registry,
            this.view,
            this.versions,
            this.rewards,
            this.permits,
            engines,
            clock,
            journal,
        );
        this.capacity = this.createCapacityTask();
        this.watch = new LiveKeyWatch(store, jobs, this.registry, this.conductor, clock, journal);
        this.standby = new StandbyTask(
            {
                zone,
                followers: () => this.viewTask.followers,
                adopt: work => this.adoptWork(work),
                isConductor: () => this.conductor.isConductor,
                fence: () => this.conductor.term.lastFence,
            },
            this.scheduler,
            this.registry,
            peers,
            clock,
            journal,
        );
        this.viewTask = new ViewTask(
            {
                settings,
                seeds,
                zone,
                hasCallers,
                reachesTargets: () => !this.reach.isCutOff,
                relaysFor: (host, zoneOfHost) => {
                    void this.leaveJobsToOthers();
                    void this.handOverToBetterHost();
                    return selectRelays(this.relaysKnownHere(host), zoneOfHost, random);
                },
                onRelays: hosts => this.relays.setHosts(hosts),
                usage: this.usage,
            },
            this.view,
            this.conductor,
            this.permits,
            this.crashes,
            documents,
            peers,
            clock,
            journal,
        );
        this.jobCalls = new JobCallHandler(
            {
                self,
                maxPageBytes,
                isCutOff: () => this.isCutOff,
                chooseRelay: tried => this.relays.choose(tried, clock.now()),
            },
            this.conductor,
            this.registry,
            jobs,
            peers,
            clock,
            journal,
        );
        this.streams = new StreamOrigins(
            {
                name: identity.name,
                isFirstStart: identity.isFirstStart,
                hostCount: () => this.conductor.isConductor ? this.viewTask.followers.length + 1 : this.permits.hosts,
            },
            this.view,
            this.conductor,
            store,
            clock,
            journal,
        );
        this.forwarder = new CallForwarder(
            settings,
            zone,
            this.view,
            targets,
            this.reach,
            this.permits,
            this.crashes,
            this.streams,
            new SoftwareCheck(this.view, engines, this.permits, clock, journal),
            random,
            clock,
            journal,
            this.usage,
        );
        this.conductor.events.on("claimed", () => this.beginConducting());
        // This host may regain a lapsed claim, so its jobs continue until another host is known to hold the claim.
        this.conductor.events.on("lost", () => this.watch.deactivate());
        this.conductor.events.on("conductor", host => {
            if (host !== undefined && host !== identity.self) {
                this.endConducting();
                void this.standby.passOn(host);
            }
        });
        this.reach.events.on("changed", () => void this.leaveJobsToOthers());
        this.view.events.on("changed", () => {
            engines.closeUnlisted(this.view.directory.targets);
            this.permits.retain(this.view.directory.targets);
            void this.registry.applyRoutes();
            void this.confirmRetired();
        });
    }

    private createCapacityTask(): CapacityTask | undefined {
        const { duties, store, clock, journal } = this.ports;
        if (duties === undefined || this.settings.duties?.ordersCapacity !== true) {
            return undefined;
        }
        const demand = new CapacityDemandMeter(this.scheduler, () => this.runner.slotMsPerToken, clock);
        this.registry.events.on("opened", open => demand.recordStep(open));
        return new CapacityTask(
            this.identity.name,
            this.view,
            this.conductor,
            demand,
            new CapacityStore(store, journal),
            duties,
            clock,
            journal,
        );
    }

    /** True while this host reaches no target, and other hosts do. */
    private get isStranded(): boolean {
        return this.reach.isCutOff && this.relays.hasAny(this.ports.clock.now());
    }

    /** True while this host can serve calls, directly or through another host, as far as it knows. */
    get reachesTargets(): boolean {
        return !this.targets.reachesNothing;
    }

    /** Hosts other than `host` that reach targets: the followers that say so, and this host as the last one. */
    private relaysKnownHere(host: HostId): readonly RelayHost[] {
        const followers = this.viewTask.followers.filter(each => each.reachesTargets && each.host !== host);
        const { self, zone } = this.identity;
        return followers.length > 0 || this.reach.isCutOff ? followers : [{ host: self, zone }];
    }

    /** As conductor without targets, leaves the jobs to a host that reaches them. */
    private async leaveJobsToOthers(): Promise<void> {
        if (!this.conductor.isConductor) {
            return;
        }
        this.relays.setHosts(this.relaysKnownHere(this.identity.self));
        if (this.isStranded) {
            await this.conductor.stepDown();
        }
    }

    /** As conductor with callers, hands over to a host without callers that has followed for some time. */
    private async handOverToBetterHost(): Promise<void> {
        const { hasCallers } = this.identity;
        if (!hasCallers || !this.conductor.isSure || this.isStopping) {
            return;
        }
        const hasBetterFollower = this.viewTask.followers.some(each => !each.hasCallers && each.reachesTargets);
        const now = this.ports.clock.now();
        if (this.preference.shouldHandOver({ now, termBeganAt: this.termBeganAt, hasBetterFollower })) {
            this.ports.journal.log("conductor-handed-over", {
                fence: this.conductor.term.currentClaim?.fence,
                followers: this.viewTask.followers.length,
            });
            await this.conductor.stepDown();
        }
    }

    /**
     * True while this host, which does not conduct, reaches neither the store nor any host of another zone, or neither the
     * store nor the conductor that others reach.
     */
    get isCutOff(): boolean {
        return !this.ports.store.isReachable && !this.conductor.isConductor
            && (this.viewTask.isCutOff || this.viewTask.isIsolated);
    }

    start(): void {
        this.ports.peers.handle("conductor-yield", async ({ fence }, from) => this.yieldTo(from, fence));
        this.viewTask.start();
        this.streams.start();
    }

    /**
     * Resigns as conductor, and continues the open tasks for `resignedRunMs` so that a successor can take them over.
     */
    async resign(): Promise<void> {
        this.isStopping = true;
        const wasConductor = this.conductor.isConductor;
        await this.conductor.resign();
        if (wasConductor) {
            await sleepUntil(this.ports.clock, after(this.ports.clock.now(), resignedRunMs));
        }
        this.endConducting();
    }

    /** Sends what the conductor needs of this host before its process ends; takes at most half a second. */
    async sendLastCounts(): Promise<void> {
        await this.usage?.sendLastCounts();
    }

    stop(): void {
        this.viewTask.stop();
        this.streams.stop();
        this.reach.stop();
        this.endConducting();
    }

    /** Receives the head of each response of a target, as the adapters of the ports report it. */
    recordResponse(response: TargetResponse): void {
        if (response.isLeaving === true) {
            this.view.recordLeaving(response.target, this.leavingDeadline());
        }
        this.permits.recordResponse(response);
    }

    /** Until when a target that says now that it is leaving is used if there is no other. */
    private leavingDeadline(): Instant {
        return after(this.ports.clock.now(), this.settings.leavingNoticeMs);
    }

    /** State of the host, for the dump. */
    describe(): object {
        const { view, conductor, scheduler } = this;
        return {
            host: this.identity.name,
            conductor: conductor.conductor,
            claim: conductor.term.currentClaim,
            config: view.routes?.config.revision,
            viewAgeMs: view.ageMs,
            versions: Object.fromEntries(view.versions),
            targets: view.directory.targets.map(entry => ({
                ...entry,
                isSoftwareKnown: view.software.of(entry) !== undefined,
            })),
            reachesTargets: !this.reach.isCutOff,
            relayedRequests: this.targets.sessionCount,
            streamRecords: this.streams.recordCount,
            jobs: scheduler.open.map(({ job, waiting, running, scoring, log }) => ({
                job: job.id,
                step: job.step,
                tasks: job.tasks.length,
                waiting: waiting.length,
                running: running.size,
                scoring: scoring.size,
                listed: log.listed.length,
            })),
            usage: this.usage === undefined ? undefined : {
                ...this.usage.report(),
                fixedTo: this.usage.fixedTo,
                unreportedAgeMs: this.usage.unreportedAgeMs,
            },
            peers: this.ports.peers.describe(),
        };
    }

    /**
     * Requests the unlisted results and unfinished texts of the previous conductor; returns the age of its last order.
     */
    private async takeOver(predecessor: HostId, fence: KeyRevision, deadline: Instant): Promise<number | undefined> {
        const { peers, clock, journal } = this.ports;
        peers.setAddress(predecessor, predecessor);
        const answerBy = Math.min(deadline, after(clock.now(), handoverTimeoutMs)) as Instant;
        const res = await peers.ask(predecessor, "conductor-yield", { fence }, answerBy);
        const handover = res.toMaybe().chain(answer => answer.toMaybe()).extract();
        if (handover !== undefined && this.conductor.term.currentClaim?.fence === fence) {
            this.adoptWork(handover);
        }
        journal.log("handover-taken", {
            from: predecessor,
            answered: handover !== undefined,
            results: handover?.results.length,
            texts: handover?.texts.length,
            lastOrderAgeMs: handover?.lastOrderAgeMs,
        });
        return handover === undefined ? undefined : handover.lastOrderAgeMs ?? Infinity;
    }

    /**
     * Returns this host's unlisted results and unfinished texts for its successor, and stops its jobs. A host whose claim
     * is not the latest gets nothing, and nothing stops for it.
     */
    private yieldTo(successor: HostId, fence: KeyRevision): Either<Problem, ConductorHandover> {
        // The work ends with the event of the new conductor, after the handover has been put together.
        if (!this.conductor.yieldTo(successor, fence)) {
            return Left(problem("conflict", "A later claim than this one is known."));
        }
        const texts = this.scheduler.texts.flatMap(({ task, progress }) => {
            const text = progress.snapshot(0);
            return text === undefined ? [] : [{ task, text }];
        });
        return Right({ lastOrderAgeMs: this.conductor.lastOrderAgeMs, results: this.registry.unlisted, texts });
    }

    /** Adds results and texts that another host kept. */
    private adoptWork({ results, texts }: UnstoredWork): void {
        results.forEach(({ job, result }) => this.registry.adoptResult(job, result));
        for (const copy of texts) {
            const run = this.scheduler.adoptText(copy);
            if (run !== undefined) {
                this.runner.restartFrom(run, copy.text);
            }
        }
    }

    private beginConducting(): void {
        this.termBeganAt = this.ports.clock.now();
        this.registry.activate();
        this.versions.activate(this.runner);
        this.runner.activate();
        this.rewards.activate();
        this.standby.activate();
        this.watch.activate();
        this.usage?.activate();
        this.capacity?.activate();
    }

    private endConducting(): void {
        this.usage?.deactivate();
        this.capacity?.deactivate();
        this.watch.deactivate();
        this.standby.deactivate();
        this.rewards.deactivate();
        this.runner.deactivate();
        this.versions.deactivate();
        this.registry.deactivate();
    }

    private createUsageTask({ duties }: RolloutSettings): UsageTask | undefined {
        const { store, peers, clock, journal, duties: platform, timeOfDay = Date.now } = this.ports;
        const { self, name } = this.identity;
        if (duties === undefined || !duties.reportsUsage || platform === undefined) {
            return undefined;
        }
        const { usageWindowMs: windowMs, maxCallsPerSecond } = duties;
        const hostsBefore = (): number | undefined => this.permits.statedHosts;
        const options = { self, name, windowMs, maxCallsPerSecond, timeOfDay, hostsBefore };
        return new UsageTask(options, this.conductor, store, platform, peers, clock, journal);
    }

    private termsOf(job: Job): JobTerms | undefined {
        const { routes } = this.view;
        const route = routes?.find(job.host, job.path);
        const service = route?.services[0]?.service;
        if (route === undefined || service === undefined) {
            return undefined;
        }
        const owner = job.organisation === undefined ? undefined : routes?.organisations?.get(job.organisation);
        return {
            service,
            maxAttempts: route.maxAttempts,
            priority: owner?.priority ?? route.priority,
            singleVersion: route.singleVersion,
            expiresAt: (job.submittedAt + route.taskTtlMs) as Instant,
            dueAt: (job.submittedAt + route.jobTargetMs) as Instant,
        };
    }

    /** As conductor, confirms to the operators that retiring hosts hold nothing; a retiring conductor resigns first. */
    private async confirmRetired(): Promise<void> {
        const { retiring } = this.view;
        if (retiring.includes(this.identity.name) && this.conductor.isConductor) {
            await this.conductor.resign();
        }
        if (!this.conductor.isConductor) {
            return;
        }
        for (const host of retiring.filter(name => !this.confirmedRetired.has(name))) {
            this.confirmedRetired.add(host);
            const res = await this.ports.documents.confirmRetired(host);
            this.ports.journal.log("host-retired", { host, written: res.isRight() });
            if (res.isLeft()) {
                this.confirmedRetired.delete(host);
            }
        }
    }

    private readonly confirmedRetired = new Set<string>();
}
