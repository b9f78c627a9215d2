/**
 * Follows the framing of a stream of server-sent events, to tell whether the bytes received so far end between two events. A target
 * that breaks off may close its connection in order, or complete the body's own framing, so that only the last event shows that
 * the stream is not whole. An end between two events proves nothing either way.
 */

const [lineFeed, carriageReturn, colon] = [0x0a, 0x0d, 0x3a];

/** The detail of an answer that ends within an event. */
export const endsWithinEvent = "The answer ends within an event.";

/** Reads the bytes of one stream of events. */
export class EventFraming {
    private isLineEmpty = true;
    private isComment = false;
    private isAfterCarriageReturn = false;
    /** Whether the current event has a line already. */
    private hasLines = false;

    /** Whether the stream may end here: after the empty line of an event, or after comments. */
    get isBetweenEvents(): boolean {
        return this.isLineEmpty && !this.hasLines;
    }

    add(bytes: Uint8Array): void {
        for (const byte of bytes) {
            // A line ends with one of the two characters, or with both.
            const isRestOfLineEnd = byte === lineFeed && this.isAfterCarriageReturn;
            this.isAfterCarriageReturn = byte === carriageReturn;
            if (isRestOfLineEnd) {
                continue;
            }
            if (byte === lineFeed || byte === carriageReturn) {
                this.endLine();
            }
            else if (this.isLineEmpty) {
                this.isLineEmpty = false;
                this.isComment = byte === colon;
            }
        }
    }

    private endLine(): void {
        this.hasLines = !this.isLineEmpty && (this.hasLines || !this.isComment);
        this.isLineEmpty = true;
    }
}

/** Follows the events of an answer with these alternating header names and values; undefined if it is no stream of events. */
export function eventFramingOf(headers: readonly string[]): EventFraming | undefined {
    const at = headers.findIndex((name, nth) => nth % 2 === 0 && name.toLowerCase() === "content-type");
    const isEventStream = at >= 0 && /^\s*text\/event-stream\s*(;|$)/i.test(headers[at + 1] ?? "");
    return isEventStream ? new EventFraming() : undefined;
}
