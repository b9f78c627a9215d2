/** The dump of the process's state: limited in size, and without secrets. */

import { type Context, type Task } from "../Context.js";

const maxDumpBytes = 4 * 1024 * 1024;
const maxListLength = 1000;
const secretKeys = /secret|authorization|password|^token(Sha256)?$/i;
const withheld = "withheld";

/** Creates the dump as JSON text. Lists are truncated, and truncated further while the dump is too large. */
export function createDump(ctx: Context, tasks: readonly Task[]): string {
    const state = {
        host: ctx.host,
        zone: ctx.zone,
        incarnation: ctx.incarnation,
        now: ctx.clock.now(),
        memory: process.memoryUsage(),
        cpu: process.cpuUsage(),
        uptimeSeconds: process.uptime(),
        ...Object.fromEntries(tasks.map(task => [task.name, task.dump()])),
    };
    let listLength = maxListLength;
    let text = stringifyBounded(state, listLength);
    while (Buffer.byteLength(text) > maxDumpBytes && listLength > 1) {
        listLength = Math.floor(listLength / 2);
        text = stringifyBounded(state, listLength);
    }
    return text;
}

function stringifyBounded(state: unknown, listLength: number): string {
    return JSON.stringify(state, (key, value: unknown) => {
        if (secretKeys.test(key)) {
            return withheld;
        }
        if (Array.isArray(value) && value.length > listLength) {
            return [...value.slice(0, listLength) as unknown[], `${value.length - listLength} more`];
        }
        return value;
    });
}
