/** What a step costs its owner in memory, by the number of its samples. */

import { type Sample, type StepSpec, StepState } from "@tamarackpath/core";

/** Memory of one step with every sample finished and none taken. */
export interface StepMemory {
    readonly samples: number;
    readonly textBytes: number;
    readonly kilobytesPerSample: number;
}

const textBytes = 1000;
const samplesPerGroup = 8;
const version = 1;

/** Fills a ledger and measures the heap that it holds. Needs a process started with --expose-gc. */
export function measureStepMemory(samples: number): StepMemory {
    const collect = globalThis.gc ?? ((): void => undefined);
    collect();
    const before = process.memoryUsage().heapUsed;
    const ledger = fillLedger(samples);
    collect();
    const held = process.memoryUsage().heapUsed - before;
    return { samples: ledger.sampleCount, textBytes, kilobytesPerSample: held / samples / 1000 };
}

function fillLedger(samples: number): StepState {
    const ledger = new StepState(specOf(samples), "owner");
    for (const { attempt, plan } of ledger.start(samples)) {
        const sample: Sample = {
            index: plan.index,
            group: plan.group,
            attempt,
            text: Buffer.alloc(textBytes, 97 + plan.index % 26).toString("latin1"),
            tokens: 240,
            spans: [{ version: version as Sample["spans"][number]["version"], tokens: 240 }],
            reward: 0.5,
            finish: "stop",
        };
        ledger.finish(attempt, sample, true);
    }
    return ledger;
}

function specOf(samples: number): StepSpec {
    return {
        service: "training",
        caller: "trainer",
        step: "step",
        weightVersion: version,
        stalenessBound: 1,
        deadline: Date.now() + 1e9,
        groups: Array.from({ length: samples / samplesPerGroup }, (unused, nth) => ({
            group: `g${nth}`,
            prompt: `prompt ${nth}`,
            samples: samplesPerGroup,
            maxTokens: 1000,
            seed: nth * samplesPerGroup,
        })),
    } as unknown as StepSpec;
}
