/**
 * A stand-in for the platform's metadata store, after the page PROTOCOL.md ("The platform's metadata store"): conditional
 * all-or-nothing writes, pages of at most 500 items or 1 MB, watches that wait, and leases. It has no faults of its own;
 * a script puts a proxy in front of it.
 */

import { createServer } from "node:http";

const maxTxnEntries = 32;
const maxValueBytes = 1_048_576;
const maxKeyBytes = 200;
const pageItems = 500;
const pageBytes = 1_000_000;
const minTtlMs = 1000;
const maxWaitMs = 30_000;

/** Reads a request's whole body. */
export async function readAll(stream) {
    const pieces = [];
    for await (const piece of stream) {
        pieces.push(piece);
    }
    return Buffer.concat(pieces);
}

/** The store of one deployment. */
export class Store {
    items = new Map();
    leases = new Map();
    history = [];
    waiting = new Set();
    revision = 1;
    lastLease = 1000;
    /** Names of machines whose calls it refuses with 503, while it serves the others. */
    refused = new Set();
    /** Whether it refuses every call with 503. Workers and operators, who write through `write` and `remove`, are not affected. */
    isBusy = false;
    servers = [];

    /** Called after each transaction with what it contained and the status of its answer. */
    onTxn = () => undefined;

    /** The address at which the machine `name` reaches the store; another one for each, so that it can tell them apart. */
    async addressFor(name, host = "127.0.0.1") {
        const server = createServer((req, res) => {
            this.serve(req, res, name).catch(err => res.destroy(err));
        });
        server.keepAliveTimeout = 60_000;
        this.servers.push(server);
        await new Promise(done => server.listen(0, host, done));
        return `${host}:${server.address().port}`;
    }

    close() {
        this.leases.forEach(({ timer }) => clearTimeout(timer));
        this.servers.forEach(server => {
            server.close();
            server.closeAllConnections();
        });
    }

    /** Writes a document as the operator, a trainer or a worker does; returns its revision. */
    write(key, value) {
        return this.change([{ key, value: Buffer.from(JSON.stringify(value)).toString("base64"), lease: 0 }], []);
    }

    remove(key) {
        this.change([], [key]);
    }

    change(puts, removes) {
        const revision = ++this.revision;
        for (const { key, value, lease = 0 } of puts) {
            const item = { key, value, revision, created: this.items.get(key)?.created ?? revision, lease };
            this.items.set(key, item);
            this.history.push(item);
        }
        for (const key of removes) {
            if (this.items.delete(key)) {
                this.history.push({ key, revision, tombstone: true });
            }
        }
        this.waiting.forEach(wake => wake());
        return revision;
    }

    transact({ expected = [], puts = [], remove = [] }) {
        if (expected.length + puts.length + remove.length > maxTxnEntries) {
            return [400, {}];
        }
        if ([...puts, ...remove.map(key => ({ key }))].some(({ key }) => /^(op|servers)\//.test(key))) {
            return [403, {}];
        }
        const isTooLarge = ({ key, value }) =>
            Buffer.byteLength(key) > maxKeyBytes || Buffer.byteLength(value, "base64") > maxValueBytes;
        if (puts.some(isTooLarge)) {
            return [400, {}];
        }
        const current = expected.map(({ key }) => this.items.get(key) ?? { key, revision: 0 });
        if (expected.some(({ revision }, nth) => revision !== current[nth].revision)) {
            return [412, { items: current, as_of: this.revision }];
        }
        if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
            return [404, {}];
        }
        return [200, { revision: this.change(puts, remove) }];
    }

    grant(ttlMs) {
        const id = ++this.lastLease;
        this.renew(id, Math.max(minTtlMs, ttlMs));
        return [200, { lease: id, ttl_ms: Math.max(minTtlMs, ttlMs) }];
    }

    renew(id, ttlMs) {
        clearTimeout(this.leases.get(id)?.timer);
        this.leases.set(id, { ttlMs, timer: setTimeout(() => this.endLease(id), ttlMs) });
    }

    /** Refuses the calls of these machines from now on, and serves all others. */
    refuse(names) {
        this.refused = new Set(names);
        this.waiting.forEach(wake => wake());
    }

    /** Begins or ends a time in which it refuses every call; leases pause meanwhile. */
    setBusy(isBusy) {
        this.isBusy = isBusy;
        this.waiting.forEach(wake => wake());
        this.leases.forEach(({ ttlMs, timer }, id) => {
            clearTimeout(timer);
            if (!isBusy) {
                this.renew(id, ttlMs);
            }
        });
    }

    endLease(id) {
        clearTimeout(this.leases.get(id)?.timer);
        this.leases.delete(id);
        const keys = [...this.items.values()].filter(({ lease }) => lease === id).map(({ key }) => key);
        if (keys.length > 0) {
            this.change([], keys);
        }
    }

    page(prefix, after) {
        const found = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
            .sort((a, b) => (a.key < b.key ? -1 : 1));
        const items = [];
        let bytes = 0;
        for (const item of found) {
            bytes += item.value.length;
            if (items.length > 0 && (items.length >= pageItems || bytes > pageBytes)) {
                break;
            }
            items.push(item);
        }
        return [200, { items, has_more: items.length < found.length, as_of: this.revision }];
    }

    async watch(prefix, after, waitMs, res, name) {
        const until = Date.now() + Math.min(maxWaitMs, waitMs);
        for (;;) {
            const events = this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
            const leftMs = until - Date.now();
            if (this.isBusy || this.refused.has(name)) {
                return [503, {}];
            }
            if (events.length > 0 || leftMs <= 0 || res.destroyed) {
                return [200, { events, as_of: this.revision }];
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

    async serve(req, res, name) {
        const { pathname, searchParams: query } = new URL(req.url, "http://store");
        const text = (await readAll(req)).toString("utf8");
        const body = text === "" ? {} : JSON.parse(text);
        const [, , call, id] = pathname.split("/");
        const [status, answer] = this.isBusy || this.refused.has(name)
            ? [503, {}]
            : await this.answer(call, Number(id), query, body, res, name);
        if (!res.destroyed) {
            res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(answer));
        }
    }

    answer(call, id, query, body, res, name) {
        const prefix = query.get("prefix") ?? "";
        switch (call) {
            case "kv-key": {
                const item = this.items.get(query.get("key"));
                return item === undefined ? [404, {}] : [200, { ...item, as_of: this.revision }];
            }
            case "kv-range":
                return this.page(prefix, query.get("after") ?? "");
            case "kv-watch":
                return this.watch(prefix, Number(query.get("after")), Number(query.get("wait_ms")), res, name);
            case "kv-txn": {
                const answer = this.transact(body);
                this.onTxn(body, answer[0]);
                return answer;
            }
            case "kv-lease":
                return this.grant(body.ttl_ms);
            case "kv-keep": {
                const lease = this.leases.get(id);
                if (lease === undefined) {
                    return [404, {}];
                }
                this.renew(id, lease.ttlMs);
                return [200, { lease: id, ttl_ms: lease.ttlMs }];
            }
            case "kv-lease-end":
                this.endLease(id);
                return [200, {}];
            default:
                return [400, {}];
        }
    }
}
