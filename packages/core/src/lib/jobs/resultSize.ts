/**
 * Sizes of results in the bytes that are written to the store and sent to callers. The number of characters says little about
 * them: a character takes up to four bytes in UTF-8, and up to six in JSON.
 */

import { type TaskResult } from "./Job.js";

/** Upper limit of the bytes of a result beside its texts and versions: field names, state, lengths and punctuation. */
const overheadBytes = 150;

/** Upper limit of the bytes of one weight version, as a number in binary or in decimal digits with a comma. */
const versionBytes = 18;

/** Upper limit of the text of one result in bytes of JSON: it fits into a value of the store, and into a page. */
export const maxTextBytes = 700_000;

/** Upper limit of the bytes that a result takes in a stored chunk. */
export function storedBytesOf({ task, output, versions, score = "" }: TaskResult): number {
    return [task, output, score].reduce(
        (sum, text) => sum + Buffer.byteLength(text),
        overheadBytes + versions.length * versionBytes,
    );
}

/** Upper limit of the bytes that a result takes in a page, which callers get as JSON. */
export function pageBytesOf({ task, output, versions, score = "" }: TaskResult): number {
    return [task, output, score].reduce(
        (sum, text) => sum + jsonBytesOf(text),
        overheadBytes + versions.length * versionBytes,
    );
}

/** The bytes that a text takes in JSON. */
export function jsonBytesOf(text: string): number {
    return Buffer.byteLength(JSON.stringify(text));
}
