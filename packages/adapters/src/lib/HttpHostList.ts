/** Implements the host list port over Prometheus HTTP service discovery. */

import {
    type HostId,
    type HostList,
    type HostListSnapshot,
    type Incarnation,
    type ListedHost,
    type ListedTarget,
    type PoolId,
    type TargetId,
    type TargetKind,
    type ZoneId,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type Dispatcher, request } from "undici";
import * as z from "zod";

const entrySchema = z.object({
    targets: z.array(z.string()).length(1),
    labels: z.object({
        id: z.string().min(1),
        role: z.enum(["entry", "engine", "plain", "scorer"]),
        zone: z.string().min(1),
        pool: z.string().default(""),
        incarnation: z.coerce.number().int().default(1),
        state: z.enum(["live", "leaving"]).default("live"),
    }),
});

type Entry = z.output<typeof entrySchema>;

const callTimeoutMs = 2000;

const notModifiedStatus = 304;

/** The last snapshot of the list and the entity tag that the platform sent with it. */
interface CachedSnapshot {
    readonly etag: string;
    readonly snapshot: HostListSnapshot;
}

/**
 * Reads the platform's host list. Conditional requests transfer the entries only when they changed. Entries of an
 * unexpected form are left out.
 */
export class HttpHostList implements HostList {
    private last: CachedSnapshot | undefined;

    constructor(private readonly url: string, private readonly dispatcher: Dispatcher) {}

    async read(): Promise<Either<string, HostListSnapshot>> {
        try {
            const res = await request(this.url, {
                dispatcher: this.dispatcher,
                headers: this.last === undefined ? {} : { "if-none-match": this.last.etag },
                signal: AbortSignal.timeout(callTimeoutMs),
            });
            if (res.statusCode === notModifiedStatus && this.last !== undefined) {
                await res.body.dump();
                return Right(this.last.snapshot);
            }
            if (res.statusCode !== 200) {
                await res.body.dump();
                return Left(`The host list responded with status ${res.statusCode}.`);
            }
            const snapshot = toSnapshot(await res.body.json());
            snapshot.ifRight(newSnapshot => this.cache(res.headers["etag"], newSnapshot));
            return snapshot;
        }
        catch (err) {
            return Left(err instanceof Error ? err.message : String(err));
        }
    }

    private cache(etag: string | string[] | undefined, snapshot: HostListSnapshot): void {
        this.last = typeof etag === "string" ? { etag, snapshot } : undefined;
    }
}

function toSnapshot(body: unknown): Either<string, HostListSnapshot> {
    if (!Array.isArray(body)) {
        return Left("The host list is not an array.");
    }
    const entries = body
        .map(item => entrySchema.safeParse(item))
        .filter(parsed => parsed.success)
        .map(parsed => parsed.data);
    return Right({
        hosts: entries.filter(entry => entry.labels.role === "entry").map(toHost),
        targets: entries.filter(entry => entry.labels.role !== "entry").map(toTarget),
    });
}

function toHost({ targets, labels }: Entry): ListedHost {
    return {
        host: labels.id as HostId,
        zone: labels.zone as ZoneId,
        peerAddress: targets[0]!,
        leaving: labels.state === "leaving",
    };
}

function toTarget({ targets, labels }: Entry): ListedTarget {
    return {
        target: labels.id as TargetId,
        kind: labels.role as TargetKind,
        pool: labels.pool as PoolId,
        zone: labels.zone as ZoneId,
        url: `http://${targets[0]}`,
        incarnation: labels.incarnation as Incarnation,
        leaving: labels.state === "leaving",
    };
}
