/** How many targets of a service may be ordered from the platform, and what they cost. */

import { type ZoneId } from "../ids.js";

/** Kind of an ordered target; the platform may take reclaimable ones away at short notice, all of a zone at once. */
export type CapacityKind = "standing" | "reclaimable";

/** Limits and prices of a service's targets. */
export interface Scaling {
    /** Lower and upper limit of the targets in one zone, of both kinds together. */
    readonly minPerZone: number;
    readonly maxPerZone: number;
    /** Milliseconds from an order until the new target serves. */
    readonly startupMs: number;
    /** Price of a reclaimable target as a share of the price of a standing one; undefined if there are none. */
    readonly reclaimablePrice: number | undefined;
    /** Price of a second of a standing target, by zone; the service's targets run in these zones. */
    readonly zonePrices: readonly { readonly zone: ZoneId; readonly price: number; }[];
}
