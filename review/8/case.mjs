// A calm step whose texts are in a script of three bytes a character. Its results are written as one value that is larger than
// the store takes, again and again, and none of them is ever listed.
import { Channel, Deployment, passMs, runCase } from "../standins-2/deployment.mjs";
import { Store } from "../standins-2/store.mjs";
import { ModelWorker, PlainWorker } from "../standins-2/worker.mjs";

const host = "plans.example";
const model = "m0";
/** Engines with 16 slots each, so that all items of the step run at once. */
const engines = 12;
const items = 184;
const events = 24;
/** 270 bytes of data in an event, as in the site files (`piece_bytes`). */
const textOf = (id, event) => `${id} ${String(event).padStart(2, "0")} ${"石".repeat(84)}`;
/** The same number of bytes, one a character. */
const asciiTextOf = (id, event) => `${id} ${String(event).padStart(2, "0")} ${"s".repeat(3 * 84)}`;
const deadlineMs = 14_000;
const job = "7c41e09b52d6a3f8";

await runCase(import.meta.dirname, async (record, keep, hasTrouble) => {
    const store = await new Store().listen("127.0.0.1");
    const deployment = keep(new Deployment(record, store));
    store.put("op/config", {
        version: 1,
        routes: [{
            name: "plan",
            host,
            prefix: "/plan/",
            kind: "rollout",
            timeout_ms: 10_000,
            target_latency_ms: 500,
            priority: 1,
            service: "models",
            max_attempts: 3,
            queue_ttl_s: 40,
            run_target_ms: 7500,
            single_version: false,
            sticky: true,
            resumable: true,
        }, {
            name: "status",
            host,
            prefix: "/status/",
            kind: "idempotent",
            timeout_ms: 1500,
            target_latency_ms: 184,
            priority: 2,
            service: "desk",
            max_attempts: 2,
        }],
        services: [{
            name: "models",
            health_path: "/healthz",
            max_connections: 160,
            protocol: "h1",
            tls: false,
            engine: { slots: 16, kv_tokens: 80_521, models: [{ name: model }] },
        }, { name: "desk", health_path: "/healthz", max_connections: 100, protocol: "h1", tls: false }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 33_554_432,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        },
    });
    const models = [];
    for (let nth = 1; nth <= engines; nth++) {
        const worker = new ModelWorker(store, `i-model-${nth}`, "models", "z", model, () => undefined, {
            events,
            gapMs: 35,
            textOf: hasTrouble ? textOf : asciiTextOf,
        });
        models.push(keep(await worker.start("127.0.0.1")));
    }
    keep(await new PlainWorker(store, "i-desk-1", "desk", "z", () => undefined, () => 30).start("127.0.0.1"));
    const edges = [1, 2].map(nth => deployment.add(`edge-z-${nth}`, "edge", { memory_mb: 350, max_fds: 4100 }));
    [1, 2].forEach(nth => deployment.add(`storage-z-${nth}`, "storage", { memory_mb: 400, max_fds: 8200 }));
    await deployment.start();
    await passMs(2000);

    let calls = 0;
    const ask = async (method, path, headers = {}, body = "") => {
        const channel = await Channel.open(edges[calls++ % edges.length].front);
        const end = await channel.send(method, path, { "Host": host, ...headers }, body);
        channel.dispose();
        return end;
    };
    const submission = JSON.stringify({
        step: 0,
        model,
        min_version: 1,
        target_groups: Math.floor(items / 8 * 0.9),
        items: Array.from({ length: items }, (unused, nth) => ({
            id: `e5b2907c14da${String(nth).padStart(4, "0")}`,
            path: `/plan/${nth}`,
            headers: { "Tamarackpath-Model": model, "Tamarackpath-Token-Usage": "1016,24" },
            body: Buffer.alloc(600, 0x61).toString("base64"),
            tokens: 1040,
            group: `g${nth >> 3}`,
        })),
    });
    const { status } = await ask("POST", "/plan/7c41e0", { "Tamarackpath-Request-Id": job }, submission);
    record(`trainer: submission: ${status}`);
    if (status !== 202) {
        throw new Error("The submission was not accepted.");
    }
    const until = Date.now() + deadlineMs;
    let listed = 0;
    let served = 0;
    let asked = 0;
    while (Date.now() < until && listed < items) {
        const { status: read, text } = await ask("GET", `/tamarackpath/lots/${job}?after=${listed}`);
        listed = read === 200 ? JSON.parse(text).next : listed;
        const id = { "Tamarackpath-Request-Id": `c${asked}`, "Tamarackpath-Deadline-Ms": "1500" };
        asked++;
        served += (await ask("POST", "/status/1", id, "{}")).status === 200 ? 1 : 0;
        const finished = models.reduce((sum, worker) => sum + worker.finished, 0);
        record(`trainer: read: ${read}, ${listed} of ${items} listed; ${finished} runs finished at workers`);
        await passMs(500);
    }
    record(`clients: ${served} of ${asked} requests of the other kind served`);
    const refused = store.refusedWrites;
    record(`store: ${refused.length} writes over a limit refused; the last one: ${refused.at(-1)} bytes`);
    const finished = models.reduce((sum, worker) => sum + worker.finished, 0);
    return finished >= items && listed / items < served / asked / 4
        ? `Starved: all ${items} items were finished at workers, and ${listed} were listed ${deadlineMs} ms after the 202`
        : undefined;
});
