/**
 * Command that measures the figures of docs/CAPACITY.md: the cost of idle hosts by the number of hosts and of
 * targets, and the memory of a step by the number of its samples.
 */

import sade from "sade";
import { type IdleFleetSize, measureIdleFleet } from "./lib/capacity/measureIdleFleet.js";
import { measureStepMemory } from "./lib/capacity/measureStepMemory.js";

const slopes: Readonly<Record<string, readonly IdleFleetSize[]>> = {
    hosts: [4, 8, 16, 32, 64].map(hosts => ({ hosts, engines: 8, plain: 3 })),
    targets: [8, 128, 433].map(engines => ({ hosts: 8, engines, plain: 3 })),
};

const stepSizes = [128, 1024, 8192];

async function measure(name: string): Promise<void> {
    if (name === "steps") {
        stepSizes.forEach(samples => console.log(JSON.stringify(measureStepMemory(samples))));
        return;
    }
    const sizes = slopes[name];
    if (sizes === undefined) {
        console.error(`No slope is named "${name}"; there are hosts, targets and steps.`);
        process.exitCode = 2;
        return;
    }
    for (const size of sizes) {
        console.log(JSON.stringify(await measureIdleFleet(size)));
    }
    process.exit();
}

sade("capacity <slope>", true)
    .describe("Measures one slope: hosts, targets or steps.")
    .action(measure)
    .parse(process.argv);
