/**
 * Answers calls to plain services. Idempotent calls run without further checks. A call that must not be repeated runs
 * only with a ticket issued by this incarnation or a claim on the caller's idempotency key.
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
import { type AtMostOnceCall } from "../answers/AtMostOnceCall.js";
import { ClaimStore } from "../answers/ClaimStore.js";
import { KeyedCalls } from "../answers/KeyedCalls.js";
import { type IssuedTicket, TicketCalls } from "../answers/TicketCalls.js";
import { type Context, type Task } from "../Context.js";
import { type DispatchTask } from "./DispatchTask.js";
import { PlainCallRunner } from "./PlainCallRunner.js";
import { repeat } from "./repeat.js";

const cleanupIntervalMs = 5000;
const drainPollIntervalMs = 50;
/** How long after the caller's deadline an answer is still accepted, to be replayed to a retry. */
const lateAnswerTimeoutMs = 30_000;

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

/** Ranks the zone's live hosts by key, so that every host chooses the same one. */
export interface HostRanking {
    ranked(key: string): readonly HostId[];
}

/** Answers calls to plain services. */
export class AnswerTask implements Task {
    readonly name = "answers";
    private readonly tickets: TicketCalls;
    private readonly keyedCalls: KeyedCalls;
    private readonly claims: ClaimStore;
    private readonly runner: PlainCallRunner;
    private zones = 1;
    private cancel: () => void = () => undefined;

    constructor(private readonly ctx: Context, dispatch: DispatchTask, members: HostRanking, secret: string) {
        const runOnce = (call: AtMostOnceCall): Promise<Either<Problem, StoredResponse>> => this.runOnce(call);
        this.runner = new PlainCallRunner(ctx, dispatch);
        this.claims = new ClaimStore(ctx, { ranked: key => members.ranked(key), zones: () => this.zones });
        this.tickets = new TicketCalls(ctx, runOnce, secret);
        this.keyedCalls = new KeyedCalls(ctx, this.claims, runOnce);
    }

    start(): void {
        const { peers } = this.ctx.ports;
        peers.handle("ticket-call", request => this.serveTicketCall(request));
        peers.handle("claim-change", change => this.claims.serve(change));
        peers.handle("claim-outcome", request => this.keyedCalls.serveOutcome(request));
        this.ctx.bus.on("hostListRead", ({ hosts }) => {
            this.zones = Math.max(1, new Set(hosts.map(host => host.zone)).size);
        });
        this.cancel = repeat(this.ctx, cleanupIntervalMs, () => this.removeExpired());
    }

    /** Waits until every call that must not be repeated has ended and its outcome is stored, or until `deadline`. */
    async drain(deadline: Instant): Promise<void> {
        const { clock } = this.ctx;
        while (this.unsettled > 0 && clock.now() < deadline) {
            await sleepUntil(clock, after(clock.now(), drainPollIntervalMs));
        }
    }

    stop(): void {
        this.cancel();
    }

    issueTicket(service: ServiceId, caller: CallerId): Either<Problem, IssuedTicket> {
        return this.tickets.issue(service, caller);
    }

    async call(call: PlainCall): Promise<Either<Problem, StoredResponse>> {
        const { service, caller, req, deadline, isFirst } = call;
        if (!mustNotRepeat(service, req)) {
            return await this.runner.run({ ...call, lateCost: lateCostOf(call), idempotent: isIdempotent(req) });
        }
        const atMostOnceCall = {
            service: service.service,
            caller,
            req: { ...req, neverRepeat: true },
            deadline,
            isFirst,
        };
        if (call.ticket !== undefined) {
            return await this.tickets.call(atMostOnceCall, call.ticket);
        }
        if (call.idempotencyKey !== undefined) {
            return await this.keyedCalls.call(atMostOnceCall, call.idempotencyKey);
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
            tickets: this.tickets.runner.registry.size,
            claims: this.keyedCalls.runner.registry.size,
            unsettled: this.unsettled,
            zones: this.zones,
        };
    }

    private get unsettled(): number {
        return this.tickets.runner.registry.unsettled + this.keyedCalls.runner.registry.unsettled
            + this.keyedCalls.settleQueue.length;
    }

    private removeExpired(): void {
        const now = this.ctx.clock.now();
        this.tickets.runner.registry.evictExpired(now);
        this.keyedCalls.removeExpired(now);
    }

    /** Runs a call with a ticket or claim. It outlasts the caller's connection, so that its outcome can be replayed. */
    private runOnce({ service, caller, req, deadline }: AtMostOnceCall): Promise<Either<Problem, StoredResponse>> {
        const serviceConfig = this.ctx.config.service(service);
        if (serviceConfig === undefined) {
            return Promise.resolve(Left(problem("not-found", "The service is not configured on this host.")));
        }
        return this.runner.run({
            service: serviceConfig,
            caller,
            req: { ...req, neverRepeat: true },
            deadline,
            answerDeadline: after(deadline, lateAnswerTimeoutMs),
            lateCost: serviceConfig.lateCost,
            idempotent: false,
            signal: new AbortController().signal,
        });
    }

    private serveTicketCall(request: TicketCallRequest): Promise<Either<Problem, StoredResponse>> {
        const { service, caller, ticket, method, path, headers, body } = request;
        const req: PlainRequest = { method, path, headers, body, neverRepeat: true };
        return this.tickets.call(
            { service, caller, req, deadline: request.deadline as Instant, isFirst: false },
            ticket,
        );
    }
}

const idempotentMethods: readonly string[] = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];
const priorityLevels = 10;

function isIdempotent(req: PlainRequest): boolean {
    return idempotentMethods.includes(req.method);
}

/** A caller may lower, but not raise, the cost that routing assigns to a late answer of its own call. */
function lateCostOf(call: PlainCall): number {
    return call.service.lateCost * (1 - call.priority / priorityLevels);
}

/** Returns whether the service's configuration lists the call as one that must not be repeated. */
export function mustNotRepeat(service: ServiceConfig, req: PlainRequest): boolean {
    return matchesCall(service.neverRepeat, req.method, req.path.split("?")[0]!);
}
