/** Operators' routes that show and change the configuration. */

import {
    after,
    applyConfig,
    type ApplyFailure,
    check,
    type ConfigDraft,
    configHistory,
    type ConfigRevision,
    type OperationId,
    type Problem,
    problem,
    sleepUntil,
} from "@tamarackpath/core";
import express, { type Request, type Response, Router } from "express";
import * as z from "zod";
import { type Context } from "../Context.js";
import { sendProblem } from "./problems.js";

const maxDocumentSize = "1mb";
const retryDelayMs = 200;

const changeSchema = z.strictObject({
    doc: z.looseObject({ name: z.string() }),
    base: z.number().int().min(0).transform(value => value as ConfigRevision),
    operationId: z.string().min(1).max(128).transform(text => text as OperationId),
});

/** Routes for the configuration documents. */
export function configRoutes(ctx: Context): Router {
    const router = Router();
    router.get("/v1/config/:name", (req, res) => showDocument(ctx, req, res));
    router.get("/v1/config/:name/history", (req, res) => showHistory(ctx, req, res));
    router.put("/v1/config/:name", express.json({ limit: maxDocumentSize }), (req, res) => change(ctx, req, res));
    return router;
}

function nameOf(req: Request): string {
    return String(req.params["name"]);
}

function showDocument(ctx: Context, req: Request, res: Response): void {
    const doc = ctx.config.documents().find(entry => entry.name === nameOf(req));
    if (doc === undefined) {
        sendProblem(res, problem("not-found", `No configuration is named "${nameOf(req)}".`));
        return;
    }
    res.json(doc);
}

async function showHistory(ctx: Context, req: Request, res: Response): Promise<void> {
    const history = await configHistory(ctx.ports.keyValue, nameOf(req));
    history.caseOf({
        Left: ({ detail }) => sendProblem(res, problem("unavailable", detail, { retry: { allowed: true } })),
        Right: docs =>
            void res.json(docs.map(({ revision, operationId, pools, services }) => ({
                revision,
                operationId,
                pools: pools.map(entry => entry.pool),
                services: services.map(entry => entry.service),
            }))),
    });
}

async function change(ctx: Context, req: Request, res: Response): Promise<void> {
    const body = check(changeSchema, req.body);
    if (body.isLeft()) {
        body.ifLeft(findings => {
            sendProblem(res, problem("invalid-request", "The request's body is not valid.", { findings }));
        });
        return;
    }
    const { doc, base, operationId } = body.unsafeCoerce();
    if (doc.name !== nameOf(req)) {
        const findings = [{ place: "doc.name", read: doc.name, allowed: nameOf(req) }];
        sendProblem(res, problem("invalid-request", "The document has another name.", { findings }));
        return;
    }
    const result = await applyConfig(ctx.ports.keyValue, doc as unknown as ConfigDraft, base, operationId, {
        highestKnownRevision: ctx.config.documents().find(entry => entry.name === doc.name)?.revision,
        waitBeforeRetry: repeat =>
            sleepUntil(ctx.clock, after(ctx.clock.now(), retryDelayMs * (repeat + ctx.random()))),
    });
    result.caseOf({
        Left: failure => sendProblem(res, toProblem(failure)),
        Right: ({ doc: accepted, superseded }) => void res.json({ revision: accepted.revision, superseded }),
    });
}

type FailureHandlers = {
    readonly [Kind in ApplyFailure["kind"]]: (failure: Extract<ApplyFailure, { kind: Kind; }>) => Problem;
};

const failureHandlers: FailureHandlers = {
    "invalid": ({ findings }) => problem("invalid-request", "The document is not valid.", { findings }),
    "conflict": ({ current, differences }) =>
        problem("conflict", `Revision ${current?.revision ?? 0} is in force; the change was made from another one.`, {
            findings: differences.map(({ path, before, after: inForce }) => ({
                place: path,
                read: JSON.stringify(before) ?? "nothing",
                allowed: JSON.stringify(inForce) ?? "nothing",
            })),
        }),
    "unreadable": ({ findings }) => problem("conflict", "The document in the store is ill-formed.", { findings }),
    "not-applied": ({ detail }) => problem("unavailable", detail, { retry: { allowed: true } }),
    "unknown": ({ detail }) => problem("outcome-unknown", detail, { run: "unknown", retry: { allowed: true } }),
};

function toProblem(failure: ApplyFailure): Problem {
    const handler = failureHandlers[failure.kind] as (failure: ApplyFailure) => Problem;
    return handler(failure);
}
