/** Calls with a ticket: run by the incarnation that minted the ticket, and handed to it by every other host. */

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
import { noRoom, outcomeUnknown, ticketSpent } from "./answerProblems.js";
import { type NeverRepeatCall, type RunOnce } from "./NeverRepeatCall.js";
import { RunKeeper } from "./RunKeeper.js";

const rememberMs = 600_000;
const sealDigits = 32;
const answerGraceMs = 500;

/** A ticket with the moment until which its request and outcome are remembered. */
export interface MintedTicket {
    readonly ticket: RequestId;
    readonly validUntil: number;
}

/** Surroundings of the calls with tickets and keys. */
export type AnswerContext = Pick<Context, "host" | "incarnation" | "clock"> & {
    readonly ports: Pick<Context["ports"], "keyValue" | "peers">;
};

/** Mints tickets and runs the calls that carry them. */
export class TicketCalls {
    readonly keeper: RunKeeper;
    private serial = 0;

    constructor(private readonly ctx: AnswerContext, runOnce: RunOnce, private readonly secret: string) {
        this.keeper = new RunKeeper(ctx.clock, runOnce, "ticket");
    }

    mint(service: ServiceId, caller: CallerId): Either<Problem, MintedTicket> {
        const { host, incarnation, clock } = this.ctx;
        const serial = ++this.serial;
        const validUntil = after(clock.now(), rememberMs);
        if (!this.keeper.book.admit(String(serial), `${service}/${caller}`, undefined, validUntil)) {
            return Left(noRoom("The caller holds too many tickets.", clock.now()));
        }
        const parts = { host, incarnation, serial };
        return Right({
            ticket: encodeTicket({ ...parts, seal: this.seal(ticketSealInput(parts, service, caller)) }),
            validUntil,
        });
    }

    /** Runs the call here or hands it to the host that minted its ticket. */
    async call(call: NeverRepeatCall, text: string): Promise<Either<Problem, StoredResponse>> {
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
            return Left(outcomeUnknown(detail, this.ctx.clock.now(), false));
        }
        if (this.keeper.book.phase(String(serial)) === "abandoned") {
            return Left(ticketSpent());
        }
        return await this.keeper.present(String(serial), call);
    }

    private async forward(
        call: NeverRepeatCall,
        ticket: string,
        host: Ticket["host"],
    ): Promise<Either<Problem, StoredResponse>> {
        const { service, caller, req: { method, path, headers, body }, deadline } = call;
        const ask = { service, caller, ticket, method, path, headers, body, deadline };
        const res = await this.ctx.ports.peers.ask(host, "ticket-call", ask, after(deadline, answerGraceMs));
        return res.caseOf({
            Left: () =>
                Left(outcomeUnknown("The host that gave the ticket does not answer.", this.ctx.clock.now(), true)),
            Right: answer => answer,
        });
    }

    private read(call: NeverRepeatCall, text: string): Either<Problem, Ticket> {
        return decodeTicket(text)
            .mapLeft(finding => problem("invalid-request", "The ticket is not valid.", { findings: [finding] }))
            .chain(ticket =>
                this.isSealed(ticket, call)
                    ? Right(ticket)
                    : Left(problem("forbidden", "The ticket was not given to this caller."))
            );
    }

    private isSealed(ticket: Ticket, call: NeverRepeatCall): boolean {
        const expected = this.seal(ticketSealInput(
            { host: ticket.host, incarnation: ticket.incarnation, serial: ticket.serial },
            call.service,
            call.caller,
        ));
        return timingSafeEqual(Buffer.from(expected), Buffer.from(ticket.seal));
    }

    private seal(text: string): string {
        return createHmac("sha256", this.secret).update(text).digest("hex").slice(0, sealDigits);
    }
}
