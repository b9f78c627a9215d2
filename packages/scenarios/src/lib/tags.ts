/** The tags of scenarios: the promise that a scenario proves and the failures that it causes. */

/** Tags of the promises. */
export const promiseTags = [
    "@version-truth",
    "@staleness-bound",
    "@exactly-once",
    "@whole-answer",
    "@not-run-true",
    "@at-most-once",
    "@drain",
    "@graceful-shutdown",
    "@config-forward",
] as const;

/** Tags of the failures. */
export const faultTags = [
    "@kill",
    "@cut",
    "@freeze",
    "@kv-outage",
    "@kv-slow",
    "@kv-lost-answer",
    "@operator-race",
    "@lease-lapse",
    "@silent-connection",
    "@partial-swap",
    "@late-answer",
    "@twice",
] as const;

const knownTags: readonly string[] = [...promiseTags, ...faultTags, "@process", "@decision"];

/** Returns the tags that are neither promises, failures, nor kinds of scenario. */
export function unknownTags(tags: readonly string[]): readonly string[] {
    return tags.filter(tag => !knownTags.includes(tag));
}
