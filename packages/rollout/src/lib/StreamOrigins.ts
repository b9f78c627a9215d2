/**
 * Finds the software that began a stream which a caller takes up, so that the stream goes on at no other. While a service
 * has had one software version for longer than a stream lives, no record is needed. Otherwise each host records the
 * streams that it began, and writes its newest records to the store a few times a second, under a lease. Every host may then
 * go on with them, also when all hosts were lost at once. The conductor writes which versions served when.
 */

import {
    after,
    type Clock,
    type Instant,
    isContradictedBy,
    jobKeys,
    type KeyRevision,
    type LeaseId,
    type Route,
    type ServiceId,
    ServingHistory,
    sleepUntil,
    type SoftwareVersion,
    type StoredItem,
    streamLifetimeMs,
    type StreamRecord,
    StreamRecords,
    type StreamTakeUp,
    type TransactionalStore,
    unknownValue,
} from "@tamarackpath/core";
import { pack } from "msgpackr";
import { type ConductorTask } from "./ConductorTask.js";
import { type HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";
import { repeatUntil } from "./repeatUntil.js";
import { decodeHistory, decodeRecords, streamKeys } from "./streamDocuments.js";

/** The service and the software that a stream goes on at, or why that is not known. */
export type StreamOrigin =
    | { readonly kind: "known"; readonly service: ServiceId; readonly software: SoftwareVersion; }
    | { readonly kind: "unknown"; readonly reason: string; };

/** Options of the origins of streams. */
export interface StreamOriginsOptions {
    /** The host's name, which is part of the key of its records. */
    readonly name: string;
    /** Whether no host of this system has ever run before. */
    readonly isFirstStart: boolean;
    /** Number of hosts, among which the writes of records are shared out. */
    readonly hostCount: () => number;
}

/** Milliseconds for which records are gathered into one write. */
const gatherMs = 40;

/** Minimum milliseconds between two writes of a host's records. */
const minWriteIntervalMs = 250;

/** Upper limit of the writes of records a second by all hosts together: a tenth of what the store takes. */
const maxWritesPerSecond = 40;

/** Upper limits of the records in one write; in base64 the bytes stay below the store's limit of 1 MiB for a value. */
const maxStored = { records: 4000, bytes: 700_000 } as const;

/** Milliseconds for which a read of the stored records serves further lookups. */
const readTtlMs = 250;

/** Milliseconds that a lookup may take: a caller gets a refusal sooner than an answer from a store in trouble. */
const lookupTimeoutMs = 250;

/** Upper limit of the characters that the log shows of what is wrong with a stored value. */
const maxDetailLength = 200;

/** Milliseconds between checks whether the conductor has to write the history. */
const historyIntervalMs = 300;

/** Records the streams of one host, and looks up those of all hosts. */
export class StreamOrigins {
    private readonly records = new StreamRecords();
    private stored: ReadonlyMap<string, StreamRecord> = new Map();
    private storedAt: Instant | undefined;
    private reading: Promise<boolean> | undefined;
    /** Revisions of the stored values that could not be decoded, by key. */
    private readonly unreadable = new Map<string, KeyRevision>();
    private readonly history: ServingHistory;
    private readonly startedAt: Instant;
    private hasUnwrittenHistory = false;
    /** Number of records that were added, and of those as of the last write. */
    private addedCount = 0;
    private writtenCount = 0;
    private lastWriteAt = 0 as Instant;
    private cancelWrite: (() => void) | undefined;
    private hasSeenRoutes = false;
    private isStopped = false;
    private lease: { readonly id: LeaseId; readonly deadline: Instant; } | undefined;

    constructor(
        private readonly options: StreamOriginsOptions,
        private readonly view: HostView,
        private readonly conductor: ConductorTask,
        private readonly store: TransactionalStore,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        this.startedAt = clock.now();
        this.history = new ServingHistory(options.isFirstStart ? 0 as Instant : this.startedAt, 2 * streamLifetimeMs);
        view.events.on("changed", () => this.observeView());
        view.events.on("restarted", entries => {
            if (entries.filter(entry => this.records.discardContradicted(entry)).length > 0) {
                this.scheduleWrite();
            }
        });
    }

    /** Number of streams that this host began and may be taken up. */
    get recordCount(): number {
        return this.records.size;
    }

    start(): void {
        const { clock, journal } = this;
        void repeatUntil(() => this.isStopped, () => this.writeHistoryWhenDue(), {
            name: "write the history of versions",
            clock,
            journal,
        });
    }

    stop(): void {
        this.isStopped = true;
        this.cancelWrite?.();
    }

    /** Records a stream that a target began to answer. */
    recordBegun(route: Route, record: StreamRecord): void {
        this.records.add(record);
        this.addedCount++;
        if (this.conclude(route) === undefined) {
            this.scheduleWrite();
        }
    }

    /** Finds what began the stream that a request on `route` takes up. */
    async find(route: Route, { stream }: StreamTakeUp): Promise<StreamOrigin> {
        const own = this.recordOf(stream);
        if (own !== undefined) {
            return this.known(stream, own, "own record");
        }
        const isRead = await this.readStored();
        const record = this.recordOf(stream);
        if (record !== undefined) {
            return this.known(stream, record, "stored record");
        }
        const concluded = isRead ? this.conclude(route) : undefined;
        if (concluded !== undefined) {
            return this.known(stream, concluded, "one version");
        }
        const reason = isRead
            ? "It is not known which software began the stream."
            : "The store does not answer, so it is not known which software began the stream.";
        this.journal.log("stream-origin", { stream, outcome: "unknown", detail: reason });
        return { kind: "unknown", reason };
    }

    private known(
        stream: string | undefined,
        { service, software }: { readonly service: ServiceId; readonly software: SoftwareVersion; },
        source: string,
    ): StreamOrigin {
        const ageMs = this.storedAt === undefined ? undefined : this.clock.now() - this.storedAt;
        this.journal.log("stream-origin", { stream, outcome: "known", service, software, detail: source, ageMs });
        return { kind: "known", service, software };
    }

    private recordOf(stream: string | undefined): StreamRecord | undefined {
        return stream === undefined
            ? undefined
            : this.records.get(stream, this.clock.now()) ?? this.stored.get(stream);
    }

    /** The only service and software that can have begun a stream on `route`, if there is only one. */
    private conclude(
        { host, prefix, services }: Route,
    ): { readonly service: ServiceId; readonly software: SoftwareVersion; } | undefined {
        const from = after(this.clock.now(), -streamLifetimeMs);
        const served = this.history.valuesSince(routeSubject(host, prefix), from);
        const service = services[0]?.service;
        if (service === undefined || served?.size !== 1 || !served.has(service)) {
            return undefined;
        }
        const versions = this.history.valuesSince(serviceSubject(service), from);
        const [software] = versions ?? [];
        return versions?.size === 1 ? { service, software: software as SoftwareVersion } : undefined;
    }

    private observeView(): void {
        const now = this.clock.now();
        const { routes } = this.view;
        // What is no longer listed is no longer in force; without a configuration nothing is known of the routes.
        const values = new Map<string, Set<string>>(
            this.history.subjects.filter(subject => routes !== undefined || subject.startsWith(servicePrefix))
                .map(subject => [subject, new Set()]),
        );
        for (const { service, software } of this.view.directory.targets) {
            const subject = serviceSubject(service);
            values.set(subject, (values.get(subject) ?? new Set()).add(software ?? unknownValue));
        }
        for (const { host, prefix, services } of routes?.config.routes ?? []) {
            values.set(routeSubject(host, prefix), new Set(services.map(({ service }) => service)));
        }
        // A new service has served no stream before; a new route may have taken over paths of an older one.
        const hasChanged =
            [...values].filter(([subject, each]) =>
                this.history.observe(subject, each, now, subject.startsWith(servicePrefix) || !this.hasSeenRoutes)
            ).length > 0;
        this.hasSeenRoutes ||= routes !== undefined;
        if (hasChanged) {
            this.hasUnwrittenHistory = true;
            // Streams that needed no record so far may need one from now on.
            if (this.records.size > 0) {
                this.scheduleWrite();
            }
        }
    }

    /** Writes this host's records soon, and no more often than its share of the writes allows. */
    private scheduleWrite(): void {
        if (this.cancelWrite !== undefined || this.isStopped) {
            return;
        }
        const intervalMs = Math.max(minWriteIntervalMs, 1000 * this.options.hostCount() / maxWritesPerSecond);
        const at = Math.max(after(this.clock.now(), gatherMs), after(this.lastWriteAt, intervalMs)) as Instant;
        this.cancelWrite = this.clock.callAt(at, () => {
            void this.writeRecords(this.clock.now()).then(isWritten => {
                this.cancelWrite = undefined;
                const hasNew = this.records.size > 0 && this.addedCount !== this.writtenCount;
                if (!isWritten || hasNew) {
                    this.scheduleWrite();
                }
            });
        });
    }

    private async writeRecords(now: Instant): Promise<boolean> {
        this.lastWriteAt = now;
        const lease = await this.currentLease(now);
        if (lease === undefined) {
            this.journal.log("streams-recorded", { streams: 0, written: false, detail: "The store granted no lease." });
            return false;
        }
        const key = streamKeys.records(this.options.name, this.startedAt);
        const records = this.records.newest(maxStored.records, maxStored.bytes, now);
        this.writtenCount = this.addedCount;
        const value = pack(records);
        const res = await this.store.commit({ expected: [], puts: [{ key, value, lease }], removes: [] }, "streams");
        const isWritten = res.toMaybe().extract()?.kind === "committed";
        if (!isWritten) {
            this.lease = undefined;
        }
        this.journal.log("streams-recorded", { streams: records.length, written: isWritten });
        return isWritten;
    }

    /** A lease that lasts for the lifetime of the newest stream. */
    private async currentLease(now: Instant): Promise<LeaseId | undefined> {
        if (this.lease === undefined || this.lease.deadline < after(now, streamLifetimeMs)) {
            const res = await this.store.grantLease(2 * streamLifetimeMs);
            this.lease = res.toMaybe().extract();
        }
        return this.lease?.id;
    }

    /** As conductor, writes which versions and services were in force when, after adding what is stored. */
    private async writeHistoryWhenDue(): Promise<void> {
        const claim = this.conductor.term.currentClaim;
        if (this.hasUnwrittenHistory && claim !== undefined && await this.readStored()) {
            this.hasUnwrittenHistory = false;
            const res = await this.store.commit({
                expected: [{ key: jobKeys.claim, revision: claim.fence }],
                puts: [{ key: streamKeys.history, value: pack(this.history.document) }],
                removes: [],
            }, "streams");
            const isWritten = res.toMaybe().extract()?.kind === "committed";
            this.hasUnwrittenHistory ||= !isWritten;
            this.journal.log("history-recorded", { subjects: this.history.subjects.length, written: isWritten });
        }
        await sleepUntil(this.clock, after(this.clock.now(), historyIntervalMs));
    }

    /** Reads the stored records and history unless that was done just now; false when the store does not answer in time. */
    private async readStored(): Promise<boolean> {
        if (this.storedAt !== undefined && this.clock.now() - this.storedAt < readTtlMs) {
            return true;
        }
        this.reading ??= this.readRange().finally(() => {
            this.reading = undefined;
        });
        const timeout = sleepUntil(this.clock, after(this.clock.now(), lookupTimeoutMs)).then(() => false);
        return await Promise.race([this.reading, timeout]);
    }

    private async readRange(): Promise<boolean> {
        const startedAt = this.clock.now();
        const items = (await this.store.range(streamKeys.prefix, "streams")).toMaybe().extract()?.items;
        if (items === undefined) {
            return false;
        }
        const records = new Map<string, StreamRecord>();
        for (const item of items) {
            this.applyStored(item, records);
        }
        const keys = new Set(items.map(({ key }) => key));
        this.unreadable.forEach((unused, key) => keys.has(key) || this.unreadable.delete(key));
        this.stored = records;
        this.storedAt = startedAt;
        return true;
    }

    private applyStored({ key, value, revision }: StoredItem, records: Map<string, StreamRecord>): void {
        if (key === streamKeys.history) {
            decodeHistory(value).ifRight(document => this.history.merge(document)).ifLeft(detail =>
                this.logUnreadable(key, revision, detail)
            );
            return;
        }
        const oldest = after(this.clock.now(), -streamLifetimeMs);
        decodeRecords(value).ifLeft(detail => this.logUnreadable(key, revision, detail)).ifRight(stored => {
            for (const record of stored) {
                const entry = this.view.directory.get(record.target);
                if (record.startedAt > oldest && (entry === undefined || !isContradictedBy(record, entry))) {
                    records.set(record.stream, record);
                }
            }
        });
    }

    /** Logs once for each revision that a stored value is left out. */
    private logUnreadable(key: string, revision: KeyRevision, detail: string): void {
        if (this.unreadable.get(key) !== revision) {
            this.unreadable.set(key, revision);
            this.journal.log("stored-value-unreadable", { key, revision, detail: detail.slice(0, maxDetailLength) });
        }
    }
}

const servicePrefix = "service ";

function serviceSubject(service: ServiceId): string {
    return `${servicePrefix}${service}`;
}

function routeSubject(host: string, prefix: string): string {
    return `route ${host}${prefix}`;
}
