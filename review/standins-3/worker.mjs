/**
 * A stand-in for a worker as a process of its own, after the page PROTOCOL.md ("Workers", "Batch submissions"): a model
 * worker, or a plain one. Its only argument is its settings as JSON. It prints a line of JSON for each thing that it does.
 * Its entry in the store is written by the process that started it.
 */

import { createServer } from "node:http";
import { readAll } from "./store.mjs";

const {
    /** "model" or "plain". */
    kind,
    host,
    instance,
    model = "m",
    version: firstVersion = 1,
    /** Events of each text, and the milliseconds between them. */
    events = 15,
    gapMs = 20,
    /** Whether the answers of streams have no length and end with their connection. */
    isUnframed = false,
    /** Whether an event is written as its tokens are made, so that nearly always a part of one is out. */
    isPiecemeal = false,
    /** Bytes of each event's data. */
    eventBytes = 60,
    workMs = 30,
    loadMs = 900,
} = JSON.parse(process.argv[2]);

const born = Date.now();
let version = firstVersion;
let accepted = 0;
let isBusy = false;
let running = 0;

function tell(event, fields = {}) {
    process.stdout.write(`${JSON.stringify({ at: Date.now(), instance, event, ...fields })}\n`);
}

function common(id) {
    return {
        ...(id === undefined ? {} : { "tamarackpath-request-id": id }),
        "tamarackpath-response-stamp": `${instance}.${id ?? "-"}`,
        "tamarackpath-instance-id": instance,
    };
}

/** The data of event `nth` of an item's text; every worker makes the same one. */
function dataOf(id, nth) {
    return `${id} ${nth} `.padEnd(eventBytes, "x");
}

const control = {
    "GET /tamarackpath/report": (body, res) =>
        answerJson(res, 200, {
            stage: "dual",
            models: [{ name: model, version, adapters: [] }],
            busy: isBusy,
            sequence: accepted,
            num_waiting: 0,
            num_running: running,
            kv_used: 0,
            kv_total: 80_000,
            handles: 0,
            born,
        }),
    "POST /tamarackpath/order": (body, res) => {
        const order = JSON.parse(body.toString());
        tell("order", { order });
        if (isBusy || order.expected !== undefined && order.expected !== accepted) {
            answerJson(res, 409, {});
        }
        else if (order.version === version) {
            answerJson(res, 200, {});
        }
        else {
            accepted++;
            isBusy = true;
            setTimeout(() => {
                version = order.version;
                isBusy = false;
            }, loadMs);
            answerJson(res, 202, {});
        }
    },
};

function answerJson(res, status, value) {
    const text = JSON.stringify(value);
    res.writeHead(status, { ...common(), "content-type": "application/json", "content-length": text.length }).end(text);
}

function refuse(res, id, status, headers = {}) {
    res.writeHead(status, { ...common(id), ...headers, "content-length": 0 }).end();
}

const server = createServer((req, res) => {
    serve(req, res).catch(err => tell("error", { detail: String(err) }));
});

async function serve(req, res) {
    const id = req.headers["tamarackpath-request-id"];
    const expected = req.headers["tamarackpath-expect-instance"];
    const body = await readAll(req);
    if (expected !== undefined && expected !== instance) {
        refuse(res, id, 421);
        return;
    }
    const handler = control[`${req.method} ${req.url}`];
    if (handler !== undefined) {
        handler(body, res);
        return;
    }
    if (id === undefined) {
        refuse(res, id, 400, { "tamarackpath-not-executed": "1" });
        return;
    }
    const lastEventId = Number(req.headers["last-event-id"] ?? 0);
    tell("begin", { id, path: req.url, bytes: body.length, lastEventId });
    running++;
    res.once("close", () => {
        running--;
        if (kind === "model" || !res.writableFinished) {
            tell(res.writableFinished ? "end" : "cut", { id });
        }
    });
    if (kind === "plain") {
        setTimeout(() => {
            const text = `done ${id}`;
            res.writeHead(200, { ...common(id), "content-length": text.length }).end(text);
        }, workMs);
        return;
    }
    stream(res, id, lastEventId);
}

function stream(res, id, lastEventId) {
    res.sendDate = true;
    if (isUnframed) {
        res.useChunkedEncodingByDefault = false;
        res.shouldKeepAlive = false;
    }
    res.writeHead(200, {
        ...common(id),
        "content-type": "text/event-stream",
        "tamarackpath-weight-versions": String(version),
        ...(isUnframed ? { connection: "close" } : {}),
    });
    res.flushHeaders();
    let nth = lastEventId;
    let shown = version;
    const step = () => {
        if (res.destroyed) {
            return;
        }
        nth++;
        if (nth > events) {
            res.end();
            return;
        }
        const change = version === shown ? "" : `tamarackpath-weight-versions: ${version}\n`;
        shown = version;
        const text = `${change}id: ${nth}\ndata: ${dataOf(id, nth)}\n\n`;
        if (!isPiecemeal) {
            res.write(text);
            setTimeout(step, gapMs);
            return;
        }
        const last = text.length - 4;
        res.write(text.slice(0, last / 2));
        setTimeout(() => res.destroyed || res.write(text.slice(last / 2, last)), gapMs / 2);
        setTimeout(() => {
            if (!res.destroyed) {
                res.write(text.slice(last));
                step();
            }
        }, gapMs);
    };
    setTimeout(step, gapMs);
}

server.keepAliveTimeout = 15_000;
server.listen(0, host, () => tell("listening", { address: `${host}:${server.address().port}`, born }));
