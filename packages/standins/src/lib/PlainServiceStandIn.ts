/**
 * Stand-in for a plain service, such as an order desk: quotes are idempotent, orders are not. It counts how often each
 * order ran, and tests check against these counts. The scorer stand-in is one of its routes.
 */

import { hash32 } from "@tamarackpath/core";
import { type Request, type Response } from "express";
import { StandInServer } from "./StandInServer.js";

/** Faults of a plain service; `POST /faults` changes them. */
export interface PlainServiceFaults {
    /** Delays each answer, in milliseconds. */
    delayMs: number;
    /** Number of further requests that are run, after which the connection is closed without an answer. */
    loseAnswers: number;
    /** Runs requests and never answers. */
    silent: boolean;
    /** Refuses requests with status 503 before they run, and states in a header that they did not run. */
    refuse: boolean;
    /** Runs requests and answers with status 503 nevertheless. */
    busyAfterRun: boolean;
    /** Number of further answers of which only half of the body is sent before the connection is closed. */
    cutBodies: number;
}

/** A plain service on loopback. */
export class PlainServiceStandIn {
    readonly faults: PlainServiceFaults = {
        delayMs: 0,
        loseAnswers: 0,
        silent: false,
        refuse: false,
        busyAfterRun: false,
        cutBodies: 0,
    };
    /** How often each order ran, by order number. */
    readonly orders = new Map<string, number>();
    calls = 0;

    private constructor(readonly server: StandInServer) {
        server.app.get("/health", (unusedReq, res) => void res.json({ ok: true }));
        server.app.get("/account", (unusedReq, res) => {
            res.json({ calls: this.calls, orders: Object.fromEntries(this.orders) });
        });
        server.app.post("/faults", (req, res) => {
            Object.assign(this.faults, req.body);
            res.json(this.faults);
        });
        server.app.get("/quotes/:article", (req, res) => this.serve(req, res, () => this.quote(req)));
        server.app.post("/orders", (req, res) => this.serve(req, res, () => this.placeOrder(req)));
        server.app.post("/score", (req, res) => this.serve(req, res, () => this.score(req)));
    }

    static async start(port = 0): Promise<PlainServiceStandIn> {
        const server = new StandInServer();
        const standIn = new PlainServiceStandIn(server);
        await server.listen(port);
        return standIn;
    }

    close(): Promise<void> {
        return this.server.close();
    }

    private serve(unusedReq: Request, res: Response, run: () => object): void {
        this.calls++;
        if (this.faults.refuse) {
            res.status(503).setHeader("retry-after", "1").setHeader("tamarack-run", "not-run").json({
                error: "The service takes no requests now.",
            });
            return;
        }
        const answer = JSON.stringify(run());
        if (this.faults.silent) {
            return;
        }
        setTimeout(() => this.answer(res, answer), this.faults.delayMs);
    }

    private answer(res: Response, answer: string): void {
        if (this.faults.loseAnswers > 0) {
            this.faults.loseAnswers--;
            res.destroy();
            return;
        }
        res.status(this.faults.busyAfterRun ? 503 : 200);
        res.setHeader("content-type", "application/json");
        if (this.faults.cutBodies > 0) {
            this.faults.cutBodies--;
            res.setHeader("content-length", Buffer.byteLength(answer));
            res.write(answer.slice(0, answer.length / 2));
            setTimeout(() => res.destroy(), 10);
            return;
        }
        res.end(answer);
    }

    private quote(req: Request): object {
        const article = String(req.params["article"]);
        return { article, price: 10 + hash32(article) % 90, echo: req.query["echo"] ?? null };
    }

    private placeOrder(req: Request): object {
        const number = String((req.body as { order?: string; }).order);
        const times = (this.orders.get(number) ?? 0) + 1;
        this.orders.set(number, times);
        return { order: number, confirmed: true };
    }

    private score(req: Request): object {
        const { text } = req.body as { text?: string; };
        return { score: hash32(String(text)) % 1000 / 1000 };
    }
}
