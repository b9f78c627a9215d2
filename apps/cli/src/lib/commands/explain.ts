/**
 * Tells the story of one request, job or task from the hosts' structured logs: every line that names it, and every line
 * in which a host named there changed what it believed meanwhile, in order of time.
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

/** Events that say what a host believes, shown beside the lines that name the id. */
const beliefs: ReadonlySet<string> = new Set([
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

/** Milliseconds around the first and last line of the id within which beliefs are shown. */
const marginMs = 3000;

/** Milliseconds within which a belief that is stated again is shown once. */
const repeatMs = 1000;

/** Fields that are shown in the head of a line. */
const headFields: ReadonlySet<string> = new Set(["at", "host", "event"]);

/** Reads the JSON objects of log text; anything before the object on a line, such as a collector's prefix, is skipped. */
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
            // A line that was cut off says nothing that can be trusted.
            return [];
        }
    });
}

/** The lines that tell the story of `id`, in order of time. */
export function storyOf(lines: readonly LogLine[], id: string): readonly LogLine[] {
    const named = lines.filter(line => names(line, id));
    if (named.length === 0) {
        return [];
    }
    const times = named.map(({ at }) => at);
    const [from, until] = [Math.min(...times) - marginMs, Math.max(...times) + marginMs];
    const hosts = new Set(named.map(({ host }) => host));
    const targets = new Set(named.flatMap(({ target }) => target ?? []));
    const context = lines.filter(line =>
        beliefs.has(line.event) && line.at >= from && line.at <= until && !names(line, id)
        && (line["target"] === undefined ? hosts.has(line.host) : targets.has(line["target"] ?? ""))
    );
    return [...named, ...mergeRepeated(context)].sort((a, b) => a.at - b.at);
}

/** Shows a belief that a host states again and again within a second once, with the number of times. */
function mergeRepeated(lines: readonly LogLine[]): readonly LogLine[] {
    const merged = new Map<string, LogLine>();
    for (const line of [...lines].sort((a, b) => a.at - b.at)) {
        const key = `${line.host} ${line.event} ${String(line["target"])} ${Math.floor(line.at / repeatMs)}`;
        const first = merged.get(key);
        merged.set(key, first === undefined ? line : { ...first, times: Number(first["times"] ?? 1) + 1 });
    }
    return [...merged.values()];
}

/** Prints the story of `id` from log files, or from standard input. */
export function explain(id: string, files: readonly string[], isJson: boolean): void {
    const sources = files.length > 0 ? files : [0];
    const story = storyOf(sources.flatMap(source => readLogLines(readFileSync(source, "utf8"))), id);
    if (story.length === 0) {
        console.error(`No line names "${id}". Were the logs of all hosts given, and is the time covered?`);
        process.exitCode = exitCodes.invalidInput;
        return;
    }
    if (isJson) {
        printJson(story);
        return;
    }
    const start = story[0]!.at;
    for (const line of story) {
        const fields = Object.entries(line).filter(([name]) => !headFields.has(name))
            .map(([name, value]) => `${name}=${Array.isArray(value) ? value.join(",") : String(value)}`);
        const mark = names(line, id) ? " " : "~";
        console.log(
            `${mark} ${String(line.at - start).padStart(7)} ms  ${line.host}  ${line.event}  ${fields.join(" ")}`,
        );
    }
}

function names(line: LogLine, id: string): boolean {
    return Object.entries(line).some(([name, value]) =>
        !headFields.has(name)
        && (value === id
            || Array.isArray(value) && value.some(part => part === id || String(part).startsWith(`${id} `)))
    );
}
