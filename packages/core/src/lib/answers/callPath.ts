/**
 * Checks and normalises the path of a call before it is matched or forwarded, so that no spelling of a path leaves the
 * service or bypasses the list of calls that must not be repeated.
 */

import { type Either, Left, Right } from "purify-ts";
import { shorten } from "../findings.js";
import { type Finding } from "../Problem.js";

const maxPathLength = 4096;
const unreservedPattern = /^[A-Za-z0-9._~-]$/;
const segmentPattern = /^(?:[A-Za-z0-9._~!$&'()*+,;=:@-]|%[0-9A-Fa-f]{2})*$/;
const queryPattern = /^[\x21\x22\x24-\x7e]*$/;

/** A normalised path, as it is matched and forwarded. */
export interface CallPath {
    /** The path without its query, with unreserved characters decoded. */
    readonly path: string;
    /** The query with its question mark, or an empty string. */
    readonly query: string;
}

/** Parses and checks the target of a call's request line, which is a path with an optional query. */
export function parseCallPath(raw: string): Either<Finding, CallPath> {
    const cut = raw.indexOf("?");
    const path = cut === -1 ? raw : raw.slice(0, cut);
    const query = cut === -1 ? "" : raw.slice(cut);
    const segments = path.split("/").slice(1).map(decodeUnreserved);
    const fault = findFault(raw, segments, query);
    return fault === undefined
        ? Right({ path: `/${segments.join("/")}`, query })
        : Left({ place: "path", read: shorten(raw), allowed: fault });
}

/** Returns whether one of `rules`, such as `POST /orders` or `POST /orders/*`, covers a call; `*` is one segment. */
export function matchesCall(rules: readonly string[], method: string, path: string): boolean {
    const called = toComparable(path);
    return rules.some(rule => {
        const [ruleMethod, rulePath] = rule.split(" ");
        return ruleMethod === method.toUpperCase() && matchesSegments(toComparable(rulePath ?? ""), called);
    });
}

function findFault(raw: string, segments: readonly string[], query: string): string | undefined {
    if (!raw.startsWith("/") || raw.length > maxPathLength) {
        return `a path that starts with "/", of at most ${maxPathLength} characters`;
    }
    if (segments.slice(0, -1).includes("")) {
        return "a path without empty segments";
    }
    if (segments.some(segment => isDotSegment(segment.split(";")[0]!))) {
        return "a path without \".\" and \"..\" segments";
    }
    if (segments.some(segment => /%(?:2f|5c|00|25)/i.test(segment))) {
        return "a path without encoded slashes, backslashes, zero bytes and percent signs";
    }
    if (!segments.every(segment => segmentPattern.test(segment)) || !queryPattern.test(query)) {
        return "a path of URI characters, with all others percent-encoded";
    }
    return undefined;
}

function isDotSegment(segment: string): boolean {
    return segment === "." || segment === "..";
}

function decodeUnreserved(segment: string): string {
    return segment.replace(/%([0-9A-Fa-f]{2})/g, (encoded, digits: string) => {
        const char = String.fromCharCode(Number.parseInt(digits, 16));
        return unreservedPattern.test(char) ? char : encoded;
    });
}

/** Ignores case, path parameters, encodings and a trailing slash in comparisons, since targets may ignore them too. */
function toComparable(path: string): readonly string[] {
    const segments = path.split("/").slice(1).map(segment => tryDecode(segment).split(";")[0]!.toLowerCase());
    return segments.at(-1) === "" ? segments.slice(0, -1) : segments;
}

function tryDecode(segment: string): string {
    try {
        return decodeURIComponent(segment);
    }
    catch {
        return segment;
    }
}

function matchesSegments(rule: readonly string[], called: readonly string[]): boolean {
    return rule.length === called.length && rule.every((part, nth) => part === "*" || part === called[nth]);
}
