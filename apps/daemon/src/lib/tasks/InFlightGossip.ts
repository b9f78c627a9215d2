/** Exchanges with the zone's other hosts how many requests each host has in flight at each target. */

import { after, type Router } from "@tamarackpath/core";
import { Right } from "purify-ts";
import { type Context } from "../Context.js";
import { type MembershipTask } from "./MembershipTask.js";

const minIntervalMs = 20;
/** With more hosts the interval grows with the square of their number, so that each host's traffic falls. */
const maxHostsAtMinInterval = 8;
const countsTtlMs = 100;
const nothingInFlight = "{}";

/** Sends and receives counts of requests in flight. */
export class InFlightGossip {
    private cancel: (() => void) | undefined;
    private lastSentText = nothingInFlight;
    private lastSentAt = 0;

    constructor(
        private readonly ctx: Context,
        private readonly members: MembershipTask,
        private readonly router: Router,
        private readonly onReceived: () => void,
    ) {}

    start(): void {
        this.ctx.ports.peers.handle("in-flight", ({ host, counts }) => {
            this.router.recordPeerCounts(host, counts, after(this.ctx.clock.now(), countsTtlMs));
            this.onReceived();
            return Promise.resolve(Right({}));
        });
    }

    /** Schedules sending the counts after the minimum interval, because they may have changed. */
    schedule(): void {
        this.cancel ??= this.ctx.clock.callAt(after(this.ctx.clock.now(), minIntervalMs), () => {
            this.cancel = undefined;
            this.send();
            if (this.lastSentText !== nothingInFlight || Object.keys(this.router.inFlightCounts()).length > 0) {
                this.schedule();
            }
        });
    }

    stop(): void {
        this.cancel?.();
    }

    private send(): void {
        const now = this.ctx.clock.now();
        const others = this.members.live().filter(host => host !== this.ctx.host);
        const sizeFactor = Math.max(1, (others.length + 1) / maxHostsAtMinInterval);
        if (others.length === 0) {
            this.lastSentText = nothingInFlight;
            return;
        }
        if (now - this.lastSentAt < minIntervalMs * (sizeFactor * sizeFactor - 1)) {
            return;
        }
        const counts = this.router.inFlightCounts();
        const text = JSON.stringify(counts);
        if (text === this.lastSentText && (text === nothingInFlight || now - this.lastSentAt < countsTtlMs / 2)) {
            return;
        }
        this.lastSentText = text;
        this.lastSentAt = now;
        for (const other of others) {
            void this.ctx.ports.peers.ask(other, "in-flight", { host: this.ctx.host, counts }, after(now, countsTtlMs));
        }
    }
}
