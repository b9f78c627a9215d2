/** The cost of one routing decision by the number of targets and by the length of the queue. */

import {
    asId,
    DispatchQueue,
    type Incarnation,
    type Instant,
    type PoolId,
    type TargetId,
    type TargetView,
    type WeightVersion,
    type Work,
} from "@tamarackpath/core";
import { seededRandom } from "../random.js";

/** Cost of adding, granting and releasing one piece of work. */
export interface DecisionCost {
    readonly targets: number;
    readonly waiting: number;
    readonly microsPerDecision: number;
}

const targetCounts = [10, 100, 433, 7800];
const queueLengths = [10, 1000, 100_000];
const slots = 8;
const decisions = 20_000;
const rounds = 5;
const callers = 15;
const prompts = 500;
const pool = asId<PoolId>("pool");
const now = 1 as Instant;

/** Measures every pair of sizes; each figure is the median of several rounds, after one round to warm up. */
export function measureDecisions(seed: number): readonly DecisionCost[] {
    return targetCounts.flatMap(targets =>
        queueLengths.map(waiting => {
            const queue = filledQueue(targets, waiting, seed);
            const times = Array.from({ length: rounds + 1 }, (unused, round) => timeRound(queue, waiting, round))
                .slice(1)
                .sort((a, b) => a - b);
            return { targets, waiting, microsPerDecision: times[rounds >> 1]! };
        })
    );
}

function filledQueue(targets: number, waiting: number, seed: number): DispatchQueue {
    const queue = new DispatchQueue(seededRandom(seed));
    for (let nth = 0; nth < targets; nth++) {
        queue.setTargetView(viewOf(`target-${nth}`));
    }
    for (let nth = 0; nth < waiting + targets * slots; nth++) {
        queue.add(workOf(`first-${nth}`, nth));
    }
    while (queue.next(now) !== undefined) {
        continue;
    }
    return queue;
}

/** Each decision: one target frees a slot, one piece of work arrives, one is granted. */
function timeRound(queue: DispatchQueue, waiting: number, round: number): number {
    const start = process.hrtime.bigint();
    let target: TargetId = asId("target-0");
    for (let nth = 0; nth < decisions; nth++) {
        queue.release(target);
        queue.add(workOf(`${round}-${nth}`, nth));
        target = queue.next(now)?.view.target ?? target;
    }
    return Number(process.hrtime.bigint() - start) / 1000 / decisions;
}

function workOf(id: string, nth: number): Work {
    return {
        id: asId(id),
        pool,
        caller: asId(`caller-${nth % callers}`),
        workClass: nth % 4 === 0 ? "answer" : "sample",
        policy: "tamarack",
        arrivedAt: now,
        deadline: 1_000_000 + nth % 100 as Instant,
        lateCost: 1,
        expectedTokens: nth % 300,
        prefix: `prompt ${nth % prompts}`,
        lowestVersion: undefined,
        excluded: [],
    };
}

function viewOf(name: string): TargetView {
    return {
        target: asId(name),
        kind: "engine",
        pool,
        zone: asId("zone"),
        url: "",
        incarnation: 1 as Incarnation,
        leaving: false,
        reachable: true,
        inFlight: 0,
        inFlightElsewhere: 0,
        slots,
        version: 1 as WeightVersion,
        versionWhole: true,
        paceMs: undefined,
        seenAt: now,
    };
}
