/**
 * A sound model worker: runs items as streams of events, takes orders for versions, and tells its state. A test changes
 * how it answers single runs.
 */

import http from "node:http";
import { freeAddress, register } from "./lib.mjs";

/** Milliseconds that a change of version takes. */
const changeMs = 900;

/** The events of the whole text of an item; they are the same at each worker. */
export function textOf(id, events) {
    return Array.from({ length: events }, (unused, nth) => `piece ${nth + 1} of ${id}`);
}

/** One worker. */
export class ModelWorker {
    constructor(bench, store, { id, service, zone, events = 10, eventMs = 20, slots = 12 }) {
        Object.assign(this, { bench, store, id, service, zone, events, eventMs, slots });
        this.version = 1;
        this.orders = 0;
        this.running = 0;
        this.runs = [];
        /** Answers a run in a special way if it returns true. */
        this.onRun = () => false;
        /** Called for each request before it is answered. */
        this.onRequest = () => undefined;
    }

    async start() {
        this.ip = await freeAddress([8080]);
        this.address = `${this.ip}:8080`;
        this.server = http.createServer({ keepAliveTimeout: 30_000 }, (req, res) => this.receive(req, res));
        await new Promise(done => this.server.listen(8080, this.ip, done));
        this.bench.closers.push(() => this.server.closeAllConnections());
        this.entry = register(this.bench, this.store, this.id, {
            service: this.service,
            address: this.address,
            zone: this.zone,
            slots: this.slots,
            stage: "dual",
            models: [{ name: "m0", version: this.version, adapters: [] }],
        });
        return this;
    }

    /** Whether a run of an item made its last event here. */
    hasFinished(id) {
        return this.runs.some(run => run.id === id && run.made === this.events);
    }

    /** When an item was last at this worker; 0 if it never was. */
    lastAt(id) {
        return Math.max(0, ...this.runs.filter(run => run.id === id).map(({ endedAt }) => endedAt ?? Date.now()));
    }

    receive(req, res) {
        const pieces = [];
        req.on("data", piece => pieces.push(piece));
        req.on("end", () => this.answer(req, res, Buffer.concat(pieces)));
    }

    answer(req, res, body) {
        this.onRequest(req, res);
        const id = req.headers["tamarackpath-request-id"];
        const echo = id === undefined ? {} : { "Tamarackpath-Request-Id": id };
        const expected = req.headers["tamarackpath-expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            const head = { ...echo, "Tamarackpath-Instance-Id": this.id, "Tamarackpath-Not-Executed": "1" };
            res.writeHead(421, head).end();
        }
        else if (req.url === "/tamarackpath/report") {
            const report = {
                stage: "dual",
                models: [{ name: "m0", version: this.version, adapters: [] }],
                busy: false,
                sequence: this.orders,
                num_waiting: 0,
                num_running: this.running,
                kv_used: 0,
                kv_total: 80_521,
                handles: 0,
            };
            res.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(report));
        }
        else if (req.url === "/tamarackpath/order") {
            this.order(JSON.parse(body.toString("utf8")), res);
        }
        else {
            const after = Number(req.headers["last-event-id"] ?? 0);
            const run = { id, after, made: after, beganAt: Date.now(), endedAt: undefined };
            this.runs.push(run);
            this.bench.log(`${this.id}: run of ${id} after event ${after}`);
            if (this.onRun(run, req, res) !== true) {
                this.stream(run, res);
            }
        }
    }

    stream(run, res) {
        const { id } = run;
        const pieces = textOf(id, this.events);
        this.running++;
        res.writeHead(200, {
            "Tamarackpath-Request-Id": id,
            "Tamarackpath-Response-Stamp": `stamp.${this.id}.${id}`,
            "Tamarackpath-Weight-Versions": String(this.version),
            "content-type": "text/event-stream",
        });
        const timer = setInterval(() => {
            if (run.made < pieces.length) {
                res.write(`id: ${run.made + 1}\ndata: ${pieces[run.made]}\n\n`);
                run.made++;
            }
            if (run.made >= pieces.length) {
                clearInterval(timer);
                res.end();
            }
        }, this.eventMs);
        res.once("close", () => {
            clearInterval(timer);
            this.running--;
            run.endedAt = Date.now();
            this.bench.log(`${this.id}: run of ${id} ended after event ${run.made} of ${pieces.length}`);
        });
    }

    order({ version, expected, holder, fencing_token: fence }, res) {
        this.bench.log(`${this.id}: order of version ${version}, expected ${expected}, from ${holder} with ${fence}`);
        if (version === this.version) {
            res.writeHead(200).end();
            return;
        }
        if (expected !== undefined && expected !== this.orders) {
            res.writeHead(409).end();
            return;
        }
        this.orders++;
        res.writeHead(202).end();
        setTimeout(() => {
            this.version = version;
            this.entry.update({ models: [{ name: "m0", version, adapters: [] }] });
        }, changeMs);
    }
}
