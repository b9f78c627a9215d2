/** Runs one workload in virtual time: for each seed, once under each policy. */

import { type PolicyName } from "@tamarackpath/core";
import { type BenchSetup, type PolicySpreads } from "../BenchResult.js";
import { type Fault, slowedTargetCounts } from "../faults.js";
import { type Measures, spreadOf } from "../Measures.js";
import { workloadShapes } from "../workloadShapes.js";
import { periodicSlowdowns, runVirtual } from "./targetMeasures.js";
import { capacityPerMs, defaultEngine, type Slowdown } from "./VirtualZone.js";

const engines = 8;
const groups = 128;
const maxDeskLatencyMs = 1000;
const crashSlowFactor = 1000;
const crashDurationMs = 3000;

/** Runs the workload of `setup` with every seed and policy. Returns the measures of each policy over all seeds. */
export function runVirtualWorkload(setup: BenchSetup): PolicySpreads {
    const runs = new Map<PolicyName, Measures[]>(setup.policies.map(policy => [policy, []]));
    const capacity = capacityPerMs({ engines, engine: defaultEngine });
    const shape = workloadShapes[setup.workload](capacity, setup.durationMs, groups, maxDeskLatencyMs);
    const options = { hosts: setup.hosts, slowdowns: slowdownsOf(setup.fault, setup.durationMs) };
    for (const seed of setup.seeds) {
        for (const policy of setup.policies) {
            runs.get(policy)!.push(runVirtual(shape, policy, seed, options));
        }
    }
    return Object.fromEntries([...runs].map(([policy, measures]) => [policy, spreadOf(measures)]));
}

function slowdownsOf(fault: Fault, durationMs: number): readonly Slowdown[] {
    const from = durationMs / 4;
    const stalled = (engine: number): Slowdown => ({
        engine,
        from,
        until: from + crashDurationMs,
        factor: crashSlowFactor,
    });
    switch (fault) {
        case "crash":
            return [stalled(0)];
        case "outage":
            return Array.from({ length: engines }, (unused, engine) => stalled(engine));
        default:
            return periodicSlowdowns(slowedTargetCounts[fault], 10 * durationMs);
    }
}
