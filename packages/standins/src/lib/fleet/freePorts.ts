/**
 * Finds free loopback ports and reserves them against other test processes by lock files. The ports are below the range
 * of ephemeral ports, so that the system assigns none of them to an outgoing connection before a daemon listens on it or
 * while the daemon restarts.
 */

import { closeSync, mkdirSync, openSync, readFileSync, rmSync, writeSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { isAlive } from "./isAlive.js";

const firstPort = 10_000;
const portCount = 22_000;
/** Distance between the first ports that processes with successive ids try, so that they rarely try the same ones. */
const portStride = 7919;
const folder = join(tmpdir(), "tamarackpath-ports");

const reserved = new Set<number>();
let cursor = process.pid * portStride;

/** Returns `count` free ports, reserved until this process exits. Throws when there are not enough. */
export async function freePorts(count: number): Promise<readonly number[]> {
    const ports: number[] = [];
    for (let tried = 0; ports.length < count; tried++) {
        if (tried > portCount) {
            throw new Error("Cannot find a free port: all ports of the range are in use or reserved.");
        }
        const port = firstPort + cursor++ % portCount;
        if (tryReserve(port) && await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

function tryReserve(port: number): boolean {
    if (reserved.has(port)) {
        return false;
    }
    if (reserved.size === 0) {
        mkdirSync(folder, { recursive: true });
        process.once("exit", () => reserved.forEach(held => rmSync(lockFileOf(held), { force: true })));
    }
    if (!createLockFile(port) && !takeOverIfAbandoned(port)) {
        return false;
    }
    reserved.add(port);
    return true;
}

function createLockFile(port: number): boolean {
    try {
        const handle = openSync(lockFileOf(port), "wx");
        writeSync(handle, String(process.pid));
        closeSync(handle);
        return true;
    }
    catch {
        return false;
    }
}

/** Takes the reservation over when the process that holds it has exited; returns false when it still runs. */
function takeOverIfAbandoned(port: number): boolean {
    try {
        const holder = Number(readFileSync(lockFileOf(port), "utf8"));
        if (holder > 0 && isAlive(holder)) {
            return false;
        }
        rmSync(lockFileOf(port), { force: true });
        return createLockFile(port);
    }
    catch {
        return false;
    }
}

function lockFileOf(port: number): string {
    return join(folder, String(port));
}

function isFree(port: number): Promise<boolean> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
