/** Streams one completion to a caller as server-sent events, with backpressure to the engine. */

import { check, type Instant, type Problem, problem } from "@tamarackpath/core";
import { type Response } from "express";
import { type Either } from "purify-ts";
import * as z from "zod";
import { type Context } from "../Context.js";
import { type CompletionTask } from "../tasks/CompletionTask.js";
import { disconnectSignal } from "./callRoutes.js";
import { readDeadline } from "./deadlines.js";
import { readPriority } from "./priorities.js";
import { fail, type ServiceRequest } from "./ServiceRoutes.js";

const completionSchema = z.looseObject({
    prompt: z.string().min(1).max(1_000_000),
    max_tokens: z.number().int().min(1).max(1_000_000).default(256),
    seed: z.number().int().min(0).max(Number.MAX_SAFE_INTEGER).default(0),
    stream: z.boolean().default(true),
});

interface CompletionRequest {
    readonly fields: z.output<typeof completionSchema>;
    readonly deadline: Instant;
    readonly priority: number;
}

/** The methods of the completion task that the route uses. */
export type CompletionCommands = Pick<CompletionTask, "run">;

/** Answers a completion request, as a stream or as one JSON document. */
export async function streamCompletion(
    ctx: Context,
    completions: CompletionCommands,
    call: ServiceRequest,
    input: unknown,
): Promise<void> {
    const { service, caller, res } = call;
    const request = readRequest(ctx, call, input);
    if (request.isLeft()) {
        request.ifLeft(failure => fail(ctx, res, failure));
        return;
    }
    const { fields, deadline, priority } = request.unsafeCoerce();
    const arrivedAt = ctx.clock.now();
    const result = await completions.run({
        service,
        caller,
        prompt: fields.prompt,
        maxTokens: fields.max_tokens,
        seed: fields.seed,
        deadline,
        priority,
        signal: disconnectSignal(res),
    }, chunk => fields.stream ? writeEvent(res, chunkEvent(chunk.text, chunk.version, null)) : undefined);
    result.ifLeft(failure => endWithProblem(ctx, res, failure));
    result.ifRight(done => {
        ctx.metrics.observeAnswer("completion", arrivedAt, ctx.clock.now());
        if (!fields.stream) {
            res.json(chunkEvent(done.text, done.spans.at(-1)?.version, done.finish));
            return;
        }
        void writeEvent(res, chunkEvent("", done.spans.at(-1)?.version, done.finish));
        res.end("data: [DONE]\n\n");
    });
}

function readRequest(
    ctx: Context,
    { service, req }: ServiceRequest,
    input: unknown,
): Either<Problem, CompletionRequest> {
    return readDeadline(ctx.clock.now(), service.answerWithinMs, req.header("tamarack-deadline")).chain(deadline =>
        readPriority(req.header("tamarack-priority")).chain(priority =>
            check(completionSchema, input)
                .mapLeft(findings => problem("invalid-request", "The request's body is not valid.", { findings }))
                .map(fields => ({ fields, deadline, priority }))
        )
    );
}

function chunkEvent(text: string, version: number | undefined, finish: string | null): object {
    return {
        object: "text_completion",
        choices: [{ index: 0, text, finish_reason: finish }],
        ...version === undefined ? {} : { weight_version: String(version) },
    };
}

function writeEvent(res: Response, event: object): void | Promise<void> {
    if (!res.headersSent) {
        res.setHeader("content-type", "text/event-stream");
    }
    if (!res.write(`data: ${JSON.stringify(event)}\n\n`) && !res.destroyed) {
        return new Promise(resolve => {
            res.once("drain", resolve);
            res.once("close", resolve);
        });
    }
}

function endWithProblem(ctx: Context, res: Response, failure: Problem): void {
    if (!res.headersSent) {
        fail(ctx, res, failure);
        return;
    }
    if (!res.destroyed) {
        res.end(`event: error\ndata: ${JSON.stringify(failure)}\n\n`);
    }
}
