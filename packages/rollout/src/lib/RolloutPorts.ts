/** What a host needs from outside: the ports that adapters implement, and how the host is identified. */

import {
    type CallTargets,
    type Clock,
    type DutyPlatform,
    type HostId,
    type PeerNetwork,
    type PlatformDocuments,
    type RolloutEngines,
    type TransactionalStore,
    type ZoneId,
} from "@tamarackpath/core";
import { type Journal } from "./Journal.js";

/** The ports of a host. */
export interface RolloutPorts {
    readonly store: TransactionalStore;
    readonly documents: PlatformDocuments;
    readonly engines: RolloutEngines;
    readonly targets: CallTargets;
    readonly peers: PeerNetwork;
    readonly clock: Clock;
    readonly random: () => number;
    readonly journal: Journal;
    /** The platform's calls that one host makes at a time; undefined where the settings have none. */
    readonly duties?: DutyPlatform | undefined;
    /** Unix milliseconds; the process's own time of day by default. */
    readonly timeOfDay?: () => number;
}

/** Identity of a host. */
export interface RolloutIdentity {
    /** Address of its peer socket, which is its id among its peers. */
    readonly self: HostId;
    /** The host's name in the operators' documents and in logs. */
    readonly name: string;
    readonly zone: ZoneId;
    readonly seeds: readonly HostId[];
    /** Whether callers connect to it; hosts without callers are preferred as conductor. */
    readonly hasCallers: boolean;
    /** Whether no host of this system has ever run before. */
    readonly isFirstStart: boolean;
}
