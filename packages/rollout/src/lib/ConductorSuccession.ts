/**
 * Leaves the role of the conductor to a host that is better placed: one that reaches targets if this host reaches none,
 * or one without callers if this host has callers.
 */

import {
    type Clock,
    ConductorPreference,
    type HostId,
    type Instant,
    type RelayChoice,
    type RelayHost,
} from "@tamarackpath/core";
import { type ConductorTask } from "./ConductorTask.js";
import { type Journal } from "./Journal.js";
import { type ReachTask } from "./ReachTask.js";
import { type RolloutIdentity } from "./RolloutPorts.js";
import { type Follower } from "./StandbyTask.js";

/** What the succession needs to know of its host. */
export interface SuccessionOptions {
    readonly identity: RolloutIdentity;
    /** Hosts that pulled this host's view recently. */
    readonly followers: () => readonly Follower[];
    readonly isStopping: () => boolean;
}

/** Decides when this host steps down as conductor. */
export class ConductorSuccession {
    private readonly preference = new ConductorPreference();
    private termBeganAt = -Infinity as Instant;

    constructor(
        private readonly options: SuccessionOptions,
        private readonly conductor: ConductorTask,
        private readonly reach: ReachTask,
        private readonly relays: RelayChoice,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {}

    /** Records that a term of this host begins now. */
    recordTerm(): void {
        this.termBeganAt = this.clock.now();
    }

    /** True while this host reaches no target, and other hosts do. */
    get isStranded(): boolean {
        return this.reach.isCutOff && this.relays.hasAny(this.clock.now());
    }

    /** Hosts other than `host` that reach targets: the followers that say so, and this host as the last one. */
    relaysKnownHere(host: HostId): readonly RelayHost[] {
        const followers = this.options.followers().filter(each => each.reachesTargets && each.host !== host);
        const { self, zone } = this.options.identity;
        return followers.length > 0 || this.reach.isCutOff ? followers : [{ host: self, zone }];
    }

    /** As conductor without targets, leaves the jobs to a host that reaches them. */
    async leaveJobsToOthers(): Promise<void> {
        if (!this.conductor.isConductor) {
            return;
        }
        this.relays.setHosts(this.relaysKnownHere(this.options.identity.self));
        if (this.isStranded) {
            await this.conductor.stepDown();
        }
    }

    /** As conductor with callers, hands over to a host without callers that has followed for some time. */
    async handOverToBetterHost(): Promise<void> {
        const { identity, followers, isStopping } = this.options;
        if (!identity.hasCallers || !this.conductor.isSure || isStopping()) {
            return;
        }
        const hasBetterFollower = followers().some(each => !each.hasCallers && each.reachesTargets);
        const now = this.clock.now();
        if (this.preference.shouldHandOver({ now, termBeganAt: this.termBeganAt, hasBetterFollower })) {
            this.journal.log("conductor-handed-over", {
                fence: this.conductor.term.currentClaim?.fence,
                followers: followers().length,
            });
            await this.conductor.stepDown();
        }
    }
}
