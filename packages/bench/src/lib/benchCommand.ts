/** The benchmark command: parses its options, runs the measurements, prints the figures and writes the files. */

import { type PolicyName, policyNames } from "@tamarackpath/core";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import sade, { type Sade } from "sade";
import { type BenchResult } from "./BenchResult.js";
import { measureDecisions } from "./decisions/measureDecisions.js";
import { type Fault, faultNames } from "./faults.js";
import { runLive } from "./live/runLive.js";
import { renderReport } from "./report.js";
import { measureSpeed } from "./speed/measureSpeed.js";
import { formatSpreads, formatTargets } from "./tables.js";
import { runVirtualWorkload } from "./virtual/runVirtualWorkload.js";
import { measureTargets } from "./virtual/targetMeasures.js";
import { type WorkloadName, workloadNames } from "./workloadShapes.js";

interface BenchOptions {
    readonly workload: WorkloadName;
    readonly fault: Fault;
    readonly policy?: PolicyName;
    readonly hosts: number;
    readonly seed: number;
    readonly quick?: boolean;
    readonly json?: string;
    readonly report?: string;
    readonly decisions?: boolean;
    readonly speed?: boolean;
    readonly only?: "targets" | "virtual" | "live";
}

const fullSeedCount = 5;
const quickSeedCount = 3;
const fullDurationMs = 20_000;
const quickDurationMs = 10_000;

/** Creates the command with its options. */
export function createBenchCommand(): Sade {
    return sade("bench", true)
        .describe("Measures the routing policies side by side.")
        .option("--workload", `One of ${workloadNames.join(", ")}`, "piedra-alta")
        .option("--fault", `One of ${faultNames.join(", ")}`, "none")
        .option("--policy", `Only this one of ${policyNames.join(", ")}`)
        .option("--hosts", "Entry hosts of the zone", 3)
        .option("--seed", "First seed", 1)
        .option("--quick", "Fewer seeds and shorter runs")
        .option("--json", "File for all measures")
        .option("--report", "Folder for the report with its plots")
        .option("--only", "One part: targets, virtual or live")
        .option("--decisions", "Measure the cost of one decision instead")
        .option("--speed", "Measure the daemon's own speed instead")
        .action((options: BenchOptions) => void run(options));
}

async function run(options: BenchOptions): Promise<void> {
    if (options.decisions || options.speed) {
        const figures = options.decisions ? measureDecisions(Number(options.seed)) : await measureSpeed();
        console.table(figures);
        writeJson(options, figures);
        process.exit(0);
    }
    check("workload", options.workload, workloadNames);
    check("fault", options.fault, faultNames);
    const count = options.quick ? quickSeedCount : fullSeedCount;
    const seeds = Array.from({ length: count }, (unused, nth) => Number(options.seed) + nth);
    const durationMs = options.quick ? quickDurationMs : fullDurationMs;
    const policies = options.policy === undefined ? policyNames : [check("policy", options.policy, policyNames)];
    const { workload, fault } = options;
    const setup = { workload, fault, hosts: Number(options.hosts), seeds, durationMs, policies };
    const isSelected = (part: BenchOptions["only"]): boolean => options.only === undefined || options.only === part;
    const result: BenchResult = {
        setup,
        targets: isSelected("targets") ? measureTargets(setup, row => console.log(formatTargets([row]))) : [],
        virtual: isSelected("virtual") ? runVirtualWorkload(setup) : {},
        live: isSelected("live") ? await runLive(setup) : {},
    };
    console.log(formatSpreads("Virtual time", result.virtual));
    console.log(formatSpreads("Real processes", result.live));
    writeJson(options, result);
    if (options.report !== undefined) {
        mkdirSync(options.report, { recursive: true });
        writeFileSync(join(options.report, "report.html"), renderReport(result));
    }
    process.exit(0);
}

function writeJson(options: BenchOptions, value: unknown): void {
    if (options.json !== undefined) {
        writeFileSync(options.json, JSON.stringify(value, undefined, 4));
    }
}

/** Returns `value` if it is allowed; otherwise prints an error and exits with status 2. */
function check<Name extends string>(option: string, value: Name, allowed: readonly Name[]): Name {
    if (!allowed.includes(value)) {
        console.error(`Option --${option} is "${value}"; it must be one of ${allowed.join(", ")}.`);
        process.exit(2);
    }
    return value;
}
