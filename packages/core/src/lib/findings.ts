/**
 * Converts the issues of a schema check to findings, so that every interface reports all faults of an input together,
 * each with its place, and suggests the nearest valid key for an unknown one.
 */

import { closest, distance } from "fastest-levenshtein";
import { type Either, Left, Right } from "purify-ts";
import { type z } from "zod";
import { type Finding } from "./Problem.js";
import { knownKeys } from "./schemaKeys.js";

const maxReadLength = 80;
const maxFindings = 100;
const maxSuggestionDistance = 4;

/** Shortens a value for display in a finding. */
export function shorten(value: unknown): string {
    const text = typeof value === "string" ? value : JSON.stringify(value) ?? "nothing";
    return text.length <= maxReadLength ? text : `${text.slice(0, maxReadLength)}...`;
}

/**
 * Checks `input` against `schema`. Left holds every finding, Right the checked value. Values below the keys in
 * `secretKeys` of the input, and those that contain them, do not appear in findings.
 */
export function check<Schema extends z.ZodType>(
    schema: Schema,
    input: unknown,
    root = "",
    secretKeys: readonly string[] = [],
): Either<readonly Finding[], z.output<Schema>> {
    const parsed = schema.safeParse(input);
    if (parsed.success) {
        return Right(parsed.data);
    }
    const findings = parsed.error.issues.flatMap(issue => toFindings(schema, input, root, issue, secretKeys));
    return Left(findings.slice(0, maxFindings));
}

function toFindings(
    schema: z.ZodType,
    input: unknown,
    root: string,
    issue: z.core.$ZodIssue,
    secretKeys: readonly string[],
): readonly Finding[] {
    const [first] = issue.path;
    const isSecret = secretKeys.length > 0 && (first === undefined || secretKeys.includes(String(first)));
    if (issue.code !== "unrecognized_keys") {
        const value = valueAt(input, issue.path);
        const read = isSecret ? describeType(value) : shorten(value);
        return [{ place: formatPlace(root, issue.path), read, allowed: describeAllowed(issue) }];
    }
    const known = knownKeys(schema, issue.path);
    return issue.keys.map(key => ({
        place: formatPlace(root, [...issue.path, key]),
        read: isSecret ? "an unknown key" : `the unknown key "${shorten(key)}"`,
        allowed: suggestKeys(key, known),
    }));
}

/** Describes a value that must not be shown. */
function describeType(value: unknown): string {
    if (value === undefined) {
        return "nothing";
    }
    return `a value of type ${value === null ? "null" : Array.isArray(value) ? "array" : typeof value}, not shown`;
}

function describeAllowed(issue: z.core.$ZodIssue): string {
    const isDefaultMessage = issue.code === "invalid_type" && issue.message.startsWith("Invalid input");
    return isDefaultMessage ? `a value of type ${issue.expected}` : issue.message;
}

function suggestKeys(key: string, known: readonly string[]): string {
    if (known.length === 0) {
        return "no such key";
    }
    const nearest = closest(key, [...known]);
    return distance(key, nearest) <= maxSuggestionDistance ? `"${nearest}"` : `one of ${known.join(", ")}`;
}

function formatPlace(root: string, path: readonly PropertyKey[]): string {
    return [root, ...path.map(String)].filter(part => part !== "").join(".") || "body";
}

function valueAt(input: unknown, path: readonly PropertyKey[]): unknown {
    let value = input;
    for (const key of path) {
        if (typeof value !== "object" || value === null) {
            return undefined;
        }
        value = (value as Record<PropertyKey, unknown>)[key];
    }
    return value;
}
