/**
 * The structured log: one JSON line for each decision that affects a request or changes the state of the process. Lines
 * are buffered up to a limit while standard output is not read; lines beyond it are dropped and counted, so that
 * logging never delays a request.
 */

import { type ILogObj, Logger } from "tslog";
import { type JournalEvent } from "./journalEvents.js";

/** A value of a line's field. */
export type JournalValue = string | number | boolean | undefined | readonly (string | number)[];

/** The structured log of a process. */
export interface Journal {
    /** Writes one line for `event`, with the time and the name of the host. */
    log(event: JournalEvent, fields?: Readonly<Record<string, JournalValue>>): void;
}

/** Where lines go, such as standard output. */
export interface LineOutput {
    /** False when the output's own buffer is full; a `drain` event follows. */
    write(text: string): boolean;
    once(event: "drain", run: () => void): unknown;
}

/** The property in which the logging library puts its own fields, which are left out of the lines. */
const metaProperty = "_meta";

/** Upper limit of the lines that are buffered while the output is full. */
const maxBufferedLines = 2000;

/** Creates the journal of the host `host`, which writes to `output`. */
export function createJournal(host: string, output: LineOutput): Journal {
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
        else if (waiting.length < maxBufferedLines) {
            waiting.push(text);
        }
        else {
            dropped++;
        }
    };
    const logger = new Logger<ILogObj>({ type: "hidden", hideLogPositionForProduction: true, metaProperty });
    logger.attachTransport(({ [metaProperty]: unused, ...line }) => write(`${JSON.stringify(line, roundNumber)}\n`));
    return { log: (event, fields) => void logger.info({ at: Date.now(), host, event, ...fields }) };
}

/** Rounds numbers to one decimal, because times are measured more finely than a reader needs. */
function roundNumber(unused: string, value: unknown): unknown {
    return typeof value === "number" ? Math.round(value * 10) / 10 : value;
}

/** A journal that discards its lines, for tests. */
export const noopJournal: Journal = { log: () => undefined };
