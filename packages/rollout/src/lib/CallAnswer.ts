/** The final answer to a call. */

import { type ResponseHead } from "@tamarackpath/core";

/** The final answer to a call. */
export type CallAnswer =
    | { readonly kind: "answered"; readonly head: ResponseHead; readonly body: Uint8Array; }
    /** The whole response was forwarded as it arrived. */
    | { readonly kind: "streamed"; }
    /** No target ran the request or will run it. */
    | { readonly kind: "refused"; readonly reason: string; readonly retryAfterMs: number; }
    /** The request may have run; `late` is set when its deadline passed. */
    | { readonly kind: "failed"; readonly reason: string; readonly late: boolean; }
    /** A streamed response ended early, after its head was forwarded. */
    | { readonly kind: "broken"; readonly reason: string; }
    /** The caller closed its connection. */
    | { readonly kind: "left"; };

/** Milliseconds after which a refused caller should retry; the list of targets is read again by then. */
export const refusalRetryAfterMs = 400;

/** The answer to a call that no target has run or will run. */
export function refusedWith(reason: string, retryAfterMs: number = refusalRetryAfterMs): CallAnswer {
    return { kind: "refused", reason, retryAfterMs };
}
