/** The context of every task of a daemon: host identity, clock, ports and the messages between tasks. */

import { type ClientGuard } from "@tamarackpath/adapters";
import {
    type Clock,
    type ConfigDocument,
    type ConfigRegistry,
    type EnginePort,
    type Fact,
    type FactMap,
    type HostId,
    type HostList,
    type HostListSnapshot,
    type Incarnation,
    type Instant,
    type KeyValue,
    type LeavingTarget,
    type LeavingTargetRegistry,
    type PeerNetwork,
    type PlainServicePort,
    type ScorerPort,
    type ServiceId,
    type TargetView,
    type WeightVersion,
    type ZoneId,
} from "@tamarackpath/core";
import type Emittery from "emittery";
import { type Log } from "./Log.js";
import { type Metrics } from "./Metrics.js";

/** Messages between the tasks of one daemon. */
export interface DaemonEvents {
    /** A configuration document is in force. */
    readonly configApplied: ConfigDocument;
    /** The platform's host list was read. */
    readonly hostListRead: HostListSnapshot;
    /** The set of live hosts of the zone changed. */
    readonly membersChanged: readonly HostId[];
    /** This host's view of a target changed. */
    readonly targetChanged: TargetView;
    /** A trainer published a weight version. */
    readonly versionPublished: { readonly service: ServiceId; readonly version: WeightVersion; };
    /** Facts to raise on this host and to propagate to the other hosts. */
    readonly raiseFacts: readonly Fact[];
    /** Facts that are new to this host, including its own. */
    readonly factsRaised: readonly Fact[];
    /** An incarnation of a target is leaving; sent when this host first receives the fact. */
    readonly targetLeaving: LeavingTarget;
    /** A graceful shutdown began. */
    readonly stopping: undefined;
}

/** The typed messages between tasks. */
export type DaemonBus = Emittery<DaemonEvents>;

/** Ports of a daemon. */
export interface Ports {
    readonly keyValue: KeyValue;
    readonly hostList: HostList;
    readonly engine: EnginePort;
    readonly plain: PlainServicePort;
    readonly scorer: ScorerPort;
    readonly peers: PeerNetwork;
}

/** Shared dependencies of the tasks. */
export interface Context {
    readonly host: HostId;
    readonly zone: ZoneId;
    readonly incarnation: Incarnation;
    readonly clock: Clock;
    readonly random: () => number;
    readonly bus: DaemonBus;
    readonly ports: Ports;
    readonly config: ConfigRegistry;
    /** Facts that the hosts of all zones exchange by gossip. Only the event "raiseFacts" raises them. */
    readonly facts: FactMap;
    readonly leaving: LeavingTargetRegistry;
    readonly metrics: Metrics;
    /** Bounds what callers make this process hold. */
    readonly guard: ClientGuard;
    /** A log whose messages start with `prefix`. */
    log(prefix: string): Log;
}

/** A long-running part of the daemon that owns its state. */
export interface Task {
    readonly name: string;
    start(): Promise<void> | void;
    /** Part of a graceful shutdown: accepts no new work and resolves when running work has ended, or at `deadline`. */
    drain?(deadline: Instant): Promise<void>;
    stop(): Promise<void> | void;
    /** State for the dump; must not contain secrets. */
    dump(): unknown;
}
