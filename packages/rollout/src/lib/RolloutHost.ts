/** Composes the tasks of one host from its ports, and starts and stops them. */

import {
    after,
    type Instant,
    type JobScheduler,
    RelayChoice,
    sleepUntil,
    StopAdmission,
    type TargetResponse,
    termsByRoute,
} from "@tamarackpath/core";
import { CallForwarder } from "./CallForwarder.js";
import { type CapacityTask } from "./CapacityTask.js";
import { ConductingTasks } from "./ConductingTasks.js";
import { ConductorSuccession } from "./ConductorSuccession.js";
import { ConductorTask } from "./ConductorTask.js";
import { CrashGuard } from "./CrashGuard.js";
import { HostView } from "./HostView.js";
import { JobCallHandler } from "./JobCallHandler.js";
import { ReachTask, selectRelays, watchEngines } from "./ReachTask.js";
import { RelayedTargets } from "./RelayedTargets.js";
import { RequestPermits } from "./RequestPermits.js";
import { RetiredHosts } from "./RetiredHosts.js";
import { type RolloutIdentity, type RolloutPorts } from "./RolloutPorts.js";
import { type RolloutSettings } from "./RolloutSettings.js";
import { SoftwareCheck } from "./SoftwareCheck.js";
import { type Follower } from "./StandbyTask.js";
import { StreamOrigins } from "./StreamOrigins.js";
import { type UsageTask } from "./UsageTask.js";
import { ViewTask } from "./ViewTask.js";

export { type RolloutIdentity, type RolloutPorts } from "./RolloutPorts.js";

/** Upper limit of the results in one page, in bytes: the callers' limit of 1 MB less the surrounding JSON. */
const maxPageBytes = 900_000;

/**
 * Milliseconds before a host claims, plus a random jitter: hosts without callers claim before those with callers, and
 * hosts that reach no target last.
 */
const claimDelayMs = { withCallers: 700, withoutCallers: 60, jitter: 250, cutOff: 1500 } as const;

/** Milliseconds for which a host that resigned continues its tasks, until a successor takes them over. */
const resignedRunMs = 1500;

/** The tasks of one host. */
export class RolloutHost {
    readonly view: HostView;
    readonly jobCalls: JobCallHandler;
    readonly forwarder: CallForwarder;
    readonly conductor: ConductorTask;
    private readonly viewTask: ViewTask;
    private readonly tasks: ConductingTasks;
    private readonly scheduler: JobScheduler;
    /** Undefined where the hosts order no engines; it does nothing while no service has limits for that. */
    readonly capacity: CapacityTask | undefined;
    readonly permits: RequestPermits;
    readonly crashes: CrashGuard;
    readonly streams: StreamOrigins;
    readonly targets: RelayedTargets;
    readonly reach: ReachTask;
    /** Undefined where use is not reported. */
    readonly usage: UsageTask | undefined;
    /** Decides which requests of callers and of other hosts are taken while this host stops. */
    readonly stopAdmission = new StopAdmission();
    private readonly succession: ConductorSuccession;
    private isStopping = false;

    constructor(
        private readonly identity: RolloutIdentity,
        private readonly settings: RolloutSettings,
        private readonly ports: RolloutPorts,
    ) {
        const { store, documents, peers, clock, random, journal } = ports;
        const { self, zone, seeds, hasCallers } = identity;
        this.view = new HostView(clock, journal);
        this.reach = new ReachTask(this.view, ports.targets, random, clock, journal);
        const relays = new RelayChoice(zone, random);
        // Until the conductor names hosts that reach targets, the seeds are asked; they refuse if they reach none.
        relays.setHosts(seeds.map(host => ({ host, zone })));
        const targets = new RelayedTargets(
            self,
            ports.targets,
            this.reach,
            this.stopAdmission,
            relays,
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
                takeOver: (predecessor, fence, deadline) => this.tasks.handover.takeOver(predecessor, fence, deadline),
                canClaim: () =>
                    !this.isStopping && !this.view.retiring.includes(identity.name)
                    && !this.succession.isStranded,
            },
            store,
            clock,
            journal,
        );
        this.permits = new RequestPermits(this.conductor, peers, clock, journal);
        this.crashes = new CrashGuard(this.conductor, peers, clock, journal);
        const followers = (): readonly Follower[] => this.viewTask.followers;
        this.succession = new ConductorSuccession(
            { identity, followers, isStopping: () => this.isStopping },
            this.conductor,
            this.reach,
            relays,
            clock,
            journal,
        );
        this.tasks = new ConductingTasks({
            identity,
            settings,
            ports,
            view: this.view,
            conductor: this.conductor,
            permits: this.permits,
            targets,
            engines,
            followers,
        });
        const { jobs, registry, scheduler } = this.tasks;
        this.scheduler = scheduler;
        this.usage = this.tasks.usage;
        this.capacity = this.tasks.capacity;
        this.viewTask = new ViewTask(
            {
                settings,
                seeds,
                zone,
                hasCallers,
                // The conductor names no host that stops to hosts without targets.
                reachesTargets: () => !this.reach.isCutOff && !this.stopAdmission.isStopping,
                relaysFor: (host, zoneOfHost) => {
                    void this.succession.leaveJobsToOthers();
                    void this.succession.handOverToBetterHost();
                    return selectRelays(this.succession.relaysKnownHere(host), zoneOfHost, random);
                },
                onRelays: hosts => relays.setHosts(hosts),
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
                termsOf: job => termsByRoute(job, this.view.routes),
                isCutOff: () => this.isCutOff,
                chooseRelay: tried => relays.choose(tried, clock.now()),
            },
            this.conductor,
            registry,
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
        const retired = new RetiredHosts(identity.name, this.view, this.conductor, documents, journal);
        this.conductor.events.on("claimed", () => this.beginConducting());
        // This host may regain a lapsed claim, so its jobs continue until another host is known to hold the claim.
        this.conductor.events.on("lost", () => this.tasks.watch.deactivate());
        this.conductor.events.on("conductor", host => {
            if (host !== undefined && host !== identity.self) {
                this.tasks.deactivate();
                void this.tasks.passOn(host);
            }
        });
        this.reach.events.on("changed", () => void this.succession.leaveJobsToOthers());
        this.view.events.on("changed", () => {
            engines.closeUnlisted(this.view.directory.targets);
            this.permits.retain(this.view.directory.targets);
            void registry.applyRoutes();
            void retired.confirm();
        });
    }

    /** True while this host can serve calls, directly or through another host, as far as it knows. */
    get reachesTargets(): boolean {
        return !this.targets.reachesNothing;
    }

    /**
     * True while this host, which does not conduct, reaches neither the store nor any host of another zone, or neither the
     * store nor the conductor that others reach.
     */
    get isCutOff(): boolean {
        return !this.ports.store.isReachable && !this.conductor.isConductor
            && (this.viewTask.isCutOff || this.viewTask.isIsolated);
    }

    /** Milliseconds for which ends of jobs in the store may have been unknown to this host; undefined elsewhere than at the conductor. */
    get endsAgeMs(): number | undefined {
        return this.conductor.isConductor ? this.tasks.registry.endsAgeMs(this.ports.clock.now()) : undefined;
    }

    start(): void {
        this.ports.peers.handle("conductor-yield", async ({ fence }, from) => this.tasks.handover.yieldTo(from, fence));
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
        this.tasks.deactivate();
    }

    /** Number of requests that this host sends to targets for other hosts. */
    get openRelays(): number {
        return this.targets.sessionCount;
    }

    /** Ends the calls of callers and of other hosts that have no answer yet; those that may have run end as unknown. */
    endCalls(): void {
        const reason = "The host is stopping.";
        this.forwarder.endAll(reason);
        this.targets.endOthers(reason);
    }

    /** Sends what the conductor needs of this host before its process ends; takes at most half a second. */
    async sendLastCounts(): Promise<void> {
        await this.usage?.sendLastCounts();
    }

    stop(): void {
        this.viewTask.stop();
        this.streams.stop();
        this.reach.stop();
        this.tasks.deactivate();
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

    private beginConducting(): void {
        this.succession.recordTerm();
        this.tasks.activate();
    }
}
