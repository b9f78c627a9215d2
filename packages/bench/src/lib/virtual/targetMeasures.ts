/** The measures with target values: for each, the runs in virtual time and the formula of its figure. */

import { type PolicyName, policyNames } from "@tamarackpath/core";
import { type Measures, ratio, type Spread, spreadOf } from "../Measures.js";
import { drawWorkload, type WorkloadShape } from "../workloads.js";
import { deskOnly, trainersOnly, workloadShapes } from "../workloadShapes.js";
import { capacityPerMs, defaultEngine, type Slowdown, VirtualZone, type ZoneOptions } from "./VirtualZone.js";

/** Result of a measure with a target value. */
export interface TargetRow {
    readonly measure: string;
    readonly target: string;
    /** Undefined if no run gave a figure. */
    readonly spread: Spread | undefined;
    /** Whether the median meets the target value. */
    readonly met: boolean;
}

/** Options for the runs of the measures. */
export interface TargetRunOptions {
    readonly seeds: readonly number[];
    readonly hosts: number;
    readonly durationMs: number;
}

interface MeasureDefinition {
    readonly measure: string;
    readonly target: string;
    readonly max?: number;
    readonly min?: number;
    /** Runs the workloads with `seed` and returns the figure; undefined if it cannot be computed. */
    figure(run: TargetRunOptions, seed: number): number | undefined;
}

const engines = 8;
const capacity = capacityPerMs({ engines, engine: defaultEngine });
const maxDeskLatencyMs = 300;
const slowFactor = 10;
const slowdownIntervalMs = 4000;
const slowdownDurationMs = 1000;
const baselinePolicies = policyNames.filter(name => name !== "tamarack");

/** Slows `count` targets at a time for one second in every four, each time beginning with the next target. */
export function periodicSlowdowns(count: number, untilMs: number): readonly Slowdown[] {
    return Array.from({ length: Math.ceil(untilMs / slowdownIntervalMs) }, (unused, nth) => nth).flatMap(nth =>
        Array.from({ length: count }, (unused, other) => ({
            engine: (nth + other) % engines,
            from: nth * slowdownIntervalMs + slowdownIntervalMs / 4,
            until: nth * slowdownIntervalMs + slowdownIntervalMs / 4 + slowdownDurationMs,
            factor: slowFactor,
        }))
    );
}

/** Runs a workload, drawn from `seed`, once under one policy. */
export function runVirtual(
    shape: WorkloadShape,
    policy: PolicyName,
    seed: number,
    options: Partial<ZoneOptions> = {},
): Measures {
    return new VirtualZone(drawWorkload(shape, seed), {
        policy,
        hosts: 3,
        engines,
        engine: defaultEngine,
        gossipIntervalMs: 20,
        reserveShortShare: 0.25,
        hedgeBudget: 0.05,
        slowdowns: [],
        seed,
        ...options,
    }).run();
}

function desk(load: number, run: TargetRunOptions): WorkloadShape {
    return deskOnly(load, capacity, run.durationMs, maxDeskLatencyMs);
}

function slow(run: TargetRunOptions, count = 1): Partial<ZoneOptions> {
    return { hosts: run.hosts, slowdowns: periodicSlowdowns(count, 10 * run.durationMs) };
}

function deskP99Ms(measures: Measures): number | undefined {
    return measures["desk p99 ms"];
}

function stepRatio(groups: number) {
    return (run: TargetRunOptions, seed: number, options: Partial<ZoneOptions> = {}): number | undefined =>
        runVirtual(trainersOnly([{ share: 1, steps: 3, groups }], run.durationMs), "tamarack", seed, {
            hosts: run.hosts,
            ...options,
        })["step / bound"];
}

function piedraAltaShape(run: TargetRunOptions): WorkloadShape {
    return workloadShapes["piedra-alta"](capacity, run.durationMs, 128, 1000);
}

const definitions: readonly MeasureDefinition[] = [
    ...[512, 128, 32].flatMap((groups): MeasureDefinition[] => [
        {
            measure: `step makespan / bound, ${groups * 8} samples`,
            target: "<= 1.10",
            max: 1.10,
            figure: stepRatio(groups),
        },
        {
            measure: `step makespan / bound, ${groups * 8} samples, one target slowed`,
            target: "<= 1.20",
            max: 1.20,
            figure: (run, seed) => stepRatio(groups)(run, seed, slow(run)),
        },
    ]),
    {
        measure: "desk p99 behind rollouts / alone",
        target: "<= 1.5",
        max: 1.5,
        figure: (run, seed) =>
            ratio(
                deskP99Ms(runVirtual(piedraAltaShape(run), "tamarack", seed, { hosts: run.hosts })),
                deskP99Ms(
                    runVirtual({ ...piedraAltaShape(run), trainers: [] }, "tamarack", seed, { hosts: run.hosts }),
                ),
            ),
    },
    {
        measure: "desk p99, one target slowed / none, 40% load",
        target: "<= 1.5",
        max: 1.5,
        figure: (run, seed) =>
            ratio(
                deskP99Ms(runVirtual(desk(0.4, run), "tamarack", seed, slow(run))),
                deskP99Ms(runVirtual(desk(0.4, run), "tamarack", seed, { hosts: run.hosts })),
            ),
    },
    {
        measure: "desk p99, one target slowed / round-robin's, 40% load",
        target: "<= 0.5",
        max: 0.5,
        figure: (run, seed) =>
            ratio(
                deskP99Ms(runVirtual(desk(0.4, run), "tamarack", seed, slow(run))),
                deskP99Ms(runVirtual(desk(0.4, run), "round-robin", seed, slow(run))),
            ),
    },
    {
        measure: "late cost at 95% load, one target slowed / best baseline's",
        target: "<= 0.5",
        max: 0.5,
        figure: (run, seed) => {
            const cost = (policy: PolicyName): number =>
                runVirtual(desk(0.95, run), policy, seed, slow(run))["late cost"] ?? 0;
            return ratio(cost("tamarack"), Math.min(...baselinePolicies.map(cost)));
        },
    },
    {
        measure: "late cost, desk behind rollouts, one target slowed / best baseline's",
        target: "<= 0.5",
        max: 0.5,
        figure: (run, seed) => {
            const shape = workloadShapes["piedra-alta"](capacity, run.durationMs, 128, maxDeskLatencyMs);
            const cost = (policy: PolicyName): number => runVirtual(shape, policy, seed, slow(run))["late cost"] ?? 0;
            return ratio(cost("tamarack"), Math.min(...baselinePolicies.map(cost)));
        },
    },
    {
        measure: "goodput at 150% load / at 100%",
        target: ">= 0.95",
        min: 0.95,
        figure: (run, seed) =>
            ratio(
                runVirtual(desk(1.5, run), "tamarack", seed, { hosts: run.hosts })["goodput per s"],
                runVirtual(desk(1, run), "tamarack", seed, { hosts: run.hosts })["goodput per s"],
            ),
    },
    {
        measure: "duplicate tokens, one target slowed",
        target: "<= 0.05",
        max: 0.05,
        figure: (run, seed) => runVirtual(desk(0.4, run), "tamarack", seed, slow(run))["duplicate share"],
    },
    {
        measure: "duplicate tokens, all targets slowed",
        target: "<= 0.05",
        max: 0.05,
        figure: (run, seed) => runVirtual(desk(0.4, run), "tamarack", seed, slow(run, engines))["duplicate share"],
    },
    {
        measure: "desk p99 with 8 hosts / with 3, 90% load",
        target: "<= 1.15",
        max: 1.15,
        figure: (run, seed) =>
            ratio(
                deskP99Ms(runVirtual(desk(0.9, run), "tamarack", seed, { hosts: 8 })),
                deskP99Ms(runVirtual(desk(0.9, run), "tamarack", seed, { hosts: 3 })),
            ),
    },
    {
        measure: "prefix hits / best possible, rollouts and desk",
        target: ">= 0.85",
        min: 0.85,
        figure: (run, seed) =>
            runVirtual(piedraAltaShape(run), "tamarack", seed, { hosts: run.hosts })["prefix hits / best"],
    },
    {
        measure: "busiest target / mean load, rollouts and desk",
        target: "<= 1.25",
        max: 1.25,
        figure: (run, seed) =>
            runVirtual(piedraAltaShape(run), "tamarack", seed, { hosts: run.hosts })["busiest / mean load"],
    },
];

/** Runs every measure that has a target value, and calls `onRow` with each result as soon as it is there. */
export function measureTargets(run: TargetRunOptions, onRow: (row: TargetRow) => void): readonly TargetRow[] {
    return definitions.map(({ measure, target, max, min, figure }) => {
        const spread = spreadOf(run.seeds.map(seed => ({ figure: figure(run, seed) })))["figure"];
        const met = spread !== undefined
            && spread.median <= (max ?? Number.POSITIVE_INFINITY)
            && spread.median >= (min ?? 0);
        const row = { measure, target, spread, met };
        onRow(row);
        return row;
    });
}
