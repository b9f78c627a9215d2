/**
 * Tracks the callers' open requests for the graceful shutdown: asks callers to close their connections, refuses new
 * requests in the last phase of the shutdown, and reports the outcome of requests that cannot be finished as unknown.
 */

import { type Problem, problem } from "@tamarackpath/core";
import { type Request, type RequestHandler, type Response } from "express";
import { earlyRefusal, sendProblem } from "./problems.js";

const probePaths = new Set(["/healthz", "/readyz"]);
const ticketHeader = "tamarack-ticket";

/** Tracks the open requests of callers. */
export class OpenRequests {
    private readonly open = new Set<Response>();
    private isClosing = false;
    private refusing: "none" | "without-ticket" | "all" = "none";

    get count(): number {
        return this.open.size;
    }

    /** Middleware that runs before every route. */
    readonly watch: RequestHandler = (req, res, next) => {
        if (probePaths.has(req.path)) {
            next();
            return;
        }
        this.open.add(res);
        res.once("close", () => this.open.delete(res));
        if (this.isClosing) {
            res.setHeader("connection", "close");
        }
        if (this.refusing === "all" || this.refusing === "without-ticket" && req.header(ticketHeader) === undefined) {
            refuse(req, res);
            return;
        }
        next();
    };

    /** Adds "connection: close" to the answer of each open and each later request. */
    closeConnections(): void {
        this.isClosing = true;
        for (const res of this.open) {
            if (!res.headersSent) {
                res.setHeader("connection", "close");
            }
        }
    }

    /**
     * Refuses each later request. A request with a ticket is still served, because this host may be the only one that
     * has the outcome of the ticket's first request.
     */
    refuseNew(): void {
        this.refusing = "without-ticket";
    }

    /** Refuses each later request, also one with a ticket, as nothing waits for requests any more. */
    refuseAll(): void {
        this.refusing = "all";
    }

    /** Ends all open requests with the answer that their outcome is not known, and returns their number. */
    reportUnknown(): number {
        const count = this.open.size;
        this.open.forEach(endUnknown);
        return count;
    }
}

/** Reads the request to its end before answering; otherwise its sender may get a connection reset and no answer. */
function refuse(req: Request, res: Response): void {
    const failure = problem("stopping", "The host stops and takes no new requests.", { retry: { allowed: true } });
    req.resume();
    req.once("end", () => sendProblem(res, earlyRefusal(req, failure)));
}

function endUnknown(res: Response): void {
    const failure: Problem = problem("outcome-unknown", "The host stopped before the request had ended.", {
        run: "unknown",
    });
    if (!res.headersSent) {
        sendProblem(res, failure);
        return;
    }
    if (String(res.getHeader("content-type")).startsWith("text/event-stream")) {
        res.end(`event: error\ndata: ${JSON.stringify(failure)}\n\n`);
        return;
    }
    res.destroy();
}
