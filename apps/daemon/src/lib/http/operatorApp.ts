/**
 * The HTTP interface for operators: status, dump, metrics, drain and configuration. All routes except the health probes
 * and the metrics require the shared secret.
 */

import { operatorName, tokenMatches } from "@tamarackpath/adapters";
import { problem } from "@tamarackpath/core";
import express, { type Express } from "express";
import { type Context, type Task } from "../Context.js";
import { type Shutdown } from "../Shutdown.js";
import { type DispatchTask } from "../tasks/DispatchTask.js";
import { type MembershipTask } from "../tasks/MembershipTask.js";
import { type TargetTask } from "../tasks/TargetTask.js";
import { configRoutes } from "./configRoutes.js";
import { drainRoutes } from "./drainRoutes.js";
import { createDump } from "./dump.js";
import { handleHttpError, sendProblem } from "./problems.js";

/** Tasks that the operators' interface uses. */
export interface OperatorTasks {
    readonly all: readonly Task[];
    readonly targets: TargetTask;
    readonly members: MembershipTask;
    readonly dispatch: DispatchTask;
    readonly shutdown: Shutdown;
    isReady(): boolean;
}

/** Creates the Express app of the operators' interface. */
export function createOperatorApp(ctx: Context, secret: string, tasks: OperatorTasks): Express {
    const app = express();
    app.disable("x-powered-by");
    app.get("/healthz", (unusedReq, res) => void res.json({ alive: true }));
    app.get("/readyz", (unusedReq, res) => {
        const ready = tasks.isReady();
        res.status(ready ? 200 : 503).json({ ready });
    });
    app.get("/metrics", async (unusedReq, res) => {
        res.type(ctx.metrics.registry.contentType).send(await ctx.metrics.registry.metrics());
    });
    app.use((req, res, next) => {
        const token = (req.header("authorization") ?? "").replace(/^Bearer /, "");
        if (tokenMatches(secret, operatorName, token)) {
            next();
            return;
        }
        sendProblem(res, problem("forbidden", "The call is not signed with the shared secret."));
    });
    app.get("/v1/dump", (unusedReq, res) => void res.type("json").send(createDump(ctx, tasks.all)));
    app.get("/v1/status", (unusedReq, res) => {
        res.json({
            host: ctx.host,
            zone: ctx.zone,
            incarnation: ctx.incarnation,
            ready: tasks.isReady(),
            phase: tasks.shutdown.phase,
            config: ctx.config.revisions(),
            configFindings: ctx.config.findings(),
            members: tasks.members.live(),
            inFlight: tasks.dispatch.inFlightCount,
            waiting: tasks.dispatch.waitingCount,
        });
    });
    app.use(drainRoutes(ctx.host, tasks.targets, tasks.shutdown));
    app.use(configRoutes(ctx));
    app.use((req, res) => sendProblem(res, problem("not-found", `Nothing answers ${req.method} ${req.path}.`)));
    app.use(handleHttpError);
    return app;
}
