/** Runs calls that carry a ticket on the incarnation that issued it. Every other host forwards them to that host. */

import {
    after,
    type CallerId,
    decodeTicket,
    encodeTicket,
    type Problem,
    problem,
    type RequestId,
    type ServiceId,
    type StoredResponse,
    type Ticket,
    ticketSealInput,
} from "@tamarackpath/core";
import { createHmac, timingSafeEqual } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import { type Context } from "../Context.js";
import { limitReachedProblem, outcomeUnknownProblem, ticketRefusedProblem } from "./answerProblems.js";
import { type AtMostOnceCall, type RunOnce } from "./AtMostOnceCall.js";
import { AtMostOnceRunner } from "./AtMostOnceRunner.js";

const ticketTtlMs = 600_000;
/** Length of a ticket's seal: an HMAC over the ticket, the service and the caller, which no caller can forge. */
const sealHexDigits = 32;
/** How long after the call's deadline a forwarding host still waits for the answer. */
const answerGraceMs = 500;

/** A ticket, and the time until which its request and outcome are kept. */
export interface IssuedTicket {
    readonly ticket: RequestId;
    readonly validUntil: number;
}

/** Dependencies of the calls with tickets and keys. */
export type AnswerContext = Pick<Context, "host" | "incarnation" | "clock"> & {
    readonly ports: Pick<Context["ports"], "keyValue" | "peers">;
};

/** Issues tickets and runs the calls that carry them. */
export class TicketCalls {
    readonly runner: AtMostOnceRunner;
    private serial = 0;

    constructor(private readonly ctx: AnswerContext, runOnce: RunOnce, private readonly secret: string) {
        this.runner = new AtMostOnceRunner(ctx.clock, runOnce, "ticket");
    }

    issue(service: ServiceId, caller: CallerId): Either<Problem, IssuedTicket> {
        const { host, incarnation, clock } = this.ctx;
        const serial = ++this.serial;
        const validUntil = after(clock.now(), ticketTtlMs);
        if (!this.runner.registry.admit(String(serial), `${service}/${caller}`, undefined, validUntil)) {
            return Left(limitReachedProblem("The caller holds too many tickets.", clock.now()));
        }
        const parts = { host, incarnation, serial };
        return Right({
            ticket: encodeTicket({ ...parts, seal: this.seal(ticketSealInput(parts, service, caller)) }),
            validUntil,
        });
    }

    /** Runs the call, or forwards it to the host that issued its ticket. */
    async call(call: AtMostOnceCall, text: string): Promise<Either<Problem, StoredResponse>> {
        const ticket = this.read(call, text);
        if (ticket.isLeft()) {
            return ticket as unknown as Either<Problem, StoredResponse>;
        }
        const { host, incarnation, serial } = ticket.unsafeCoerce();
        if (host !== this.ctx.host) {
            return await this.forward(call, text, host);
        }
        if (incarnation !== this.ctx.incarnation) {
            const detail = "The host that gave the ticket has restarted since.";
            return Left(outcomeUnknownProblem(detail, this.ctx.clock.now(), false));
        }
        if (this.runner.registry.phase(String(serial)) === "abandoned") {
            return Left(ticketRefusedProblem());
        }
        return await this.runner.runOrWait(String(serial), call);
    }

    private async forward(
        call: AtMostOnceCall,
        ticket: string,
        host: Ticket["host"],
    ): Promise<Either<Problem, StoredResponse>> {
        const { service, caller, req: { method, path, headers, body }, deadline } = call;
        const request = { service, caller, ticket, method, path, headers, body, deadline };
        const res = await this.ctx.ports.peers.ask(host, "ticket-call", request, after(deadline, answerGraceMs));
        return res.caseOf({
            Left: () =>
                Left(
                    outcomeUnknownProblem("The host that gave the ticket does not answer.", this.ctx.clock.now(), true),
                ),
            Right: answer => answer,
        });
    }

    private read(call: AtMostOnceCall, text: string): Either<Problem, Ticket> {
        return decodeTicket(text)
            .mapLeft(finding => problem("invalid-request", "The ticket is not valid.", { findings: [finding] }))
            .chain(ticket =>
                this.isSealed(ticket, call)
                    ? Right(ticket)
                    : Left(problem("forbidden", "The ticket was not given to this caller."))
            );
    }

    private isSealed(ticket: Ticket, call: AtMostOnceCall): boolean {
        const expected = this.seal(ticketSealInput(
            { host: ticket.host, incarnation: ticket.incarnation, serial: ticket.serial },
            call.service,
            call.caller,
        ));
        return timingSafeEqual(Buffer.from(expected), Buffer.from(ticket.seal));
    }

    private seal(text: string): string {
        return createHmac("sha256", this.secret).update(text).digest("hex").slice(0, sealHexDigits);
    }
}
