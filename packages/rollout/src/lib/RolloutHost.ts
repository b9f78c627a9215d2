/** Composes the tasks of one host from its ports, and starts and stops them together. */

import {
    after,
    type CallTargets,
    type Clock,
    type ConductorHandover,
    type HostId,
    type Instant,
    type Job,
    JobScheduler,
    type JobTerms,
    type PeerNetwork,
    type PlatformDocuments,
    type RolloutEngines,
    sleepUntil,
    type TransactionalStore,
    type UnstoredWork,
    type ZoneId,
} from "@tamarackpath/core";
import { Right } from "purify-ts";
import { CallForwarder } from "./CallForwarder.js";
import { ConductorTask } from "./ConductorTask.js";
import { HostView } from "./HostView.js";
import { JobBook } from "./JobBook.js";
import { JobDesk } from "./JobDesk.js";
import { JobRunner } from "./JobRunner.js";
import { JobStore } from "./JobStore.js";
import { type Journal } from "./Journal.js";
import { LiveWatch } from "./LiveWatch.js";
import { type RolloutSettings } from "./RolloutSettings.js";
import { StandbyTask } from "./StandbyTask.js";
import { VersionTask } from "./VersionTask.js";
import { ViewTask } from "./ViewTask.js";

/** The outside of a host. */
export interface RolloutPorts {
    readonly store: TransactionalStore;
    readonly documents: PlatformDocuments;
    readonly engines: RolloutEngines;
    readonly targets: CallTargets;
    readonly peers: PeerNetwork;
    readonly clock: Clock;
    readonly random: () => number;
    readonly journal: Journal;
}

/** Who a host is. */
export interface RolloutIdentity {
    /** Address of its peer socket, which also names it to its peers. */
    readonly self: HostId;
    /** Name that operators use. */
    readonly name: string;
    readonly zone: ZoneId;
    readonly seeds: readonly HostId[];
    /** Whether callers connect to it; hosts without callers conduct first. */
    readonly hasCallers: boolean;
}

/** Bytes of results in one page: the callers' limit of 1 MB less the frame around them. */
const pageBytes = 900_000;

/** Milliseconds that a host lets others claim first: hosts with callers let those without go first. */
const claimDelayMs = { withCallers: 700, without: 60, spread: 250 } as const;

/** Milliseconds that the host that conducted before has to hand over what it has. */
const takeOverMs = 500;

/** Milliseconds for which a host that resigned goes on running its tasks, until a successor takes them. */
const handoverMs = 1500;

/** One host's tasks. */
export class RolloutHost {
    readonly view: HostView;
    readonly desk: JobDesk;
    readonly forwarder: CallForwarder;
    readonly conductor: ConductorTask;
    private readonly viewTask: ViewTask;
    private readonly board: JobScheduler;
    private readonly book: JobBook;
    private readonly runner: JobRunner;
    private readonly versions: VersionTask;
    private readonly standby: StandbyTask;
    private readonly watch: LiveWatch;
    private isStopping = false;

    constructor(
        private readonly identity: RolloutIdentity,
        settings: RolloutSettings,
        private readonly ports: RolloutPorts,
    ) {
        const { store, documents, engines, targets, peers, clock, random, journal } = ports;
        const { self, zone, seeds, hasCallers } = identity;
        this.view = new HostView(clock, journal);
        const delay = hasCallers ? claimDelayMs.withCallers : claimDelayMs.without;
        this.conductor = new ConductorTask(
            {
                self,
                settings,
                claimDelayMs: () => delay + claimDelayMs.spread * random(),
                takeOver: (predecessor, fence) => this.takeOver(predecessor, fence),
                mayClaim: () => !this.isStopping && !this.view.retiring.includes(identity.name),
            },
            store,
            clock,
            journal,
        );
        const jobs = new JobStore(store, clock);
        this.board = new JobScheduler(() => Math.floor(random() * Number.MAX_SAFE_INTEGER));
        this.book = new JobBook(
            {
                settings,
                termsOf: job => this.termsOf(job),
                fence: () => this.conductor.tenure.currentClaim?.fence,
                onClaimChanged: item => this.conductor.noteChange(item),
            },
            this.board,
            jobs,
            clock,
            journal,
        );
        this.versions = new VersionTask(settings, identity.name, this.view, this.conductor, engines, clock, journal);
        this.runner = new JobRunner(
            settings,
            identity.name,
            this.board,
            this.book,
            this.view,
            this.versions,
            engines,
            clock,
            journal,
        );
        this.watch = new LiveWatch(store, jobs, this.book, this.conductor, clock);
        this.standby = new StandbyTask(
            {
                zone,
                followers: () => this.viewTask.followers,
                adopt: work => this.adopt(work),
                isConductor: () => this.conductor.isConductor,
            },
            this.board,
            this.book,
            peers,
            clock,
            journal,
        );
        this.viewTask = new ViewTask(
            { settings, seeds, zone, hasCallers },
            this.view,
            this.conductor,
            documents,
            peers,
            clock,
        );
        this.desk = new JobDesk(
            { self, pageBytes, isCutOff: () => this.isCutOff },
            this.conductor,
            this.book,
            jobs,
            peers,
            clock,
            journal,
        );
        this.forwarder = new CallForwarder(settings, zone, this.view, targets, random, clock, journal);
        this.conductor.events.on("claimed", () => this.begin());
        // A claim that lapsed may be taken again, so the jobs go on until another host is known to have it.
        this.conductor.events.on("lost", () => this.watch.deactivate());
        this.conductor.events.on("conductor", host => {
            if (host !== undefined && host !== identity.self) {
                this.end();
                void this.standby.passOn(host);
            }
        });
        this.view.events.on("changed", () => {
            engines.closeUnlisted(this.view.directory.targets);
            void this.book.applyRoutes();
            void this.confirmRetired();
        });
    }

    /** True while this host reaches neither the store nor any host of another zone. */
    get isCutOff(): boolean {
        return !this.ports.store.isReachable && !this.conductor.isConductor && this.viewTask.isCutOff;
    }

    start(): void {
        this.ports.peers.handle("conductor-yield", async ({ fence }) => Right(this.yieldTo(fence)));
        this.viewTask.start();
    }

    /** Gives the conductor's duties away; what is under way here goes on. */
    async resign(): Promise<void> {
        this.isStopping = true;
        const conducted = this.conductor.isConductor;
        await this.conductor.resign();
        if (conducted) {
            await sleepUntil(this.ports.clock, after(this.ports.clock.now(), handoverMs));
        }
        this.end();
    }

    stop(): void {
        this.viewTask.stop();
        this.end();
    }

    /** State for the dump. */
    describe(): object {
        const { view, conductor, board } = this;
        return {
            host: this.identity.name,
            conductor: conductor.conductor,
            claim: conductor.tenure.currentClaim,
            config: view.routes?.config.revision,
            viewAgeMs: view.ageMs,
            versions: Object.fromEntries(view.versions),
            targets: view.directory.targets,
            jobs: board.open.map(({ job, waiting, running, log }) => ({
                job: job.id,
                step: job.step,
                tasks: job.tasks.length,
                waiting: waiting.length,
                running: running.size,
                listed: log.listed.length,
            })),
            peers: this.ports.peers.describe(),
        };
    }

    /** Takes the unlisted results and unfinished texts of the host that conducted before. */
    private async takeOver(predecessor: HostId, fence: number): Promise<number | undefined> {
        const { peers, clock, journal } = this.ports;
        peers.setAddress(predecessor, predecessor);
        const res = await peers.ask(predecessor, "conductor-yield", { fence }, after(clock.now(), takeOverMs));
        const handover = res.toMaybe().chain(answer => answer.toMaybe()).extract();
        if (handover !== undefined) {
            this.adopt(handover);
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

    /** Hands over what this host has as conductor, and stops running jobs. */
    private yieldTo(fence: number): ConductorHandover {
        const lastOrderAgeMs = this.conductor.yieldTo(fence);
        const texts = this.board.texts.flatMap(({ task, progress }) => {
            const text = progress.snapshot(0);
            return text === undefined ? [] : [{ task, text }];
        });
        const handover = { lastOrderAgeMs, results: this.book.unlisted, texts };
        this.end();
        return handover;
    }

    /** Takes what another host kept of the jobs. */
    private adopt({ results, texts }: UnstoredWork): void {
        results.forEach(({ job, result }) => this.book.inherit(job, result));
        for (const whole of texts) {
            const run = this.board.adoptText(whole);
            if (run !== undefined) {
                this.runner.restartFrom(run, whole.text);
            }
        }
    }

    private begin(): void {
        this.book.activate();
        this.versions.activate(this.runner);
        this.runner.activate();
        this.standby.activate();
        this.watch.activate();
    }

    private end(): void {
        this.watch.deactivate();
        this.standby.deactivate();
        this.runner.deactivate();
        this.versions.deactivate();
        this.book.deactivate();
    }

    private termsOf(job: Job): JobTerms | undefined {
        const route = this.view.routes?.find(job.host, job.path);
        const service = route?.services[0]?.service;
        if (route === undefined || service === undefined) {
            return undefined;
        }
        return {
            service,
            maxAttempts: route.maxAttempts,
            priority: route.priority,
            singleVersion: route.singleVersion,
            expiresAt: (job.submittedAt + route.taskTtlMs) as Instant,
            dueAt: (job.submittedAt + route.jobTargetMs) as Instant,
        };
    }

    /** The conductor says for hosts that are to be emptied that they hold nothing, once they do not conduct. */
    private async confirmRetired(): Promise<void> {
        const { retiring } = this.view;
        if (retiring.includes(this.identity.name) && this.conductor.isConductor) {
            await this.conductor.resign();
        }
        if (!this.conductor.isConductor) {
            return;
        }
        for (const host of retiring.filter(name => !this.retired.has(name))) {
            this.retired.add(host);
            const res = await this.ports.documents.confirmRetired(host);
            this.ports.journal.log("host-retired", { host, written: res.isRight() });
            if (res.isLeft()) {
                this.retired.delete(host);
            }
        }
    }

    private readonly retired = new Set<string>();
}
