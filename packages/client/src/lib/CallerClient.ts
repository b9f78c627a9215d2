/** The client of callers of answer services: idempotent calls, calls that must not be repeated, and completions. */

import { type Problem } from "@tamarackpath/core";
import { type Either } from "purify-ts";
import { type Dispatcher } from "undici";
import { callApi } from "./callApi.js";
import { HostRotation } from "./HostRotation.js";
import { UnusedIdempotencyKeys } from "./UnusedIdempotencyKeys.js";

/** Where and as whom the caller calls. */
export interface CallerOptions {
    readonly urls: readonly string[];
    readonly service: string;
    readonly token: string;
    readonly dispatcher?: Dispatcher;
    /** Idempotency keys that were never sent; clients that share calls share them. */
    readonly keys?: UnusedIdempotencyKeys;
}

/** What a call carries besides its path. */
export interface CallOptions {
    readonly method?: "GET" | "POST" | "PUT" | "DELETE";
    readonly body?: unknown;
    readonly ticket?: string;
    readonly idempotencyKey?: string;
    /** Milliseconds since the Unix epoch. */
    readonly deadline?: number;
}

/** A ticket with the moment until which it is remembered. */
export interface MintedTicket {
    readonly ticket: string;
    readonly validUntil: number;
}

/** Client of one caller. */
export class CallerClient {
    /** Idempotency keys; a key that was made here lets the service say for certain that a first attempt did not run. */
    readonly keys: UnusedIdempotencyKeys;
    private readonly hosts: HostRotation;

    constructor(private readonly options: CallerOptions) {
        this.keys = options.keys ?? new UnusedIdempotencyKeys();
        this.hosts = new HostRotation(options.urls);
    }

    /** Moves to the next entry host. */
    useNextHost(): void {
        this.hosts.moveOn();
    }

    ticket(): Promise<Either<Problem, MintedTicket>> {
        return this.send("POST", "tickets", undefined, {});
    }

    /** Calls `path` of the service's plain targets; tries once, so that the caller decides on retries. */
    async call<Answer>(path: string, options: CallOptions = {}): Promise<Either<Problem, Answer>> {
        const headers: Record<string, string> = {};
        if (options.ticket !== undefined) {
            headers["tamarack-ticket"] = options.ticket;
        }
        if (options.idempotencyKey !== undefined) {
            headers["idempotency-key"] = options.idempotencyKey;
        }
        const isFirst = options.idempotencyKey !== undefined && this.keys.take(options.idempotencyKey);
        if (isFirst) {
            headers["tamarack-first-attempt"] = "true";
        }
        if (options.deadline !== undefined) {
            headers["tamarack-deadline"] = String(options.deadline);
        }
        const res = await this.send<Answer>(options.method ?? "GET", `calls${path}`, options.body, headers);
        const found = res.swap().toMaybe().extract();
        if (isFirst && found?.run === "not-run") {
            this.keys.giveBack(options.idempotencyKey!);
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
