/**
 * Kills daemons whose test process has exited: those of this process when it exits, and at the start of the next fleet
 * those of an earlier process that was killed. For each daemon there is a file with the id of the process that started
 * it.
 */

import { mkdirSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { isAlive } from "./isAlive.js";

const folder = join(tmpdir(), "tamarackpath-daemons");
const started = new Set<number>();
let hasExitHandler = false;

/** Records a daemon that this process started. */
export function registerDaemon(pid: number): void {
    if (!hasExitHandler) {
        hasExitHandler = true;
        mkdirSync(folder, { recursive: true });
        process.once("exit", () => started.forEach(killDaemon));
    }
    started.add(pid);
    writeFileSync(join(folder, String(pid)), String(process.pid));
}

/** Removes the record of a daemon that has exited. */
export function unregisterDaemon(pid: number): void {
    started.delete(pid);
    rmSync(join(folder, String(pid)), { force: true });
}

/** Kills the daemons whose starting process was killed. */
export function killOrphanedDaemons(): void {
    mkdirSync(folder, { recursive: true });
    for (const name of readdirSync(folder)) {
        const pid = Number(name);
        if (!isAlive(readStarterPid(name)) && isDaemon(pid)) {
            killDaemon(pid);
        }
        if (!isAlive(pid)) {
            rmSync(join(folder, name), { force: true });
        }
    }
}

function killDaemon(pid: number): void {
    try {
        process.kill(pid, "SIGKILL");
    }
    catch {
        // The daemon has already exited.
    }
    rmSync(join(folder, String(pid)), { force: true });
}

function readStarterPid(name: string): number {
    try {
        return Number(readFileSync(join(folder, name), "utf8"));
    }
    catch {
        return process.pid;
    }
}

/** True when the process is a daemon; guards against a process id that has been reused by another program. */
function isDaemon(pid: number): boolean {
    try {
        return readFileSync(`/proc/${pid}/cmdline`, "utf8").includes("daemon/dist/main.js");
    }
    catch {
        return false;
    }
}
