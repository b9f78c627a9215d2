/**
 * The cursor that a trainer presents with each pull: the set of samples that it has received, and the owner that served
 * the last batch. Only the trainer can tell which samples arrived, so the cursor decides which are still to be
 * delivered. The text is bound to the step, its caller and its contents; a checksum detects corruption.
 */

import { type Either, Left, Right } from "purify-ts";
import { type HostId, type WeightVersion } from "../ids.js";
import { hash32 } from "../membership/rendezvous.js";
import { type Finding } from "../Problem.js";
import { countSet, decodeSet, emptySet, encodeSet } from "./SampleSet.js";

/** Identifies one term of ownership of a step. A successor takes a higher number; equal numbers compare by owner. */
export interface Epoch {
    readonly number: number;
    /** The owner's host and incarnation, as formatted by `ownerName`. */
    readonly owner: string;
}

/** The step that a cursor is bound to. */
export interface StepIdentity {
    readonly stepKey: string;
    /** Hash of the step's contents. */
    readonly fingerprint: number;
    readonly sampleCount: number;
}

/** A trainer's progress through a step. */
export interface Cursor {
    readonly epoch: Epoch;
    /** Number of batches received since the step began. */
    readonly batch: number;
    /** Highest weight version of the trainer that the owner had received when it issued the cursor. */
    readonly version: WeightVersion;
    /** Set of the samples received. */
    readonly taken: Uint8Array;
}

interface CursorFields {
    readonly key: string;
    readonly fingerprint: number;
    readonly sampleCount: number;
    readonly epoch: Epoch;
    readonly batch: number;
    readonly version: WeightVersion;
    readonly taken: string;
}

/** Maximum length of a cursor's text without the set of samples. */
const maxFixedTextLength = 2048;
const maxCharactersPerBitmapByte = 2;
const maxShownLength = 40;
const fieldCount = 9;
/** Maximum length of a cursor's text when the size of its step is unknown. */
const maxTextLength = 1_000_000;
const allowedCursor = "a cursor as the last pull returned it";

/** Formats the name of an owner from its host and incarnation. */
export function ownerName(host: HostId, incarnation: number): string {
    return `${host}.${incarnation}`;
}

/** Compares two epochs; negative when `a` is the older one. */
export function compareEpochs(a: Epoch, b: Epoch): number {
    return a.number - b.number || (a.owner < b.owner ? -1 : a.owner > b.owner ? 1 : 0);
}

/** Returns whether the owner with epoch `mine` must give the step up to the owner with epoch `theirs`. */
export function isReplacedBy(mine: Epoch, theirs: Epoch): boolean {
    return theirs.owner !== mine.owner && compareEpochs(theirs, mine) > 0;
}

/** Returns the cursor of a trainer that has received no sample. */
export function firstCursor(sampleCount: number): Cursor {
    return {
        epoch: { number: 0, owner: "" },
        batch: 0,
        version: 0 as WeightVersion,
        taken: emptySet(sampleCount),
    };
}

/** Returns whether two cursors of one step are equal, apart from the trainer's weight version. */
export function isSameCursor(a: Cursor, b: Cursor): boolean {
    return compareEpochs(a.epoch, b.epoch) === 0 && a.batch === b.batch && Buffer.compare(a.taken, b.taken) === 0;
}

/** Encodes a cursor as the opaque text that trainers send back. */
export function encodeCursor(cursor: Cursor, { stepKey, fingerprint, sampleCount }: StepIdentity): string {
    const { epoch, batch, version, taken } = cursor;
    const encodedTaken = encodeSet(taken, sampleCount);
    const fields = [stepKey, fingerprint, sampleCount, epoch.number, epoch.owner, batch, version, encodedTaken];
    const checksum = hash32(JSON.stringify(fields));
    return Buffer.from(JSON.stringify([...fields, checksum])).toString("base64url");
}

/** Decodes a cursor and checks that it belongs to the step `identity`. */
export function decodeCursor(text: string, identity: StepIdentity): Either<Finding, Cursor> {
    const fault = (allowed: string): Either<Finding, Cursor> =>
        Left({ place: "cursor", read: text.slice(0, maxShownLength), allowed });
    if (text.length > maxFixedTextLength + maxCharactersPerBitmapByte * Math.ceil(identity.sampleCount / 8)) {
        return fault(allowedCursor);
    }
    const fields = readFields(text);
    if (fields === undefined) {
        return fault(allowedCursor);
    }
    const isSameStep = fields.key === identity.stepKey && fields.fingerprint === identity.fingerprint;
    if (!isSameStep || fields.sampleCount !== identity.sampleCount) {
        return fault("a cursor of this step, as this caller submitted it");
    }
    const taken = decodeSet(fields.taken, identity.sampleCount);
    if (taken === undefined || fields.batch > countSet(taken)) {
        return fault(`a cursor over ${identity.sampleCount} samples`);
    }
    const { epoch, batch, version } = fields;
    return Right({ epoch, batch, version, taken });
}

/** Returns the host that issued a cursor, without checking the step; undefined when the text names no host. */
export function cursorHost(text: string): HostId | undefined {
    const owner = text.length <= maxTextLength ? readFields(text)?.epoch.owner ?? "" : "";
    const host = owner.slice(0, Math.max(0, owner.lastIndexOf(".")));
    return host === "" ? undefined : host as HostId;
}

function readFields(text: string): CursorFields | undefined {
    let fields: unknown;
    try {
        fields = JSON.parse(Buffer.from(text, "base64url").toString("utf8"));
    }
    catch {
        return undefined;
    }
    if (!Array.isArray(fields) || fields.length !== fieldCount) {
        return undefined;
    }
    const [key, fingerprint, sampleCount, number, owner, batch, version, taken, checksum] = fields as unknown[];
    if (checksum !== hash32(JSON.stringify(fields.slice(0, -1)))) {
        return undefined;
    }
    if (typeof key !== "string" || typeof owner !== "string" || typeof taken !== "string") {
        return undefined;
    }
    if (!isCount(fingerprint) || !isCount(sampleCount) || !isCount(number) || !isCount(batch) || !isCount(version)) {
        return undefined;
    }
    return { key, fingerprint, sampleCount, epoch: { number, owner }, batch, version: version as WeightVersion, taken };
}

function isCount(value: unknown): value is number {
    return typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
}
