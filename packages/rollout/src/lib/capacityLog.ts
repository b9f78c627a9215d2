/** Writes one line for each order of engines, with the inputs that decided it. */

import {
    type CapacityDemand,
    type EngineGroup,
    type KeyRevision,
    type PlannedOrder,
    type ServiceId,
} from "@tamarackpath/core";
import { type Journal } from "./Journal.js";

/** What the planner decided on. */
export interface CapacityLogInputs {
    readonly service: ServiceId;
    /** Fencing token of the holder. */
    readonly fence: KeyRevision;
    readonly slotsPerEngine: number;
    readonly groups: readonly EngineGroup[];
    readonly demand: CapacityDemand | undefined;
    /** Milliseconds since the read of the list of engines began. */
    readonly viewAgeMs: number;
}

/** Logs orders that the record holds and that are about to be sent. */
export function logCapacityOrders(
    journal: Journal,
    orders: readonly PlannedOrder[],
    { service, fence, slotsPerEngine, groups, demand, viewAgeMs }: CapacityLogInputs,
): void {
    const ready = groups.reduce((sum, group) => sum + group.ready, 0);
    for (const { zone, kind, from, to, reason } of orders) {
        const group = groups.find(each => each.zone === zone && each.kind === kind);
        journal.log("capacity-ordered", {
            service,
            zone,
            kind,
            from,
            to,
            reason,
            fence,
            slots: demand?.slots,
            peakSlots: demand?.peakSlots,
            utilisationPercent: 100 * (demand?.slots ?? 0) / Math.max(1, ready * slotsPerEngine),
            late: demand?.isLate,
            ready,
            readyHere: group?.ready ?? 0,
            leavingHere: group?.leaving ?? 0,
            viewAgeMs,
        });
    }
}
