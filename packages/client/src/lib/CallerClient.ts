/** Client of the callers of answer services: idempotent calls, calls that must not be repeated, and completions. */

import { type Problem } from "@tamarackpath/core";
import { type Either } from "purify-ts";
import { type Dispatcher } from "undici";
import { callApi } from "./callApi.js";
import { HostRotation } from "./HostRotation.js";
import { UnusedIdempotencyKeys } from "./UnusedIdempotencyKeys.js";

/** Addresses, service and credentials of a caller. */
export interface CallerOptions {
    readonly urls: readonly string[];
    readonly service: string;
    readonly token: string;
    readonly dispatcher?: Dispatcher;
    /** Idempotency keys that were never sent. Clients that send the same calls share one instance. */
    readonly keys?: UnusedIdempotencyKeys;
}

/** Parts of a call besides its path. */
export interface CallOptions {
    readonly method?: "GET" | "POST" | "PUT" | "DELETE";
    readonly body?: unknown;
    readonly ticket?: string;
    readonly idempotencyKey?: string;
    /** Milliseconds since the Unix epoch. */
    readonly deadline?: number;
}

/** A ticket and the time until which the service keeps it, in milliseconds since the Unix epoch. */
export interface IssuedTicket {
    readonly ticket: string;
    readonly validUntil: number;
}

/** Client of one caller. */
export class CallerClient {
    /** Idempotency keys. With a key created here, the service can state reliably that a first attempt did not run. */
    readonly keys: UnusedIdempotencyKeys;
    private readonly hosts: HostRotation;

    constructor(private readonly options: CallerOptions) {
        this.keys = options.keys ?? new UnusedIdempotencyKeys();
        this.hosts = new HostRotation(options.urls);
    }

    /** Sends the following calls to the next entry host. */
    useNextHost(): void {
        this.hosts.advance();
    }

    /** Requests a new ticket. */
    ticket(): Promise<Either<Problem, IssuedTicket>> {
        return this.send("POST", "tickets", undefined, {});
    }

    /** Calls `path` of the service's plain targets once; the caller decides on retries. */
    async call<Answer>(path: string, options: CallOptions = {}): Promise<Either<Problem, Answer>> {
        const headers: Record<string, string> = {};
        if (options.ticket !== undefined) {
            headers["tamarack-ticket"] = options.ticket;
        }
        if (options.idempotencyKey !== undefined) {
            headers["idempotency-key"] = options.idempotencyKey;
        }
        const isFirst = options.idempotencyKey !== undefined && this.keys.consume(options.idempotencyKey);
        if (isFirst) {
            headers["tamarack-first-attempt"] = "true";
        }
        if (options.deadline !== undefined) {
            headers["tamarack-deadline"] = String(options.deadline);
        }
        const res = await this.send<Answer>(options.method ?? "GET", `calls${path}`, options.body, headers);
        const found = res.swap().toMaybe().extract();
        if (isFirst && found?.run === "not-run") {
            this.keys.restore(options.idempotencyKey!);
        }
        return res;
    }

    private send<Answer>(
        method: "GET" | "PUT" | "POST" | "DELETE",
        path: string,
        body: unknown,
        headers: Record<string, string>,
    ): Promise<Either<Problem, Answer>> {
        return callApi<Answer>({
            url: `${this.hosts.current()}/v1/services/${this.options.service}/${path}`,
            method,
            token: this.options.token,
            body,
            headers,
            dispatcher: this.options.dispatcher,
        });
    }
}
