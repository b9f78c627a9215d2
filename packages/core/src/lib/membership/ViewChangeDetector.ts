/** Detects changes of a host's view of its zone: the addresses of hosts, and the hosts that can be assigned roles. */

import { type HostId } from "../ids.js";
import { type MemberRecord } from "./MemberRecord.js";
import { type MembershipDecision } from "./membershipMessages.js";
import { type MemberTable } from "./MemberTable.js";

/** Compares a view with the one at the last call. */
export class ViewChangeDetector {
    private addresses: ReadonlyMap<HostId, string> = new Map();
    private live = "";
    private revision = -1;
    private self: MemberRecord | undefined;

    /** Returns the decisions that announce what has changed since the last call. */
    detectChanges(
        table: MemberTable,
        self: MemberRecord,
        live: () => readonly HostId[],
    ): readonly MembershipDecision[] {
        if (table.revision === this.revision && self === this.self) {
            return [];
        }
        this.revision = table.revision;
        this.self = self;
        return [...this.diffAddresses(table.addresses()), ...this.diffLive(live())];
    }

    private diffAddresses(addresses: ReadonlyMap<HostId, string>): readonly MembershipDecision[] {
        const removed = [...this.addresses.keys()].filter(host => !addresses.has(host));
        const changed = [...addresses].filter(([host, address]) => this.addresses.get(host) !== address);
        this.addresses = addresses;
        return [
            ...removed.map(host => ({ kind: "address", host, address: undefined }) as const),
            ...changed.map(([host, address]) => ({ kind: "address", host, address }) as const),
        ];
    }

    private diffLive(live: readonly HostId[]): readonly MembershipDecision[] {
        if (live.join() === this.live) {
            return [];
        }
        this.live = live.join();
        return [{ kind: "members-changed", live }];
    }
}
