/**
 * The bounded history of a configuration document. A revision is archived before the next one is written, so that the
 * history has no gaps. It has a fixed number of keys, its slots, which later revisions reuse in turn.
 */

import { type Either, Right } from "purify-ts";
import { type ConfigRevision, type KeyRevision } from "../ids.js";
import { type KeyValue, type KeyValueFailure } from "../ports/KeyValue.js";
import { type ConfigDocument } from "./ConfigDocument.js";
import { parseConfigDocument } from "./parseConfigDocument.js";

/** Number of archived revisions besides the one in force. */
export const configHistoryLength = 20;

const historyPrefix = "tamarackpath/history/";

/** Returns the key under which a revision is archived. */
export function configHistoryKey(name: string, revision: ConfigRevision): string {
    return `${historyPrefix}${name}/${String(revision % configHistoryLength).padStart(2, "0")}`;
}

/** Writes the text of a document to its slot, unless the slot has that revision or a later one. */
export async function archiveConfig(
    keyValue: KeyValue,
    doc: ConfigDocument,
    text: string,
): Promise<Either<KeyValueFailure, void>> {
    const key = configHistoryKey(doc.name, doc.revision);
    const found = await keyValue.get(key);
    if (found.isLeft()) {
        return found as unknown as Either<KeyValueFailure, void>;
    }
    const entry = found.orDefault(undefined);
    if (entry !== undefined && parseRevision(entry.value) >= doc.revision) {
        return Right(undefined);
    }
    const res = await keyValue.swap(key, entry?.revision ?? 0 as KeyRevision, text);
    return res.map(() => undefined);
}

/** Returns the archived revisions of a document, the latest first. */
export async function configHistory(
    keyValue: KeyValue,
    name: string,
): Promise<Either<KeyValueFailure, readonly ConfigDocument[]>> {
    const res = await keyValue.list(`${historyPrefix}${name}/`);
    return res.map(entries =>
        entries
            .flatMap(entry => parseConfigDocument(entry.key, entry.value).map(doc => [doc]).orDefault([]))
            .sort((a, b) => b.revision - a.revision)
    );
}

function parseRevision(text: string): number {
    return parseConfigDocument("history", text).map(doc => Number(doc.revision)).orDefault(0);
}
