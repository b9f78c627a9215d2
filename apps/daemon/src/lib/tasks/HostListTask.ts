/** Reads the platform's host list periodically and publishes it to the other tasks. */

import { type HostListSnapshot, type Instant } from "@tamarackpath/core";
import { type Context, type Task } from "../Context.js";
import { repeat } from "./repeat.js";

const readIntervalMs = 1000;

/** Polls the platform's host list. */
export class HostListTask implements Task {
    readonly name = "host-list";
    private last: HostListSnapshot | undefined;
    private readAt: Instant | undefined;
    private cancel: () => void = () => undefined;

    constructor(private readonly ctx: Context) {}

    start(): void {
        this.cancel = repeat(this.ctx, readIntervalMs, () => this.read());
    }

    stop(): void {
        this.cancel();
    }

    dump(): unknown {
        return { readAt: this.readAt, hosts: this.last?.hosts.length, targets: this.last?.targets.length };
    }

    private async read(): Promise<void> {
        const res = await this.ctx.ports.hostList.read();
        res.ifRight(snapshot => {
            this.last = snapshot;
            this.readAt = this.ctx.clock.now();
            void this.ctx.bus.emit("hostListRead", snapshot);
        });
    }
}
