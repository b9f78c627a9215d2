/**
 * Stand-in for the platform's key-value service. It speaks the JSON form of the etcd v3 API as far as tamarackpath
 * uses it (range, txn, lease, watch), counts every call, and takes faults: down, slow, answers lost after the write.
 */

import { type NextFunction, type Request, type Response } from "express";
import { StandInServer } from "./StandInServer.js";

/** Faults of the key-value service. */
export interface KeyValueFaults {
    /** Refuses every call. */
    isDown: boolean;
    /** Delays every call, in milliseconds. */
    delayMs: number;
    /** Applies that many writes and then cuts the connection without an answer. */
    loseAnswers: number;
    /** Holds the answers to writes back, after they took effect, in milliseconds. */
    delayAnswersMs: number;
    /** Refuses the calls of clients whose user agent is listed. */
    blockedClients: string[];
    /** Keeps watches open but sends no events. */
    silentWatches: boolean;
}

interface StoredEntry {
    readonly value: string;
    readonly revision: number;
    readonly lease: string | undefined;
}

interface Watcher {
    readonly prefix: string;
    readonly res: Response;
    readonly agent: string;
}

interface TxnBody {
    compare?: { key: string; mod_revision: string; }[];
    success?: { request_put?: { key: string; value: string; lease?: string; }; }[];
    failure?: { request_range?: { key: string; }; }[];
}

const fromBase64 = (text: string): string => Buffer.from(text, "base64").toString("utf8");
const toBase64 = (text: string): string => Buffer.from(text, "utf8").toString("base64");

/** An in-memory key-value service. */
export class KeyValueStandIn {
    readonly faults: KeyValueFaults = {
        isDown: false,
        delayMs: 0,
        loseAnswers: 0,
        delayAnswersMs: 0,
        blockedClients: [],
        silentWatches: false,
    };
    /** Calls by client and kind, such as `tamarackd/leon-1 txn`. */
    readonly calls = new Map<string, number>();
    private readonly entries = new Map<string, StoredEntry>();
    private readonly leases = new Map<string, { ttlMs: number; expiresAt: number; }>();
    private readonly watchers = new Set<Watcher>();
    private revision = 1;
    private leaseSerial = 1;
    private readonly expiryTimer: NodeJS.Timeout;

    private constructor(readonly server: StandInServer) {
        server.app.use((req, res, next) => this.applyFaults(req, res, next));
        server.app.post("/v3/kv/range", (req, res) => this.range(req, res));
        server.app.post("/v3/kv/txn", (req, res) => this.txn(req, res));
        server.app.post("/v3/lease/grant", (req, res) => this.grant(req, res));
        server.app.post("/v3/lease/keepalive", (req, res) => this.keepAlive(req, res));
        server.app.post("/v3/lease/revoke", (req, res) => this.revoke(req, res));
        server.app.post("/v3/watch", (req, res) => this.watch(req, res));
        this.expiryTimer = setInterval(() => this.expireLeases(), 50);
    }

    static async start(port = 0): Promise<KeyValueStandIn> {
        const server = new StandInServer();
        const standIn = new KeyValueStandIn(server);
        await server.listen(port);
        return standIn;
    }

    /** Reads a value directly, past all faults. */
    readValue(key: string): string | undefined {
        return this.entries.get(key)?.value;
    }

    /** Writes a value directly, past all faults. */
    writeValue(key: string, value: string): void {
        this.put(key, value, undefined);
    }

    /** Removes a key directly, as an operator's mistake would. */
    remove(key: string): void {
        this.entries.delete(key);
        this.revision++;
        this.notify(key, undefined);
    }

    /** Sends watchers an event with an old value again. */
    replay(key: string, value: string, revision: number): void {
        this.notify(key, { value, revision, lease: undefined });
    }

    /** Cuts the open watches. */
    cutWatches(): void {
        this.watchers.forEach(watcher => watcher.res.destroy());
    }

    async close(): Promise<void> {
        clearInterval(this.expiryTimer);
        await this.server.close();
    }

    private applyFaults(req: Request, res: Response, next: NextFunction): void {
        const agent = req.headers["user-agent"] ?? "unknown";
        const name = `${agent} ${req.path.split("/").at(-1)}`;
        this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
        if (this.faults.isDown || this.faults.blockedClients.includes(agent)) {
            res.destroy();
            return;
        }
        if (this.faults.delayMs > 0) {
            setTimeout(next, this.faults.delayMs);
            return;
        }
        next();
    }

    private header(): { revision: string; } {
        return { revision: String(this.revision) };
    }

    private wire(key: string, entry: StoredEntry): Record<string, string> {
        return { key: toBase64(key), value: toBase64(entry.value), mod_revision: String(entry.revision) };
    }

    private range(req: Request, res: Response): void {
        const { key, range_end: rangeEnd, min_mod_revision: from } = req.body as {
            key: string;
            range_end?: string;
            min_mod_revision?: string;
        };
        const start = fromBase64(key);
        const end = rangeEnd === undefined ? undefined : fromBase64(rangeEnd);
        const kvs = [...this.entries]
            .filter(([name]) => end === undefined ? name === start : name >= start && name < end)
            .filter(([, entry]) => entry.revision >= Number(from ?? 0))
            .sort(([a], [b]) => a < b ? -1 : 1)
            .map(([name, entry]) => this.wire(name, entry));
        res.json({ header: this.header(), kvs });
    }

    private txn(req: Request, res: Response): void {
        const body = req.body as TxnBody;
        const holds = (body.compare ?? []).every(({ key, mod_revision: expected }) =>
            (this.entries.get(fromBase64(key))?.revision ?? 0) === Number(expected)
        );
        if (holds) {
            for (const { request_put: put } of body.success ?? []) {
                if (put !== undefined) {
                    this.put(fromBase64(put.key), fromBase64(put.value), put.lease);
                }
            }
            if (this.faults.loseAnswers > 0) {
                this.faults.loseAnswers--;
                res.destroy();
                return;
            }
        }
        const responses = holds ? [] : (body.failure ?? []).map(({ request_range: range }) => {
            const name = fromBase64(range?.key ?? "");
            const entry = this.entries.get(name);
            return { response_range: { kvs: entry === undefined ? [] : [this.wire(name, entry)] } };
        });
        const answer = { header: this.header(), succeeded: holds, responses };
        if (this.faults.delayAnswersMs > 0) {
            setTimeout(() => res.json(answer), this.faults.delayAnswersMs);
            return;
        }
        res.json(answer);
    }

    private put(key: string, value: string, lease: string | undefined): void {
        const entry = { value, revision: ++this.revision, lease: lease === "0" ? undefined : lease };
        this.entries.set(key, entry);
        this.notify(key, entry);
    }

    private notify(key: string, entry: StoredEntry | undefined): void {
        const event = entry === undefined
            ? { type: "DELETE", kv: { key: toBase64(key) } }
            : { type: "PUT", kv: this.wire(key, entry) };
        for (const watcher of this.watchers) {
            const isCut = this.faults.isDown || this.faults.blockedClients.includes(watcher.agent);
            if (key.startsWith(watcher.prefix) && !isCut && !this.faults.silentWatches) {
                watcher.res.write(`${JSON.stringify({ result: { header: this.header(), events: [event] } })}\n`);
            }
        }
    }

    private grant(req: Request, res: Response): void {
        const ttl = Number((req.body as { TTL: string; }).TTL);
        const lease = String(this.leaseSerial++);
        this.leases.set(lease, { ttlMs: ttl * 1000, expiresAt: Date.now() + ttl * 1000 });
        res.json({ header: this.header(), ID: lease, TTL: String(ttl) });
    }

    private keepAlive(req: Request, res: Response): void {
        const id = String((req.body as { ID: string; }).ID);
        const lease = this.leases.get(id);
        if (lease !== undefined) {
            lease.expiresAt = Date.now() + lease.ttlMs;
        }
        res.json({ result: { header: this.header(), ID: id, TTL: String((lease?.ttlMs ?? 0) / 1000) } });
    }

    private revoke(req: Request, res: Response): void {
        this.dropLease(String((req.body as { ID: string; }).ID));
        res.json({ header: this.header() });
    }

    private expireLeases(): void {
        const now = Date.now();
        for (const [id, lease] of this.leases) {
            if (lease.expiresAt <= now) {
                this.dropLease(id);
            }
        }
    }

    private dropLease(id: string): void {
        this.leases.delete(id);
        for (const [key, entry] of this.entries) {
            if (entry.lease === id) {
                this.entries.delete(key);
                this.revision++;
                this.notify(key, undefined);
            }
        }
    }

    private watch(req: Request, res: Response): void {
        const { create_request: create } = req.body as {
            create_request: { key: string; start_revision?: string; };
        };
        const prefix = fromBase64(create.key);
        const watcher = { prefix, res, agent: req.headers["user-agent"] ?? "unknown" };
        this.watchers.add(watcher);
        res.on("close", () => this.watchers.delete(watcher));
        res.setHeader("content-type", "application/json");
        res.write(`${JSON.stringify({ result: { header: this.header(), created: true } })}\n`);
        const from = Number(create.start_revision ?? 0);
        for (const [key, entry] of this.entries) {
            if (key.startsWith(prefix) && entry.revision >= from && from > 0) {
                const event = { type: "PUT", kv: this.wire(key, entry) };
                res.write(`${JSON.stringify({ result: { header: this.header(), events: [event] } })}\n`);
            }
        }
    }
}
