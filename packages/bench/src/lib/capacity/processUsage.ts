/** Reads the resource usage of a process from /proc. */

import { readFileSync } from "node:fs";

/** Resources that a process has used since its start. */
export interface ProcessUsage {
    readonly cpuMs: number;
    /** Bytes read and written, over sockets and files. */
    readonly ioBytes: number;
    /** Resident memory when it was read. */
    readonly residentMb: number;
    /** When the usage was read, on the monotonic clock of this process. */
    readonly readAtMs: number;
}

const msPerTick = 10;
/** Fields of /proc/PID/stat, counted from the one after the process name. */
const userTicksField = 11;
const systemTicksField = 12;

/** Reads the usage of process `pid`. Throws when the process does not exist. */
export function readProcessUsage(pid: number): ProcessUsage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[userTicksField]) + Number(fields[systemTicksField]);
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return {
        cpuMs: ticks * msPerTick,
        ioBytes: numberAfter(io, "rchar:") + numberAfter(io, "wchar:"),
        residentMb: numberAfter(status, "VmRSS:") / 1024,
        readAtMs: performance.now(),
    };
}

function numberAfter(text: string, label: string): number {
    return Number(new RegExp(`${label}\\s+(\\d+)`).exec(text)?.[1] ?? 0);
}
