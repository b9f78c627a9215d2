/** Reads a streamed completion like a caller, and records how it ends. */

import { createParser } from "eventsource-parser";

/** What has been received of a streamed completion. */
export interface CompletionProgress {
    chunks: number;
    /** Type of the problem in the error event, or undefined without such an event. */
    error: string | undefined;
    isDone: boolean;
}

/** A completion whose stream is read in the background. */
export interface OpenCompletion {
    readonly read: CompletionProgress;
    /** Resolves when the stream has ended, with or without an error. */
    readonly ended: Promise<void>;
    disconnect(): void;
}

/** Starts a completion and reads it in the background. */
export function openCompletion(url: string, token: string, maxTokens: number): OpenCompletion {
    const read: CompletionProgress = { chunks: 0, error: undefined, isDone: false };
    const controller = new AbortController();
    const stream = async (): Promise<void> => {
        const res = await fetch(url, {
            method: "POST",
            headers: { authorization: `Bearer ${token}`, "content-type": "application/json" },
            body: JSON.stringify({ prompt: "Lot", max_tokens: maxTokens }),
            signal: controller.signal,
        });
        const parser = createParser({ onEvent: ({ event, data }) => recordEvent(read, event, data) });
        const decoder = new TextDecoder();
        for await (const chunk of res.body!) {
            parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
        }
    };
    return { read, ended: stream().catch(() => undefined), disconnect: () => controller.abort() };
}

function recordEvent(read: CompletionProgress, event: string | undefined, data: string): void {
    if (event === "error") {
        read.error = (JSON.parse(data) as { type: string; }).type;
        return;
    }
    if (data === "[DONE]") {
        read.isDone = true;
        return;
    }
    read.chunks++;
}
