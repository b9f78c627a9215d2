/**
 * The structured log: one JSON line for each decision that touches a request or changes what the process believes. Lines
 * wait in a bounded buffer while standard output is not read; what does not fit is dropped and counted, so that logging
 * never holds up a request.
 */

import { type ILogObj, Logger } from "tslog";
import { type JournalEvent } from "./journalEvents.js";

/** A value of a line's field. */
export type JournalValue = string | number | boolean | undefined | readonly (string | number)[];

/** Takes lines. */
export interface Journal {
    log(event: JournalEvent, fields?: Readonly<Record<string, JournalValue>>): void;
}

/** Where lines go, such as standard output. */
export interface LineSink {
    /** False when the sink's own buffer is full and `drain` will follow. */
    write(text: string): boolean;
    once(event: "drain", run: () => void): unknown;
}

/** Where the logging library puts what it adds itself, which is left out. */
const metaProperty = "_meta";

/** Lines that wait for a sink that does not take more. */
const mostWaitingLines = 2000;

/** Builds a journal of the host `host` that writes to `sink`. */
export function createJournal(host: string, sink: LineSink): Journal {
    const waiting: string[] = [];
    let isFull = false;
    let dropped = 0;
    const drain = (): void => {
        isFull = false;
        if (dropped > 0) {
            waiting.push(`${JSON.stringify({ at: Date.now(), host, event: "lines-dropped", lines: dropped })}\n`);
            dropped = 0;
        }
        for (let text = waiting.shift(); text !== undefined; text = waiting.shift()) {
            if (!sink.write(text)) {
                isFull = true;
                sink.once("drain", drain);
                return;
            }
        }
    };
    const write = (text: string): void => {
        if (!isFull) {
            isFull = !sink.write(text);
            if (isFull) {
                sink.once("drain", drain);
            }
        }
        else if (waiting.length < mostWaitingLines) {
            waiting.push(text);
        }
        else {
            dropped++;
        }
    };
    const logger = new Logger<ILogObj>({ type: "hidden", hideLogPositionForProduction: true, metaProperty });
    logger.attachTransport(({ [metaProperty]: unused, ...line }) => write(`${JSON.stringify(line, rounded)}\n`));
    return { log: (event, fields) => void logger.info({ at: Date.now(), host, event, ...fields }) };
}

/** Times are measured finer than a reader needs them. */
function rounded(unused: string, value: unknown): unknown {
    return typeof value === "number" ? Math.round(value * 10) / 10 : value;
}

/** A journal that keeps nothing, for tests. */
export const silentJournal: Journal = { log: () => undefined };
