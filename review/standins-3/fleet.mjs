/** A small deployment on loopback addresses: the store, the configuration, workers with their entries, and the programs. */

import { join } from "node:path";
import { createInterface } from "node:readline";
import { freePorts, machineIp, sleep, waitFor } from "./lab.mjs";
import { Store } from "./store.mjs";

const heartbeatMs = 1200;
const here = import.meta.dirname;

export const hostName = "desk.example";

/** A configuration with a plain route, a route of batch submissions, and what `changes` replaces. */
export function configOf(version, changes = {}) {
    const { routes, services, ...rest } = changes;
    return {
        version,
        routes: routes ?? [
            {
                name: "r-plain",
                host: hostName,
                prefix: "/plain/",
                kind: "idempotent",
                timeout_ms: 1500,
                target_latency_ms: 184,
                priority: 2,
                service: "desk",
                max_attempts: 2,
            },
            {
                name: "r-lots",
                host: hostName,
                prefix: "/lots/",
                kind: "rollout",
                timeout_ms: 10_000,
                target_latency_ms: 500,
                priority: 1,
                service: "engines",
                max_attempts: 3,
                queue_ttl_s: 40,
                run_target_ms: 7500,
                single_version: false,
                sticky: true,
                resumable: true,
            },
        ],
        services: services ?? [
            {
                name: "engines",
                health_path: "/healthz",
                max_connections: 160,
                protocol: "h1",
                tls: false,
                engine: { slots: 12, kv_tokens: 80_521, models: [{ name: "m" }] },
            },
            { name: "desk", health_path: "/healthz", max_connections: 110, protocol: "h1", tls: false },
        ],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 33_554_432,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        },
        ...rest,
    };
}

/** One deployment. */
export class Fleet {
    store = new Store();
    workers = [];

    constructor(lab) {
        this.lab = lab;
        lab.ends.push(() => {
            this.workers.forEach(worker => worker.stopBeats());
            this.store.close();
        });
    }

    async start() {
        this.store.write("op/config", configOf(1));
        return this;
    }

    async startWorker(settings) {
        const worker = new Worker(this, settings);
        this.workers.push(worker);
        await worker.start();
        return worker;
    }

    /** Starts `entries` programs with callers and `storages` without, and waits until all are ready. */
    async startPrograms({ entries, storages, settings = {}, storeAddressFor = name => this.store.addressFor(name) }) {
        const ports = await freePorts(3);
        const ipOf = nth => machineIp(nth);
        const seeds = Array.from({ length: Math.min(3, entries) }, (unused, nth) => `${ipOf(nth)}:${ports[2]}`);
        const zones = ["z1", "z2", "z3"];
        const start = async (name, role, nth, at) =>
            this.lab.startProgram(name, {
                role,
                ip: ipOf(at),
                zone: zones[nth % zones.length],
                store: await storeAddressFor(name),
                seeds,
                ports,
                settings,
            });
        this.storages = await Promise.all(
            Array.from(
                { length: storages },
                (unused, nth) => start(`storage-${nth + 1}`, "storage", nth, entries + nth),
            ),
        );
        this.entries = await Promise.all(
            Array.from({ length: entries }, (unused, nth) => start(`edge-${nth + 1}`, "entry", nth, nth)),
        );
        if (!await waitFor(async () => (await Promise.all(this.entries.map(each => each.isReady()))).every(Boolean))) {
            throw new Error("The programs are not ready.");
        }
        await sleep(1500);
        this.lab.record("all programs are ready");
    }

    /** The program whose claim is the last in the logs. */
    get conductor() {
        const claims = [...this.storages, ...this.entries].flatMap(program =>
            program.events("conductor-claimed").map(line => ({ program, fence: line.fence }))
        );
        return claims.sort((a, b) => b.fence - a.fence)[0]?.program;
    }
}

/** A worker's process and its entry in the store. */
class Worker {
    /** What the worker's process told. */
    told = [];
    sequence = 0;

    constructor(fleet, settings) {
        this.fleet = fleet;
        this.settings = { host: "127.0.0.1", ...settings };
    }

    async start() {
        const { lab } = this.fleet;
        this.child = lab.spawn(process.execPath, [join(here, "worker.mjs"), JSON.stringify(this.settings)]);
        const lines = createInterface({ input: this.child.stdout });
        const listening = new Promise(done =>
            lines.on("line", line => {
                const said = JSON.parse(line);
                this.told.push(said);
                if (said.event === "listening") {
                    done(said);
                }
                else {
                    const { instance, event, ...rest } = said;
                    delete rest.at;
                    lab.record(`worker ${instance}: ${event} ${JSON.stringify(rest)}`);
                }
            })
        );
        this.child.stderr.on("data", text => lab.record(`worker ${this.settings.instance}: ${text}`));
        const { address, born } = await listening;
        Object.assign(this, { address, born });
        this.beat();
        this.timer = setInterval(() => this.beat(), heartbeatMs);
        lab.record(`worker ${this.settings.instance} of ${this.settings.service} at ${address}`);
    }

    beat(state = "ready") {
        const { service, instance, kind, slots = 12, version = 1, model = "m", zone = "z1" } = this.settings;
        this.fleet.store.write(`servers/${instance}`, {
            service,
            address: this.address,
            zone,
            version: "v1",
            slots,
            state,
            cold_remaining_ms: 0,
            sequence: ++this.sequence,
            born: this.born,
            ...(kind === "model" ? { stage: "dual", models: [{ name: model, version, adapters: [] }] } : {}),
        });
    }

    stopBeats() {
        clearInterval(this.timer);
    }

    /** Leaves without reporting `draining`: its entry is removed, and it goes on serving for `servesOnMs` and exits. */
    leave(servesOnMs) {
        const { lab, store } = this.fleet;
        this.stopBeats();
        store.remove(`servers/${this.settings.instance}`);
        lab.record(`the entry of worker ${this.settings.instance} is removed`);
        setTimeout(() => {
            this.exitedAt = Date.now();
            this.child.kill("SIGKILL");
            lab.record(`worker ${this.settings.instance} exits`);
        }, servesOnMs);
    }

    signal(signal) {
        this.fleet.lab.record(`${signal} to worker ${this.settings.instance}`);
        this.child.kill(signal);
        if (signal === "SIGKILL") {
            // The entry of a worker that crashed lapses after three heartbeats of silence.
            this.stopBeats();
            setTimeout(() => this.fleet.store.remove(`servers/${this.settings.instance}`), 3 * heartbeatMs);
        }
    }
}

/** The body of a batch submission. */
export function lotOf(step, items, changes = {}) {
    return Buffer.from(JSON.stringify({ step, model: "m", min_version: 1, target_groups: 1, items, ...changes }));
}

export function itemOf(id, { bytes = 600, group = "g", tokens = 900 } = {}) {
    return {
        id,
        path: `/lots/1/${id}`,
        headers: {
            "Tamarackpath-Model": "m",
            "Tamarackpath-Token-Usage": "500,400",
            "Tamarackpath-Prompt-Prefix": "9c2e41:300,5d07b8:200",
        },
        body: Buffer.alloc(bytes, id).toString("base64"),
        tokens,
        group,
    };
}

/** A configuration with one route whose requests may run once at most, to the plain service. */
export function configOfOrders(version) {
    const { routes } = configOf(version);
    const orders = { ...routes[0], name: "r-orders", prefix: "/orders/", kind: "non_idempotent" };
    return configOf(version, { routes: [...routes, orders] });
}

/**
 * Sends bursts of requests that may run once at most to each entry machine until `stop` is called; keeps what was answered.
 */
export class OrderLoad {
    asked = [];
    isOn = true;

    constructor(entries, { requests, everyMs }) {
        entries.forEach(program => void this.run(program, requests, everyMs));
    }

    async run(program, requests, everyMs) {
        while (this.isOn) {
            Array.from({ length: requests }, () => this.ask(program));
            await sleep(everyMs);
        }
    }

    async ask(program) {
        const sent = { id: newId(), at: Date.now(), program: program.name, status: undefined };
        this.asked.push(sent);
        const { status } = await program.call(
            "POST",
            `/orders/${sent.id}`,
            { host: hostName, "tamarackpath-request-id": sent.id, "tamarackpath-deadline-ms": "1500" },
            Buffer.from("x"),
        );
        sent.status = status;
    }

    stop() {
        this.isOn = false;
    }

    get statuses() {
        const counts = new Map();
        this.asked.forEach(({ status }) => counts.set(status, (counts.get(status) ?? 0) + 1));
        return JSON.stringify([...counts]);
    }

    /**
     * Judges the requests that `worker` began later than `drainMs` after its entry was removed at `at`, and after `inTouchAt`:
     * how many there are, the age of the last one, and how many of them got no answer since the worker exited.
     */
    judge(worker, at, drainMs, inTouchAt) {
        const statusOf = new Map(this.asked.map(({ id, status }) => [id, status]));
        const late = worker.told.filter(({ event, at: begunAt }) =>
            event === "begin" && begunAt > at + drainMs && begunAt > inTouchAt
        );
        const lost = late.filter(({ id }) => statusOf.get(id) !== 200);
        const lastMs = late.length === 0 ? 0 : Math.max(...late.map(({ at: begunAt }) => begunAt - at));
        return { late: late.length, lost: lost.length, lastMs };
    }
}

let lastId = 0;
/** An id like those of the consumers. */
export function newId() {
    return `${Math.floor(Math.random() * 0x1000000).toString(16).padStart(6, "0")}${
        (++lastId).toString(16).padStart(10, "0")
    }`;
}

/** Submits a batch submission once. */
export function submit(program, id, body, timeoutMs = 10_000) {
    return program.call(
        "POST",
        `/lots/${id}`,
        { host: hostName, "tamarackpath-request-id": id, "content-type": "application/json" },
        body,
        timeoutMs,
    );
}

/** Reads results from a position. */
export async function read(program, id, after, waitMs = 0) {
    const answer = await program.call("GET", `/tamarackpath/lots/${id}?after=${after}`, {
        host: hostName,
        "tamarackpath-wait-ms": String(waitMs),
    });
    return { ...answer, page: answer.status === 200 ? JSON.parse(answer.body.toString()) : undefined };
}

/** Reads until all results are there or `ms` have passed; 503 and closed channels are asked again. */
export async function readWhole(program, id, ms) {
    const until = Date.now() + ms;
    const results = [];
    while (Date.now() < until) {
        const { page } = await read(program, id, results.length, 1000);
        results.push(...page?.results ?? []);
        if (page !== undefined && results.length >= page.total) {
            break;
        }
        if (page === undefined) {
            await sleep(200);
        }
    }
    return results;
}
