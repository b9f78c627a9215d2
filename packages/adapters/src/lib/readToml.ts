/** Parses TOML text and validates it against a schema. Every finding names its file and, if it can be found, its line. */

import { check, type Finding, shorten } from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { parse, TomlError } from "smol-toml";
import { type z } from "zod";
import { findKeyLine } from "./findKeyLine.js";

/** Parses the text of `file` and validates it against `schema`. */
export function readToml<Schema extends z.ZodType>(
    schema: Schema,
    file: string,
    text: string,
): Either<readonly Finding[], z.output<Schema>> {
    return parseToml(file, text)
        .chain(input => check(schema, input))
        .mapLeft(findings => findings.map(finding => withLine(file, text, finding)));
}

/** Parses the text of `file` without a schema. */
export function parseToml(file: string, text: string): Either<readonly Finding[], Record<string, unknown>> {
    try {
        return Right(parse(text));
    }
    catch (err) {
        if (!(err instanceof TomlError)) {
            throw err;
        }
        const read = shorten(text.split("\n")[err.line - 1] ?? "");
        const allowed = `a TOML document: ${err.message.split("\n")[0]}`;
        return Left([{ place: `${file}:${err.line}:${err.column}`, read, allowed }]);
    }
}

/** Adds the file and the line to a finding whose place is a key path. */
export function withLine(file: string, text: string, finding: Finding): Finding {
    if (finding.place.startsWith(`${file}:`)) {
        return finding;
    }
    const line = findKeyLine(text, finding.place.split("."));
    const place = line === undefined ? `${file} ${finding.place}` : `${file}:${line} ${finding.place}`;
    return { ...finding, place };
}
