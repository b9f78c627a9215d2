/** The HTTP interface for callers: steps, answers and completions. */

import { problem } from "@tamarackpath/core";
import express, { type Express, type NextFunction, type Request, type Response } from "express";
import { type Context } from "../Context.js";
import { type CallCommands, callRoutes } from "./callRoutes.js";
import { type OpenRequests } from "./OpenRequests.js";
import { earlyRefusal, handleHttpError } from "./problems.js";
import { addServiceRoutes, fail } from "./ServiceRoutes.js";
import { type StepCommands, stepRoutes, type WeightCommands, weightRoutes } from "./stepRoutes.js";
import { type CompletionCommands, streamCompletion } from "./streamCompletion.js";

/** Tasks that the callers' interface uses. */
export interface CallerTasks {
    readonly steps: StepCommands;
    readonly answers: CallCommands;
    readonly completions: CompletionCommands;
    readonly weights: WeightCommands;
    readonly requests: OpenRequests;
    isReady(): boolean;
}

/** Creates the Express app of the callers' interface. */
export function createCallerApp(ctx: Context, tasks: CallerTasks): Express {
    const app = express();
    app.disable("x-powered-by");
    app.disable("etag");
    app.enable("case sensitive routing");
    app.enable("strict routing");
    app.use(tasks.requests.watch);
    app.get("/healthz", (unusedReq, res) => void res.json({ alive: true }));
    app.get(
        "/readyz",
        (unusedReq, res) => void res.status(tasks.isReady() ? 200 : 503).json({ ready: tasks.isReady() }),
    );
    addServiceRoutes(app, ctx, {
        ...stepRoutes(ctx, tasks.steps),
        ...weightRoutes(ctx, tasks.weights),
        ...callRoutes(ctx, tasks.answers),
        "/completions": {
            POST: { body: "json", handle: (call, input) => streamCompletion(ctx, tasks.completions, call, input) },
        },
    });
    app.use((req, res) => {
        const name = `${req.method} ${req.path}`.slice(0, 200);
        fail(ctx, res, earlyRefusal(req, problem("not-found", `Nothing answers ${name}.`)));
    });
    app.use((err: Error, req: Request, res: Response, next: NextFunction) => {
        ctx.log("http").error("A request failed with an error.", { path: req.path.slice(0, 200), err: String(err) });
        handleHttpError(err, req, res, next);
    });
    return app;
}
