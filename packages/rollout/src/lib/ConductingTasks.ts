/** Composes the tasks that run while this host conducts, and starts and stops them together. */

import { type CallTargets, decideTerms, type HostId, JobScheduler, type RolloutEngines } from "@tamarackpath/core";
import { CapacityDemandMeter } from "./CapacityDemandMeter.js";
import { CapacityStore } from "./CapacityStore.js";
import { CapacityTask } from "./CapacityTask.js";
import { type ConductorTask } from "./ConductorTask.js";
import { EndedJobCleanup } from "./EndedJobCleanup.js";
import { type HostView } from "./HostView.js";
import { JobRegistry } from "./JobRegistry.js";
import { JobRunner } from "./JobRunner.js";
import { JobStore } from "./JobStore.js";
import { LiveKeyWatch } from "./LiveKeyWatch.js";
import { type RequestPermits } from "./RequestPermits.js";
import { RewardRunner } from "./RewardRunner.js";
import { type RolloutIdentity, type RolloutPorts } from "./RolloutPorts.js";
import { type RolloutSettings } from "./RolloutSettings.js";
import { type Follower, StandbyTask } from "./StandbyTask.js";
import { UsageTask } from "./UsageTask.js";
import { VersionTask } from "./VersionTask.js";
import { WorkHandover } from "./WorkHandover.js";

/** What the tasks of a conductor use of their host. */
export interface ConductingParts {
    readonly identity: RolloutIdentity;
    readonly settings: RolloutSettings;
    readonly ports: RolloutPorts;
    readonly view: HostView;
    readonly conductor: ConductorTask;
    readonly permits: RequestPermits;
    /** The targets, directly or through other hosts. */
    readonly targets: CallTargets;
    /** The engines of the ports, watched for this host's reach. */
    readonly engines: RolloutEngines;
    /** Hosts that pulled this host's view recently. */
    readonly followers: () => readonly Follower[];
}

/** The tasks of a conductor. */
export class ConductingTasks {
    readonly jobs: JobStore;
    readonly scheduler: JobScheduler;
    readonly registry: JobRegistry;
    readonly handover: WorkHandover;
    /** Undefined where use is not reported. */
    readonly usage: UsageTask | undefined;
    /** Undefined where the hosts order no engines; it does nothing while no service has limits for that. */
    readonly capacity: CapacityTask | undefined;
    readonly watch: LiveKeyWatch;
    private readonly cleanup: EndedJobCleanup;
    private readonly versions: VersionTask;
    private readonly rewards: RewardRunner;
    private readonly runner: JobRunner;
    private readonly standby: StandbyTask;

    constructor(private readonly parts: ConductingParts) {
        const { identity, settings, ports, view, conductor, permits, targets, engines, followers } = parts;
        const { store, peers, clock, random, journal } = ports;
        const { name, zone } = identity;
        this.usage = this.createUsageTask();
        this.jobs = new JobStore(store, clock);
        this.scheduler = new JobScheduler(() => Math.floor(random() * Number.MAX_SAFE_INTEGER));
        this.registry = new JobRegistry(
            {
                settings,
                decideTerms: (job, known, seenAt) =>
                    decideTerms(job, known, view.routes, (view.configProvenAt ?? -Infinity) > seenAt),
                fence: () => conductor.term.currentClaim?.fence,
                onClaimChanged: (item, fence) => conductor.applyClaimChange(item, item?.revision ?? fence),
            },
            this.scheduler,
            this.jobs,
            clock,
            journal,
        );
        this.versions = new VersionTask(settings, name, view, conductor, permits, engines, clock, journal);
        this.rewards = new RewardRunner(
            zone,
            this.scheduler,
            this.registry,
            view,
            targets,
            permits,
            random,
            clock,
            journal,
        );
        this.runner = new JobRunner(
            settings,
            name,
            this.scheduler,
            this.registry,
            view,
            this.versions,
            this.rewards,
            permits,
            engines,
            clock,
            journal,
        );
        this.capacity = this.createCapacityTask();
        this.watch = new LiveKeyWatch(store, this.jobs, this.registry, conductor, clock, journal);
        this.cleanup = new EndedJobCleanup(settings, store, this.jobs, conductor, clock, journal);
        const { scheduler, registry, runner } = this;
        const handover = new WorkHandover(conductor, scheduler, registry, runner, peers, clock, journal);
        this.handover = handover;
        this.standby = new StandbyTask(
            {
                zone,
                followers,
                adopt: work => handover.adopt(work),
                isConductor: () => conductor.isConductor,
                fence: () => conductor.term.lastFence,
            },
            scheduler,
            registry,
            peers,
            clock,
            journal,
        );
    }

    /** Starts the tasks, when this host begins to conduct. */
    activate(): void {
        this.registry.activate();
        this.versions.activate(this.runner);
        this.runner.activate();
        this.rewards.activate();
        this.standby.activate();
        this.watch.activate();
        this.cleanup.activate();
        this.usage?.activate();
        this.capacity?.activate();
    }

    /** Stops the tasks, when another host conducts or this one stops. */
    deactivate(): void {
        this.usage?.deactivate();
        this.capacity?.deactivate();
        this.watch.deactivate();
        this.cleanup.deactivate();
        this.standby.deactivate();
        this.rewards.deactivate();
        this.runner.deactivate();
        this.versions.deactivate();
        this.registry.deactivate();
    }

    /** Passes the copies that this host keeps as standby on to a new conductor. */
    async passOn(conductor: HostId): Promise<void> {
        await this.standby.passOn(conductor);
    }

    private createUsageTask(): UsageTask | undefined {
        const { identity, settings, ports, conductor, permits } = this.parts;
        const { store, peers, clock, journal, duties: platform, timeOfDay = Date.now } = ports;
        const { self, name } = identity;
        const { duties } = settings;
        if (duties === undefined || !duties.reportsUsage || platform === undefined) {
            return undefined;
        }
        const { usageWindowMs: windowMs, maxCallsPerSecond } = duties;
        const hostsBefore = (): number | undefined => permits.statedHosts;
        const options = { self, name, windowMs, maxCallsPerSecond, timeOfDay, hostsBefore };
        return new UsageTask(options, conductor, store, platform, peers, clock, journal);
    }

    private createCapacityTask(): CapacityTask | undefined {
        const { identity, settings, ports, view, conductor } = this.parts;
        const { duties, store, clock, journal } = ports;
        if (duties === undefined || settings.duties?.ordersCapacity !== true) {
            return undefined;
        }
        const demand = new CapacityDemandMeter(this.scheduler, () => this.runner.slotMsPerToken, clock);
        this.registry.events.on("opened", open => demand.recordStep(open));
        return new CapacityTask(
            identity.name,
            view,
            conductor,
            demand,
            new CapacityStore(store, journal),
            duties,
            clock,
            journal,
        );
    }
}
