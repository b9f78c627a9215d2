/**
 * Implements the engine port over HTTP with the usual completions API, streamed as server-sent events, with the weight
 * version on each chunk. These chunks are the only source of a sample's weight versions.
 */

import {
    type Completion,
    type CompletionChunk,
    type EnginePort,
    type EngineReport,
    type GenerateRequest,
    type Instant,
    type LoadOrder,
    type TargetAddress,
    type TargetFailure,
    type VersionSpan,
    type WeightVersion,
} from "@tamarackpath/core";
import { createParser } from "eventsource-parser";
import { type Either, Left, Right } from "purify-ts";
import { type Dispatcher, request } from "undici";
import * as z from "zod";
import { readChunk } from "./readChunk.js";
import { toTargetFailure } from "./targetFailures.js";

const reportSchema = z.object({
    weight_version: z.coerce.number().int(),
    weights_whole: z.boolean().default(true),
    running: z.number(),
    waiting: z.number(),
    slots: z.number(),
});

const refusalStatuses = new Set([429, 503]);

/** Assembles one completion from its chunks. */
class CompletionBuilder {
    finish: "stop" | "length" | undefined;
    /** True once the engine has sent the end marker of the stream. */
    isDone = false;
    private text = "";
    private tokens = 0;
    private areVersionsKnown = true;
    private readonly spans: { version: WeightVersion; tokens: number; }[] = [];

    add(chunk: CompletionChunk): void {
        this.text += chunk.text;
        this.tokens += chunk.tokens;
        if (chunk.version === undefined) {
            this.areVersionsKnown = false;
            return;
        }
        const last = this.spans.at(-1);
        if (last?.version === chunk.version) {
            last.tokens += chunk.tokens;
            return;
        }
        this.spans.push({ version: chunk.version, tokens: chunk.tokens });
    }

    /** Returns the completion, or undefined when the stream ended early. */
    build(): Completion | undefined {
        if (!this.isDone || this.finish === undefined) {
            return undefined;
        }
        const spans: readonly VersionSpan[] = this.spans;
        return {
            text: this.text,
            tokens: this.tokens,
            spans,
            areVersionsKnown: this.areVersionsKnown,
            finish: this.finish,
        };
    }
}

/** HTTP client of the model engines. */
export class HttpEngine implements EnginePort {
    constructor(private readonly dispatcher: Dispatcher) {}

    async generate(
        address: TargetAddress,
        req: GenerateRequest,
        onChunk: (chunk: CompletionChunk) => void | Promise<void>,
        signal: AbortSignal,
    ): Promise<Either<TargetFailure, Completion>> {
        try {
            const res = await request(`${address.url}/v1/completions`, {
                method: "POST",
                dispatcher: this.dispatcher,
                headers: { "content-type": "application/json" },
                body: JSON.stringify({
                    model: req.model,
                    prompt: req.prompt,
                    max_tokens: req.maxTokens,
                    seed: req.seed,
                    priority: req.priority,
                    request_id: req.attempt,
                    stream: true,
                }),
                signal,
                bodyTimeout: 0,
                headersTimeout: 0,
            });
            if (res.statusCode !== 200) {
                await res.body.dump();
                return Left(statusFailure(res.statusCode));
            }
            return await readCompletion(res.body, onChunk);
        }
        catch (err) {
            return Left(toTargetFailure(err, signal));
        }
    }

    report(address: TargetAddress, deadline: Instant): Promise<Either<TargetFailure, EngineReport>> {
        return this.callAdmin(address, "GET", "/load", undefined, deadline);
    }

    load(address: TargetAddress, order: LoadOrder, deadline: Instant): Promise<Either<TargetFailure, EngineReport>> {
        return this.callAdmin(address, "POST", "/update_weights_from_disk", {
            model_path: `weights/${order.version}`,
            weight_version: String(order.version),
            fence: order.fence,
        }, deadline);
    }

    private async callAdmin(
        address: TargetAddress,
        method: "GET" | "POST",
        path: string,
        body: object | undefined,
        deadline: Instant,
    ): Promise<Either<TargetFailure, EngineReport>> {
        const signal = AbortSignal.timeout(Math.max(1, deadline - Date.now()));
        try {
            const res = await request(`${address.url}${path}`, {
                method,
                dispatcher: this.dispatcher,
                headers: { "content-type": "application/json" },
                body: body === undefined ? null : JSON.stringify(body),
                signal,
            });
            if (res.statusCode !== 200) {
                await res.body.dump();
                return Left(statusFailure(res.statusCode));
            }
            return parseReport(await res.body.json());
        }
        catch (err) {
            return Left(toTargetFailure(err, signal));
        }
    }
}

async function readCompletion(
    body: AsyncIterable<Buffer>,
    onChunk: (chunk: CompletionChunk) => void | Promise<void>,
): Promise<Either<TargetFailure, Completion>> {
    const builder = new CompletionBuilder();
    const chunks: CompletionChunk[] = [];
    const parser = createParser({ onEvent: event => handleEvent(event.data, builder, chunks) });
    const decoder = new TextDecoder();
    for await (const bytes of body) {
        parser.feed(decoder.decode(bytes, { stream: true }));
        for (const chunk of chunks.splice(0)) {
            await onChunk(chunk);
        }
    }
    const completion = builder.build();
    return completion !== undefined
        ? Right(completion)
        : Left({
            transmission: "some-bytes",
            reason: "cut",
            detail: "The stream ended before the completion was finished.",
        });
}

function handleEvent(data: string, builder: CompletionBuilder, chunks: CompletionChunk[]): void {
    if (data === "[DONE]") {
        builder.isDone = true;
        return;
    }
    const { text, version, finish } = readChunk(data);
    const chunk = { text, tokens: 1, version };
    builder.add(chunk);
    chunks.push(chunk);
    builder.finish = finish ?? builder.finish;
}

/** An engine that responds with 429 or 503 did not run the request; any other status leaves that open. */
function statusFailure(status: number): TargetFailure {
    return refusalStatuses.has(status)
        ? { transmission: "refused", reason: "refused", detail: `The engine responded with status ${status}.` }
        : { transmission: "some-bytes", reason: "protocol", detail: `The engine responded with status ${status}.` };
}

function parseReport(body: unknown): Either<TargetFailure, EngineReport> {
    const parsed = reportSchema.safeParse(body);
    if (!parsed.success) {
        return Left({
            transmission: "some-bytes",
            reason: "protocol",
            detail: "The engine's report has an unexpected form.",
        });
    }
    const { weight_version: version, weights_whole: versionWhole, running, waiting, slots } = parsed.data;
    return Right({ version: version as WeightVersion, versionWhole, running, waiting, slots });
}
