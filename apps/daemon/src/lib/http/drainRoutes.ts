/** Operators' routes that drain targets, or this host. */

import { type HostId, problem, type TargetId } from "@tamarackpath/core";
import { Router } from "express";
import { type Shutdown } from "../Shutdown.js";
import { type TargetTask } from "../tasks/TargetTask.js";
import { sendProblem } from "./problems.js";

/** Routes that drain a target on every host, or this host. A drained host continues to run until it is stopped. */
export function drainRoutes(host: HostId, targets: TargetTask, shutdown: Shutdown): Router {
    const router = Router();
    router.post("/v1/targets/:target/drain", (req, res) => {
        const target = String(req.params["target"]) as TargetId;
        if (targets.get(target) === undefined) {
            sendProblem(res, problem("not-found", `No target is named "${target}".`));
            return;
        }
        targets.markLeaving(target);
        res.json({ target, leaving: true });
    });
    router.post("/v1/drain", (unusedReq, res) => {
        void shutdown.drain();
        res.json({ host, phase: shutdown.phase });
    });
    return router;
}
