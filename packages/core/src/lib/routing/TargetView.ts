/** One host's view of a target. All of it may be wrong or out of date, so no guarantee may depend on it. */

import { type Incarnation, type Instant, type PoolId, type TargetId, type WeightVersion, type ZoneId } from "../ids.js";
import { type TargetKind } from "../ports/HostList.js";

/** A host's view of one target. */
export interface TargetView {
    readonly target: TargetId;
    readonly kind: TargetKind;
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly url: string;
    readonly incarnation: Incarnation;
    /** True once any source has reported that this incarnation leaves; it is never reset. */
    readonly leaving: boolean;
    /** True while the target is missing from the platform's list; unlike `leaving`, this may be reset. */
    readonly unlisted?: boolean;
    /** False while the target does not answer. */
    readonly reachable: boolean;
    /** Requests that this host has in flight there. */
    readonly inFlight: number;
    /** Requests in flight there as last reported by other hosts. */
    readonly inFlightElsewhere: number;
    readonly slots: number;
    /** Weight version that an engine last reported; its weights are complete only if `versionWhole`. */
    readonly version: WeightVersion | undefined;
    readonly versionWhole: boolean;
    /** Moving average of milliseconds per token or per call. */
    readonly paceMs: number | undefined;
    readonly seenAt: Instant;
}

/** Whether the target may get new work. */
export function acceptsWork(view: TargetView): boolean {
    return !view.leaving && view.unlisted !== true && view.reachable && (view.kind !== "engine" || view.versionWhole);
}
