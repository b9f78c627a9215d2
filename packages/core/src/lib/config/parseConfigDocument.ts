/** Parses a configuration document from its stored text. */

import { Either } from "purify-ts";
import { check } from "../findings.js";
import { type Finding } from "../Problem.js";
import { type ConfigDocument, configDocumentSchema } from "./ConfigDocument.js";

/** Parses and checks a document. Left holds all findings; their places start with `place`. */
export function parseConfigDocument(place: string, text: string): Either<readonly Finding[], ConfigDocument> {
    return parseJson(place, text).chain(input => check(configDocumentSchema, input, place));
}

function parseJson(place: string, text: string): Either<readonly Finding[], unknown> {
    return Either.encase(() => JSON.parse(text) as unknown)
        .mapLeft(err => [{ place, read: text.slice(0, 40), allowed: `a JSON document: ${err.message}` }]);
}
