/** Sends one API call and returns its response or problem. */

import { type Problem, problem } from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type Dispatcher, request } from "undici";

/** An API call to an entry host. */
export interface ApiCall {
    readonly url: string;
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    readonly token: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    readonly signal?: AbortSignal;
    readonly dispatcher?: Dispatcher;
}

/** Sends the call; Left holds the host's problem, or "unavailable" when no complete response arrived. */
export async function callApi<Answer>(call: ApiCall): Promise<Either<Problem, Answer>> {
    try {
        const res = await request(call.url, {
            method: call.method,
            headers: {
                authorization: `Bearer ${call.token}`,
                ...call.body === undefined ? {} : { "content-type": "application/json" },
                ...call.headers,
            },
            body: call.body === undefined ? null : JSON.stringify(call.body),
            signal: call.signal,
            dispatcher: call.dispatcher,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        const text = await res.body.text();
        const answer = text === "" ? undefined : JSON.parse(text) as unknown;
        return res.statusCode < 400 ? Right(answer as Answer) : Left(answer as Problem);
    }
    catch (err) {
        const detail = err instanceof Error ? err.message : String(err);
        return Left(problem("unavailable", detail, { run: "unknown", retry: { allowed: true } }));
    }
}
