/**
 * The stored record of use: the newest window whose counts are fixed, and the fixed windows that are not known to be reported. It
 * is written before a report is sent, so that a new holder of the duty repeats a report that its predecessor may have sent.
 */

import { type Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { type UsageReport } from "../ports/DutyPlatform.js";

/** Key of the record in the store. */
export const usageRecordKey = "tamarack/duties/usage";

/** Upper limit of the unreported windows that are kept. */
const maxUnreported = 60;

/** Upper limit of the record in bytes; in base64 it stays below the store's limit of 1 MiB for a value. */
const maxRecordBytes = 700_000;

const recordSchema = z.looseObject({
    fixedTo: z.number().int(),
    unreported: z.array(z.looseObject({
        window: z.number().int(),
        counts: z.record(z.string(), z.number().int().nonnegative()),
    })),
});

/** The record of use. */
export interface UsageRecord {
    /** The newest window whose counts do not change any more; all earlier ones are fixed as well. */
    readonly fixedTo: number;
    /** The fixed windows that are not known to be reported, in their order. */
    readonly unreported: readonly UsageReport[];
}

/** A record with windows added, and the number of windows that had to be dropped for them or were skipped. */
export interface FixedWindows {
    readonly record: UsageRecord;
    readonly dropped: number;
}

/** Decodes a stored record, or tells why it cannot be read. Fields of later builds are kept. */
export function decodeUsageRecord(value: Uint8Array): Either<string, UsageRecord> {
    let input: unknown;
    try {
        input = JSON.parse(new TextDecoder().decode(value));
    }
    catch (err) {
        return Left(String(err));
    }
    const read = recordSchema.safeParse(input);
    // The input itself is kept, as the schema drops the name "__proto__", which an organisation might have.
    return read.success ? Right(input as UsageRecord) : Left(z.prettifyError(read.error));
}

export function encodeUsageRecord(record: UsageRecord): Uint8Array {
    return new TextEncoder().encode(JSON.stringify(record));
}

/** Adds windows that follow the newest fixed one, and removes those in `reported`. */
export function fixWindows(
    record: UsageRecord,
    added: readonly UsageReport[],
    reported: ReadonlySet<number>,
): FixedWindows {
    const all = [...record.unreported.filter(({ window }) => !reported.has(window)), ...added];
    const fixedTo = added.at(-1)?.window ?? record.fixedTo;
    const skipped = fixedTo - record.fixedTo - added.length;
    let next: UsageRecord = { ...record, fixedTo, unreported: all.slice(-maxUnreported) };
    while (next.unreported.length > 1 && encodeUsageRecord(next).length > maxRecordBytes) {
        next = { ...next, unreported: next.unreported.slice(1) };
    }
    return { record: next, dropped: skipped + all.length - next.unreported.length };
}

/** The first window to fix after `fixedTo` if `newest` is the last one: only as many as are kept. */
export function firstWindowToFix(fixedTo: number, newest: number): number {
    return Math.max(fixedTo + 1, newest - maxUnreported + 1);
}
