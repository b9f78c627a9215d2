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
    /** Output tokens that are expected, at most the upper limit. */
    readonly outputTokens: number;
}

/** The size of a task, or undefined if the task does not describe its prompt. */
export function promptSizeOf({ prompt, usage, tokens, expectedTokens }: Task): PromptSize | undefined {
    if (prompt === undefined || prompt.length === 0) {
        return usage === undefined
            ? undefined
            : {
                sharedTokens: 0,
                ownTokens: usage.promptTokens,
                outputTokens: expectedOutput(usage.maxOutputTokens, expectedTokens),
            };
    }
    const ownTokens = prompt[prompt.length - 1]!.tokens;
    const sharedTokens = prompt.reduce((sum, part) => sum + part.tokens, 0) - ownTokens;
    return {
        sharedTokens,
        ownTokens,
        outputTokens: expectedOutput(
            usage?.maxOutputTokens ?? Math.max(0, tokens - sharedTokens - ownTokens),
            expectedTokens,
        ),
    };
}

/**
 * Output tokens that count toward an engine's memory: the trainer's estimate, which half of the texts stay below. The upper
 * limit would leave most slots of an engine with little memory idle, as few texts come near it.
 */
function expectedOutput(maxTokens: number, expectedTokens: number | undefined): number {
    return Math.min(maxTokens, expectedTokens ?? maxTokens);
}
