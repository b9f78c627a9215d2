/** Tells the zone's other hosts how many requests this one has at each target, and hears the same of them. */

import { after, type Router } from "@tamarackpath/core";
import { Right } from "purify-ts";
import { type Context } from "../Context.js";
import { type MembershipTask } from "./MembershipTask.js";

const leastPeriodMs = 20;
/** Up to that many hosts the period is the least; beyond, it grows with the square, so that traffic falls. */
const hostsAtLeastPeriod = 8;
const heldMs = 100;
const nothingInFlight = "{}";

/** Exchanges counts of requests in flight. */
export class InFlightGossip {
    private cancel: (() => void) | undefined;
    private told = nothingInFlight;
    private toldAt = 0;

    constructor(
        private readonly ctx: Context,
        private readonly members: MembershipTask,
        private readonly router: Router,
        private readonly onHeard: () => void,
    ) {}

    start(): void {
        this.ctx.ports.peers.handle("in-flight", ({ host, counts }) => {
            this.router.recordPeerCounts(host, counts, after(this.ctx.clock.now(), heldMs));
            this.onHeard();
            return Promise.resolve(Right({}));
        });
    }

    /** Notes that the counts may have changed; they are told within the least period. */
    wake(): void {
        this.cancel ??= this.ctx.clock.callAt(after(this.ctx.clock.now(), leastPeriodMs), () => {
            this.cancel = undefined;
            this.tell();
            if (this.told !== nothingInFlight || Object.keys(this.router.inFlightCounts()).length > 0) {
                this.wake();
            }
        });
    }

    stop(): void {
        this.cancel?.();
    }

    private tell(): void {
        const now = this.ctx.clock.now();
        const others = this.members.live().filter(host => host !== this.ctx.host);
        const crowding = Math.max(1, (others.length + 1) / hostsAtLeastPeriod);
        if (others.length === 0) {
            this.told = nothingInFlight;
            return;
        }
        if (now - this.toldAt < leastPeriodMs * (crowding * crowding - 1)) {
            return;
        }
        const counts = this.router.inFlightCounts();
        const text = JSON.stringify(counts);
        if (text === this.told && (text === nothingInFlight || now - this.toldAt < heldMs / 2)) {
            return;
        }
        this.told = text;
        this.toldAt = now;
        for (const other of others) {
            void this.ctx.ports.peers.ask(other, "in-flight", { host: this.ctx.host, counts }, after(now, heldMs));
        }
    }
}
