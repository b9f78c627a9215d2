/**
 * The record of the orders of engines, as the store keeps it: the numbers last ordered by service, zone and kind, and
 * which of them the platform had none of. It is written before an order is sent, so that a new holder of the duty
 * continues from it. Fields that a build does not know are ignored, and fields that it misses have defaults; an entry
 * that cannot be read is left out.
 */

import { type ServiceId, type ZoneId } from "../ids.js";
import { type CapacityKind } from "./Scaling.js";

/** Key of the record. */
export const capacityKey = "tamarack/duties/capacity";

/** What a record's entries are about. */
export interface CapacityTarget {
    readonly service: ServiceId;
    readonly zone: ZoneId;
    readonly kind: CapacityKind;
}

/** A number that was ordered. */
export interface RecordedOrder extends CapacityTarget {
    readonly count: number;
    /** The number that served before. */
    readonly previous: number;
    /** When it was ordered or accepted, in Unix milliseconds. */
    readonly at: number;
    /** Whether the platform is known to have accepted it. */
    readonly isAccepted: boolean;
}

/** A zone and kind that the platform had no more of. */
export interface RecordedBlock extends CapacityTarget {
    /** In Unix milliseconds. */
    readonly until: number;
}

/** The value of the record's key. */
export interface CapacityRecord {
    readonly orders: readonly RecordedOrder[];
    readonly blocked: readonly RecordedBlock[];
}

/** Reads a decoded record; undefined when it is none at all. */
export function readCapacityRecord(value: unknown): CapacityRecord | undefined {
    if (!isObject(value) || !Array.isArray(value["orders"])) {
        return undefined;
    }
    const blocked: unknown = value["blocked"];
    return {
        orders: value["orders"].flatMap(readOrder),
        blocked: Array.isArray(blocked) ? blocked.flatMap(readBlock) : [],
    };
}

function readOrder(value: unknown): readonly RecordedOrder[] {
    const target = readTarget(value);
    if (target === undefined || !isObject(value)) {
        return [];
    }
    const { count, previous = count, at = 0, isAccepted = false } = value;
    return isCount(count) && isCount(previous) && typeof at === "number"
        ? [{ ...target, count, previous, at, isAccepted: isAccepted === true }]
        : [];
}

function readBlock(value: unknown): readonly RecordedBlock[] {
    const target = readTarget(value);
    return target !== undefined && isObject(value) && typeof value["until"] === "number"
        ? [{ ...target, until: value["until"] }]
        : [];
}

function readTarget(value: unknown): CapacityTarget | undefined {
    if (!isObject(value)) {
        return undefined;
    }
    const { service, zone, kind } = value;
    return typeof service === "string" && typeof zone === "string" && (kind === "standing" || kind === "reclaimable")
        ? { service: service as ServiceId, zone: zone as ZoneId, kind }
        : undefined;
}

function isCount(value: unknown): value is number {
    return typeof value === "number" && Number.isInteger(value) && value >= 0;
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null;
}
