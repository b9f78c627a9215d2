/** An ended batch submission is sent again after the conductor's process was killed and restarted. */

import { areReady, call, createDeployment, exitStatus, main, now, sleep, waitFor } from "../standins/lib.mjs";

const host = "ficu95.example";
const cancelMs = 3000;
const stableMs = 3000;

const config = {
    version: 3,
    routes: [{
        name: "r-lots",
        host,
        prefix: "/pufi791/",
        kind: "rollout",
        timeout_ms: 10_000,
        target_latency_ms: 500,
        priority: 1,
        service: "quote-llm",
        max_attempts: 3,
        queue_ttl_s: 40,
        run_target_ms: 7500,
        single_version: false,
        sticky: true,
        resumable: true,
    }],
    services: [{
        name: "quote-llm",
        health_path: "/healthz",
        max_connections: 160,
        engine: { slots: 12, kv_tokens: 80_521, models: [{ name: "m0" }] },
    }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 33_554_432, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
};

const batchId = "7c41e09b52d6a3f8";
const items = Array.from({ length: 48 }, (unused, nth) => ({
    id: `e5b2907c14da6f${String(nth).padStart(2, "0")}`,
    path: `/pufi791/3/${nth}`,
    headers: {
        "Tamarackpath-Model": "m0",
        "Tamarackpath-Token-Usage": "1016,400",
        "Tamarackpath-Prompt-Prefix": `9c2e41:1000,5d07${String(nth).padStart(2, "0")}:16`,
    },
    body: Buffer.from(`item ${nth}`).toString("base64"),
    tokens: 1416,
    group: `g${Math.floor(nth / 4)}`,
}));
const batch = JSON.stringify({ step: 0, model: "m0", min_version: 1, target_groups: 11, items });

await main(async hasTrouble => {
    const runs = [];
    const d = await createDeployment({
        folder: import.meta.dirname,
        machines: [
            { name: "storage-leon-1", role: "storage", zone: "leon" },
            { name: "edge-leon-1", role: "entry", zone: "leon" },
            { name: "edge-qro-1", role: "entry", zone: "qro" },
        ],
        config,
        workers: [
            { id: "i-01", service: "quote-llm", zone: "leon", model: "m0" },
            { id: "i-02", service: "quote-llm", zone: "qro", model: "m0" },
        ],
        onRun: run => {
            runs.push(run);
            d.record(`worker ${run.worker.id} runs item ${run.id}`);
        },
    });
    const { record } = d;
    const submit = async edge => {
        const res = await call(edge.front, "POST", "/pufi791/7c41e0", {
            host,
            "tamarackpath-request-id": batchId,
            "content-type": "application/json",
        }, batch);
        record(`${edge.name} answers the submission of ${batchId} with ${res.status}`);
        return res.status;
    };
    const [storage, leon, qro] = d.hosts;
    try {
        if (!await waitFor(() => areReady(d.hosts), 15_000)) {
            return exitStatus.notRun;
        }
        await sleep(2500);
        if (await submit(leon) !== 202) {
            return exitStatus.notRun;
        }
        await sleep(600);
        const ended = await call(qro.front, "DELETE", `/tamarackpath/lots/${batchId}`, { host });
        const ackAt = now();
        record(`${qro.name} answers the end of ${batchId} with ${ended.status}`);
        if (ended.status !== 200) {
            return exitStatus.notRun;
        }
        if (hasTrouble) {
            await storage.killAndRestart(500);
        }
        else {
            await sleep(500);
        }
        // All machines are in touch again, and the store's machines have been without trouble for longer than that.
        await sleep(stableMs + 1500);
        const again = await waitFor(async () => await submit(qro) === 202, 3000, 400);
        if (!again) {
            return exitStatus.notRun;
        }
        await sleep(3000);
        const late = runs.filter(({ at }) => at > ackAt + cancelMs);
        record(`${late.length} items reached a worker later than ${cancelMs} ms after the acknowledged end`);
        return late.length > 0 ? exitStatus.broken : exitStatus.held;
    }
    finally {
        await d.stop();
    }
});
