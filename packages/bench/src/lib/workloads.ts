/** Draws workloads from a seed before a run starts. Desk arrivals have fixed due times. */

import { exponential, heavyTailed, seededRandom } from "./random.js";

/** One completion that a caller of the desk requests. */
export interface DeskArrival {
    /** Due time in milliseconds after the start of the run. */
    readonly at: number;
    readonly prompt: string;
    readonly tokens: number;
    /** Time from the due time after which the answer is late. */
    readonly maxLatencyMs: number;
}

/** A group of samples that share a prompt. */
export interface GroupPlan {
    readonly prompt: string;
    /** Length of each sample in tokens. */
    readonly sampleTokens: readonly number[];
}

/** One step of a trainer. */
export interface StepPlan {
    readonly groups: readonly GroupPlan[];
}

/** A trainer that runs its steps one after the other and publishes a version after each. */
export interface TrainerPlan {
    readonly caller: string;
    readonly share: number;
    readonly steps: readonly StepPlan[];
}

/** All requests of one run. */
export interface WorkloadPlan {
    readonly desk: readonly DeskArrival[];
    readonly trainers: readonly TrainerPlan[];
    readonly durationMs: number;
    readonly deskLateCost: number;
    readonly rolloutLateCost: number;
}

/** Parameters from which a workload is drawn. */
export interface WorkloadShape {
    readonly durationMs: number;
    /** Mean time between arrivals at the desk; undefined for a workload without a desk. */
    readonly deskIntervalMs: number | undefined;
    readonly maxDeskLatencyMs: number;
    readonly deskLateCost: number;
    readonly rolloutLateCost: number;
    readonly trainers: readonly { readonly share: number; readonly steps: number; readonly groups: number; }[];
}

export const maxLengthOverMedian = 30;
const samplesPerGroup = 8;
const deskMedianTokens = 10;
const deskPromptCount = 40;
const promptLength = 320;
const stragglerShare = 0.05;
/** Kinds of prompts of a trainer, with the median length in tokens of their answers. */
const promptKinds = [
    { name: "State the stock and the price of this lot", median: 12 },
    { name: "Plan the delivery windows for these crews", median: 24 },
    { name: "Draft the whole plan of nights for the line", median: 72 },
] as const;

/** Draws a workload; the same seed gives the same workload. */
export function drawWorkload(shape: WorkloadShape, seed: number): WorkloadPlan {
    const random = seededRandom(seed);
    return {
        durationMs: shape.durationMs,
        deskLateCost: shape.deskLateCost,
        rolloutLateCost: shape.rolloutLateCost,
        desk: drawDesk(shape, random),
        trainers: shape.trainers.map(({ share, steps, groups }, nth) => ({
            caller: `trainer-${nth + 1}`,
            share,
            steps: Array.from({ length: steps }, (unused, step) => ({
                groups: Array.from(
                    { length: groups },
                    (unusedGroup, group) => drawGroup(`${nth}.${step}.${group}`, random),
                ),
            })),
        })),
    };
}

function drawDesk(shape: WorkloadShape, random: () => number): readonly DeskArrival[] {
    const arrivals: DeskArrival[] = [];
    if (shape.deskIntervalMs === undefined) {
        return arrivals;
    }
    for (let at = exponential(random, shape.deskIntervalMs); at < shape.durationMs;) {
        const tokens = Math.max(1, Math.round(deskMedianTokens * heavyTailed(random, maxLengthOverMedian / 10)));
        const prompt = padPrompt(`Desk question ${Math.floor(random() * deskPromptCount)}`);
        arrivals.push({ at, prompt, tokens, maxLatencyMs: shape.maxDeskLatencyMs });
        at += exponential(random, shape.deskIntervalMs);
    }
    return arrivals;
}

function drawGroup(name: string, random: () => number): GroupPlan {
    const kind = promptKinds[Math.floor(random() * promptKinds.length)]!;
    const sampleTokens = Array.from({ length: samplesPerGroup }, () => {
        const isStraggler = random() < stragglerShare;
        const factor = isStraggler ? heavyTailed(random, maxLengthOverMedian) * 2 : 0.75 + random() * 0.5;
        return Math.max(1, Math.round(kind.median * Math.min(maxLengthOverMedian / 3, factor)));
    });
    return { prompt: padPrompt(`${kind.name} ${name}`), sampleTokens };
}

function padPrompt(text: string): string {
    return text.padEnd(promptLength, ` ${text}`);
}
