/**
 * A file of delivered samples with one JSON object per line, and the cursor on a separate line after each batch. After a
 * crash the lines that follow the last cursor are dropped, so that the samples and the cursor are always consistent.
 */

import { type Sample } from "@tamarackpath/core";
import { closeSync, existsSync, fsyncSync, openSync, readFileSync, truncateSync, writeSync } from "node:fs";

interface CursorLine {
    readonly cursor: string;
}

/** The stored samples and cursor of one step. */
export class SampleFile {
    /** Cursor after the last stored batch. */
    cursor: string | undefined;
    /** Number of stored samples. */
    samples = 0;

    constructor(private readonly file: string) {
        this.recover();
    }

    /** Appends a batch and the cursor that follows it; returns once both are synced to disk. */
    append(samples: readonly Sample[], cursor: string): void {
        const lines = [...samples, { cursor }].map(entry => JSON.stringify(entry));
        const fd = openSync(this.file, "a");
        writeSync(fd, `${lines.join("\n")}\n`);
        fsyncSync(fd);
        closeSync(fd);
        this.cursor = cursor;
        this.samples += samples.length;
    }

    /** Reads the stored cursor and truncates the file after it. */
    private recover(): void {
        if (!existsSync(this.file)) {
            return;
        }
        const text = readFileSync(this.file, "utf8");
        let committedEnd = 0;
        let uncommittedLines = 0;
        for (let lineStart = 0; lineStart < text.length;) {
            const newline = text.indexOf("\n", lineStart);
            if (newline < 0) {
                break;
            }
            const cursor = parseCursor(text.slice(lineStart, newline));
            lineStart = newline + 1;
            uncommittedLines++;
            if (cursor !== undefined) {
                this.cursor = cursor;
                this.samples += uncommittedLines - 1;
                uncommittedLines = 0;
                committedEnd = lineStart;
            }
        }
        truncateSync(this.file, Buffer.byteLength(text.slice(0, committedEnd)));
    }
}

function parseCursor(line: string): string | undefined {
    try {
        return (JSON.parse(line) as Partial<CursorLine>).cursor;
    }
    catch {
        return undefined;
    }
}
