/** What a test of misbehaving clients checks: a process that lives, its memory and descriptors, and one ordinary answer. */

import { readdirSync, readFileSync } from "node:fs";
import { request } from "node:http";
import { type CrowdClient } from "./CrowdClient.js";

/** Milliseconds without a sent byte after which a crowd has sent what the server takes. */
const quietMs = 250;

/** Upper limit in milliseconds of the time for which a crowd sends. */
const sendLimitMs = 4000;

const pollIntervalMs = 50;

/** Milliseconds in which one ordinary request must be answered, far more than a server needs that does not hang. */
const ordinaryTimeoutMs = 25_000;

/** Milliseconds until an ordinary request is sent once more. */
const retryDelayMs = 200;

const kibibyte = 1024;

/** Memory and open descriptors of a process. */
export interface ProcessUsage {
    /** Largest resident memory so far, in bytes. */
    readonly peakBytes: number;
    readonly descriptors: number;
}

/** Reads the usage of a process from /proc. Throws when the process has ended. */
export function readUsage(pid: number): ProcessUsage {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const peak = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
    if (peak === undefined) {
        throw new Error(`Process ${pid} has ended.`);
    }
    return { peakBytes: Number(peak) * kibibyte, descriptors: readdirSync(`/proc/${pid}/fd`).length };
}

/** Waits until a crowd has sent all that the server takes; `onPoll` is called meanwhile. */
export async function settle(clients: readonly CrowdClient[], onPoll: () => void): Promise<void> {
    const until = Date.now() + sendLimitMs;
    let sent = -1;
    let quietSince = Date.now();
    while (Date.now() < until && Date.now() - quietSince < quietMs) {
        await passMs(pollIntervalMs);
        onPoll();
        const now = clients.reduce((sum, client) => sum + client.sentBytes, 0);
        if (now !== sent) {
            sent = now;
            quietSince = Date.now();
        }
    }
}

/** An ordinary request, and the status of its answer. */
export interface OrdinaryRequest {
    readonly port: number;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly status: number;
}

/** Sends an ordinary request until it is answered as expected. Throws with the last answer when it never is. */
export async function sendUntilAnswered(ordinary: OrdinaryRequest): Promise<void> {
    const until = Date.now() + ordinaryTimeoutMs;
    let seen = "nothing";
    while (Date.now() < until) {
        seen = await send(ordinary, until);
        if (seen === String(ordinary.status)) {
            return;
        }
        await passMs(retryDelayMs);
    }
    throw new Error(`An ordinary request for ${ordinary.path} was answered by ${seen}.`);
}

function send({ port, path, headers }: OrdinaryRequest, until: number): Promise<string> {
    return new Promise(done => {
        const req = request({ host: "127.0.0.1", port, path, headers: { ...headers }, agent: false }, res => {
            res.on("error", err => done(String(err)));
            res.on("end", () => done(String(res.statusCode)));
            res.resume();
        });
        req.setTimeout(Math.max(1, until - Date.now()), () => req.destroy(new Error("There was no answer.")));
        req.on("error", err => done(String(err)));
        req.end();
    });
}

function passMs(ms: number): Promise<void> {
    return new Promise(done => setTimeout(done, ms));
}
