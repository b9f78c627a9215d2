/** Measures the memory that a step takes at the host that owns it, by the number of its samples. */

import { type Sample, type StepSpec, StepState } from "@tamarackpath/core";

/** Memory of one step with every sample finished and none pulled by the trainer. */
export interface StepMemory {
    readonly samples: number;
    readonly textBytes: number;
    readonly kilobytesPerSample: number;
}

const textBytes = 1000;
const samplesPerGroup = 8;
const version = 1;

/**
 * Creates the state of a step with `samples` finished samples and measures the heap that it takes. Start the process
 * with --expose-gc; otherwise garbage distorts the figures.
 */
export function measureStepMemory(samples: number): StepMemory {
    const collectGarbage = globalThis.gc ?? ((): void => undefined);
    collectGarbage();
    const heapBefore = process.memoryUsage().heapUsed;
    const stepState = createFilledStep(samples);
    collectGarbage();
    const held = process.memoryUsage().heapUsed - heapBefore;
    return { samples: stepState.sampleCount, textBytes, kilobytesPerSample: held / samples / 1000 };
}

function createFilledStep(samples: number): StepState {
    const stepState = new StepState(specOf(samples), "owner");
    for (const { attempt, plan } of stepState.start(samples)) {
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
        stepState.finish(attempt, sample, true);
    }
    return stepState;
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
