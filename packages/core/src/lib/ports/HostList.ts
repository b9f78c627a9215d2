/** The port to the platform's list of live and leaving hosts and targets, which may be out of date. */

import { type Either } from "purify-ts";
import { type HostId, type Incarnation, type PoolId, type TargetId, type ZoneId } from "../ids.js";

/** Kind of a target. */
export type TargetKind = "engine" | "plain" | "scorer";

/** An entry host as the platform lists it. */
export interface ListedHost {
    readonly host: HostId;
    readonly zone: ZoneId;
    /** Address of the peer socket, such as `127.0.0.1:7103`. */
    readonly peerAddress: string;
    readonly leaving: boolean;
}

/** A target as the platform lists it. */
export interface ListedTarget {
    readonly target: TargetId;
    readonly kind: TargetKind;
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly url: string;
    readonly incarnation: Incarnation;
    readonly leaving: boolean;
}

/** One read of the list. */
export interface HostListSnapshot {
    readonly hosts: readonly ListedHost[];
    readonly targets: readonly ListedTarget[];
}

/** Reads the platform's list. */
export interface HostList {
    read(): Promise<Either<string, HostListSnapshot>>;
}
