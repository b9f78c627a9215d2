/**
 * Finds free loopback ports and reserves them against other test processes. A reservation is a socket on a second port,
 * so that it is atomic and ends with its process. The ports are below the range of ephemeral ports, so that the system
 * assigns none of them to an outgoing connection before a daemon listens on it or while the daemon restarts.
 */

import { createServer } from "node:net";

const firstPort = 10_000;
const portCount = 11_000;
/** Distance between a port and the one whose socket reserves it. */
const reservationOffset = portCount;
/** Distance between the first ports that processes with successive ids try, so that they rarely try the same ones. */
const portStride = 7919;
const loopback = "127.0.0.1";

let cursor = process.pid * portStride;

/**
 * Returns `count` free ports, reserved until this process exits. Throws when there are not enough. `start` is the first
 * port tried, counted from the beginning of the range; the default differs between processes.
 */
export async function freePorts(count: number, start = cursor): Promise<readonly number[]> {
    const ports: number[] = [];
    cursor = start;
    for (let tried = 0; ports.length < count; tried++) {
        if (tried > portCount) {
            throw new Error("Cannot find a free port: all ports of the range are in use or reserved.");
        }
        const port = firstPort + cursor++ % portCount;
        if (await reserve(port) && await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

/** Reserves the port; false when a process has reserved it already. */
function reserve(port: number): Promise<boolean> {
    const socket = createServer();
    return new Promise(resolve => {
        socket.once("error", () => resolve(false));
        socket.listen(port + reservationOffset, loopback, () => {
            socket.unref();
            resolve(true);
        });
    });
}

function isFree(port: number): Promise<boolean> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, loopback, () => server.close(() => resolve(true)));
    });
}
