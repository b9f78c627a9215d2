/** Inputs and outputs of the membership state machine. */

import { type HostId, type Instant } from "../ids.js";
import { type Fact } from "./FactMap.js";
import { type GossipMessage, type MemberRecord } from "./MemberRecord.js";
import { type Contact } from "./MemberTable.js";

/** The whole view of a host; two hosts exchange theirs when their digests differ. */
export interface SyncMessage extends GossipMessage {
    readonly members: readonly MemberRecord[];
}

/** An event at a host. */
export type MembershipEvent =
    /** The time `Membership.wakeAt` has come. */
    | { readonly kind: "wake"; }
    /** The platform's list was read. */
    | { readonly kind: "listed"; readonly contacts: readonly Contact[]; }
    /** A message of another host was received. */
    | { readonly kind: "received"; readonly message: GossipMessage; }
    /** `answer` is undefined when the probe got no response. */
    | { readonly kind: "probe-ended"; readonly id: number; readonly answer: GossipMessage | undefined; }
    /** `reached` is undefined when the relay itself did not respond. */
    | { readonly kind: "relay-ended"; readonly id: number; readonly reached: boolean | undefined; }
    /** The view of another host was received. */
    | { readonly kind: "synced"; readonly message: SyncMessage; }
    | { readonly kind: "link-ended"; readonly host: HostId; }
    /** Facts arose at this host or were received from another zone. */
    | { readonly kind: "raise"; readonly facts: readonly Fact[]; }
    /** This host begins its graceful shutdown. */
    | { readonly kind: "leave"; };

/** An action for a host to take. */
export type MembershipDecision =
    /** Set the address of a host, or remove it if undefined. */
    | { readonly kind: "address"; readonly host: HostId; readonly address: string | undefined; }
    | {
        readonly kind: "probe";
        readonly id: number;
        readonly host: HostId;
        readonly message: GossipMessage;
        readonly deadline: Instant;
    }
    /** Request the host `via` to probe `host`. */
    | {
        readonly kind: "relay";
        readonly id: number;
        readonly via: HostId;
        readonly host: HostId;
        readonly message: GossipMessage;
        readonly deadline: Instant;
    }
    | { readonly kind: "gossip"; readonly host: HostId; readonly message: GossipMessage; }
    | { readonly kind: "sync"; readonly host: HostId; readonly message: SyncMessage; readonly deadline: Instant; }
    | { readonly kind: "members-changed"; readonly live: readonly HostId[]; }
    | { readonly kind: "facts-raised"; readonly facts: readonly Fact[]; };
