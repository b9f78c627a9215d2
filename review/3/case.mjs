/** A route moves to another service while the conductor's process is killed and restarted. */

import { areReady, call, createDeployment, exitStatus, main, now, sleep, waitFor } from "../standins/lib.mjs";

const host = "ficu95.example";
/** `config_apply_ms` and `stretch_ms`: an unstable core stretches the bound by that much at most. */
const applyMs = 2000 + 5000;
const rounds = 8;

const configOf = (version, service) => ({
    version,
    routes: [{
        name: "r-status",
        host,
        prefix: "/lohu930/",
        kind: "idempotent",
        timeout_ms: 1500,
        target_latency_ms: 183,
        priority: 2,
        service,
        max_attempts: 2,
    }],
    services: ["huvo11a", "wuno96b"].map(name => ({ name, health_path: "/healthz", max_connections: 110 })),
    limits: { max_header_bytes: 16_384, max_body_bytes: 33_554_432, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
});

await main(async hasTrouble => {
    const d = await createDeployment({
        folder: import.meta.dirname,
        machines: [
            { name: "storage-leon-1", role: "storage", zone: "leon" },
            { name: "edge-leon-1", role: "entry", zone: "leon" },
            { name: "edge-qro-1", role: "entry", zone: "qro" },
            { name: "edge-celaya-1", role: "entry", zone: "celaya" },
        ],
        config: configOf(3, "huvo11a"),
        workers: ["leon", "qro"].flatMap(zone => [
            { id: `i-a-${zone}`, service: "huvo11a", zone, slots: 6 },
            { id: `i-b-${zone}`, service: "wuno96b", zone, slots: 6 },
        ]),
    });
    const { record, store } = d;
    const [storage, ...edges] = d.hosts;
    let lastId = 0;
    /** Sends a request to an edge, and returns the service that ran it. */
    const ask = async edge => {
        const id = `9c41d07be2a3${String(++lastId).padStart(4, "0")}`;
        const res = await call(edge.front, "POST", "/lohu930/2f", {
            host,
            "tamarackpath-request-id": id,
            "tamarackpath-deadline-ms": "1500",
        }, "x");
        const service = /^answer of (\S+)/.exec(res.body ?? "")?.[1];
        record(`${edge.name} answers ${id} with ${res.status}, run by ${service ?? "none"}`);
        return service;
    };
    try {
        if (!await waitFor(() => areReady(d.hosts), 15_000)) {
            return exitStatus.notRun;
        }
        await sleep(3000);
        let broken = 0;
        for (let round = 0; round < rounds; round++) {
            const service = round % 2 === 0 ? "wuno96b" : "huvo11a";
            const version = 5 + 2 * round;
            const change = () => {
                store.write("op/config", configOf(version, service));
                record(`the store acknowledged configuration ${version}: the route leads to ${service}`);
                return now();
            };
            let ackAt;
            if (hasTrouble) {
                storage.signal("SIGKILL");
                await storage.hasEnded;
                ackAt = change();
                await sleep(300);
                storage.start();
            }
            else {
                ackAt = change();
            }
            await sleep(ackAt + applyMs + 1000 - now());
            for (const edge of edges) {
                const served = await ask(edge);
                if (served !== undefined && served !== service) {
                    broken++;
                    record(`${edge.name} used an older configuration ${now() - ackAt} ms after the ack`);
                }
            }
        }
        record(`${broken} requests were handled as only an older configuration allows`);
        return broken > 0 ? exitStatus.broken : exitStatus.held;
    }
    finally {
        await d.stop();
    }
});
