/** Output of the client: tables for people, JSON for programs, and findings and problems on standard error. */

import { type Finding, type Problem } from "@tamarackpath/core";
import { exitCodeOf, exitCodes } from "./exitCodes.js";

/** The cells of a row by column name. */
export type Row = Readonly<Record<string, unknown>>;

/** Prints rows as a table, or as JSON. */
export function printRows(rows: readonly Row[], columns: readonly string[], isJson: boolean): void {
    if (isJson) {
        printJson(rows);
        return;
    }
    const cells = rows.map(row => columns.map(column => formatCell(row[column])));
    const widths = columns.map((column, index) => Math.max(column.length, ...cells.map(line => line[index]!.length)));
    const formatLine = (line: readonly string[]): string =>
        line.map((cell, index) => cell.padEnd(widths[index]!)).join("  ").trimEnd();
    console.log(formatLine(columns.map(column => column.toUpperCase())));
    cells.forEach(line => console.log(formatLine(line)));
}

/** Prints a value as indented JSON. */
export function printJson(value: unknown): void {
    console.log(JSON.stringify(value, undefined, 4));
}

/** Prints findings and sets the exit code for invalid input. */
export function printFindings(findings: readonly Finding[]): void {
    for (const { place, read, allowed } of findings) {
        console.error(`${place}: read ${read}; allowed: ${allowed}`);
    }
    process.exitCode = exitCodes.invalidInput;
}

/** Prints a problem with its findings, and sets the exit code for it. */
export function printProblem(found: Problem, source?: string): void {
    console.error(`${source === undefined ? "" : `${source}: `}${found.detail} (${found.type}, ${found.run})`);
    (found.findings ?? []).forEach(({ place, read, allowed }) => {
        console.error(`  ${place}: read ${read}; allowed: ${allowed}`);
    });
    if (found.retry.allowed) {
        console.error("  You can try again.");
    }
    process.exitCode = exitCodeOf(found.type);
}

function formatCell(value: unknown): string {
    if (value === undefined || value === null) {
        return "-";
    }
    return typeof value === "object" ? JSON.stringify(value) : String(value);
}
