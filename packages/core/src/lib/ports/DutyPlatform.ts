/**
 * The port to the calls to the platform that one host makes at a time. Each call names its holder and carries the fencing
 * token of the holder's claim. Nothing can be read back, so a call without an answer may have taken effect.
 */

import { type CapacityKind } from "../capacity/Scaling.js";
import { type Instant, type OrganisationId, type ServiceId, type ZoneId } from "../ids.js";

/** The requests of each organisation that began to run in one window. */
export interface UsageReport {
    /** Number of the window: it begins at this number times the length of a window after the Unix epoch. */
    readonly window: number;
    readonly counts: Readonly<Record<OrganisationId, number>>;
}

/** Orders that a service has `count` targets of one kind in a zone. */
export interface CapacityOrder {
    readonly service: ServiceId;
    readonly zone: ZoneId;
    readonly kind: CapacityKind;
    /** The number wanted, whatever there is now; a repeated order changes nothing. */
    readonly count: number;
}

/** The holder of the duty as it identifies itself. */
export interface DutyHolder {
    readonly name: string;
    readonly fence: number;
    /** When the call ends, and from when on nothing of it is sent. */
    readonly deadline: Instant;
}

/**
 * How a call ended. "none-available": the zone has no such target at present; "rejected": the platform does not accept
 * the call as it is; "busy": the call was not accepted and may be repeated later.
 */
export type DutyCallEnd = "accepted" | "none-available" | "rejected" | "busy" | "no-answer";

/** Client of the platform's calls for the holder of a duty. */
export interface DutyPlatform {
    reportUsage(report: UsageReport, holder: DutyHolder): Promise<DutyCallEnd>;
    orderCapacity(order: CapacityOrder, holder: DutyHolder): Promise<DutyCallEnd>;
}
