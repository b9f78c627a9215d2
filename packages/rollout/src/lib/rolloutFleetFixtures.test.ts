/** Builders of a few hosts in one process, with a network between them and targets that the test counts requests of. */

import {
    after,
    asId,
    type Clock,
    type ConfigRevision,
    type ForwardedCall,
    type ForwardOutcome,
    type GroupId,
    type HostId,
    type Incarnation,
    type Instant,
    type Job,
    type JobId,
    type KeyValueFailure,
    type LeaseId,
    type OperatorView,
    type OrganisationId,
    type PeerHandler,
    type PeerNetwork,
    type PeerRequestName,
    problem,
    type RateLimitStatement,
    type RewardCallId,
    type Route,
    type RouteConfig,
    type RouteId,
    type RouteKind,
    type Scaling,
    type ServiceId,
    sleepUntil,
    type StoredChanges,
    type StoreLease,
    type StreamTakeUp,
    type TargetEntryView,
    type TargetId,
    type TaskId,
    type TaskRunOutcome,
    type WeightVersion,
    type ZoneId,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type CallAnswer } from "./CallAnswer.js";
import { type Journal, type JournalValue, noopJournal } from "./Journal.js";
import { MemoryTransactionalStore } from "./MemoryStore.test.js";
import { RolloutHost, type RolloutPorts } from "./RolloutHost.js";
import { defaultRolloutSettings, type RolloutSettings } from "./RolloutSettings.js";

/** A store whose leases run on the fleet's clock, and whose watches wait. */
export class FleetStore extends MemoryTransactionalStore {
    constructor(private readonly clock: Clock) {
        super();
    }

    override async grantLease(): Promise<Either<KeyValueFailure, StoreLease>> {
        return Right({ id: "lease" as LeaseId, deadline: after(this.clock.now(), 60_000) });
    }

    override async renewLease(id: LeaseId): Promise<Either<KeyValueFailure, StoreLease | undefined>> {
        return Right({ id, deadline: after(this.clock.now(), 60_000) });
    }

    override async changes(): Promise<Either<KeyValueFailure, StoredChanges>> {
        await sleepUntil(this.clock, after(this.clock.now(), 500));
        return super.changes();
    }
}

/** A request that reached a target. */
export interface Arrival {
    readonly target: TargetId;
    readonly path: "send" | "run" | "order" | "report";
    readonly host: HostId;
    readonly id: string;
    /** The forwarded call, on the path "send". */
    readonly call: ForwardedCall | undefined;
    /** The organisation that the target is told, with a call or a run. */
    readonly organisation: OrganisationId | undefined;
    readonly entry: TargetEntryView;
    readonly at: Instant;
}

/** How a target answers; the outcome of a call or run follows after `ms`. */
export interface TargetBehaviour {
    readonly ms: number;
    readonly rateLimit: RateLimitStatement;
    /** Whether each of its answers says that it is leaving. */
    readonly isLeaving?: boolean;
    /** The outcome of a call, or what decides it at its end. */
    readonly call?: ForwardOutcome | (() => ForwardOutcome | undefined);
    readonly run?: TaskRunOutcome;
    /** Whether a stream breaks off after its head. */
    readonly breaksOff?: boolean;
    /** The bytes of a stream of events; without them a stream is one byte of no known type. */
    readonly events?: string;
}

/** A line of a host's journal. */
export interface JournalLine {
    readonly event: string;
    readonly fields: Readonly<Record<string, JournalValue>>;
}

/** What new connections get at a host that is cut off from all targets. */
export type TargetCut = "no answer" | "refused";

/** Milliseconds after which an attempt to connect that gets no answer is given up. */
const connectTimeoutMs = 800;

export interface FleetOptions {
    readonly hosts: number;
    /** The targets, each time that they are listed. */
    readonly targets: readonly TargetEntryView[] | (() => readonly TargetEntryView[]);
    /** The newest version of the model; the engines report 1. */
    readonly version?: number;
    readonly behaviour: (target: TargetId, arrival: Arrival) => TargetBehaviour;
    /** How connections of a host to all targets fail at this time, if they do. */
    readonly cutOf?: (host: HostId) => TargetCut | undefined;
    /** The configuration, each time that it is read; the default is a fixed one without organisations. */
    readonly configOf?: (base: RouteConfig) => RouteConfig;
    /** Whether a host cannot read the operators' and targets' documents at this time. */
    readonly isStoreCut?: (host: HostId) => boolean;
    /** The store of an earlier fleet, whose hosts were all lost. */
    readonly store?: FleetStore;
    /** Number of hosts without callers, which start a second after the others. */
    readonly lateHostsWithoutCallers?: number;
    readonly settings?: Partial<RolloutSettings>;
    /** Ports beside those of the fleet. */
    readonly ports?: Pick<RolloutPorts, "duties" | "timeOfDay">;
    /** Limits and prices of the engines, where the hosts order them through the port. */
    readonly scaling?: Scaling;
}

export interface Fleet {
    readonly hosts: readonly RolloutHost[];
    readonly arrivals: Arrival[];
    readonly lines: JournalLine[];
    readonly store: FleetStore;
    /** Cuts the links of a host to all others, or heals them. */
    readonly setCut: (host: number, isCut: boolean) => void;
    readonly conductor: () => RolloutHost | undefined;
    readonly call: (host: number, options?: CallOptions) => Promise<CallAnswer>;
    readonly submit: (job: Job) => Promise<string>;
    /** Lets no host answer requests of this name, as hosts of a build that does not have them. */
    readonly setUnhandled: (name: PeerRequestName) => void;
    /** Sends a request from one host to another, as the peer network does. */
    readonly askPeer: PeerNetwork["ask"];
    readonly pause: (ms: number) => Promise<void>;
    readonly stop: () => void;
}

export interface CallOptions {
    readonly path?: string;
    readonly body?: string;
    readonly headers?: readonly string[];
    readonly caller?: string;
    readonly organisation?: OrganisationId;
    readonly kind?: RouteKind;
    readonly timeoutMs?: number;
    readonly callerGone?: AbortSignal;
    readonly id?: string;
    readonly takeUp?: StreamTakeUp;
}

export const plainService = asId<ServiceId>("plain");
export const engineService = asId<ServiceId>("engines");

export function targetFixture(name: string, service: ServiceId, slots = 6): TargetEntryView {
    const models = service === engineService ? [{ model: "m", version: 1 as WeightVersion }] : [];
    return {
        target: asId<TargetId>(name),
        service,
        address: "10.0.0.1:80",
        zone: asId<ZoneId>("z"),
        slots,
        leaving: false,
        incarnation: 1 as Incarnation,
        models,
    };
}

/** A job of `size` tasks, with a reward call each if `hasRewards`. */
export function fleetJobFixture(id: string, size: number, hasRewards = false): Job {
    return {
        id: asId<JobId>(id),
        host: "h",
        path: "/jobs/",
        submittedAt: Date.now() as Instant,
        step: 0,
        model: "m",
        minVersion: 1 as WeightVersion,
        targetGroups: 1,
        tasks: Array.from({ length: size }, (unused, nth) => ({
            id: asId<TaskId>(`${id}-${nth}`),
            group: asId<GroupId>(`${id}-${nth >> 2}`),
            path: "/jobs/",
            headers: {},
            body: new Uint8Array([nth]),
            tokens: 10,
            expectedTokens: undefined,
            reward: hasRewards
                ? { id: asId<RewardCallId>(`${id}-r${nth}`), host: "h", path: "/calls/", body: new Uint8Array([1]) }
                : undefined,
        })),
    };
}

function routeFixture(kind: RouteKind, prefix: string, service: ServiceId): Route {
    return {
        id: asId<RouteId>(kind),
        host: "h",
        prefix,
        kind,
        services: [{ service, weight: 1 }],
        timeoutMs: 1500,
        targetLatencyMs: 180,
        priority: 1,
        maxAttempts: 2,
        resumable: false,
        taskTtlMs: 60_000,
        jobTargetMs: 30_000,
        singleVersion: false,
    };
}

const callPrefixes: Record<Exclude<RouteKind, "jobs">, string> = {
    "idempotent": "/calls/",
    "non-idempotent": "/once/",
    "streaming": "/streams/",
};

/** Path of the streams that callers may take up. */
export const resumablePrefix = "/resumable/";

/** Starts hosts that share a store and targets, and resolves once one of them conducts and all others follow it. */
export async function startFleet(
    clock: Clock,
    {
        hosts: size,
        targets,
        version,
        behaviour,
        cutOf,
        configOf = base => base,
        isStoreCut = () => false,
        store = new FleetStore(clock),
        lateHostsWithoutCallers = 0,
        settings,
        ports,
        scaling,
    }: FleetOptions,
): Promise<Fleet> {
    const listed = (): readonly TargetEntryView[] => typeof targets === "function" ? targets() : targets;
    const isFirstStart = !store.hasBeenWritten;
    const ids = Array.from({ length: size }, (unused, nth) => asId<HostId>(`h${nth}`));
    const handlers = new Map<HostId, Map<string, PeerHandler<PeerRequestName>>>();
    const cut = new Set<HostId>();
    const unhandled = new Set<string>();
    const arrivals: Arrival[] = [];
    const lines: JournalLine[] = [];
    const hostsById = new Map<HostId, RolloutHost>();
    const pause = (ms: number): Promise<void> => sleepUntil(clock, after(clock.now(), ms));

    const createPeers = (self: HostId): PeerNetwork => {
        const own = new Map<string, PeerHandler<PeerRequestName>>();
        handlers.set(self, own);
        return {
            handle: (name: string, handler: PeerHandler<PeerRequestName>) => own.set(name, handler),
            setAddress: () => undefined,
            removeAddress: () => undefined,
            onLinkEnd: () => undefined,
            describe: () => [],
            close: async () => undefined,
            ask: async (host: HostId, name: string, ask: never, deadline: Instant) => {
                await pause(1);
                const handler = handlers.get(host)?.get(name);
                const isCut = (): boolean => cut.has(self) || cut.has(host);
                if (handler === undefined || isCut()) {
                    await sleepUntil(clock, deadline);
                    return Left({ reason: "no-answer", detail: "cut" });
                }
                if (unhandled.has(name)) {
                    return Right(Left(problem("not-found", `The peer does not answer "${name}".`)));
                }
                const answer = await Promise.race([handler(ask, self), sleepUntil(clock, deadline)]);
                return answer === undefined || isCut()
                    ? Left({ reason: "no-answer", detail: "late" })
                    : Right(answer);
            },
        } as unknown as PeerNetwork;
    };

    /** Counts a request at a target, and reports the head of its response half-way. */
    const reach = async (
        host: HostId,
        entry: TargetEntryView,
        path: Arrival["path"],
        id: string,
        call?: ForwardedCall,
        organisation = call?.organisation,
    ): Promise<TargetBehaviour> => {
        const sentAt = clock.now();
        await pause(1);
        const arrival = { target: entry.target, path, host, id, call, organisation, entry, at: clock.now() };
        arrivals.push(arrival);
        const does = behaviour(entry.target, arrival);
        await pause(does.ms / 2);
        hostsById.get(host)!.recordResponse({
            target: entry,
            sentAt,
            rateLimit: does.rateLimit,
            isLeaving: does.isLeaving === true,
        });
        await pause(does.ms / 2);
        return does;
    };
    /** The outcome of `run`, or "cancelled" once `signal` is aborted. */
    const unlessAborted = <Outcome>(
        run: Promise<Outcome>,
        signal: AbortSignal,
    ): Promise<Outcome | { readonly kind: "cancelled"; }> =>
        new Promise(resolve => {
            const onAbort = (): void => resolve({ kind: "cancelled" });
            signal.addEventListener("abort", onAbort);
            void run.then(outcome => {
                signal.removeEventListener("abort", onAbort);
                resolve(outcome);
            });
        });
    /** Waits for a connection of a host to a target; an outcome says why there is none. */
    const connect = async (host: HostId): Promise<ForwardOutcome | undefined> => {
        const mode = cutOf?.(host);
        if (mode !== undefined) {
            await pause(mode === "refused" ? 1 : connectTimeoutMs);
            return { kind: "not-run", detail: mode, reached: false };
        }
        return undefined;
    };
    const answered: ForwardOutcome = {
        kind: "answered",
        head: { status: 200, signature: "s", headers: [] },
        body: new Uint8Array(),
    };

    const routes = [
        ...Object.entries(callPrefixes).map(([kind, prefix]) => routeFixture(kind as RouteKind, prefix, plainService)),
        routeFixture("jobs", "/jobs/", engineService),
        {
            ...routeFixture("streaming", resumablePrefix, engineService),
            id: asId<RouteId>("resumable"),
            resumable: true,
        },
    ];
    const config = {
        revision: 1 as ConfigRevision,
        routes,
        services: [plainService, engineService].map(id => ({
            id,
            healthPath: "/",
            maxConnections: 100,
            engine: id === engineService ? { slots: 6, memoryTokens: 100_000, models: ["m"] } : undefined,
            scaling: id === engineService ? scaling : undefined,
        })),
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
    const readOperator = (): OperatorView => ({
        config: configOf(config),
        versions: version === undefined ? [] : [{ model: "m", version: version as WeightVersion }],
        retiring: [],
    });
    const unlessStoreCut = <Value>(host: HostId, read: () => Value): Either<KeyValueFailure, Value> =>
        isStoreCut(host) ? Left({ applied: "no", detail: "cut" }) : Right(read());
    for (const self of ids) {
        const journal: Journal = {
            log: (event, fields = {}) => {
                lines.push({ event, fields: { host: self, ...fields } });
                noopJournal.log(event, fields);
            },
        };
        const host = new RolloutHost(
            {
                self,
                name: self,
                zone: asId<ZoneId>("z"),
                seeds: ids.filter(id => id !== self),
                hasCallers: ids.indexOf(self) < size - lateHostsWithoutCallers,
                isFirstStart,
            },
            { ...defaultRolloutSettings, ...settings },
            {
                ...ports,
                store,
                documents: {
                    readOperator: async () => unlessStoreCut(self, readOperator),
                    awaitOperatorChange: async waitMs => {
                        await pause(waitMs / 4);
                        return unlessStoreCut(self, readOperator);
                    },
                    readTargets: async () => unlessStoreCut(self, listed),
                    confirmRetired: async () => Right(undefined),
                },
                engines: {
                    run: async (entry, { task, organisation, sendDeadline }, onEvent, signal) => {
                        const run = async (): Promise<TaskRunOutcome> => {
                            if (clock.now() >= sendDeadline) {
                                return { kind: "not-sent" };
                            }
                            const { run: outcome } = await reach(self, entry, "run", task.id, undefined, organisation);
                            onEvent({ id: 1, data: "text" }, 1 as WeightVersion);
                            return outcome ?? { kind: "completed" };
                        };
                        return unlessAborted(run(), signal);
                    },
                    order: async entry => {
                        await reach(self, entry, "order", "order");
                        return "accepted";
                    },
                    report: async entry => {
                        await reach(self, entry, "report", "report");
                        const versions = [{ model: "m", version: 1 as WeightVersion }];
                        const { incarnation } = listed().find(({ target }) => target === entry.target) ?? entry;
                        return Right({ isBusy: false, orders: 0, versions, incarnation });
                    },
                    closeUnlisted: () => undefined,
                },
                targets: {
                    canConnect: async () => await connect(self) === undefined,
                    send: async (entry, call, { streamHandler, onSent }, signal) => {
                        const send = async (): Promise<ForwardOutcome> => {
                            const failure = await connect(self);
                            if (failure !== undefined) {
                                return failure;
                            }
                            onSent?.();
                            const does = await reach(self, entry, "send", call.id, call);
                            const { call: outcome, breaksOff, events } = does;
                            if (streamHandler !== undefined && outcome === undefined) {
                                const headers = events === undefined ? [] : ["content-type", "text/event-stream"];
                                streamHandler.onHead({ status: 200, signature: "s", headers });
                                await streamHandler.onChunk(Buffer.from(events ?? "1"));
                                return breaksOff === true
                                    ? { kind: "unknown", detail: "reset", isConnectionLost: true }
                                    : { kind: "streamed" };
                            }
                            return (typeof outcome === "function" ? outcome() : outcome) ?? answered;
                        };
                        return unlessAborted(send(), signal);
                    },
                },
                peers: createPeers(self),
                clock,
                random: Math.random,
                journal,
            },
        );
        hostsById.set(self, host);
    }
    const hosts = [...hostsById.values()];
    const conductor = (): RolloutHost | undefined => hosts.find(host => host.conductor.isConductor);
    const firstHosts = hosts.slice(0, size - lateHostsWithoutCallers);
    firstHosts.forEach(host => host.start());
    if (firstHosts.length < size) {
        await pause(1500);
        hosts.slice(firstHosts.length).forEach(host => host.start());
    }
    const isReady = ({ view, conductor: { conductor: known } }: RolloutHost): boolean =>
        view.routes !== undefined && known !== undefined;
    while (conductor() === undefined || !hosts.every(isReady)) {
        await pause(20);
    }
    let serial = 0;
    return {
        hosts,
        arrivals,
        lines,
        store,
        conductor,
        pause,
        setCut: (host, isCut) => void (isCut ? cut.add(ids[host]!) : cut.delete(ids[host]!)),
        call: (
            host,
            {
                path,
                body = "",
                headers = [],
                caller = "c",
                kind = "idempotent",
                timeoutMs = 1500,
                callerGone,
                ...named
            } = {},
        ) => {
            const fullPath = path ?? callPrefixes[kind as keyof typeof callPrefixes];
            const { routes: table } = hosts[host]!.view;
            const call = {
                id: named.id ?? `c${++serial}`,
                caller,
                method: "POST",
                path: fullPath,
                host: "h",
                headers,
                body: Buffer.from(body),
                organisation: named.organisation,
                takeUp: named.takeUp,
            };
            const handler = kind === "streaming"
                ? { onHead: () => undefined, onChunk: async () => undefined }
                : undefined;
            const deadline = after(clock.now(), timeoutMs);
            const gone = callerGone ?? new AbortController().signal;
            return hosts[host]!.forwarder.forward(table!.find("h", fullPath)!, call, deadline, handler, gone);
        },
        setUnhandled: name => unhandled.add(name),
        askPeer: createPeers(asId<HostId>("outside")).ask,
        submit: async job => (await hosts[0]!.jobCalls.submit(job, after(clock.now(), 2000))).outcome,
        stop: () => hosts.forEach(host => host.stop()),
    };
}
