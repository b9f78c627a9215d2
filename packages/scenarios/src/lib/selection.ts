/** Reads from environment variables which scenarios run, and with which seed. */

/** Environment variables that pass the selection to the mocha processes. */
export const selectionVariables = { tags: "TAMARACK_TAGS", seed: "TAMARACK_SEED" } as const;

const defaultSeed = 1;

export function tagsFromEnvironment(): readonly string[] {
    return (process.env[selectionVariables.tags] ?? "").split(",").filter(tag => tag !== "");
}

export function seedFromEnvironment(): number {
    return Number(process.env[selectionVariables.seed] ?? defaultSeed);
}

/** Whether `tags` contains every wanted tag. */
export function matchesTags(tags: readonly string[], wanted: readonly string[]): boolean {
    return wanted.every(tag => tags.includes(tag));
}
