/**
 * A ticket is a request id that names the incarnation of the host that issued it. Only that incarnation may dispatch
 * the request, and only once, so that a retry through any other host can never run it again. The seal is a keyed hash
 * over the ticket, its service and its caller; it prevents callers from guessing the tickets of others.
 */

import { type Either, Left, Right } from "purify-ts";
import { shorten } from "../findings.js";
import { type CallerId, type HostId, type Incarnation, type RequestId, type ServiceId } from "../ids.js";
import { type Finding } from "../Problem.js";

/** The parts of a ticket. */
export interface Ticket {
    /** The host that issued the ticket. */
    readonly host: HostId;
    readonly incarnation: Incarnation;
    /** Unique among the tickets of one incarnation. */
    readonly serial: number;
    /** Keyed hash in hexadecimal. */
    readonly seal: string;
}

const ticketPattern = /^t~([a-z0-9._-]{1,63})~([0-9]{1,15})~([0-9]{1,15})~([0-9a-f]{32})$/;

/** Encodes a ticket as text for callers. */
export function encodeTicket(ticket: Ticket): RequestId {
    return `t~${ticket.host}~${ticket.incarnation}~${ticket.serial}~${ticket.seal}` as RequestId;
}

/** Returns the text that a ticket's seal is computed from. */
export function ticketSealInput(ticket: Omit<Ticket, "seal">, service: ServiceId, caller: CallerId): string {
    return JSON.stringify(["ticket", ticket.host, ticket.incarnation, ticket.serial, service, caller]);
}

/** Parses a ticket that a caller presents, without checking its seal. */
export function decodeTicket(text: string): Either<Finding, Ticket> {
    const match = ticketPattern.exec(text);
    if (match === null) {
        return Left({
            place: "headers.Tamarack-Ticket",
            read: shorten(text),
            allowed: "a ticket as the host gave it",
        });
    }
    return Right({
        host: match[1] as HostId,
        incarnation: Number(match[2]) as Incarnation,
        serial: Number(match[3]),
        seal: match[4]!,
    });
}
