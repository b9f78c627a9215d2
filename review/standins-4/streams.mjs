/** A worker of a plain service that answers with streams of events, and a client that reads them on kept channels. */

import http from "node:http";
import { routeHost } from "./config.mjs";
import { freeAddress, register } from "./lib.mjs";

/** A route of streams beside the routes of the small deployment; it is like the others but for its kind. */
export function streamRouteOf(timeoutMs) {
    return {
        name: "answers",
        host: routeHost,
        prefix: "/answers/",
        kind: "streaming",
        service: "desk",
        max_attempts: 3,
        timeout_ms: timeoutMs,
        target_latency_ms: 400,
        priority: 2,
        resumable: true,
    };
}

/** An event of a stream as it is sent. */
export const eventOf = (id, number) => `id: ${number}\ndata: piece ${number} of ${id}\n\n`;

/** The whole stream of a request. */
export const streamOf = (id, events) => Array.from({ length: events }, (unused, nth) => eventOf(id, nth + 1)).join("");

/** One worker. */
export class StreamWorker {
    constructor(bench, store, { id, zone, events, eventMs }) {
        Object.assign(this, { bench, store, id, zone, events, eventMs });
        this.open = new Set();
        this.cut = [];
        /** Answers a request in a special way if it returns true. */
        this.onRequest = () => false;
    }

    async start() {
        this.ip = await freeAddress([8080]);
        this.server = http.createServer({ keepAliveTimeout: 30_000 }, (req, res) => this.answer(req, res));
        await new Promise(done => this.server.listen(8080, this.ip, done));
        this.bench.closers.push(() => this.server.closeAllConnections());
        this.entry = register(this.bench, this.store, this.id, {
            service: "desk",
            address: `${this.ip}:8080`,
            zone: this.zone,
            slots: 6,
        });
        return this;
    }

    answer(req, res) {
        const id = req.headers["tamarackpath-request-id"];
        const expected = req.headers["tamarackpath-expect-instance"];
        req.resume();
        if (expected !== undefined && expected !== this.id) {
            const head = { "Tamarackpath-Request-Id": id, "Tamarackpath-Instance-Id": this.id };
            res.writeHead(421, { ...head, "Tamarackpath-Not-Executed": "1" }).end();
            return;
        }
        this.bench.log(`${this.id}: request ${id}`);
        if (this.onRequest(id, req, res) === true) {
            return;
        }
        res.writeHead(200, {
            "Tamarackpath-Request-Id": id,
            "Tamarackpath-Response-Stamp": `stamp.${this.id}.${id}`,
            "content-type": "text/event-stream",
        });
        let made = 0;
        this.open.add(id);
        const timer = setInterval(() => {
            res.write(eventOf(id, ++made));
            if (made === this.events) {
                clearInterval(timer);
                res.end();
            }
        }, this.eventMs);
        res.once("close", () => {
            clearInterval(timer);
            this.open.delete(id);
            if (made < this.events) {
                this.cut.push(id);
                this.bench.log(`${this.id}: the channel of ${id} was closed after event ${made} of ${this.events}`);
            }
        });
    }
}

/** Reads the stream of a request to its end; `isComplete` says whether the answer ended as complete. */
export function readStream(bench, front, agent, id, deadlineMs) {
    const headers = {
        host: routeHost,
        "Tamarackpath-Request-Id": id,
        "Tamarackpath-Deadline-Ms": String(deadlineMs),
        "content-length": 0,
    };
    return new Promise(done => {
        const req = http.request({ ...front, agent, method: "POST", path: `/answers/${id}`, headers });
        req.once("error", err => done({ id, isComplete: false, text: "", error: String(err) }));
        req.once("response", res => {
            let text = "";
            res.setEncoding("utf8");
            res.on("data", piece => {
                text += piece;
            });
            res.on("error", err => bench.log(`client: ${id}: ${err}`));
            res.once("close", () => {
                const last = text.slice(text.lastIndexOf("id: ")).split("\n")[0];
                const end = res.complete ? "complete" : "closed before its end";
                bench.log(`client: the answer ${res.statusCode} to ${id} is ${end}, its last event has ${last}`);
                done({ id, status: res.statusCode, isComplete: res.complete, text });
            });
        });
        req.end();
    });
}
