/**
 * Writes an operator's configuration document with a compare-and-swap. A document is accepted once its swap is
 * confirmed, or once it is found by its operation id after the response was lost. A swap without a response is repeated
 * with the same expected key revision until the service responds, because it may still take effect later.
 */

import { type Either, Left, Right } from "purify-ts";
import { type z } from "zod";
import { check } from "../findings.js";
import { type ConfigRevision, type KeyRevision, type OperationId } from "../ids.js";
import { type KeyValue, type KeyValueEntry } from "../ports/KeyValue.js";
import { type Finding } from "../Problem.js";
import { type ConfigDifference, diffConfigs } from "./ConfigDifference.js";
import { type ConfigDocument, configDocumentSchema, configPrefix } from "./ConfigDocument.js";
import { archiveConfig, configHistory, configHistoryLength } from "./ConfigHistory.js";
import { parseConfigDocument } from "./parseConfigDocument.js";

/** A document without revision and operation id, as the questionnaire generates it. */
export type ConfigDraft = Omit<z.input<typeof configDocumentSchema>, "revision" | "operationId">;

/** The document was accepted. */
export interface ApplySuccess {
    readonly doc: ConfigDocument;
    /** True when a later revision has replaced it already. */
    readonly superseded: boolean;
}

/** Why a document was not accepted, or why the outcome is unknown. */
export type ApplyFailure =
    | { readonly kind: "invalid"; readonly findings: readonly Finding[]; }
    | {
        readonly kind: "conflict";
        readonly current: ConfigDocument | undefined;
        /** The changes from the refused document to the current one. */
        readonly differences: readonly ConfigDifference[];
    }
    | { readonly kind: "unreadable"; readonly findings: readonly Finding[]; }
    | { readonly kind: "not-applied"; readonly detail: string; }
    /** Repeating the call with the same operation id determines the outcome. */
    | { readonly kind: "unknown"; readonly detail: string; };

/** Options of `applyConfig`. */
export interface ApplyOptions {
    /** Highest revision in force on any host; it exceeds the store's after a restore from a backup. */
    readonly highestKnownRevision?: ConfigRevision;
    /** Waits before a failed write is repeated; `repeat` is the number of repeats so far. */
    readonly waitBeforeRetry?: (repeat: number) => Promise<void>;
}

type ApplyResult = Either<ApplyFailure, ApplySuccess>;

interface ApplyContext {
    readonly keyValue: KeyValue;
    readonly key: string;
    readonly doc: ConfigDocument;
    /** Revision that the operator's document is based on. */
    readonly base: ConfigRevision;
    readonly waitBeforeRetry: (repeat: number) => Promise<void>;
}

const maxSwapAttempts = 8;
const maxArchiveAttempts = 3;

/** Writes `draft` as the successor of revision `base`; base 0 expects that there is no such document. */
export async function applyConfig(
    keyValue: KeyValue,
    draft: ConfigDraft,
    base: ConfigRevision,
    operationId: OperationId,
    options: ApplyOptions = {},
): Promise<ApplyResult> {
    const revision = Math.max(base, options.highestKnownRevision ?? 0) + 1;
    const checked = check(configDocumentSchema, { ...draft, revision, operationId }, "document");
    if (checked.isLeft()) {
        return checked.mapLeft(findings => ({ kind: "invalid" as const, findings })) as unknown as ApplyResult;
    }
    const doc = checked.unsafeCoerce();
    const waitBeforeRetry = options.waitBeforeRetry ?? (() => Promise.resolve());
    return await applyDocument({ keyValue, key: `${configPrefix}${doc.name}`, doc, base, waitBeforeRetry });
}

async function applyDocument(context: ApplyContext): Promise<ApplyResult> {
    const { keyValue, key, base } = context;
    const read = await keyValue.get(key);
    if (read.isLeft()) {
        return read.mapLeft(({ detail }) => ({ kind: "not-applied" as const, detail })) as unknown as ApplyResult;
    }
    const entry = read.unsafeCoerce();
    const current = parseStored(key, entry);
    if (current.isLeft()) {
        return current.mapLeft(findings => ({ kind: "unreadable" as const, findings })) as unknown as ApplyResult;
    }
    const stored = current.unsafeCoerce();
    if ((stored?.revision ?? 0) !== base || stored?.operationId === context.doc.operationId) {
        return await settle(context, stored);
    }
    if (stored !== undefined && entry !== undefined) {
        if (!await archive(context, stored, entry.value)) {
            return Left({ kind: "not-applied", detail: "The revision in force could not be archived." });
        }
    }
    return await swapUntilResponse(context, entry?.revision ?? 0 as KeyRevision);
}

async function archive(
    { keyValue, waitBeforeRetry }: ApplyContext,
    stored: ConfigDocument,
    text: string,
): Promise<boolean> {
    for (let repeat = 0; repeat < maxArchiveAttempts; repeat++) {
        const archived = await archiveConfig(keyValue, stored, text);
        if (archived.isRight()) {
            return true;
        }
        await waitBeforeRetry(repeat);
    }
    return false;
}

async function swapUntilResponse(context: ApplyContext, expected: KeyRevision): Promise<ApplyResult> {
    const { keyValue, key, doc, waitBeforeRetry } = context;
    const text = JSON.stringify(doc);
    let mayHaveApplied = false;
    let detail = "";
    for (let repeat = 0; repeat < maxSwapAttempts; repeat++) {
        const res = await keyValue.swap(key, expected, text);
        if (res.isRight()) {
            const result = res.unsafeCoerce();
            return result.swapped
                ? Right({ doc, superseded: false })
                : await settle(context, tryParseEntry(key, result.current));
        }
        res.ifLeft(failure => {
            mayHaveApplied ||= failure.applied === "unknown";
            detail = failure.detail;
        });
        await waitBeforeRetry(repeat);
    }
    return Left({ kind: mayHaveApplied ? "unknown" : "not-applied", detail });
}

/** Decides whether this operation was accepted, from a stored document that is not the expected base. */
async function settle(context: ApplyContext, stored: ConfigDocument | undefined): Promise<ApplyResult> {
    const { keyValue, doc, base } = context;
    if (stored?.operationId === doc.operationId) {
        return Right({ doc: stored, superseded: false });
    }
    if (stored === undefined || stored.revision <= base) {
        return conflict(doc, stored);
    }
    const history = await configHistory(keyValue, doc.name);
    return history.caseOf<ApplyResult>({
        Left: failure => Left({ kind: "unknown", detail: failure.detail }),
        Right: revisions => findInHistory(revisions, doc, base, stored),
    });
}

function findInHistory(
    revisions: readonly ConfigDocument[],
    doc: ConfigDocument,
    base: ConfigRevision,
    stored: ConfigDocument,
): ApplyResult {
    const found = revisions.find(entry => entry.operationId === doc.operationId);
    if (found !== undefined) {
        return Right({ doc: found, superseded: true });
    }
    const isHistoryComplete = stored.revision - base <= configHistoryLength;
    return isHistoryComplete
        ? conflict(doc, stored)
        : Left({ kind: "unknown", detail: "The history does not reach back to the operation." });
}

function conflict(doc: ConfigDocument, current: ConfigDocument | undefined): ApplyResult {
    return Left({ kind: "conflict", current, differences: diffConfigs(doc, current ?? {}) });
}

function parseStored(
    key: string,
    entry: KeyValueEntry | undefined,
): Either<readonly Finding[], ConfigDocument | undefined> {
    return entry === undefined ? Right(undefined) : parseConfigDocument(key, entry.value);
}

function tryParseEntry(key: string, entry: KeyValueEntry | undefined): ConfigDocument | undefined {
    return parseConfigDocument(key, entry?.value ?? "").toMaybe().extract();
}
