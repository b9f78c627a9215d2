/**
 * The order in which jobs get free slots. Four trainers submit a step every 4 s, whose tasks together exceed the slots
 * while engines are slow or gone; then surplus tasks of the steps that are due first keep the needed tasks of other steps
 * waiting, and the trainer whose steps are due last bears the shortage. While each step has slack at an equal share of
 * the slots for its trainer, jobs go by due time, each as a whole. Otherwise the needed tasks of all jobs go before
 * surplus ones, by due time; of steps that are due at about the same time, the one whose trainer has fewer slots goes
 * first. A trainer below half of its equal share goes before all others once its earliest step cannot be on time at that share.
 */

import { type Instant } from "../ids.js";

/** What one job demands. A trainer is known by the model of its jobs. */
export interface JobDemand {
    readonly trainer: string;
    readonly dueAt: Instant;
    /** Milliseconds of slots that its needed tasks still take together. */
    readonly neededSlotMs: number;
    /** Milliseconds that its longest needed task still takes. */
    readonly longestMs: number;
    /** Number of slots that its tasks take now. */
    readonly running: number;
}

/** A job, or the part of its tasks that is considered at this place of the order. */
export interface OrderedJob<Demand extends JobDemand> {
    readonly demand: Demand;
    readonly part: "all" | "needed" | "surplus";
}

/** Milliseconds of slack below which a step is at risk of being late. */
const riskSlackMs = 2000;

/** Steps that are due in the same period of this length go by their trainers' shares of the slots. */
const dueStepMs = 1000;

/** Share of its equal share below which a trainer goes first. */
const floorShare = 0.5;

interface DemandWithSlack<Demand extends JobDemand> {
    readonly demand: Demand;
    readonly slackMs: number;
    /** Whether its trainer waits for no earlier step. */
    readonly isFirst: boolean;
}

/** The order of the jobs that share `slots` slots. `now` is in the clock of the due times. */
export function orderJobs<Demand extends JobDemand>(
    demands: readonly Demand[],
    slots: number,
    now: Instant,
): readonly OrderedJob<Demand>[] {
    const byDueTime = [...demands].sort((a, b) => a.dueAt - b.dueAt);
    const withSlack = addSlack(byDueTime, slots, now);
    if (withSlack.every(({ slackMs }) => slackMs >= riskSlackMs)) {
        return byDueTime.map(demand => ({ demand, part: "all" }));
    }
    const running = new Map<string, number>();
    demands.forEach(demand => running.set(demand.trainer, (running.get(demand.trainer) ?? 0) + demand.running));
    const floor = floorShare * slots / Math.max(1, running.size);
    const needed = withSlack
        .filter(({ demand }) => demand.neededSlotMs > 0)
        .map(({ demand, slackMs, isFirst }) => {
            const trainerRunning = running.get(demand.trainer)!;
            return { demand, trainerRunning, isBelowFloor: isFirst && slackMs < 0 && trainerRunning < floor };
        })
        .sort((a, b) =>
            Number(b.isBelowFloor) - Number(a.isBelowFloor)
            || Math.floor(a.demand.dueAt / dueStepMs) - Math.floor(b.demand.dueAt / dueStepMs)
            || a.trainerRunning - b.trainerRunning
            || a.demand.dueAt - b.demand.dueAt
        );
    return [
        ...needed.map(({ demand }) => ({ demand, part: "needed" as const })),
        ...byDueTime.map(demand => ({ demand, part: "surplus" as const })),
    ];
}

/** The slack of each job at an equal share of the slots for its trainer, whose earlier jobs go before it. */
function addSlack<Demand extends JobDemand>(
    byDueTime: readonly Demand[],
    slots: number,
    now: Instant,
): readonly DemandWithSlack<Demand>[] {
    const demanding = byDueTime.filter(({ neededSlotMs }) => neededSlotMs > 0);
    const trainers = new Set(demanding.map(({ trainer }) => trainer)).size;
    const equalShare = Math.max(1, slots / Math.max(1, trainers));
    const workBefore = new Map<string, number>();
    return byDueTime.map(demand => {
        if (demand.neededSlotMs === 0) {
            return { demand, slackMs: Infinity, isFirst: false };
        }
        const isFirst = !workBefore.has(demand.trainer);
        const slotMs = (workBefore.get(demand.trainer) ?? 0) + demand.neededSlotMs;
        workBefore.set(demand.trainer, slotMs);
        return { demand, slackMs: demand.dueAt - now - demand.longestMs - slotMs / equalShare, isFirst };
    });
}
