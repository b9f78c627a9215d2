/** The shapes of the workloads. Rates are fractions of the engines' capacity, so that they fit every harness. */

import { type WorkloadShape } from "./workloads.js";

/** Names of the workloads. */
export const workloadNames = ["piedra-alta", "bayern", "mixed"] as const;

/** Name of a workload. */
export type WorkloadName = typeof workloadNames[number];

/** Mean length in tokens of a desk answer as `drawWorkload` draws them. */
const deskMeanTokens = 14;

/** Mean milliseconds between desk arrivals that use the fraction `load` of a capacity in tokens per millisecond. */
export function deskIntervalMs(load: number, capacityPerMs: number): number {
    return deskMeanTokens / (load * capacityPerMs);
}

/** Shape of a workload with a desk and without trainers. */
export function deskOnly(load: number, capacityPerMs: number, durationMs: number, maxLatencyMs: number): WorkloadShape {
    return {
        durationMs,
        deskIntervalMs: deskIntervalMs(load, capacityPerMs),
        maxDeskLatencyMs: maxLatencyMs,
        deskLateCost: 20,
        rolloutLateCost: 1,
        trainers: [],
    };
}

/** Shape of a workload with trainers and without a desk. */
export function trainersOnly(trainers: WorkloadShape["trainers"], durationMs: number): WorkloadShape {
    return {
        durationMs,
        deskIntervalMs: undefined,
        maxDeskLatencyMs: 1000,
        deskLateCost: 1,
        rolloutLateCost: 20,
        trainers,
    };
}

type WorkloadShapeFactory = (
    capacityPerMs: number,
    durationMs: number,
    groups: number,
    maxLatencyMs: number,
) => WorkloadShape;

/** Creates the shape of a workload, by its name. */
export const workloadShapes: Readonly<Record<WorkloadName, WorkloadShapeFactory>> = {
    "piedra-alta": (capacityPerMs, durationMs, groups, maxLatencyMs) => ({
        ...deskOnly(0.25, capacityPerMs, durationMs, maxLatencyMs),
        trainers: [{ share: 1, steps: 4, groups }],
    }),
    "bayern": (capacityPerMs, durationMs, groups, maxLatencyMs) => ({
        ...deskOnly(0.05, capacityPerMs, durationMs, maxLatencyMs),
        deskLateCost: 2,
        rolloutLateCost: 50,
        trainers: [{ share: 1, steps: 4, groups }],
    }),
    "mixed": (capacityPerMs, durationMs, groups, maxLatencyMs) => ({
        ...deskOnly(0.2, capacityPerMs, durationMs, maxLatencyMs),
        trainers: [
            { share: 1, steps: 2, groups },
            { share: 1, steps: 2, groups },
            { share: 2, steps: 2, groups },
        ],
    }),
};
