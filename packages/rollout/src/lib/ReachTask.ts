/**
 * Finds out whether this host reaches any target, once an attempt fails or waits for a connection, and tries the direct way
 * again while it does not.
 */

import {
    after,
    type CallTargets,
    type Clock,
    type RelayHost,
    type RolloutEngines,
    sleepUntil,
    TargetReach,
    type TaskRunOutcome,
} from "@tamarackpath/core";
import Emittery from "emittery";
import { type HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";

/** Events of a host's reach; `changed` carries whether it is cut off from all targets. */
export interface ReachEvents {
    readonly changed: boolean;
}

/** Milliseconds within which a connection to a target opens, also between regions. */
const probeTimeoutMs = 150;

/** Probes targets by opening connections, without a request. */
export class ReachTask {
    readonly events = new Emittery<ReachEvents>();
    private readonly reach: TargetReach;
    private probing: Promise<void> | undefined;
    private cancelProbe: (() => void) | undefined;
    private isStopped = false;

    constructor(
        private readonly view: HostView,
        private readonly targets: CallTargets,
        random: () => number,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        this.reach = new TargetReach(random);
    }

    /** Whether this host reaches no target. */
    get isCutOff(): boolean {
        return this.reach.isCutOff;
    }

    /** Resolves once targets have been probed, unless that was done just now. */
    suspect(): Promise<void> {
        if (this.probing === undefined && this.clock.now() >= this.reach.nextProbeAt) {
            this.startProbe();
        }
        return this.probing ?? Promise.resolve();
    }

    /** Probes targets as soon as the time between two probes allows it. */
    suspectSoon(): void {
        if (this.clock.now() >= this.reach.nextProbeAt) {
            void this.suspect();
        }
        else {
            this.cancelProbe ??= this.clock.callAt(this.reach.nextProbeAt, () => this.startProbe());
        }
    }

    stop(): void {
        this.isStopped = true;
        this.cancelProbe?.();
    }

    private startProbe(): void {
        this.cancelProbe?.();
        this.cancelProbe = undefined;
        if (!this.isStopped) {
            this.probing ??= this.probe().finally(() => {
                this.probing = undefined;
                if (this.reach.isCutOff && !this.isStopped) {
                    this.cancelProbe = this.clock.callAt(this.reach.nextProbeAt, () => this.startProbe());
                }
            });
        }
    }

    private async probe(): Promise<void> {
        const listed = this.view.directory.targets.filter(({ leaving }) => !leaving);
        const probed = this.reach.chooseProbed(listed);
        const startedAt = this.clock.now();
        const deadline = after(startedAt, probeTimeoutMs);
        const isReached = await isAnyTrue(
            probed.map(entry =>
                Promise.race([
                    this.targets.canConnect(entry, deadline),
                    sleepUntil(this.clock, deadline).then(() => false),
                ])
            ),
        );
        const now = this.clock.now();
        const wasCutOff = this.reach.isCutOff;
        this.reach.record({ isReached, probed: probed.length }, listed.length, now);
        if (this.reach.isCutOff !== wasCutOff) {
            this.journal.log("reach-changed", {
                cutOff: this.reach.isCutOff,
                targets: probed.map(({ target }) => target),
                viewAgeMs: this.view.ageMs,
                ms: now - startedAt,
            });
            await this.events.emit("changed", this.reach.isCutOff);
        }
    }
}

/** Resolves with true as soon as one of `results` is true, so that a target that is silent delays nothing. */
function isAnyTrue(results: readonly Promise<boolean>[]): Promise<boolean> {
    return new Promise((resolve, reject) => {
        results.forEach(result => void result.then(isTrue => isTrue && resolve(true), reject));
        void Promise.all(results).then(() => resolve(false), reject);
    });
}

/** Ends of runs that show that an engine was not reached. */
const unreachedEnds: ReadonlySet<TaskRunOutcome["kind"]> = new Set(["unreachable", "fault"]);

/** The engines, with `onUnreached` called when a run does not reach its engine or loses it. */
export function watchEngines(engines: RolloutEngines, onUnreached: () => void): RolloutEngines {
    return {
        run: async (...args) => {
            const end = await engines.run(...args);
            if (unreachedEnds.has(end.kind)) {
                onUnreached();
            }
            return end;
        },
        order: (...args) => engines.order(...args),
        report: (...args) => engines.report(...args),
        closeUnlisted: listed => engines.closeUnlisted(listed),
    };
}

/** Upper limit of the hosts, in a zone and outside it, that are named to a host as relays. */
const maxRelaysOfKind = 3;

/** Some of `hosts`, in another order each time: of `zone` and of others, so that the loss of a zone leaves some. */
export function selectRelays(
    hosts: readonly RelayHost[],
    zone: RelayHost["zone"],
    random: () => number,
): readonly RelayHost[] {
    const shuffled = hosts.map(each => ({ each, rank: random() })).sort((a, b) => a.rank - b.rank)
        .map(({ each }) => each);
    const near = shuffled.filter(each => each.zone === zone).slice(0, maxRelaysOfKind);
    const far = shuffled.filter(each => each.zone !== zone).slice(0, maxRelaysOfKind);
    return [...near, ...far];
}
