/** What every task of a daemon is given: its identity, its clock, its ports and the messages between tasks. */

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
    /** A configuration document came into force. */
    readonly configApplied: ConfigDocument;
    /** The platform's host list was read. */
    readonly hostListRead: HostListSnapshot;
    /** The set of live hosts of the zone changed. */
    readonly membersChanged: readonly HostId[];
    /** This host's view of a target changed. */
    readonly targetChanged: TargetView;
    /** A trainer published a weight version. */
    readonly versionPublished: { readonly service: ServiceId; readonly version: WeightVersion; };
    /** Facts that are to be told to the other hosts. */
    readonly raiseFacts: readonly Fact[];
    /** Facts that this host did not know before, its own included. */
    readonly factsRaised: readonly Fact[];
    /** An incarnation of a target leaves, as this host just learned. */
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

/** Shared surroundings of the tasks. */
export interface Context {
    readonly host: HostId;
    readonly zone: ZoneId;
    readonly incarnation: Incarnation;
    readonly clock: Clock;
    readonly random: () => number;
    readonly bus: DaemonBus;
    readonly ports: Ports;
    readonly config: ConfigRegistry;
    /** Facts that the hosts of all zones gossip; raised by the event "raiseFacts" alone. */
    readonly facts: FactMap;
    readonly leaving: LeavingTargetRegistry;
    readonly metrics: Metrics;
    /** A log whose messages start with `prefix`. */
    log(prefix: string): Log;
}

/** A long-running part of the daemon that owns its state. */
export interface Task {
    readonly name: string;
    start(): Promise<void> | void;
    /** Part of a graceful shutdown: takes no new work and resolves once its running work ended, or at `deadline`. */
    drain?(deadline: Instant): Promise<void>;
    stop(): Promise<void> | void;
    /** State for the dump; it holds no secrets. */
    dump(): unknown;
}
