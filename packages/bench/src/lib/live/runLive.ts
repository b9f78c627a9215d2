/** Runs one workload on real daemons: for each seed, once under each policy, all on the same fleet. */

import { type PolicyName } from "@tamarackpath/core";
import { type BenchSetup, type PolicySpreads } from "../BenchResult.js";
import { type Fault, slowedTargetCounts } from "../faults.js";
import { type Measures, spreadOf } from "../Measures.js";
import { drawWorkload } from "../workloads.js";
import { workloadShapes } from "../workloadShapes.js";
import { FleetProcess } from "./FleetProcess.js";
import { LoadRun } from "./LoadRun.js";

const engines = 8;
/** Tokens per millisecond of all engines with 8 full slots, at 10 ms a token and a batch that is slower by 28%. */
const capacityPerMs = engines * 8 / (10 * 1.28);
const groups = 12;
const maxDeskLatencyMs = 2500;
const laggingReportDelayMs = 5000;
const normalReportDelayMs = 500;
const maxRunMs = 10_000;
const faultIntervalMs = 4000;
const faultDurationMs = 1000;
const slowFactor = 10;
const pauseBetweenRunsMs = 500;

/** Runs the workload of `setup` with every seed and policy. Returns the measures of each policy over all seeds. */
export async function runLive(setup: BenchSetup): Promise<PolicySpreads> {
    const fleet = new FleetProcess();
    const { urls } = await fleet.start({
        hosts: setup.hosts,
        engines,
        policies: setup.policies,
        reportLagMs: setup.fault === "lagging-reports" ? laggingReportDelayMs : normalReportDelayMs,
    });
    const runs = new Map<PolicyName, Measures[]>(setup.policies.map(policy => [policy, []]));
    const durationMs = Math.min(setup.durationMs, maxRunMs);
    const shape = workloadShapes[setup.workload](capacityPerMs, durationMs, groups, maxDeskLatencyMs);
    let version = 1;
    for (const seed of setup.seeds) {
        for (const policy of setup.policies) {
            const stopFault = startFault(fleet, setup.fault);
            const run = new LoadRun(drawWorkload(shape, seed), policy, urls, fleet, version, seed);
            runs.get(policy)!.push(await run.run());
            version = run.version;
            await stopFault();
            await new Promise(resolve => setTimeout(resolve, pauseBetweenRunsMs));
        }
    }
    await fleet.ask({ kind: "close" });
    return Object.fromEntries([...runs].map(([policy, measures]) => [policy, spreadOf(measures)]));
}

/** Injects a fault at regular intervals; the returned function stops it and restores all engines. */
function startFault(fleet: FleetProcess, fault: Fault): () => Promise<void> {
    const all = Array.from({ length: engines }, (unused, nth) => nth);
    const timers: NodeJS.Timeout[] = [];
    let faultCount = 0;
    const slow = (): void => {
        const slowed = all.slice(0, slowedTargetCounts[fault]).map(nth => (nth + faultCount) % engines);
        faultCount++;
        void fleet.ask({ kind: "slow", engines: slowed, factor: slowFactor });
        timers.push(setTimeout(() => void fleet.ask({ kind: "slow", engines: slowed, factor: 1 }), faultDurationMs));
    };
    const refuse = (refused: readonly number[]): void => {
        void fleet.ask({ kind: "refuse", engines: refused, refuse: true });
        timers.push(
            setTimeout(() => void fleet.ask({ kind: "refuse", engines: refused, refuse: false }), faultDurationMs),
        );
    };
    const start: Readonly<Record<Fault, () => void>> = {
        "none": () => undefined,
        "slow-one": slow,
        "slow-two": slow,
        "lagging-reports": slow,
        "crash": () => refuse([0]),
        "outage": () => refuse(all),
    };
    const interval = setInterval(start[fault], faultIntervalMs);
    return async () => {
        clearInterval(interval);
        timers.forEach(clearTimeout);
        await fleet.ask({ kind: "slow", engines: all, factor: 1 });
        await fleet.ask({ kind: "refuse", engines: all, refuse: false });
    };
}
