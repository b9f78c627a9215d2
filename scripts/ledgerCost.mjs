// Measures what each event of a step's ledger costs, by the size of the step: node scripts/ledgerCost.mjs
import { performance } from "node:perf_hooks";
import { decodeCursor, encodeCursor, firstCursor, StepState } from "../packages/core/dist/index.js";

const sizes = [100, 1000, 8192];
const perGroup = 8;
const batchSize = 16;
const rounds = 5;

function createSpec(samples) {
    const groups = Array.from({ length: Math.ceil(samples / perGroup) }, (unused, nth) => ({
        group: `g${nth}`,
        prompt: `Lot ${nth}`,
        samples: Math.min(perGroup, samples - nth * perGroup),
        maxTokens: 100,
        seed: nth * 100,
    }));
    return { service: "s", caller: "c", step: "s1", weightVersion: 1, deadline: 1e15, stalenessBound: 1, groups };
}

function createSample({ attempt, plan }) {
    const spans = [{ version: 1, tokens: 1 }];
    return { index: plan.index, group: plan.group, attempt, text: "x", tokens: 1, spans, reward: 0, finish: "stop" };
}

function timed(totals, name, run) {
    const start = performance.now();
    const result = run();
    const entry = totals.get(name) ?? { ms: 0, calls: 0 };
    totals.set(name, { ms: entry.ms + performance.now() - start, calls: entry.calls + 1 });
    return result;
}

/** One step: attempts end one by one, the trainer pulls after every sixteenth. */
function runStep(samples, totals) {
    const ledger = new StepState(createSpec(samples), "h.1");
    const identity = ledger.identity;
    let text = encodeCursor(firstCursor(samples), identity);
    for (let ended = 1; ended <= samples; ended++) {
        const [start] = timed(totals, "start", () => ledger.start(1));
        const sample = createSample(start);
        timed(totals, "finish", () => ledger.finish(start.attempt, sample, true));
        timed(totals, "counts", () => ledger.counts());
        if (ended % batchSize === 0 || ended === samples) {
            text = timed(totals, "pull", () => {
                const cursor = decodeCursor(text, identity).unsafeCoerce();
                return encodeCursor(ledger.pull(cursor, 1, batchSize).cursor, identity);
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
    const costs = [...totals].map(([name, { ms, calls }]) => `${name} ${(1000 * ms / calls).toFixed(2)}`);
    const all = [...totals.values()].reduce((sum, { ms }) => sum + ms, 0) / rounds;
    console.log(`${samples} samples: microseconds a call: ${costs.join(", ")}; ${all.toFixed(1)} ms a step`);
}
