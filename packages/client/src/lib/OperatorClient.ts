/** Client of the operators' API of one host. */

import { type Problem } from "@tamarackpath/core";
import { type Either } from "purify-ts";
import { callApi } from "./callApi.js";

const callTimeoutMs = 5000;

/** Client of the operators' API. */
export class OperatorClient {
    /** `token` is the operator's token, derived from the shared secret. */
    constructor(private readonly url: string, private readonly token: string) {}

    dump<Dump>(): Promise<Either<Problem, Dump>> {
        return this.call("GET", "/v1/dump");
    }

    status<Status>(): Promise<Either<Problem, Status>> {
        return this.call("GET", "/v1/status");
    }

    /** Drains a target: it finishes its work and gets no more. */
    drainTarget(target: string): Promise<Either<Problem, unknown>> {
        return this.call("POST", `/v1/targets/${encodeURIComponent(target)}/drain`);
    }

    /** Drains the host: it finishes its work and accepts no more. */
    drainHost(): Promise<Either<Problem, unknown>> {
        return this.call("POST", "/v1/drain");
    }

    /** Reads the configuration document that is in force under `name`. */
    config<Doc>(name: string): Promise<Either<Problem, Doc>> {
        return this.call("GET", `/v1/config/${encodeURIComponent(name)}`);
    }

    configHistory<History>(name: string): Promise<Either<Problem, History>> {
        return this.call("GET", `/v1/config/${encodeURIComponent(name)}/history`);
    }

    /**
     * Proposes a document that replaces revision `base`. Repeat the call with the same operation id to learn its outcome
     * after a lost response.
     */
    applyConfig(
        name: string,
        change: { readonly doc: unknown; readonly base: number; readonly operationId: string; },
    ): Promise<Either<Problem, { readonly revision: number; }>> {
        return this.call("PUT", `/v1/config/${encodeURIComponent(name)}`, change);
    }

    private call<Answer>(
        method: "GET" | "POST" | "PUT",
        path: string,
        body?: unknown,
    ): Promise<Either<Problem, Answer>> {
        return callApi<Answer>({
            url: `${this.url}${path}`,
            method,
            token: this.token,
            body,
            signal: AbortSignal.timeout(callTimeoutMs),
        });
    }
}
