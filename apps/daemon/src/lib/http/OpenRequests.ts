/**
 * The callers' requests that are open at this host, for the graceful shutdown: tells callers to close their
 * connections, turns new requests away once the host refuses them, and reports those that cannot be finished.
 */

import { type Problem, problem } from "@tamarackpath/core";
import { type Request, type RequestHandler, type Response } from "express";
import { earlyRefusal, sendProblem } from "./problems.js";

const probePaths = new Set(["/healthz", "/readyz"]);
const ticketHeader = "tamarack-ticket";

/** Open requests of callers. */
export class OpenRequests {
    private readonly open = new Set<Response>();
    private closing = false;
    private refusing = false;

    get count(): number {
        return this.open.size;
    }

    /** Middleware that goes before every route. */
    readonly watch: RequestHandler = (req, res, next) => {
        if (probePaths.has(req.path)) {
            next();
            return;
        }
        this.open.add(res);
        res.once("close", () => this.open.delete(res));
        if (this.closing) {
            res.setHeader("connection", "close");
        }
        if (this.refusing && req.header(ticketHeader) === undefined) {
            refuse(req, res);
            return;
        }
        next();
    };

    /** From now on each answer tells its caller to close the connection. */
    closeConnections(): void {
        this.closing = true;
        for (const res of this.open) {
            if (!res.headersSent) {
                res.setHeader("connection", "close");
            }
        }
    }

    /**
     * From now on new requests are turned away. A request with a ticket is still served: only this host may know the
     * outcome of the ticket's first request.
     */
    refuseNew(): void {
        this.refusing = true;
    }

    /** Tells the callers of all open requests that the outcome is not known, and returns how many there were. */
    reportUnknown(): number {
        const count = this.open.size;
        this.open.forEach(endUnknown);
        return count;
    }
}

/** Reads the request to its end first, so that its sender reads the answer and does not see a reset. */
function refuse(req: Request, res: Response): void {
    const found = problem("stopping", "The host stops and takes no new requests.", { retry: { allowed: true } });
    req.resume();
    req.once("end", () => sendProblem(res, earlyRefusal(req, found)));
}

function endUnknown(res: Response): void {
    const found: Problem = problem("outcome-unknown", "The host stopped before the request had ended.", {
        run: "unknown",
    });
    if (!res.headersSent) {
        sendProblem(res, found);
        return;
    }
    if (String(res.getHeader("content-type")).startsWith("text/event-stream")) {
        res.end(`event: error\ndata: ${JSON.stringify(found)}\n\n`);
        return;
    }
    res.destroy();
}
