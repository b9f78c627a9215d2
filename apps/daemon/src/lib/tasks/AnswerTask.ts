/**
 * Answers calls to plain services. Idempotent calls run freely; a call that must not be repeated runs only with a
 * ticket of this incarnation or a claim on the caller's idempotency key.
 */

import {
    after,
    type CallerId,
    type HostId,
    type Instant,
    matchesCall,
    type PlainRequest,
    type Problem,
    problem,
    type ServiceConfig,
    type ServiceId,
    sleepUntil,
    type StoredResponse,
    type TicketCallRequest,
} from "@tamarackpath/core";
import { type Either, Left } from "purify-ts";
import { ClaimStore } from "../answers/ClaimStore.js";
import { KeyedCalls } from "../answers/KeyedCalls.js";
import { type NeverRepeatCall } from "../answers/NeverRepeatCall.js";
import { type MintedTicket, TicketCalls } from "../answers/TicketCalls.js";
import { type Context, type Task } from "../Context.js";
import { type DispatchTask } from "./DispatchTask.js";
import { PlainCallRunner } from "./PlainCallRunner.js";
import { repeat } from "./repeat.js";

const forgetEveryMs = 5000;
const drainPollMs = 50;
const lateAnswerMs = 30_000;

/** One call of a caller. */
export interface PlainCall {
    readonly service: ServiceConfig;
    readonly caller: CallerId;
    readonly req: PlainRequest;
    readonly deadline: Instant;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly signal: AbortSignal;
    readonly ticket: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly isFirst: boolean;
}

/** Places duties on the zone's hosts. */
export interface HostRanking {
    ranked(key: string): readonly HostId[];
}

/** Answers calls to plain services. */
export class AnswerTask implements Task {
    readonly name = "answers";
    private readonly tickets: TicketCalls;
    private readonly keyed: KeyedCalls;
    private readonly claims: ClaimStore;
    private readonly runner: PlainCallRunner;
    private zones = 1;
    private cancel: () => void = () => undefined;

    constructor(private readonly ctx: Context, dispatch: DispatchTask, members: HostRanking, secret: string) {
        const runOnce = (call: NeverRepeatCall): Promise<Either<Problem, StoredResponse>> => this.runOnce(call);
        this.runner = new PlainCallRunner(ctx, dispatch);
        this.claims = new ClaimStore(ctx, { ranked: key => members.ranked(key), zones: () => this.zones });
        this.tickets = new TicketCalls(ctx, runOnce, secret);
        this.keyed = new KeyedCalls(ctx, this.claims, runOnce);
    }

    start(): void {
        const { peers } = this.ctx.ports;
        peers.handle("ticket-call", ask => this.serveTicketCall(ask));
        peers.handle("claim-change", change => this.claims.serve(change));
        peers.handle("claim-outcome", ask => this.keyed.serveOutcome(ask));
        this.ctx.bus.on("hostListRead", ({ hosts }) => {
            this.zones = Math.max(1, new Set(hosts.map(host => host.zone)).size);
        });
        this.cancel = repeat(this.ctx, forgetEveryMs, () => this.forget());
    }

    /** Waits until no call that must not be repeated runs and every outcome is stored. */
    async drain(deadline: Instant): Promise<void> {
        const { clock } = this.ctx;
        while (this.unsettled > 0 && clock.now() < deadline) {
            await sleepUntil(clock, after(clock.now(), drainPollMs));
        }
    }

    stop(): void {
        this.cancel();
    }

    mintTicket(service: ServiceId, caller: CallerId): Either<Problem, MintedTicket> {
        return this.tickets.mint(service, caller);
    }

    async call(call: PlainCall): Promise<Either<Problem, StoredResponse>> {
        const { service, caller, req, deadline, isFirst } = call;
        if (!mustNotRepeat(service, req)) {
            return await this.runner.run({ ...call, lateCost: lateCostOf(call), idempotent: isIdempotent(req) });
        }
        const once = { service: service.service, caller, req: { ...req, neverRepeat: true }, deadline, isFirst };
        if (call.ticket !== undefined) {
            return await this.tickets.call(once, call.ticket);
        }
        if (call.idempotencyKey !== undefined) {
            return await this.keyed.call(once, call.idempotencyKey);
        }
        return Left(problem("invalid-request", "This call must not be repeated, so it needs a way to recognise it.", {
            findings: [{
                place: "headers",
                read: "neither Idempotency-Key nor Tamarack-Ticket",
                allowed: "an Idempotency-Key, or a Tamarack-Ticket from POST /v1/services/SERVICE/tickets",
            }],
        }));
    }

    dump(): unknown {
        return {
            tickets: this.tickets.keeper.book.size,
            claims: this.keyed.keeper.book.size,
            unsettled: this.unsettled,
            zones: this.zones,
        };
    }

    private get unsettled(): number {
        return this.tickets.keeper.book.unsettled + this.keyed.keeper.book.unsettled + this.keyed.settles.length;
    }

    private forget(): void {
        const now = this.ctx.clock.now();
        this.tickets.keeper.book.evictExpired(now);
        this.keyed.forget(now);
    }

    /** Runs a call whose right to run is recorded; it goes on after the caller has left, so that it can be replayed. */
    private runOnce({ service, caller, req, deadline }: NeverRepeatCall): Promise<Either<Problem, StoredResponse>> {
        const cfg = this.ctx.config.service(service);
        if (cfg === undefined) {
            return Promise.resolve(Left(problem("not-found", "The service is not configured on this host.")));
        }
        return this.runner.run({
            service: cfg,
            caller,
            req: { ...req, neverRepeat: true },
            deadline,
            answerBy: after(deadline, lateAnswerMs),
            lateCost: cfg.lateCost,
            idempotent: false,
            signal: new AbortController().signal,
        });
    }

    private serveTicketCall(ask: TicketCallRequest): Promise<Either<Problem, StoredResponse>> {
        const { service, caller, ticket, method, path, headers, body } = ask;
        const req: PlainRequest = { method, path, headers, body, neverRepeat: true };
        return this.tickets.call({ service, caller, req, deadline: ask.deadline as Instant, isFirst: false }, ticket);
    }
}

const idempotentMethods: readonly string[] = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];
const priorityLevels = 10;

function isIdempotent(req: PlainRequest): boolean {
    return idempotentMethods.includes(req.method);
}

/** A caller may lower the weight of its own call. */
function lateCostOf(call: PlainCall): number {
    return call.service.lateCost * (1 - call.priority / priorityLevels);
}

/** Tells whether the operators said that the call must not be repeated. */
export function mustNotRepeat(service: ServiceConfig, req: PlainRequest): boolean {
    return matchesCall(service.neverRepeat, req.method, req.path.split("?")[0]!);
}
