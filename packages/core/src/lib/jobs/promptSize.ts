/**
 * Size in tokens of a task at an engine. Trainers send groups of tasks with one shared prompt of 260 to 2,500 tokens and
 * a short part of each task's own, so the two are counted apart: the shared part is prefilled and stored once.
 */

import { type Task } from "./Job.js";

/** Tokens of one task at an engine. */
export interface PromptSize {
    /** Tokens of the prompt that the tasks of its group share. */
    readonly sharedTokens: number;
    /** Tokens of the prompt that are its own. */
    readonly ownTokens: number;
    /** Upper limit of its output tokens. */
    readonly outputTokens: number;
}

/** The size of a task, or undefined if the task does not describe its prompt. */
export function promptSizeOf({ prompt, usage, tokens }: Task): PromptSize | undefined {
    if (prompt === undefined || prompt.length === 0) {
        return usage === undefined
            ? undefined
            : { sharedTokens: 0, ownTokens: usage.promptTokens, outputTokens: usage.maxOutputTokens };
    }
    const ownTokens = prompt[prompt.length - 1]!.tokens;
    const sharedTokens = prompt.reduce((sum, part) => sum + part.tokens, 0) - ownTokens;
    return {
        sharedTokens,
        ownTokens,
        outputTokens: usage?.maxOutputTokens ?? Math.max(0, tokens - sharedTokens - ownTokens),
    };
}
