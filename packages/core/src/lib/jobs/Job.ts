/** A job as a trainer submits it, and its results as they are listed. */

import { type GroupId, type Instant, type JobId, type TaskId, type WeightVersion } from "../ids.js";

/** One completion that a trainer wants. */
export interface Task {
    readonly id: TaskId;
    readonly group: GroupId;
    /** Path of the request at the engine. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Prompt tokens and the most output tokens together. */
    readonly tokens: number;
    /** The trainer's estimate of the output tokens; right at the median, far off in the tail. */
    readonly expectedTokens: number | undefined;
}

/** A batch of tasks; everything of it is accepted at once. */
export interface Job {
    readonly id: JobId;
    /** Virtual host and path that select its route. */
    readonly host: string;
    readonly path: string;
    readonly submittedAt: Instant;
    readonly step: number | undefined;
    readonly model: string;
    /** Oldest weight version that may generate its tokens. */
    readonly minVersion: WeightVersion;
    /** Groups that the trainer waits for. */
    readonly targetGroups: number;
    readonly tasks: readonly Task[];
}

/** The outcome of a task at its position of the job. */
export interface TaskResult {
    readonly task: TaskId;
    readonly state: "completed" | "failed";
    readonly output: string;
    readonly versions: readonly WeightVersion[];
}

/** Part of a job's results. */
export interface ResultPage {
    readonly total: number;
    readonly results: readonly TaskResult[];
}

/** The stored form of a job's documents and results lives below this prefix. */
export const jobKeys = {
    /** Everything that the conductor watches: its own claim, open jobs, ended jobs. */
    live: "tamarack/live/",
    claim: "tamarack/live/conductor",
    openPrefix: "tamarack/live/open/",
    endedPrefix: "tamarack/live/ended/",
    open: (job: JobId) => `tamarack/live/open/${job}`,
    openPart: (job: JobId, part: number) => `tamarack/parts/${job}/${String(part).padStart(4, "0")}`,
    partsPrefix: (job: JobId) => `tamarack/parts/${job}/`,
    ended: (job: JobId) => `tamarack/live/ended/${job}`,
    chunk: (job: JobId, chunk: number) => `tamarack/results/${job}/${String(chunk).padStart(6, "0")}`,
    resultsPrefix: (job: JobId) => `tamarack/results/${job}/`,
} as const;
