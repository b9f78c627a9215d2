/** Jobs as trainers submit them, their results as callers list them, and the keys that they are stored under. */

import {
    type GroupId,
    type Instant,
    type JobId,
    type OrganisationId,
    type RewardCallId,
    type TaskId,
    type WeightVersion,
} from "../ids.js";
import { type JobTerms } from "./JobTerms.js";

/** A request to a scoring service, sent once the text of its task is complete. It may be repeated. */
export interface RewardCall {
    readonly id: RewardCallId;
    /** Virtual host and path that select the route to the scoring service. */
    readonly host: string;
    readonly path: string;
    readonly body: Uint8Array;
}

/** One completion that a trainer requests. */
export interface Task {
    readonly id: TaskId;
    readonly group: GroupId;
    /** Path of the request to the engine. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Prompt tokens plus the maximum number of output tokens. */
    readonly tokens: number;
    /** The trainer's estimate of the output tokens; accurate at the median, far off in the tail. */
    readonly expectedTokens: number | undefined;
    /** Set if the task's result must carry a score. */
    readonly reward: RewardCall | undefined;
}

/** A batch of tasks, accepted as a whole. */
export interface Job {
    readonly id: JobId;
    /** Virtual host that selects the job's route, together with `path`. */
    readonly host: string;
    readonly path: string;
    /** The organisation that submitted it; undefined if the configuration then named none, or in earlier records. */
    readonly organisation?: OrganisationId | undefined;
    readonly submittedAt: Instant;
    readonly step: number | undefined;
    readonly model: string;
    /** Lowest weight version that may generate the job's tokens. */
    readonly minVersion: WeightVersion;
    /** Number of complete groups that the trainer waits for. */
    readonly targetGroups: number;
    /** The terms on which it was accepted; undefined if its route was not known then, or in records of earlier software. */
    readonly acceptedTerms?: JobTerms | undefined;
    readonly tasks: readonly Task[];
}

/** The outcome of a task. Its position among the job's results never changes. */
export interface TaskResult {
    readonly task: TaskId;
    readonly state: "completed" | "failed";
    readonly output: string;
    readonly versions: readonly WeightVersion[];
    /** The scoring service's score of `output`; set if the task has a reward call and was completed. */
    readonly score: string | undefined;
}

/** A page of a job's results, with the total number of the job's tasks. */
export interface ResultPage {
    readonly total: number;
    readonly results: readonly TaskResult[];
}

/** Keys and key prefixes of the stored documents and results of jobs. */
export const jobKeys = {
    /** Prefix of everything that the conductor watches: its own claim, open jobs, ended jobs. */
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

/** Upper limit of a key of the store in bytes. */
const maxKeyBytes = 200;

/** Whether the store takes the keys of a job with this id. */
export function isStorable(job: JobId): boolean {
    return [jobKeys.ended(job), jobKeys.openPart(job, 0), jobKeys.chunk(job, 0)].every(key =>
        Buffer.byteLength(key) <= maxKeyBytes
    );
}
