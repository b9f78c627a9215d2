/**
 * Decides whether a host reaches any target at all. An attempt that fails, or that waits, may be its target's fault; so
 * the host opens connections to a few targets in different zones at once, without a request. If none of them can be
 * opened, the host is cut off. While it is, it tries the direct way now and then, at times that differ between hosts, and
 * goes back to it once it works twice in a row.
 */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { after, type Instant } from "../ids.js";

/** Result of opening connections to `probed` targets; it ends with the first one that opens. */
export interface ReachProbe {
    readonly isReached: boolean;
    readonly probed: number;
}

/** Targets that are probed at once. */
const maxProbedTargets = 3;

/** Probed targets that must fail for a host to count as cut off, if so many are listed. */
const minFailedTargets = 2;

/** Milliseconds between two probes while targets are reached, however many attempts fail. */
const reachedIntervalMs = 300;

/** Milliseconds between two probes while none is reached, and the random part of it. */
const cutOffIntervalMs = { fixed: 250, random: 300 } as const;

/** Consecutive successful probes after which a host that was cut off goes back to the direct way. */
const returnProbes = 2;

/** Tracks whether one host reaches targets. */
export class TargetReach {
    private isCut = false;
    private successes = 0;
    private notBefore = 0 as Instant;

    constructor(private readonly random: () => number) {}

    /** Whether this host reaches no target. */
    get isCutOff(): boolean {
        return this.isCut;
    }

    /** When the next probe may begin. */
    get nextProbeAt(): Instant {
        return this.notBefore;
    }

    /**
     * The targets to probe, others each time: of different services and zones as far as there are any, so that the loss of
     * a whole service or zone is not taken for a cut.
     */
    chooseProbed(targets: readonly TargetEntryView[]): readonly TargetEntryView[] {
        const left = targets.filter(({ leaving }) => !leaving)
            .map(entry => ({ entry, rank: this.random() }))
            .sort((a, b) => a.rank - b.rank)
            .map(({ entry }) => entry);
        const chosen: TargetEntryView[] = [];
        const novelty = ({ service, zone }: TargetEntryView): number =>
            2 * Number(chosen.every(each => each.service !== service))
            + Number(chosen.every(each => each.zone !== zone));
        while (chosen.length < maxProbedTargets && left.length > 0) {
            const next = left.reduce((best, entry) => novelty(entry) > novelty(best) ? entry : best);
            left.splice(left.indexOf(next), 1);
            chosen.push(next);
        }
        return chosen;
    }

    /** Records a probe that ended at `now`; `listed` is the number of targets that it could choose from. */
    record({ isReached, probed }: ReachProbe, listed: number, now: Instant): void {
        if (isReached) {
            this.successes++;
            this.isCut &&= this.successes < returnProbes;
        }
        else if (probed >= Math.min(minFailedTargets, listed) && probed > 0) {
            this.successes = 0;
            this.isCut = true;
        }
        const { fixed, random } = cutOffIntervalMs;
        this.notBefore = after(now, this.isCut ? fixed + random * this.random() : reachedIntervalMs);
    }
}
