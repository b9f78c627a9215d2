/**
 * Writes an operator's configuration document. A document is accepted once its swap is confirmed, or once it is found
 * by its operation id after the answer was lost. A swap whose answer was lost is repeated with the same expected key
 * revision until the service answers, because an unanswered swap may still take effect later.
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

/** A document without its bookkeeping, as the questionnaire generates it. */
export type ConfigDraft = Omit<z.input<typeof configDocumentSchema>, "revision" | "operationId">;

/** The document was accepted. */
export interface ApplySuccess {
    readonly doc: ConfigDocument;
    /** True when a later revision has replaced it already. */
    readonly superseded: boolean;
}

/** Why a document was not accepted, or why that is not known. */
export type ApplyFailure =
    | { readonly kind: "invalid"; readonly findings: readonly Finding[]; }
    | {
        readonly kind: "conflict";
        readonly current: ConfigDocument | undefined;
        /** What the current document says against the refused one. */
        readonly differences: readonly ConfigDifference[];
    }
    | { readonly kind: "unreadable"; readonly findings: readonly Finding[]; }
    | { readonly kind: "not-applied"; readonly detail: string; }
    /** Repeating the call with the same operation id settles it. */
    | { readonly kind: "unknown"; readonly detail: string; };

/** How an application is carried out. */
export interface ApplyOptions {
    /** Highest revision that any host has in force; it lies above the store's after a restore from a backup. */
    readonly highestKnownRevision?: ConfigRevision;
    /** Waits before a swap is repeated. */
    readonly waitBeforeRetry?: (repeat: number) => Promise<void>;
}

type ApplyResult = Either<ApplyFailure, ApplySuccess>;

interface Attempt {
    readonly keyValue: KeyValue;
    readonly key: string;
    readonly doc: ConfigDocument;
    readonly base: ConfigRevision;
    readonly pause: (repeat: number) => Promise<void>;
}

const swapRepeats = 8;
const archiveRepeats = 3;

/** Writes `draft` on top of `base`; base 0 expects that there is no such document. */
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
    const pause = options.waitBeforeRetry ?? (() => Promise.resolve());
    return await applyDocument({ keyValue, key: `${configPrefix}${doc.name}`, doc, base, pause });
}

async function applyDocument(attempt: Attempt): Promise<ApplyResult> {
    const { keyValue, key, base } = attempt;
    const read = await keyValue.get(key);
    if (read.isLeft()) {
        return read.mapLeft(({ detail }) => ({ kind: "not-applied" as const, detail })) as unknown as ApplyResult;
    }
    const entry = read.unsafeCoerce();
    const current = readStored(key, entry);
    if (current.isLeft()) {
        return current.mapLeft(findings => ({ kind: "unreadable" as const, findings })) as unknown as ApplyResult;
    }
    const stored = current.unsafeCoerce();
    if ((stored?.revision ?? 0) !== base || stored?.operationId === attempt.doc.operationId) {
        return await settle(attempt, stored);
    }
    if (stored !== undefined && entry !== undefined) {
        if (!await archive(attempt, stored, entry.value)) {
            return Left({ kind: "not-applied", detail: "The revision in force could not be archived." });
        }
    }
    return await swapUntilAnswered(attempt, entry?.revision ?? 0 as KeyRevision);
}

async function archive({ keyValue, pause }: Attempt, stored: ConfigDocument, text: string): Promise<boolean> {
    for (let repeat = 0; repeat < archiveRepeats; repeat++) {
        const archived = await archiveConfig(keyValue, stored, text);
        if (archived.isRight()) {
            return true;
        }
        await pause(repeat);
    }
    return false;
}

async function swapUntilAnswered(attempt: Attempt, expected: KeyRevision): Promise<ApplyResult> {
    const { keyValue, key, doc, pause } = attempt;
    const text = JSON.stringify(doc);
    let mayHaveApplied = false;
    let detail = "";
    for (let repeat = 0; repeat < swapRepeats; repeat++) {
        const res = await keyValue.swap(key, expected, text);
        if (res.isRight()) {
            const result = res.unsafeCoerce();
            return result.swapped
                ? Right({ doc, superseded: false })
                : await settle(attempt, readEntry(key, result.current));
        }
        res.ifLeft(failure => {
            mayHaveApplied ||= failure.applied === "unknown";
            detail = failure.detail;
        });
        await pause(repeat);
    }
    return Left({ kind: mayHaveApplied ? "unknown" : "not-applied", detail });
}

/** Decides from what stands in the store, which is not the expected base, whether this operation was accepted. */
async function settle(attempt: Attempt, stored: ConfigDocument | undefined): Promise<ApplyResult> {
    const { keyValue, doc, base } = attempt;
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
    const reachesBack = stored.revision - base <= configHistoryLength;
    return reachesBack
        ? conflict(doc, stored)
        : Left({ kind: "unknown", detail: "The history does not reach back to the operation." });
}

function conflict(doc: ConfigDocument, current: ConfigDocument | undefined): ApplyResult {
    return Left({ kind: "conflict", current, differences: diffConfigs(doc, current ?? {}) });
}

function readStored(
    key: string,
    entry: KeyValueEntry | undefined,
): Either<readonly Finding[], ConfigDocument | undefined> {
    return entry === undefined ? Right(undefined) : parseConfigDocument(key, entry.value);
}

function readEntry(key: string, entry: KeyValueEntry | undefined): ConfigDocument | undefined {
    return parseConfigDocument(key, entry?.value ?? "").toMaybe().extract();
}
