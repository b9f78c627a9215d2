/** Parses one chunk of a completion. It is validated without a schema, because this runs for every token. */

import { type WeightVersion } from "@tamarackpath/core";

/** The content of one chunk. */
export interface EngineChunk {
    readonly text: string;
    readonly version: WeightVersion | undefined;
    readonly finish: "stop" | "length" | undefined;
}

/** Parses a chunk; throws an error when `data` is not a valid chunk of a completion. */
export function readChunk(data: string): EngineChunk {
    const chunk = JSON.parse(data) as { choices?: unknown; weight_version?: unknown; } | null;
    const choices = chunk?.choices;
    const choice = Array.isArray(choices) ? choices[0] as { text?: unknown; finish_reason?: unknown; } : undefined;
    if (typeof choice?.text !== "string") {
        throw new Error("The chunk has no text.");
    }
    return {
        text: choice.text,
        version: readVersion(chunk?.weight_version),
        finish: readFinish(choice.finish_reason),
    };
}

function readVersion(value: unknown): WeightVersion | undefined {
    if (value === undefined) {
        return undefined;
    }
    const version = typeof value === "string" && value.trim() !== "" ? Number(value) : value;
    if (!Number.isSafeInteger(version)) {
        throw new Error("The weight version of the chunk is not an integer.");
    }
    return version as WeightVersion;
}

function readFinish(value: unknown): "stop" | "length" | undefined {
    if (value === undefined || value === null) {
        return undefined;
    }
    if (value !== "stop" && value !== "length") {
        throw new Error("The chunk has an unknown finish reason.");
    }
    return value;
}
