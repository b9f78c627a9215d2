/**
 * Implements the key-value port over the JSON gateway of the etcd v3 API. A write whose connection fails after bytes of
 * the request may have been sent is reported as "unknown", never as failed.
 */

import {
    type Clock,
    type Instant,
    type KeyRevision,
    type KeyValue,
    type KeyValueChange,
    type KeyValueEntry,
    type KeyValueFailure,
    type Lease,
    type LeaseId,
    type SwapResult,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { Agent, request } from "undici";
import { type z } from "zod";
import {
    grantSchema,
    keepAliveSchema,
    rangeSchema,
    txnSchema,
    watchLineSchema,
    type WireEntry,
} from "./etcdMessages.js";

/** Settings of the key-value client. */
export interface EtcdOptions {
    readonly url: string;
    /** Value of the User-Agent header, which identifies this process to the service. */
    readonly userAgent: string;
    /** Milliseconds after which a call is aborted. */
    readonly callTimeoutMs: number;
}

const encode = (text: string): string => Buffer.from(text, "utf8").toString("base64");
const decode = (text: string): string => Buffer.from(text, "base64").toString("utf8");
/** Codes of connection errors that occur before any byte of the request is sent. */
const unsentErrorCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

/** Client of the etcd key-value service. */
export class EtcdKeyValue implements KeyValue {
    private readonly agent: Agent;

    constructor(private readonly options: EtcdOptions, private readonly clock: Clock) {
        this.agent = new Agent({ connect: { timeout: options.callTimeoutMs }, bodyTimeout: 0 });
    }

    async get(key: string): Promise<Either<KeyValueFailure, KeyValueEntry | undefined>> {
        const res = await this.call("/v3/kv/range", { key: encode(key) }, rangeSchema);
        return res.map(body => body.kvs.map(toEntry)[0]);
    }

    async list(prefix: string, from?: KeyRevision): Promise<Either<KeyValueFailure, readonly KeyValueEntry[]>> {
        const filter = from === undefined ? {} : { min_mod_revision: String(from) };
        const res = await this.call("/v3/kv/range", { ...prefixRange(prefix), ...filter }, rangeSchema);
        return res.map(body => body.kvs.map(toEntry));
    }

    async swap(
        key: string,
        expected: KeyRevision,
        value: string,
        lease?: LeaseId,
    ): Promise<Either<KeyValueFailure, SwapResult>> {
        const put = { key: encode(key), value: encode(value), lease: lease ?? "0" };
        const res = await this.call("/v3/kv/txn", {
            compare: [{ key: encode(key), target: "MOD", result: "EQUAL", mod_revision: String(expected) }],
            success: [{ request_put: put }],
            failure: [{ request_range: { key: encode(key) } }],
        }, txnSchema);
        return res.map(body => {
            if (body.succeeded) {
                return { swapped: true, revision: Number(body.header.revision) as KeyRevision };
            }
            const kvs = body.responses[0]?.response_range?.kvs ?? [];
            return { swapped: false, current: kvs.map(toEntry)[0] };
        });
    }

    async grantLease(ttlMs: number): Promise<Either<KeyValueFailure, Lease>> {
        const requestedAt = this.clock.now();
        const res = await this.call("/v3/lease/grant", { TTL: String(Math.ceil(ttlMs / 1000)) }, grantSchema);
        return res.map(body => ({ id: body.ID as LeaseId, deadline: leaseDeadline(requestedAt, body.TTL) }));
    }

    async keepAlive(id: LeaseId): Promise<Either<KeyValueFailure, Lease>> {
        const requestedAt = this.clock.now();
        const res = await this.call("/v3/lease/keepalive", { ID: id }, keepAliveSchema);
        return res.chain(body =>
            Number(body.result.TTL) > 0
                ? Right({ id, deadline: leaseDeadline(requestedAt, body.result.TTL) })
                : Left<KeyValueFailure, Lease>({ applied: "no", answered: true, detail: "The lease has expired." })
        );
    }

    async revokeLease(id: LeaseId): Promise<Either<KeyValueFailure, void>> {
        const res = await this.post("/v3/lease/revoke", { ID: id });
        return res.map(() => undefined);
    }

    async watch(
        prefix: string,
        from: KeyRevision,
        onChange: (change: KeyValueChange) => void,
        signal: AbortSignal,
    ): Promise<KeyValueFailure> {
        try {
            const res = await request(`${this.options.url}/v3/watch`, {
                method: "POST",
                dispatcher: this.agent,
                headers: { "content-type": "application/json", "user-agent": this.options.userAgent },
                body: JSON.stringify({ create_request: { ...prefixRange(prefix), start_revision: String(from) } }),
                signal,
                headersTimeout: this.options.callTimeoutMs,
                bodyTimeout: 0,
            });
            let rest = "";
            for await (const chunk of res.body) {
                const lines = (rest + String(chunk)).split("\n");
                rest = lines.pop() ?? "";
                const watchLines = lines.filter(line => line !== "").map(readWatchLine);
                watchLines.flatMap(({ changes }) => changes).forEach(onChange);
                if (watchLines.some(({ canceled }) => canceled)) {
                    return { applied: "no", detail: "The key-value service canceled the watch." };
                }
            }
            return { applied: "no", detail: "The key-value service ended the watch." };
        }
        catch (err) {
            return toFailure(err);
        }
    }

    close(): Promise<void> {
        return this.agent.destroy();
    }

    private async call<Schema extends z.ZodType>(
        path: string,
        body: object,
        schema: Schema,
    ): Promise<Either<KeyValueFailure, z.output<Schema>>> {
        const res = await this.post(path, body);
        return res.chain(answer => {
            const parsed = schema.safeParse(answer);
            return parsed.success
                ? Right(parsed.data)
                : Left({
                    applied: "unknown" as const,
                    detail: "The key-value service sent a response of an unexpected form.",
                });
        });
    }

    private async post(path: string, body: object): Promise<Either<KeyValueFailure, unknown>> {
        try {
            const res = await request(`${this.options.url}${path}`, {
                method: "POST",
                dispatcher: this.agent,
                headers: { "content-type": "application/json", "user-agent": this.options.userAgent },
                body: JSON.stringify(body),
                signal: AbortSignal.timeout(this.options.callTimeoutMs),
            });
            if (res.statusCode !== 200) {
                await res.body.dump();
                return Left({
                    applied: "unknown",
                    detail: `The key-value service responded with status ${res.statusCode}.`,
                });
            }
            return Right(await res.body.json());
        }
        catch (err) {
            return Left(toFailure(err));
        }
    }
}

/** Counts the TTL from the start of the request, so that the deadline is never later than the service's own. */
function leaseDeadline(requestedAt: Instant, ttlSeconds: string): Instant {
    return requestedAt + Number(ttlSeconds) * 1000 as Instant;
}

/** The range of all keys that start with `prefix`: etcd takes its end as an exclusive bound. */
function prefixRange(prefix: string): { key: string; range_end: string; } {
    const end = Buffer.from(prefix, "utf8");
    end[end.length - 1] = end[end.length - 1]! + 1;
    return { key: encode(prefix), range_end: end.toString("base64") };
}

function toEntry(wire: WireEntry): KeyValueEntry {
    return {
        key: decode(wire.key),
        value: decode(wire.value ?? ""),
        revision: Number(wire.mod_revision ?? 0) as KeyRevision,
    };
}

interface WatchLine {
    readonly changes: readonly KeyValueChange[];
    /** True when the service ended the watch, for example because the requested revision was compacted. */
    readonly canceled: boolean;
}

function readWatchLine(line: string): WatchLine {
    const parsed = watchLineSchema.safeParse(JSON.parse(line));
    if (!parsed.success) {
        return { changes: [], canceled: true };
    }
    const changes = parsed.data.result.events.map(({ type, kv }) => ({
        key: decode(kv.key),
        entry: type === "DELETE" ? undefined : toEntry(kv),
    }));
    return { changes, canceled: parsed.data.result.canceled };
}

function toFailure(err: unknown): KeyValueFailure {
    const code = (err as { code?: string; }).code ?? "";
    const detail = err instanceof Error ? err.message : String(err);
    return { applied: unsentErrorCodes.has(code) ? "no" : "unknown", detail };
}
