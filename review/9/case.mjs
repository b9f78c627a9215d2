// A rolling restart: an entry machine has no open request when its drain ends, and still reads and passes on requests of kept
// channels while it sends its counts of use to the conductor, which stops as the next machine. Then the process exits.
import { createServer } from "node:http";
import { Channel, Deployment, passMs, runCase } from "../standins-2/deployment.mjs";
import { Store } from "../standins-2/store.mjs";
import { PlainWorker } from "../standins-2/worker.mjs";

const host = "desk.example";
const key = "8wuakn2ftimaj3nr26tt";
const graceMs = 8000;
/** Milliseconds between the stops of two machines. */
const gapMs = 2500;
/** When the requests are sent, in milliseconds after the first SIGTERM, and how long the worker works on each. */
const sentAtMs = [2610, 2630, 2650, 2680, 2710, 2750, 2800, 2850, 2900];
const workMs = 400;

const headersOf = id => ({
    "Host": host,
    "Tamarackpath-Request-Id": id,
    "Tamarackpath-Deadline-Ms": "5000",
    "Authorization": `Token ${key}`,
});

await runCase(import.meta.dirname, async (record, keep, hasTrouble) => {
    const store = await new Store().listen("127.0.0.1");
    const cloud = createServer((req, res) => req.resume().once("end", () => res.writeHead(200).end("{}")));
    await new Promise(done => cloud.listen(0, "127.0.0.1", done));
    keep({ dispose: () => (cloud.close(), cloud.closeAllConnections()) });
    const deployment = keep(
        new Deployment(record, store, {
            contracts: [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "health",
                "pool",
                "samples",
                "stream",
                "engine",
                "batch",
                "tenants",
                "leader",
                "pressure",
                "platform",
            ],
            cloud: {
                address: `127.0.0.1:${cloud.address().port}`,
                rate_per_s: 50,
                duties: ["usage_report"],
                duty_per_s: 50,
            },
        }),
    );
    Object.assign(deployment.settings.bounds, {
        strict_revoke: true,
        revoke_ms: 5000,
        report_window_s: 5,
        usage_off: 0.05,
        usage_late_s: 10,
    });
    store.put("op/config", {
        version: 1,
        routes: [{
            name: "order",
            host,
            prefix: "/order/",
            kind: "non_idempotent",
            timeout_ms: 5000,
            target_latency_ms: 600,
            priority: 1,
            service: "desk",
            max_attempts: 2,
            public: false,
        }],
        services: [{ name: "desk", health_path: "/healthz", max_connections: 100, protocol: "h1", tls: false }],
        tenants: [{ name: "hule930", api_keys: [key], priority: 1 }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 1_048_576,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        },
    });
    for (const nth of [1, 2]) {
        keep(
            await new PlainWorker(
                store,
                `i-desk-${nth}`,
                "desk",
                "z",
                record,
                ({ url }) => Number(url.split("/").at(-1)),
            )
                .start("127.0.0.1"),
        );
    }
    const edge = deployment.add("edge-z-1", "edge", { memory_mb: 350, max_fds: 4100 });
    deployment.add("edge-z-2", "edge", { memory_mb: 350, max_fds: 4100 });
    for (const nth of [1, 2, 3]) {
        deployment.add(`storage-z-${nth}`, "storage", { memory_mb: 400, max_fds: 8200 });
    }
    await deployment.start();
    await passMs(4000);

    const channels = [];
    for (const nth of sentAtMs.keys()) {
        const channel = keep(await Channel.open(edge.front));
        const { status } = await channel.send("POST", "/order/20", headersOf(`a${nth}`), "{}");
        if (status !== 200) {
            throw new Error(`The first request on channel ${nth} was answered by ${status}.`);
        }
        channels.push(channel);
    }
    record(`client: ${channels.length} kept channels, each has served a request`);
    const { conductor } = deployment;
    if (conductor === undefined || conductor.machineClass !== "storage") {
        throw new Error("No storage machine conducts.");
    }
    const startedAt = Date.now();
    const at = ms => passMs(Math.max(0, startedAt + ms - Date.now()));
    const stop = machine => {
        record(`platform: SIGTERM to ${machine.name}`);
        machine.signal("SIGTERM");
        setTimeout(() => machine.isAlive && machine.child.kill("SIGKILL"), graceMs).unref();
    };
    if (hasTrouble) {
        stop(edge);
        void at(gapMs).then(() => stop(conductor));
    }
    const ends = await Promise.all(channels.map(async (channel, nth) => {
        await at(sentAtMs[nth]);
        if (channel.isClosed) {
            return { id: `b${nth}`, status: "not sent, the channel was closed before" };
        }
        const end = await channel.send("POST", `/order/${workMs}`, headersOf(`b${nth}`), "{}");
        return { id: `b${nth}`, status: end.status };
    }));
    ends.forEach(({ id, status }, nth) => record(`client: request ${id}, due at ${sentAtMs[nth]} ms: ${status}`));
    await passMs(300);
    const lost = ends.filter(({ id, status }) =>
        status === "closed" && record.lines.some(line => line.includes(`request ${id} begins`))
    ).map(({ id }) => id);
    return lost.length === 0
        ? undefined
        : `LOST: ${
            lost.join(", ")
        } were read and passed on to a worker, and their channels were closed without an answer`;
});
