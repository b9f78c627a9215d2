/**
 * Builds the timeline of one request, job or task from the hosts' structured logs: every line that contains its id, and
 * every state change of the hosts and targets in these lines at about the same time, in chronological order.
 */

import { readFileSync } from "node:fs";
import { exitCodes } from "../exitCodes.js";
import { printJson } from "../output.js";

/** One line of a structured log. */
export interface LogLine {
    /** Milliseconds since the Unix epoch. */
    readonly at: number;
    readonly host: string;
    readonly event: string;
    readonly [field: string]: unknown;
}

/** Events that report a state change, shown as context of the lines with the id. */
const stateEvents: ReadonlySet<string> = new Set([
    "started",
    "stopping",
    "stopped",
    "store-lost",
    "store-regained",
    "conductor-claimed",
    "conductor-lost",
    "conductor-resigned",
    "config-in-force",
    "target-resting",
    "readiness-changed",
]);

/** Milliseconds before the first and after the last line with the id in which state changes are shown. */
const contextMarginMs = 3000;

/** Length in milliseconds of the windows in which a repeated state change is shown once. */
const repeatWindowMs = 1000;

/** Fields that are shown at the start of a line. */
const headFields: ReadonlySet<string> = new Set(["at", "host", "event"]);

/** Parses the JSON objects of log text. Text before the object on a line, such as a collector's prefix, is skipped. */
export function readLogLines(text: string): readonly LogLine[] {
    return text.split("\n").flatMap(line => {
        const begin = line.indexOf("{\"");
        if (begin < 0) {
            return [];
        }
        try {
            const read = JSON.parse(line.slice(begin)) as Partial<LogLine>;
            return typeof read.at === "number" && typeof read.event === "string" ? [read as LogLine] : [];
        }
        catch (err) {
            if (!(err instanceof SyntaxError)) {
                throw err;
            }
            // The line is truncated, so its fields are unreliable.
            return [];
        }
    });
}

/** Returns the lines with `id` and their context, in chronological order. */
export function timelineOf(lines: readonly LogLine[], id: string): readonly LogLine[] {
    const matching = lines.filter(line => containsId(line, id));
    if (matching.length === 0) {
        return [];
    }
    const times = matching.map(({ at }) => at);
    const [from, until] = [Math.min(...times) - contextMarginMs, Math.max(...times) + contextMarginMs];
    const hosts = new Set(matching.map(({ host }) => host));
    const targets = new Set(matching.flatMap(({ target }) => target ?? []));
    const context = lines.filter(line =>
        stateEvents.has(line.event) && line.at >= from && line.at <= until && !containsId(line, id)
        && (line["target"] === undefined ? hosts.has(line.host) : targets.has(line["target"] ?? ""))
    );
    return [...matching, ...mergeRepeated(context)].sort((a, b) => a.at - b.at);
}

/** Merges repetitions of a state change of a host within a second into one line with their number. */
function mergeRepeated(lines: readonly LogLine[]): readonly LogLine[] {
    const merged = new Map<string, LogLine>();
    for (const line of [...lines].sort((a, b) => a.at - b.at)) {
        const key = `${line.host} ${line.event} ${String(line["target"])} ${Math.floor(line.at / repeatWindowMs)}`;
        const first = merged.get(key);
        merged.set(key, first === undefined ? line : { ...first, times: Number(first["times"] ?? 1) + 1 });
    }
    return [...merged.values()];
}

/** Prints the timeline of `id` from log files, or from standard input when none are given. */
export function explain(id: string, files: readonly string[], isJson: boolean): void {
    const sources = files.length > 0 ? files : [0];
    const timeline = timelineOf(sources.flatMap(source => readLogLines(readFileSync(source, "utf8"))), id);
    if (timeline.length === 0) {
        console.error(
            `Cannot find a line with "${id}". Check that the logs of all hosts are given and that they cover the time.`,
        );
        process.exitCode = exitCodes.invalidInput;
        return;
    }
    if (isJson) {
        printJson(timeline);
        return;
    }
    const start = timeline[0]!.at;
    for (const line of timeline) {
        const fields = Object.entries(line).filter(([name]) => !headFields.has(name))
            .map(([name, value]) => `${name}=${Array.isArray(value) ? value.join(",") : String(value)}`);
        const marker = containsId(line, id) ? " " : "~";
        console.log(
            `${marker} ${String(line.at - start).padStart(7)} ms  ${line.host}  ${line.event}  ${fields.join(" ")}`,
        );
    }
}

function containsId(line: LogLine, id: string): boolean {
    return Object.entries(line).some(([name, value]) =>
        !headFields.has(name)
        && (value === id
            || Array.isArray(value) && value.some(part => part === id || String(part).startsWith(`${id} `)))
    );
}
