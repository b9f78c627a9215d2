/**
 * The routes of a service: each path with its methods. A request is authenticated first, then counted, then its body
 * is read within the service's limits. Each of these steps refuses a request with a problem document.
 */

import { type CallerId, type Problem, problem, type ServiceConfig, type ServiceId } from "@tamarackpath/core";
import { type Express, type Request, type Response } from "express";
import { type Either, Left, Right } from "purify-ts";
import { type Context } from "../Context.js";
import { authenticate } from "./authenticate.js";
import { CallerRequestLimiter } from "./CallerRequestLimiter.js";
import { earlyRefusal, sendProblem } from "./problems.js";
import { readBody, readJson } from "./readBody.js";

/** The caller of a request and the service that it calls. */
export interface IdentifiedCaller {
    readonly service: ServiceConfig;
    readonly caller: CallerId;
}

/** An authenticated request. */
export interface ServiceRequest extends IdentifiedCaller {
    readonly req: Request;
    readonly res: Response;
}

/** Sends the result of a task, or its problem. */
export type Reply = (call: ServiceRequest, result: Either<Problem, unknown>) => void;

/** A method of a route: the format of its body, and its handler. */
export type ServiceMethod =
    | { readonly body: "none"; readonly handle: (call: ServiceRequest) => Promise<void>; }
    | { readonly body: "json"; readonly handle: (call: ServiceRequest, input: unknown) => Promise<void>; }
    | { readonly body: "bytes"; readonly handle: (call: ServiceRequest, body: Buffer) => Promise<void>; };

/** The methods of one path; `*` stands for every method. */
export type ServiceRoute = Readonly<Record<string, ServiceMethod>>;

/** Routes below `/v1/services/SERVICE`, by path. */
export type ServiceRoutes = Readonly<Record<string, ServiceRoute>>;

/** Adds `routes` to `app`. */
export function addServiceRoutes(app: Express, ctx: Context, routes: ServiceRoutes): void {
    const limiter = new CallerRequestLimiter();
    for (const [path, route] of Object.entries(routes)) {
        app.all(`/v1/services/:service${path}`, (req, res) => serve(ctx, limiter, route, req, res));
    }
}

/** Sends `result` as JSON, or its problem. */
export function reply(ctx: Context, call: ServiceRequest, result: Either<Problem, unknown>): void {
    result.ifLeft(failure => fail(ctx, call.res, failure));
    result.ifRight(body => {
        call.res.json(body);
        ctx.guard.holdAnswer(call.res, Number(call.res.getHeader("content-length") ?? 0));
    });
}

/** Sends a problem and counts it. */
export function fail(ctx: Context, res: Response, failure: Problem): void {
    ctx.metrics.problems.inc({ type: failure.type });
    sendProblem(res, failure);
}

async function serve(
    ctx: Context,
    limiter: CallerRequestLimiter,
    route: ServiceRoute,
    req: Request,
    res: Response,
): Promise<void> {
    const method = route[req.method === "HEAD" && route["*"] === undefined ? "GET" : req.method] ?? route["*"];
    if (method === undefined) {
        const allow = Object.keys(route).join(", ");
        res.setHeader("allow", allow);
        fail(ctx, res, problem("method-not-allowed", `This route answers ${allow}.`));
        return;
    }
    const failure = await identify(ctx, req)
        .chain(identified =>
            limiter.open(identified.service, identified.caller, res).map(() => ({ ...identified, req, res }))
        )
        .caseOf<Promise<Problem | undefined>>({
            Left: refusal => Promise.resolve(refusal),
            Right: call => handle(ctx, call, method),
        });
    if (failure !== undefined) {
        fail(ctx, res, earlyRefusal(req, failure));
    }
}

async function handle(ctx: Context, call: ServiceRequest, method: ServiceMethod): Promise<Problem | undefined> {
    switch (method.body) {
        case "none":
            await method.handle(call);
            return undefined;
        case "json":
            return await handleRead(await readJson(ctx, call), input => method.handle(call, input));
        case "bytes":
            return await handleRead(await readBody(ctx, call), body => method.handle(call, body));
    }
}

async function handleRead<Body>(
    read: Either<Problem, Body>,
    run: (body: Body) => Promise<void>,
): Promise<Problem | undefined> {
    return await read.caseOf<Promise<Problem | undefined>>({
        Left: failure => Promise.resolve(failure),
        Right: async body => {
            await run(body);
            return undefined;
        },
    });
}

function identify(ctx: Context, req: Request): Either<Problem, IdentifiedCaller> {
    const name = String(req.params["service"]) as ServiceId;
    const service = ctx.config.service(name);
    if (service === undefined) {
        return Left(problem("not-found", `No service is named "${name.slice(0, 80)}".`));
    }
    return authenticate(service, req.header("authorization")).chain(({ caller }) => Right({ service, caller }));
}
