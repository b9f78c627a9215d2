/** Starts and controls the process that runs the stand-ins. */

import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { type FleetCommand, type FleetReply, type FleetStartOptions } from "./fleetMessages.js";

const fleetFile = fileURLToPath(new URL("./fleetMain.js", import.meta.url));

/**
 * Handle of the load generator to the process with the stand-ins. Sends one command at a time and waits for its reply
 * before it sends the next.
 */
export class FleetProcess {
    private readonly child: ChildProcess = fork(fleetFile);
    private last: Promise<unknown> = Promise.resolve();

    async start(start: FleetStartOptions): Promise<Extract<FleetReply, { kind: "started"; }>> {
        return await this.ask({ kind: "start", start }) as Extract<FleetReply, { kind: "started"; }>;
    }

    /** Fetches how many tokens each engine produced, and the prefix cache hits and misses of all engines. */
    async account(): Promise<Extract<FleetReply, { kind: "account"; }>> {
        return await this.ask({ kind: "account" }) as Extract<FleetReply, { kind: "account"; }>;
    }

    /** Sends a command and returns its reply. */
    ask(command: FleetCommand): Promise<FleetReply> {
        const reply = this.last.then(async () => {
            this.child.send(command);
            const [answer] = await once(this.child, "message") as [FleetReply];
            return answer;
        });
        this.last = reply;
        return reply;
    }
}
