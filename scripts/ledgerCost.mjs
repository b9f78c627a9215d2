// Measures the time of each call to the state of a step, for steps of several sizes: node scripts/ledgerCost.mjs
import { performance } from "node:perf_hooks";
import { decodeCursor, encodeCursor, firstCursor, StepState } from "../packages/core/dist/index.js";

const sizes = [100, 1000, 8192];
const samplesPerGroup = 8;
const batchSize = 16;
const rounds = 5;

function createSpec(samples) {
    const groups = Array.from({ length: Math.ceil(samples / samplesPerGroup) }, (unused, nth) => ({
        group: `g${nth}`,
        prompt: `Lot ${nth}`,
        samples: Math.min(samplesPerGroup, samples - nth * samplesPerGroup),
        maxTokens: 100,
        seed: nth * 100,
    }));
    return { service: "s", caller: "c", step: "s1", weightVersion: 1, deadline: 1e15, stalenessBound: 1, groups };
}

function createSample({ attempt, plan }) {
    const spans = [{ version: 1, tokens: 1 }];
    return { index: plan.index, group: plan.group, attempt, text: "x", tokens: 1, spans, reward: 0, finish: "stop" };
}

function measureTime(totals, name, run) {
    const start = performance.now();
    const result = run();
    const entry = totals.get(name) ?? { ms: 0, calls: 0 };
    totals.set(name, { ms: entry.ms + performance.now() - start, calls: entry.calls + 1 });
    return result;
}

/** Runs one step: its attempts finish one after the other, and the trainer pulls after every `batchSize` attempts. */
function runStep(samples, totals) {
    const state = new StepState(createSpec(samples), "h.1");
    const identity = state.identity;
    let text = encodeCursor(firstCursor(samples), identity);
    for (let ended = 1; ended <= samples; ended++) {
        const [start] = measureTime(totals, "start", () => state.start(1));
        const sample = createSample(start);
        measureTime(totals, "finish", () => state.finish(start.attempt, sample, true));
        measureTime(totals, "counts", () => state.counts());
        if (ended % batchSize === 0 || ended === samples) {
            text = measureTime(totals, "pull", () => {
                const cursor = decodeCursor(text, identity).unsafeCoerce();
                return encodeCursor(state.pull(cursor, 1, batchSize).cursor, identity);
            });
        }
    }
}

for (const samples of sizes) {
    runStep(samples, new Map());
    const totals = new Map();
    for (let round = 0; round < rounds; round++) {
        runStep(samples, totals);
    }
    const averages = [...totals].map(([name, { ms, calls }]) => `${name} ${(1000 * ms / calls).toFixed(2)}`);
    const stepMs = [...totals.values()].reduce((sum, { ms }) => sum + ms, 0) / rounds;
    console.log(`${samples} samples: microseconds a call: ${averages.join(", ")}; ${stepMs.toFixed(1)} ms a step`);
}
