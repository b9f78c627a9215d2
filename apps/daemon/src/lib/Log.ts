/** Logs with a fixed prefix for each part of the daemon; text on a terminal, JSON otherwise. */

import { type ILogObj, Logger } from "tslog";

/** A log of one part of the daemon. */
export type Log = Pick<Logger<ILogObj>, "debug" | "info" | "warn" | "error">;

const levels = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** Name of a log level. */
export type LogLevel = keyof typeof levels;

/** The logs of one daemon: one root, and a log with a fixed prefix for each part. */
export class Logs {
    private readonly root: Logger<ILogObj>;
    private readonly parts = new Map<string, Logger<ILogObj>>();

    constructor(host: string, level: LogLevel) {
        this.root = new Logger<ILogObj>({
            name: host,
            minLevel: levels[level],
            type: process.stdout.isTTY ? "pretty" : "json",
            hideLogPositionForProduction: true,
        });
    }

    /** The log whose messages start with `prefix`. */
    forPrefix(prefix: string): Log {
        const existing = this.parts.get(prefix);
        if (existing !== undefined) {
            return existing;
        }
        const created = this.root.getSubLogger({ prefix: [`${prefix}:`] });
        this.parts.set(prefix, created);
        return created;
    }

    /** Changes the lowest level that is logged. */
    setLevel(level: LogLevel): void {
        for (const logger of [this.root, ...this.parts.values()]) {
            logger.settings.minLevel = levels[level];
        }
    }
}
