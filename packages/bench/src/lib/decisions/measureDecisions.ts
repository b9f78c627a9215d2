/** Measures the cost of one routing decision by the number of targets and by the length of the queue. */

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

/** Cost of adding, assigning and releasing one piece of work. */
export interface DecisionCost {
    readonly targets: number;
    readonly waiting: number;
    readonly microsPerDecision: number;
}

const targetCounts = [10, 100, 433, 7800];
const queueLengths = [10, 1000, 100_000];
const slots = 8;
const decisionsPerRound = 20_000;
const measuredRounds = 5;
const callers = 15;
const promptCount = 500;
const pool = asId<PoolId>("pool");
const now = 1 as Instant;

/** Measures every pair of sizes. Each figure is the median of several rounds, after one warm-up round. */
export function measureDecisions(seed: number): readonly DecisionCost[] {
    return targetCounts.flatMap(targets =>
        queueLengths.map(waiting => {
            const queue = createFilledQueue(targets, waiting, seed);
            const times = Array.from(
                { length: measuredRounds + 1 },
                (unused, round) => timeRound(queue, waiting, round),
            )
                .slice(1)
                .sort((a, b) => a - b);
            return { targets, waiting, microsPerDecision: times[measuredRounds >> 1]! };
        })
    );
}

/** Creates a queue where every slot of every target is taken and `waiting` pieces of work wait. */
function createFilledQueue(targets: number, waiting: number, seed: number): DispatchQueue {
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

/**
 * Returns the microseconds per decision. In each decision a target frees a slot, a piece of work arrives, and a
 * waiting one is assigned.
 */
function timeRound(queue: DispatchQueue, waiting: number, round: number): number {
    const start = process.hrtime.bigint();
    let target: TargetId = asId("target-0");
    for (let nth = 0; nth < decisionsPerRound; nth++) {
        queue.release(target);
        queue.add(workOf(`${round}-${nth}`, nth));
        target = queue.next(now)?.view.target ?? target;
    }
    return Number(process.hrtime.bigint() - start) / 1000 / decisionsPerRound;
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
        prefix: `prompt ${nth % promptCount}`,
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
