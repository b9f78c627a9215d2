/**
 * The port to the other entry hosts, which are addressed by host id. A request to a peer that does not respond fails at
 * its deadline; the peer may have handled it, unless the reason is "not-sent".
 */

import { type Either } from "purify-ts";
import { type HostId, type Instant } from "../ids.js";
import { type Problem } from "../Problem.js";
import { type PeerRequests } from "./PeerRequests.js";

/** Why a request got no response. "not-sent" means that no byte of it was sent. */
export interface PeerFailure {
    readonly reason: "not-sent" | "no-answer";
    readonly detail: string;
}

/** Name of a request between peers. */
export type PeerRequestName = keyof PeerRequests;

/** Handles one kind of request, sent by the host `from`. */
export type PeerHandler<Name extends PeerRequestName> = (
    ask: PeerRequests[Name]["ask"],
    from: HostId,
) => Promise<Either<Problem, PeerRequests[Name]["answer"]>>;

/** Sends requests to the other entry hosts and handles theirs. */
export interface PeerNetwork {
    /** Sets the address of a host; it replaces an earlier one. */
    setAddress(host: HostId, address: string): void;
    removeAddress(host: HostId): void;
    /**
     * Sends a request to `host`. The outer Left is a failure of the link, the inner Left a problem that the peer
     * reports.
     */
    ask<Name extends PeerRequestName>(
        host: HostId,
        name: Name,
        ask: PeerRequests[Name]["ask"],
        deadline: Instant,
    ): Promise<Either<PeerFailure, Either<Problem, PeerRequests[Name]["answer"]>>>;
    /** Registers the handler of one kind of request. */
    handle<Name extends PeerRequestName>(name: Name, handler: PeerHandler<Name>): void;
    /** Calls `listener` when an established link ends and this host has not closed it. */
    onLinkEnd(listener: (host: HostId) => void): void;
    /** Returns the state of each link, for the dump. */
    describe(): readonly PeerLinkState[];
    close(): Promise<void>;
}

/** State of the link to one peer. */
export interface PeerLinkState {
    readonly host: HostId;
    readonly address: string;
    readonly state: "idle" | "connecting" | "open";
    readonly inFlight: number;
    /** When data was last received from the peer. */
    readonly heardAt: Instant | undefined;
}
