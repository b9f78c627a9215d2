/**
 * A set of sample indices, kept as a bitmap. Its text form holds run lengths when the set consists of few runs and the
 * plain bitmap otherwise, so that the text is never longer than that of the bitmap.
 */

const bitsPerByte = 8;
const varintBase = 0x80;
const runsPrefix = "r";
const bitmapPrefix = "b";

/** Creates an empty set over `sampleCount` samples. */
export function emptySet(sampleCount: number): Uint8Array {
    return new Uint8Array(Math.ceil(sampleCount / bitsPerByte));
}

/** Returns whether `index` is in the set. */
export function hasIndex(set: Uint8Array, index: number): boolean {
    return ((set[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
}

/** Adds `index` to the set in place. */
export function addIndex(set: Uint8Array, index: number): void {
    set[index >> 3] = (set[index >> 3] ?? 0) | (1 << (index & 7));
}

/** Counts the members of a set. */
export function countSet(set: Uint8Array): number {
    let count = 0;
    for (let byte of set) {
        for (; byte !== 0; byte &= byte - 1) {
            count++;
        }
    }
    return count;
}

/** Lists the members of `set` that are not in `other`, in ascending order. */
export function difference(set: Uint8Array, other: Uint8Array): readonly number[] {
    const indices: number[] = [];
    for (let byteIndex = 0; byteIndex < set.length; byteIndex++) {
        let byte = set[byteIndex]! & ~(other[byteIndex] ?? 0);
        for (; byte !== 0; byte &= byte - 1) {
            indices.push(byteIndex * bitsPerByte + Math.log2(byte & -byte));
        }
    }
    return indices;
}

/** Returns whether every member of `inner` is in `outer`. */
export function isSubset(inner: Uint8Array, outer: Uint8Array): boolean {
    return inner.every((byte, byteIndex) => (byte & ~(outer[byteIndex] ?? 0)) === 0);
}

/** Encodes a set over `sampleCount` samples as text. */
export function encodeSet(set: Uint8Array, sampleCount: number): string {
    const runs = encodeRuns(set, sampleCount, set.length);
    return runs === undefined
        ? bitmapPrefix + Buffer.from(set).toString("base64url")
        : runsPrefix + Buffer.from(runs).toString("base64url");
}

/** Decodes a set over `sampleCount` samples; undefined when the text is not such a set. */
export function decodeSet(text: string, sampleCount: number): Uint8Array | undefined {
    const bytes = Buffer.from(text.slice(1), "base64url");
    const set = text.startsWith(runsPrefix)
        ? decodeRuns(bytes, sampleCount)
        : text.startsWith(bitmapPrefix)
        ? new Uint8Array(bytes)
        : undefined;
    return set !== undefined && isValidBitmap(set, sampleCount) ? set : undefined;
}

function isValidBitmap(set: Uint8Array, sampleCount: number): boolean {
    const unusedBits = set.length * bitsPerByte - sampleCount;
    return unusedBits >= 0 && unusedBits < bitsPerByte && ((set.at(-1) ?? 0) >> (bitsPerByte - unusedBits)) === 0;
}

/** Encodes the lengths of alternating runs, starting with absent samples; undefined if they fill `maxBytes`. */
function encodeRuns(set: Uint8Array, sampleCount: number, maxBytes: number): readonly number[] | undefined {
    const bytes: number[] = [];
    let isMember = false;
    let start = 0;
    for (let index = 0; index < sampleCount && bytes.length < maxBytes; index++) {
        if (hasIndex(set, index) !== isMember) {
            pushVarint(bytes, index - start);
            isMember = !isMember;
            start = index;
        }
    }
    return bytes.length < maxBytes ? bytes : undefined;
}

function decodeRuns(bytes: Uint8Array, sampleCount: number): Uint8Array | undefined {
    const boundaries = readRunBoundaries(bytes, sampleCount);
    if (boundaries === undefined) {
        return undefined;
    }
    const set = emptySet(sampleCount);
    for (let nth = 0; nth < boundaries.length; nth += 2) {
        for (let index = boundaries[nth]!; index < (boundaries[nth + 1] ?? sampleCount); index++) {
            addIndex(set, index);
        }
    }
    return set;
}

function readRunBoundaries(bytes: Uint8Array, sampleCount: number): readonly number[] | undefined {
    const boundaries: number[] = [];
    let end = 0;
    let value = 0;
    let scale = 1;
    for (const byte of bytes) {
        value += (byte % varintBase) * scale;
        if (value > sampleCount) {
            return undefined;
        }
        if (byte >= varintBase) {
            scale *= varintBase;
            continue;
        }
        end += value;
        boundaries.push(end);
        value = 0;
        scale = 1;
    }
    return scale === 1 && end <= sampleCount ? boundaries : undefined;
}

function pushVarint(bytes: number[], value: number): void {
    let rest = value;
    while (rest >= varintBase) {
        bytes.push(varintBase + rest % varintBase);
        rest = Math.floor(rest / varintBase);
    }
    bytes.push(rest);
}
