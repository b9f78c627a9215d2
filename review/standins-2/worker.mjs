// Stand-ins for workers: a plain worker whose requests take as long as `workMs` says, and a model worker that generates the
// events of a text. Both are sound: they echo ids, refuse requests for another instance and drop requests whose channel
// closes. `record` gets a line for each request that begins, ends or is dropped.
import { createServer } from "node:http";

const heartbeatIntervalMs = 800;

class Worker {
    beats = 0;
    born = Date.now();

    constructor(store, id, service, zone, slots, record) {
        Object.assign(this, { store, id, service, zone, slots, record });
        this.server = createServer((req, res) => void this.receive(req, res));
        this.server.keepAliveTimeout = 60_000;
    }

    async start(host) {
        await new Promise(done => this.server.listen(0, host, done));
        this.address = `${host}:${this.server.address().port}`;
        this.beat();
        this.timer = setInterval(() => this.beat(), heartbeatIntervalMs);
        return this;
    }

    stop() {
        clearInterval(this.timer);
        this.server.close();
        this.server.closeAllConnections();
    }

    beat() {
        this.store.put(`servers/${this.id}`, {
            service: this.service,
            address: this.address,
            zone: this.zone,
            version: "v1",
            slots: this.slots,
            state: "ready",
            cold_remaining_ms: 0,
            born: this.born,
            sequence: ++this.beats,
            ...this.entry(),
        });
    }

    entry() {
        return {};
    }

    async receive(req, res) {
        const pieces = [];
        req.on("data", piece => pieces.push(piece));
        await new Promise(done => req.once("end", done).once("close", done));
        if (!req.complete) {
            return;
        }
        const expected = req.headers["tamarackpath-expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            res.writeHead(421, { "tamarackpath-instance-id": this.id }).end();
            return;
        }
        if (req.url === "/healthz") {
            res.writeHead(200, { "tamarackpath-instance-id": this.id }).end();
            return;
        }
        await this.serve(req, res, Buffer.concat(pieces));
    }
}

export class PlainWorker extends Worker {
    constructor(store, id, service, zone, record, workMs) {
        super(store, id, service, zone, 64, record);
        this.workMs = workMs;
    }

    async serve(req, res) {
        const id = req.headers["tamarackpath-request-id"];
        this.record(`worker ${this.id}: request ${id} begins`);
        let isDropped = false;
        res.once("close", () => {
            if (!res.writableFinished) {
                isDropped = true;
                this.record(`worker ${this.id}: channel of request ${id} closed while it is at work`);
            }
        });
        await new Promise(done => setTimeout(done, this.workMs(req)));
        if (!isDropped) {
            const body = `done ${id}`;
            res.writeHead(200, {
                "tamarackpath-request-id": id,
                "tamarackpath-response-stamp": `s.${this.id}.${id}`,
                "content-length": body.length,
            }).end(body);
            this.record(`worker ${this.id}: request ${id} answered`);
        }
    }
}

export class ModelWorker extends Worker {
    versions = new Map();
    orders = 0;

    constructor(
        store,
        id,
        service,
        zone,
        model,
        record,
        { events = 8, gapMs = 20, textOf = (id, event) => `${id}-${event}` } = {},
    ) {
        super(store, id, service, zone, 16, record);
        Object.assign(this, { model, events, gapMs, textOf, finished: 0 });
        this.versions.set(model, 1);
    }

    entry() {
        return { stage: "dual", models: [{ name: this.model, version: this.versions.get(this.model), adapters: [] }] };
    }

    async serve(req, res, body) {
        if (req.url === "/tamarackpath/report") {
            res.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify({
                stage: "dual",
                models: this.entry().models,
                busy: false,
                born: this.born,
                sequence: this.orders,
                num_waiting: 0,
                num_running: 0,
                kv_used: 0,
                kv_total: 90_000,
                handles: 0,
            }));
            return;
        }
        if (req.url === "/tamarackpath/order") {
            const order = JSON.parse(body.toString("utf8"));
            this.orders++;
            this.versions.set(order.model, order.version);
            res.writeHead(202).end();
            return;
        }
        const id = req.headers["tamarackpath-request-id"];
        const from = Number(req.headers["last-event-id"] ?? 0);
        this.record(`worker ${this.id}: item ${id} begins after event ${from}`);
        res.writeHead(200, {
            "content-type": "text/event-stream",
            "tamarackpath-request-id": id,
            "tamarackpath-response-stamp": `s.${this.id}.${id}`,
            "tamarackpath-weight-versions": String(this.versions.get(this.model)),
        });
        for (let event = from + 1; event <= this.events; event++) {
            await new Promise(done => setTimeout(done, this.gapMs));
            if (res.destroyed) {
                return;
            }
            res.write(`id: ${event}\ndata: ${this.textOf(id, event)}\n\n`);
        }
        res.end();
        this.finished++;
    }
}
