/**
 * Answers the hosts that pull this host's view: the documents, the rate limits of targets and the records of requests that
 * end their targets. A host gets only what has changed since the revisions that it has, if these come from this process.
 */

import {
    after,
    type Clock,
    type ConductorView,
    type HostId,
    type Instant,
    type PeerRequests,
    type Problem,
    proofAgeAtArrival,
    type RelayHost,
    type ZoneId,
} from "@tamarackpath/core";
import { type Either, Right } from "purify-ts";
import { type ConductorTask } from "./ConductorTask.js";
import { type CrashGuard } from "./CrashGuard.js";
import { type HostView } from "./HostView.js";
import { type RequestPermits } from "./RequestPermits.js";
import { type Follower } from "./StandbyTask.js";
import { type UsageTask } from "./UsageTask.js";

/** Milliseconds that a pull waits at the conductor for a change. */
export const pullWaitMs = 800;

/** Milliseconds after its last pull for which a host counts as a follower. */
const followerTtlMs = 3000;

type Pull = PeerRequests["view-pull"]["ask"];

/** The revisions that a host that pulls has; -1 if all is to be sent, and undefined for what it does not pull. */
type HeldRevisions = Pick<Pull, "have" | "haveLimits" | "haveCrashes">;

interface RecentFollower extends Follower {
    readonly at: Instant;
    /** Number of the view whose content the last answer to this host had; undefined if it had none. */
    readonly sentView: number | undefined;
}

/** Answers pulls, and knows the hosts that pull. */
export class PullResponder {
    private readonly followersByHost = new Map<HostId, RecentFollower>();

    constructor(
        /** Some hosts that reach targets, for a host of a zone that pulls. */
        private readonly relaysFor: (host: HostId, zone: ZoneId) => readonly RelayHost[],
        private readonly view: HostView,
        private readonly conductor: ConductorTask,
        private readonly permits: RequestPermits,
        private readonly crashes: CrashGuard,
        private readonly clock: Clock,
        private readonly usage?: UsageTask,
    ) {}

    /** Hosts that pulled this host's view within `followerTtlMs`. */
    get followers(): readonly Follower[] {
        const now = this.clock.now();
        return [...this.followersByHost.values()].filter(({ at }) => now - at < followerTtlMs);
    }

    /** All hosts that ever pulled this host's view, the one that did so last first. */
    get latestFollowers(): readonly HostId[] {
        return [...this.followersByHost.values()].sort((a, b) => b.at - a.at).map(({ host }) => host);
    }

    /** Answers a pull of the host `from` when there is something that it does not have, or after `pullWaitMs`. */
    async answer(ask: Pull, from: HostId): Promise<Either<Problem, ConductorView>> {
        const arrivedAt = this.clock.now();
        const { view, permits, crashes, conductor } = this;
        const { zone, hasCallers } = ask;
        const follower = { host: from, zone, hasCallers, reachesTargets: ask.reachesTargets === true };
        const held = this.heldRevisions(ask, this.followersByHost.get(from));
        const { have, haveLimits, haveCrashes } = held;
        if (ask.usage !== undefined && conductor.isConductor) {
            this.usage?.adoptCounts(from, ask.usage);
        }
        this.followersByHost.set(from, { ...follower, at: this.clock.now(), sentView: undefined });
        await this.waitForChange(held);
        const { revision, ageMs, operator, configProvenAt } = view;
        const content = revision === have ? undefined : { operator, targets: view.directory.targets };
        const sentView = content === undefined ? undefined : revision;
        this.followersByHost.set(from, { ...follower, at: this.clock.now(), sentView });
        return Right({
            fence: conductor.term.currentClaim?.fence,
            number: revision,
            ageMs: conductor.isSure ? ageMs : undefined,
            readAgeMs: view.readAgeMs,
            configProofAgeMs: proofAgeAtArrival(arrivedAt, configProvenAt),
            content,
            limits: haveLimits === undefined
                ? undefined
                : { number: permits.revision, reports: permits.changesSince(haveLimits) },
            crashes: haveCrashes === undefined
                ? undefined
                : { number: crashes.revision, reports: crashes.changesSince(haveCrashes) },
            hosts: this.followers.length + 1,
            relays: this.relaysFor(from, zone),
            usageFixedTo: this.usage?.fixedTo,
        });
    }

    /**
     * The revisions that a host has of this process; another process under the same address may have counted to the same
     * numbers. A host of earlier software does not tell from which process its revisions are. They count only if the last
     * answer to it had the content of that revision; since that answer may have been lost, the next one has it again.
     */
    private heldRevisions(
        { have, haveLimits, haveCrashes, haveFence }: Pull,
        known: RecentFollower | undefined,
    ): HeldRevisions {
        const isOfThisProcess = haveFence === undefined
            ? known?.sentView === have
            : haveFence === this.conductor.term.currentClaim?.fence;
        return isOfThisProcess ? { have, haveLimits, haveCrashes } : {
            have: -1,
            haveLimits: haveLimits === undefined ? undefined : -1,
            haveCrashes: haveCrashes === undefined ? undefined : -1,
        };
    }

    private waitForChange({ have, haveLimits, haveCrashes }: HeldRevisions): Promise<void> {
        const { view, permits, crashes } = this;
        if (
            view.revision !== have || (haveLimits ?? permits.revision) !== permits.revision
            || (haveCrashes ?? crashes.revision) !== crashes.revision
        ) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const off = this.view.events.on("changed", () => finish());
            const offLimits = this.permits.onChange(() => finish());
            const offCrashes = this.crashes.onChange(() => finish());
            // All followers look for the next conductor at the same time, so that the preferred ones claim first.
            const offReleased = this.conductor.events.on("released", () => finish());
            const cancel = this.clock.callAt(after(this.clock.now(), pullWaitMs), () => finish());
            const finish = (): void => {
                off();
                offLimits();
                offCrashes();
                offReleased();
                cancel();
                resolve();
            };
        });
    }
}
