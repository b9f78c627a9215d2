/**
 * Keeps a host's view fresh with few calls to the store: the conductor reads the documents several times in two seconds
 * and the other hosts wait at the conductor for changes. A host whose view has grown old reads the documents itself.
 */

import {
    after,
    type Clock,
    type HostId,
    type Instant,
    type PeerNetwork,
    type PlatformDocuments,
    sleepUntil,
    type ZoneId,
} from "@tamarackpath/core";
import { Right } from "purify-ts";
import { type ConductorTask } from "./ConductorTask.js";
import { type HostView } from "./HostView.js";
import { type RolloutSettings } from "./RolloutSettings.js";
import { type Follower } from "./StandbyTask.js";

/** What a view task needs. */
export interface ViewTaskOptions {
    readonly settings: RolloutSettings;
    /** Hosts that may know the conductor when the store cannot be asked. */
    readonly seeds: readonly HostId[];
    readonly zone: ZoneId;
    readonly hasCallers: boolean;
}

/** Milliseconds after its last pull for which a host counts as a follower. */
const followerMemoryMs = 3000;

/** Milliseconds that a pull waits at the conductor for a change. */
const pullWaitMs = 800;

/** Milliseconds beyond the wait within which the conductor must have answered. */
const pullSlackMs = 600;

/** Milliseconds that a watch of the operators' documents waits: a silent connection must not hide a change for longer. */
const watchMs = 2000;

/** Milliseconds without an answer from outside the zone after which a host counts as cut off. */
const cutOffAfterMs = 300;

/** Milliseconds that a host has to say that it still conducts: far above a round trip between zones. */
const isThereMs = 250;

/** Followers that are asked who conducts when this host's own claim may have lapsed, in case some are cut off as well. */
const mostAsked = 4;

/** Milliseconds between rounds in which nothing could be learnt. */
const roundMs = 250;

/** Runs the loops of a host's view. */
export class ViewTask {
    private stopped = false;
    private unheardSince: Instant | undefined;
    private hasHeardConductor = false;
    private readonly pulls = new Map<HostId, Follower & { readonly at: Instant; }>();
    /** The conductor's number of the view taken last, and whose number it is. */
    private taken: { readonly host: HostId; readonly number: number; } | undefined;

    constructor(
        private readonly options: ViewTaskOptions,
        private readonly view: HostView,
        private readonly conductor: ConductorTask,
        private readonly documents: PlatformDocuments,
        private readonly peers: PeerNetwork,
        private readonly clock: Clock,
    ) {
        peers.handle("view-pull", async ({ have, zone, hasCallers }, from) => {
            this.pulls.set(from, { host: from, zone, hasCallers, at: clock.now() });
            await this.waitForChange(have);
            const { revision, ageMs, operator } = view;
            const content = revision === have ? undefined : { operator, targets: view.directory.targets };
            return Right({ number: revision, ageMs: conductor.isSure ? ageMs : undefined, content });
        });
        peers.handle("conductor-ask", async () => {
            const { zone } = options;
            const isKnown = conductor.isConductor || this.hasHeardConductor;
            return Right({ conductor: isKnown ? conductor.vouchedFor : undefined, zone });
        });
    }

    /** Hosts that pulled this one's view lately. */
    get followers(): readonly Follower[] {
        const now = this.clock.now();
        return [...this.pulls.values()].filter(({ at }) => now - at < followerMemoryMs);
    }

    /**
     * True while nothing outside this host's zone answers: neither the conductor nor the seeds. Callers are better
     * served by hosts of other zones then, if the store cannot be reached from here either.
     */
    get isCutOff(): boolean {
        return this.unheardSince !== undefined && this.clock.now() - this.unheardSince > cutOffAfterMs;
    }

    start(): void {
        void this.followLoop();
        void this.readLoop();
        void this.watchLoop();
    }

    stop(): void {
        this.stopped = true;
    }

    /** Reads the targets while this host conducts, or while what it has is old; then the operators' documents too. */
    private async readLoop(): Promise<void> {
        const { pollMs, staleViewMs } = this.options.settings;
        while (!this.stopped) {
            const isStale = (this.view.ageMs ?? Infinity) > staleViewMs;
            if (this.conductor.isConductor) {
                await this.readTargets();
            }
            else if (isStale) {
                await Promise.all([this.readOperator(), this.readTargets()]);
            }
            await sleepUntil(this.clock, after(this.clock.now(), pollMs));
        }
    }

    /** Follows the operators' documents while this host conducts. */
    private async watchLoop(): Promise<void> {
        while (!this.stopped) {
            if (!this.conductor.isConductor) {
                await sleepUntil(this.clock, after(this.clock.now(), roundMs));
                continue;
            }
            const seen = await this.documents.awaitOperatorChange(watchMs);
            seen.ifRight(read => this.view.takeOperator(read, "store"));
            if (seen.isLeft()) {
                await sleepUntil(this.clock, after(this.clock.now(), roundMs));
            }
        }
    }

    private async readOperator(): Promise<void> {
        (await this.documents.readOperator()).ifRight(read => this.view.takeOperator(read, "store"));
    }

    private async readTargets(): Promise<void> {
        const startedAt = this.clock.now();
        const res = await this.documents.readTargets();
        res.ifRight(read => this.view.takeTargets(read, undefined));
        res.ifLeft(() => this.view.directory.recordFailure(startedAt));
    }

    /** Waits at the conductor for changes, and looks for a conductor when it is not heard. */
    private async followLoop(): Promise<void> {
        const { hasCallers } = this.options;
        let missed = 0;
        while (!this.stopped) {
            const host = this.conductor.conductor;
            if (this.conductor.isConductor) {
                await sleepUntil(this.clock, after(this.clock.now(), roundMs));
                if (!this.conductor.isSure) {
                    await this.askForSuccessor();
                }
                continue;
            }
            const mayAnswer = host !== undefined && (missed === 0 || hasCallers || await this.isThere(host));
            const heard = mayAnswer && await this.pull(host);
            missed = heard ? 0 : missed + 1;
            this.hasHeardConductor = heard;
            if (heard) {
                this.unheardSince = undefined;
            }
            else {
                const asking = this.askSeeds().then(hasHeardSeed => {
                    this.unheardSince = hasHeardSeed ? undefined : this.unheardSince ?? this.clock.now();
                });
                // What seeds say matters only to a host that the store does not answer.
                if (!await this.conductor.lookUp()) {
                    await asking;
                }
                if (missed > 1) {
                    await sleepUntil(this.clock, after(this.clock.now(), roundMs));
                }
            }
        }
    }

    /**
     * Whether a host that did not answer in time says again that it conducts. Hosts without callers ask, as they claim
     * first: a pull would wait so long for a host that is cut off that its lapsed claim were noticed late.
     */
    private async isThere(host: HostId): Promise<boolean> {
        this.peers.setAddress(host, host);
        const res = await this.peers.ask(host, "conductor-ask", {}, after(this.clock.now(), isThereMs));
        return res.toMaybe().chain(answer => answer.toMaybe()).extract()?.conductor === host;
    }

    private async pull(host: HostId): Promise<boolean> {
        this.peers.setAddress(host, host);
        const { zone, hasCallers } = this.options;
        const have = this.taken?.host === host ? this.taken.number : -1;
        const deadline = after(this.clock.now(), pullWaitMs + pullSlackMs);
        const res = await this.peers.ask(host, "view-pull", { have, zone, hasCallers }, deadline);
        const shared = res.toMaybe().chain(answer => answer.toMaybe()).extract();
        if (shared?.ageMs === undefined) {
            return false;
        }
        this.taken = { host, number: shared.number };
        if (shared.content === undefined) {
            this.view.confirm(shared.ageMs);
        }
        else {
            this.view.takeOperator(shared.content.operator, "conductor");
            this.view.takeTargets(shared.content.targets, shared.ageMs);
        }
        return true;
    }

    /** Asks hosts that followed this one whether they hear another conductor; this one's claim has lapsed then. */
    private async askForSuccessor(): Promise<void> {
        const followed = [...this.pulls.values()].sort((a, b) => b.at - a.at).map(({ host }) => host);
        const heard = await this.askForConductor([...followed.slice(0, mostAsked), ...this.options.seeds]);
        const successor = heard.find(({ conductor }) => conductor !== undefined)?.conductor;
        if (successor !== undefined) {
            this.conductor.takeSuccessor(successor);
        }
    }

    private async askForConductor(
        hosts: readonly HostId[],
    ): Promise<readonly { readonly conductor: HostId | undefined; readonly zone: ZoneId; }[]> {
        const answers = await Promise.all(hosts.map(async host => {
            this.peers.setAddress(host, host);
            const res = await this.peers.ask(host, "conductor-ask", {}, after(this.clock.now(), pullSlackMs));
            return res.toMaybe().chain(answer => answer.toMaybe()).extract();
        }));
        return answers.filter(answer => answer !== undefined);
    }

    /** Asks the seeds for the conductor; true when one of another zone answered. */
    private async askSeeds(): Promise<boolean> {
        const heard = await this.askForConductor(this.options.seeds);
        this.conductor.takeWord(heard.find(({ conductor }) => conductor !== undefined)?.conductor);
        return heard.some(({ zone }) => zone !== this.options.zone);
    }

    private waitForChange(have: number): Promise<void> {
        if (this.view.revision !== have) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const off = this.view.events.on("changed", () => finish());
            const cancel = this.clock.callAt(after(this.clock.now(), pullWaitMs), () => finish());
            const finish = (): void => {
                off();
                cancel();
                resolve();
            };
        });
    }
}
