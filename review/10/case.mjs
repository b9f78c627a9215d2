// A planned stop of an entry machine that still serves a long request: a request on a kept channel is read and passed on to a
// worker in the middle of the stop, and its channel is closed without an answer.
import { Channel, Deployment, isReady, passMs, runCase } from "../standins-2/deployment.mjs";
import { Store } from "../standins-2/store.mjs";
import { PlainWorker } from "../standins-2/worker.mjs";

const host = "desk.example";
const graceMs = 8000;
/** When the requests are sent, in milliseconds after SIGTERM, and how long the worker works on them. */
const long = { sentAtMs: -200, workMs: 6200 };
const late = { sentAtMs: 5000, workMs: 2600 };

const headersOf = id => ({ "Host": host, "Tamarackpath-Request-Id": id, "Tamarackpath-Deadline-Ms": "10000" });

await runCase(import.meta.dirname, async (record, keep, hasTrouble) => {
    const store = await new Store().listen("127.0.0.1");
    const deployment = keep(new Deployment(record, store));
    store.put("op/config", {
        version: 1,
        routes: [{
            name: "order",
            host,
            prefix: "/order/",
            kind: "non_idempotent",
            timeout_ms: 10_000,
            target_latency_ms: 4000,
            priority: 1,
            service: "desk",
            max_attempts: 2,
        }],
        services: [{ name: "desk", health_path: "/healthz", max_connections: 100, protocol: "h1", tls: false }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 1_048_576,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        },
    });
    const workMs = ({ url }) => Number(url.split("/").at(-1));
    for (const nth of [1, 2]) {
        keep(await new PlainWorker(store, `i-desk-${nth}`, "desk", "z", record, workMs).start("127.0.0.1"));
    }
    const edge = deployment.add("edge-z-1", "edge", { memory_mb: 350, max_fds: 4100 });
    deployment.add("edge-z-2", "edge", { memory_mb: 350, max_fds: 4100 });
    deployment.add("storage-z-1", "storage", { memory_mb: 400, max_fds: 8200 });
    await deployment.start();
    await passMs(2000);

    const kept = keep(await Channel.open(edge.front));
    const first = await kept.send("POST", "/order/30", headersOf("a1"), "{}");
    record(`client: request a1 on the kept channel: ${first.status}`);
    if (first.status !== 200) {
        throw new Error("The first request was not served.");
    }
    await passMs(1000);
    const busy = keep(await Channel.open(edge.front));
    const longAnswer = busy.send("POST", `/order/${long.workMs}`, headersOf("a2"), "{}");
    record(`client: request a2 sent, ${long.workMs} ms of work`);
    await passMs(-long.sentAtMs);
    const stoppedAt = Date.now();
    if (hasTrouble) {
        edge.signal("SIGTERM");
        record("platform: SIGTERM to edge-z-1");
        setTimeout(() => {
            if (edge.isAlive) {
                record("platform: SIGKILL to edge-z-1 at the end of grace_s");
                edge.child.kill("SIGKILL");
            }
        }, graceMs);
    }
    await passMs(late.sentAtMs);
    record(`client: the kept channel is ${kept.isClosed ? "closed" : "open"}; ready: ${await isReady(edge)}`);
    if (kept.isClosed) {
        return undefined;
    }
    const lateAnswer = kept.send("POST", `/order/${late.workMs}`, headersOf("a3"), "{}");
    record(`client: request a3 sent on the kept channel, ${late.workMs} ms of work`);
    const [longEnd, lateEnd] = await Promise.all([
        longAnswer,
        lateAnswer.then(end => {
            record(`client: request a3: ${end.status}, ${Date.now() - stoppedAt} ms after SIGTERM`);
            return end;
        }),
    ]);
    record(`client: request a2: ${longEnd.status}`);
    await passMs(500);
    const isPassedOn = deployment.record.lines.some(line => /request a3 begins/.test(line));
    return lateEnd.status === "closed" && isPassedOn
        ? "LOST: request a3 was read and passed on to a worker, and its channel was closed without an answer"
        : undefined;
});
