/** Setup and results of one benchmark run. The JSON file has these field names. */

import { type PolicyName } from "@tamarackpath/core";
import { type Fault } from "./faults.js";
import { type Spread } from "./Measures.js";
import { type TargetRow } from "./virtual/targetMeasures.js";
import { type WorkloadName } from "./workloadShapes.js";

/** Setup of a run. */
export interface BenchSetup {
    readonly workload: WorkloadName;
    readonly fault: Fault;
    readonly hosts: number;
    readonly seeds: readonly number[];
    readonly durationMs: number;
    readonly policies: readonly PolicyName[];
}

/** Median and range of each measure, by policy. */
export type PolicySpreads = Readonly<Partial<Record<PolicyName, Readonly<Record<string, Spread>>>>>;

/** All figures of a run, separated by harness. */
export interface BenchResult {
    readonly setup: BenchSetup;
    /** Measures with a target value, in virtual time. */
    readonly targets: readonly TargetRow[];
    /** Measures in virtual time. */
    readonly virtual: PolicySpreads;
    /** Measures of real daemon processes. */
    readonly live: PolicySpreads;
}
