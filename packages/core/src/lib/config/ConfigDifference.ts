/**
 * Compares configuration documents by key path and rebases an operator's changes onto a newer document. List entries
 * are matched by name, so that reordering a list is not a change.
 */

import { type ConfigDocument } from "./ConfigDocument.js";

/** One value that differs between two documents; a side is undefined if its document does not have the value. */
export interface ConfigDifference {
    readonly path: string;
    readonly before: unknown;
    readonly after: unknown;
}

/**
 * The outcome of a rebase: the merged values, and the paths that both sides changed to different values. In a conflict,
 * `before` is the value of the newer document, which the merged values keep, and `after` that of the operator.
 */
export interface ConfigRebase {
    readonly merged: Readonly<Record<string, unknown>>;
    readonly conflicts: readonly ConfigDifference[];
}

type Json = Readonly<Record<string, unknown>>;

/** Fields that identify an entry of a list. */
const nameFields = ["pool", "service", "caller"] as const;
const metadataFields: readonly string[] = ["revision", "operationId"];

/** Lists the changes from `older` to `newer`, without revision and operation id. */
export function diffConfigs(
    older: Partial<ConfigDocument>,
    newer: Partial<ConfigDocument>,
): readonly ConfigDifference[] {
    const before = flatten(older as Json);
    const after = flatten(newer as Json);
    return [...new Set([...before.keys(), ...after.keys()])]
        .filter(path => !isSameValue(before.get(path), after.get(path)))
        .sort()
        .map(path => ({ path, before: before.get(path), after: after.get(path) }));
}

/** Applies the operator's changes, from `base` to `ours`, onto `theirs`, a newer document with the same base. */
export function rebaseConfig(base: object, ours: object, theirs: object): ConfigRebase {
    const conflicts: ConfigDifference[] = [];
    const merged = mergeValue("", base, ours, theirs, conflicts) as Json;
    return { merged, conflicts };
}

function flatten(doc: Json): ReadonlyMap<string, unknown> {
    const found = new Map<string, unknown>();
    for (const [key, value] of Object.entries(doc)) {
        if (!metadataFields.includes(key)) {
            collect(key, value, found);
        }
    }
    return found;
}

function collect(path: string, value: unknown, found: Map<string, unknown>): void {
    const children = childrenOf(value);
    if (children === undefined || children.size === 0) {
        found.set(path, value);
        return;
    }
    for (const [key, child] of children) {
        collect(`${path}.${key}`, child, found);
    }
}

function childrenOf(value: unknown): ReadonlyMap<string, unknown> | undefined {
    if (typeof value !== "object" || value === null) {
        return undefined;
    }
    if (!Array.isArray(value)) {
        return new Map(Object.entries(value).filter(entry => entry[1] !== undefined));
    }
    const names = value.map(nameOf);
    const areNamed = names.every(name => name !== undefined) && new Set(names).size === names.length;
    return areNamed && value.length > 0 ? new Map(value.map((entry, nth) => [names[nth]!, entry])) : undefined;
}

function nameOf(entry: unknown): string | undefined {
    const fields = entry as Json | undefined;
    const field = nameFields.find(name => typeof fields?.[name] === "string");
    return field === undefined ? undefined : String(fields![field]);
}

function mergeValue(
    path: string,
    base: unknown,
    ours: unknown,
    theirs: unknown,
    conflicts: ConfigDifference[],
): unknown {
    if (isSameValue(ours, theirs) || isSameValue(base, ours) || metadataFields.includes(path)) {
        return theirs;
    }
    if (isSameValue(base, theirs)) {
        return ours;
    }
    const ourChildren = childrenOf(ours);
    const theirChildren = childrenOf(theirs);
    if (ourChildren === undefined || theirChildren === undefined || Array.isArray(ours) !== Array.isArray(theirs)) {
        conflicts.push({ path, before: theirs, after: ours });
        return theirs;
    }
    const baseChildren = childrenOf(base) ?? new Map<string, unknown>();
    const merged = new Map<string, unknown>();
    for (const key of new Set([...theirChildren.keys(), ...ourChildren.keys()])) {
        const childPath = path === "" ? key : `${path}.${key}`;
        const value = mergeValue(
            childPath,
            baseChildren.get(key),
            ourChildren.get(key),
            theirChildren.get(key),
            conflicts,
        );
        if (value !== undefined) {
            merged.set(key, value);
        }
    }
    return Array.isArray(theirs) ? [...merged.values()] : Object.fromEntries(merged);
}

function isSameValue(one: unknown, other: unknown): boolean {
    return toCanonicalText(one) === toCanonicalText(other);
}

function toCanonicalText(value: unknown): string {
    const children = childrenOf(value);
    if (children === undefined) {
        return JSON.stringify(value) ?? "nothing";
    }
    const parts = [...children].map(([key, child]) => `${JSON.stringify(key)}:${toCanonicalText(child)}`).sort();
    return `${Array.isArray(value) ? "list" : "object"}{${parts.join()}}`;
}
