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
    note(event: JournalEvent, fields?: Readonly<Record<string, JournalValue>>): void;
}

/** Where lines go, such as standard output. */
export interface LineOutput {
    /** False when the sink's own buffer is full and `drain` will follow. */
    write(text: string): boolean;
    once(event: "drain", run: () => void): unknown;
}

/** Where the logging library puts what it adds itself, which is left out. */
const metaProperty = "_meta";

/** Lines that wait for a sink that does not take more. */
const maxBufferedLines = 2000;

/** Builds a journal of the host `host` that writes to `sink`. */
export function createJournal(host: string, output: LineOutput): Journal {
    const buffered: string[] = [];
    let isFull = false;
    let dropped = 0;
    const drain = (): void => {
        isFull = false;
        if (dropped > 0) {
            buffered.push(`${JSON.stringify({ at: Date.now(), host, event: "lines-dropped", lines: dropped })}\n`);
            dropped = 0;
        }
        for (let text = buffered.shift(); text !== undefined; text = buffered.shift()) {
            if (!output.write(text)) {
                isFull = true;
                output.once("drain", drain);
                return;
            }
        }
    };
    const write = (text: string): void => {
        if (!isFull) {
            isFull = !output.write(text);
            if (isFull) {
                output.once("drain", drain);
            }
        }
        else if (buffered.length < maxBufferedLines) {
            buffered.push(text);
        }
        else {
            dropped++;
        }
    };
    const logger = new Logger<ILogObj>({ type: "hidden", hideLogPositionForProduction: true, metaProperty });
    logger.attachTransport(({ [metaProperty]: unused, ...line }) => write(`${JSON.stringify(line, roundNumber)}\n`));
    return { note: (event, fields) => void logger.info({ at: Date.now(), host, event, ...fields }) };
}

/** Times are measured finer than a reader needs them. */
function roundNumber(unused: string, value: unknown): unknown {
    return typeof value === "number" ? Math.round(value * 10) / 10 : value;
}

/** A journal that keeps nothing, for tests. */
export const noopJournal: Journal = { note: () => undefined };
