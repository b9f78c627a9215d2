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

/** Checks `input` against `schema`. Left holds every finding, Right the checked value. */
export function check<Schema extends z.ZodType>(
    schema: Schema,
    input: unknown,
    root = "",
): Either<readonly Finding[], z.output<Schema>> {
    const parsed = schema.safeParse(input);
    if (parsed.success) {
        return Right(parsed.data);
    }
    const findings = parsed.error.issues.flatMap(issue => toFindings(schema, input, root, issue));
    return Left(findings.slice(0, maxFindings));
}

function toFindings(
    schema: z.ZodType,
    input: unknown,
    root: string,
    issue: z.core.$ZodIssue,
): readonly Finding[] {
    if (issue.code !== "unrecognized_keys") {
        const read = shorten(valueAt(input, issue.path));
        return [{ place: formatPlace(root, issue.path), read, allowed: describeAllowed(issue) }];
    }
    const known = knownKeys(schema, issue.path);
    return issue.keys.map(key => ({
        place: formatPlace(root, [...issue.path, key]),
        read: `the unknown key "${shorten(key)}"`,
        allowed: suggestKeys(key, known),
    }));
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
