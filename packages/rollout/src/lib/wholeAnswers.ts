/** Rejects answers of targets that end within an event, on the way to callers. */

import {
    endsWithinEvent,
    type EventFraming,
    eventFramingOf,
    type ForwardOutcome,
    type StreamHandler,
} from "@tamarackpath/core";

/**
 * Sends one attempt with `send`, which passes a stream to the handler that it is given, and returns its outcome. An answer that
 * is no whole one counts as lost; what has come of a stream has been passed on to `streamHandler` then.
 */
export async function requireWholeAnswer<Other extends { readonly kind: string; }>(
    streamHandler: StreamHandler | undefined,
    send: (handler: StreamHandler | undefined) => Promise<ForwardOutcome | Other>,
): Promise<ForwardOutcome | Other> {
    let framing: EventFraming | undefined;
    const handler = streamHandler === undefined ? undefined : {
        onHead: (head: Parameters<StreamHandler["onHead"]>[0]) => {
            framing = eventFramingOf(head.headers);
            streamHandler.onHead(head);
        },
        onChunk: (bytes: Uint8Array) => {
            framing?.add(bytes);
            return streamHandler.onChunk(bytes);
        },
    };
    const end = await send(handler);
    if (isAnswered(end)) {
        framing = eventFramingOf(end.head.headers);
        framing?.add(end.body);
    }
    const hasEnded = isAnswered(end) || end.kind === "streamed";
    return hasEnded && framing?.isBetweenEvents === false ? { kind: "unknown", detail: endsWithinEvent } : end;
}

function isAnswered(end: { readonly kind: string; }): end is Extract<ForwardOutcome, { kind: "answered"; }> {
    return end.kind === "answered";
}
