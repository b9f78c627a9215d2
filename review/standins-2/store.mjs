// Stand-in for the platform's metadata store: items, pages, watches, conditional writes and leases over HTTP/1.1. It keeps
// the limits of the page: 32 entries in a write, 500 items or 1 MB in a page, `max_value_bytes` in a value, and no writes of the
// system under op/ and servers/. While `isDown` is set it answers 503 and does nothing; otherwise it is sound.
import { createServer } from "node:http";

const maxEntries = 32;
const maxPageItems = 500;
const maxPageBytes = 1_000_000;
const maxValueBytes = 1_048_576;

export class Store {
    items = new Map();
    history = [];
    leases = new Map();
    waiting = new Set();
    revision = 1;
    lastLease = 1000;
    isDown = false;
    /** Writes that were refused with 400, because they were over a limit. */
    refusedWrites = [];

    constructor() {
        this.server = createServer((req, res) => void this.serve(req, res));
    }

    async listen(host) {
        await new Promise(done => this.server.listen(0, host, done));
        this.address = `${host}:${this.server.address().port}`;
        return this;
    }

    /** Writes a document as the operator, a trainer or a worker. */
    put(key, value) {
        return this.commit({ puts: [{ key, value: Buffer.from(JSON.stringify(value)).toString("base64") }] });
    }

    remove(key) {
        return this.commit({ remove: [key] });
    }

    keys(prefix) {
        return this.sortedKeys.filter(key => key.startsWith(prefix));
    }

    close() {
        this.leases.forEach(clearTimeout);
        this.server.close();
        this.server.closeAllConnections();
    }

    commit({ expected = [], puts = [], remove = [] }) {
        const current = expected.map(({ key }) => this.items.get(key) ?? { key, revision: 0 });
        if (expected.some(({ revision }, nth) => revision !== current[nth].revision)) {
            return { status: 412, body: { items: current } };
        }
        if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
            return { status: 404, body: {} };
        }
        this.revision++;
        const { revision } = this;
        if (remove.length > 0 || puts.some(({ key }) => !this.items.has(key))) {
            this.sorted = undefined;
        }
        for (const { key, value, lease = 0 } of puts) {
            const item = { key, value, revision, created: this.items.get(key)?.created ?? revision, lease };
            this.items.set(key, item);
            this.history.push(item);
        }
        for (const key of remove.filter(each => this.items.delete(each))) {
            this.history.push({ key, revision, tombstone: true });
        }
        [...this.waiting].forEach(wake => wake());
        return { status: 200, body: { revision } };
    }

    startLease(id, ttlMs) {
        clearTimeout(this.leases.get(id));
        this.leases.set(id, setTimeout(() => this.endLease(id), ttlMs));
        this.leaseTtls ??= new Map();
        this.leaseTtls.set(id, ttlMs);
    }

    endLease(id) {
        clearTimeout(this.leases.get(id));
        this.leases.delete(id);
        const remove = [...this.items.values()].filter(({ lease }) => lease === id).map(({ key }) => key);
        if (remove.length > 0) {
            this.commit({ remove });
        }
    }

    async serve(req, res) {
        const pieces = [];
        req.on("data", piece => pieces.push(piece));
        await new Promise(done => req.once("end", done).once("close", done));
        if (!req.complete) {
            return;
        }
        if (this.isDown) {
            res.writeHead(503).end();
            return;
        }
        const url = new URL(req.url, "http://store");
        const text = Buffer.concat(pieces).toString("utf8");
        const answer = await this.answer(req.method, url, text === "" ? {} : JSON.parse(text));
        if (!res.destroyed) {
            res.writeHead(answer.status, { "content-type": "application/json" }).end(JSON.stringify(answer.body));
        }
    }

    answer(method, { pathname, searchParams: query }, body) {
        const [name, id] = pathname.replace("/tamarackpath/", "").split("/");
        switch (`${method} ${name}`) {
            case "GET kv-key": {
                const item = this.items.get(query.get("key"));
                return item === undefined
                    ? { status: 404, body: { as_of: this.revision } }
                    : { status: 200, body: { ...item, as_of: this.revision } };
            }
            case "GET kv-range":
                return this.range(query.get("prefix") ?? "", query.get("after") ?? "");
            case "GET kv-watch":
                return this.watch(query);
            case "POST kv-txn": {
                const { expected = [], puts = [], remove = [] } = body;
                const isOurs = [...puts.map(({ key }) => key), ...remove].some(key => /^(op|servers)\//.test(key));
                if (isOurs) {
                    return { status: 403, body: {} };
                }
                const isTooLarge = expected.length + puts.length + remove.length > maxEntries
                    || puts.some(({ value }) => Buffer.byteLength(value, "base64") > maxValueBytes);
                if (isTooLarge) {
                    this.refusedWrites.push(
                        puts.map(({ key, value }) => `${key} ${Buffer.byteLength(value, "base64")}`),
                    );
                    return { status: 400, body: {} };
                }
                return this.commit(body);
            }
            case "POST kv-lease": {
                this.startLease(++this.lastLease, body.ttl_ms);
                return { status: 200, body: { lease: this.lastLease, ttl_ms: body.ttl_ms } };
            }
            case "POST kv-keep": {
                if (!this.leases.has(Number(id))) {
                    return { status: 404, body: {} };
                }
                const ttlMs = this.leaseTtls.get(Number(id));
                this.startLease(Number(id), ttlMs);
                return { status: 200, body: { ttl_ms: ttlMs } };
            }
            case "DELETE kv-lease-end":
                this.endLease(Number(id));
                return { status: 200, body: {} };
            default:
                return { status: 400, body: {} };
        }
    }

    /** All keys in their order. */
    get sortedKeys() {
        this.sorted ??= [...this.items.keys()].sort();
        return this.sorted;
    }

    range(prefix, after) {
        const items = [];
        let bytes = 0;
        const keys = this.sortedKeys;
        let from = 0;
        for (let to = keys.length; from < to;) {
            const middle = (from + to) >> 1;
            if (keys[middle] < prefix || keys[middle] <= after) {
                from = middle + 1;
            }
            else {
                to = middle;
            }
        }
        for (let nth = from; nth < keys.length && keys[nth].startsWith(prefix); nth++) {
            const key = keys[nth];
            const item = this.items.get(key);
            bytes += item.value.length;
            if (items.length > 0 && (items.length >= maxPageItems || bytes > maxPageBytes)) {
                return { status: 200, body: { items, has_more: true, as_of: this.revision } };
            }
            items.push(item);
        }
        return { status: 200, body: { items, has_more: false, as_of: this.revision } };
    }

    async watch(query) {
        const until = Date.now() + Number(query.get("wait_ms"));
        const prefix = query.get("prefix") ?? "";
        for (;;) {
            const events = this.history.filter(({ key, revision }) =>
                revision > Number(query.get("after")) && key.startsWith(prefix)
            );
            const leftMs = until - Date.now();
            if (events.length > 0 || leftMs <= 0) {
                return { status: 200, body: { events, as_of: this.revision } };
            }
            await new Promise(done => {
                const wake = () => {
                    clearTimeout(timer);
                    this.waiting.delete(wake);
                    done();
                };
                const timer = setTimeout(wake, leftMs);
                this.waiting.add(wake);
            });
        }
    }
}
