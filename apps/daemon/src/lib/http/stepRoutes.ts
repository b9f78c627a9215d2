/** Routes for trainers: steps with their samples, and published weight versions. */

import {
    check,
    type Problem,
    problem,
    stepBodySchema,
    type StepId,
    type StepPullRequest,
    type StepReference,
    type StepSpec,
    type WeightVersion,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { type Context } from "../Context.js";
import { type StepRouter } from "../tasks/StepRouter.js";
import { type WeightTask } from "../tasks/WeightTask.js";
import { reply, type ServiceRequest, type ServiceRoutes } from "./ServiceRoutes.js";

/** Upper limit of the findings that are reported for one body. */
const maxFindings = 50;

const maxWaitMs = 30_000;
const stepIdPattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;

const pullSchema = z.strictObject({
    cursor: z.string().max(1_000_000).optional(),
    weightVersion: z.number().int().min(0).transform(value => value as WeightVersion).optional(),
    maxSamples: z.number().int().min(1).max(8192).default(256),
    waitMs: z.number().int().min(0).max(maxWaitMs).default(10_000),
});

const publishSchema = z.strictObject({
    version: z.number().int().min(0).transform(value => value as WeightVersion),
});

/** The methods of the step router that the routes use. */
export type StepCommands = Pick<StepRouter, "put" | "pull" | "status" | "cancel">;

/** The methods of the weight task that the routes use. */
export type WeightCommands = Pick<WeightTask, "publish">;

/** The routes for steps. */
export function stepRoutes(ctx: Context, steps: StepCommands): ServiceRoutes {
    return {
        "/steps/:step": {
            PUT: {
                body: "json",
                handle: async (call, input) => {
                    const spec = referenceOf(call).chain(ref => readSpec(call, ref, input));
                    reply(ctx, call, spec.isLeft() ? spec : await steps.put(spec.unsafeCoerce()));
                },
            },
            GET: {
                body: "none",
                handle: async call => {
                    const ref = referenceOf(call);
                    reply(ctx, call, ref.isLeft() ? ref : await steps.status(ref.unsafeCoerce()));
                },
            },
            DELETE: {
                body: "none",
                handle: async call => {
                    const ref = referenceOf(call);
                    reply(ctx, call, ref.isLeft() ? ref : await steps.cancel(ref.unsafeCoerce()));
                },
            },
        },
        "/steps/:step/pull": {
            POST: {
                body: "json",
                handle: async (call, input) => {
                    const ask = referenceOf(call).chain(ref => readPull(ctx, ref, input));
                    reply(ctx, call, ask.isLeft() ? ask : await steps.pull(ask.unsafeCoerce()));
                },
            },
        },
    };
}

/** The route for published weight versions. */
export function weightRoutes(ctx: Context, weights: WeightCommands): ServiceRoutes {
    return {
        "/weights": {
            POST: {
                body: "json",
                handle: async (call, input) => {
                    const body = check(publishSchema, input).mapLeft(invalidBody);
                    if (body.isRight()) {
                        await weights.publish(call.service.service, body.unsafeCoerce().version);
                    }
                    reply(ctx, call, body);
                },
            },
        },
    };
}

function referenceOf({ req, service, caller }: ServiceRequest): Either<Problem, StepReference> {
    const step = String(req.params["step"]);
    if (!stepIdPattern.test(step)) {
        const read = step.slice(0, 80);
        return Left(invalidBody([{ place: "path.step", read, allowed: "letters, digits, '.', '_' and '-'" }]));
    }
    return Right({ service: service.service, caller, step: step as StepId });
}

function invalidBody(findings: Problem["findings"]): Problem {
    return problem("invalid-request", "The request's body is not valid.", {
        findings: (findings ?? []).slice(0, maxFindings),
    });
}

function readSpec({ service }: ServiceRequest, ref: StepReference, input: unknown): Either<Problem, StepSpec> {
    const { limits, stalenessBound } = service;
    return check(stepBodySchema, input).mapLeft(invalidBody).chain(body => {
        const findings = [
            ...body.groups.length > limits.groupsPerStep
                ? [{ place: "groups", read: String(body.groups.length), allowed: `at most ${limits.groupsPerStep}` }]
                : [],
            ...body.groups.flatMap((group, index) =>
                group.samples > limits.samplesPerGroup
                    ? [{
                        place: `groups.${index}.samples`,
                        read: String(group.samples),
                        allowed: `at most ${limits.samplesPerGroup}`,
                    }]
                    : []
            ),
        ];
        if (findings.length > 0) {
            return Left(problem("too-large", "The step is larger than the service allows.", { findings }));
        }
        const bound = Math.min(stalenessBound, body.stalenessBound ?? stalenessBound);
        return Right({ ...body, ...ref, stalenessBound: bound });
    });
}

function readPull(ctx: Context, ref: StepReference, input: unknown): Either<Problem, StepPullRequest> {
    return check(pullSchema, input).mapLeft(invalidBody).map(({ waitMs, ...rest }) => ({
        ...ref,
        cursor: rest.cursor,
        weightVersion: rest.weightVersion,
        maxSamples: rest.maxSamples,
        waitUntil: ctx.clock.now() + waitMs,
    }));
}
