/**
 * Tells the zone's hosts what this host's probes found, and hears the same of them. A report is sent to each host when
 * it changes, and again until that host has answered.
 */

import {
    after,
    type HostId,
    type ReportRegistry,
    type SharedReport,
    type TargetId,
    type TargetReport,
} from "@tamarackpath/core";
import { Right } from "purify-ts";
import { type Context } from "../Context.js";

const tellTimeoutMs = 1000;

/** Shares target reports inside the zone. */
export class ReportShare {
    private readonly pending = new Map<HostId, Set<TargetId>>();
    private readonly telling = new Set<HostId>();

    constructor(
        private readonly ctx: Context,
        private readonly book: ReportRegistry,
        private readonly onHeard: (targets: readonly TargetId[]) => void,
    ) {}

    start(): void {
        this.ctx.ports.peers.handle("target-reports", ({ reports }, from) => {
            reports.forEach(report => this.book.record(from, this.fromShared(report)));
            this.onHeard(reports.map(report => report.target));
            return Promise.resolve(Right({}));
        });
        this.ctx.bus.on("membersChanged", live => this.setHosts(live));
    }

    /** Sends the reports on `changed` targets, and those that a host has not answered yet. */
    tell(changed: readonly TargetId[]): void {
        for (const [host, targets] of this.pending) {
            changed.forEach(target => targets.add(target));
            if (targets.size > 0 && !this.telling.has(host)) {
                void this.tellHost(host, targets);
            }
        }
    }

    dump(): unknown {
        return [...this.pending].map(([host, targets]) => ({ host, unansweredReports: targets.size }));
    }

    private setHosts(live: readonly HostId[]): void {
        this.book.setHosts(live);
        const own = this.book.own().map(report => report.target);
        for (const host of live) {
            if (host !== this.ctx.host && !this.pending.has(host)) {
                this.pending.set(host, new Set(own));
            }
        }
        for (const host of [...this.pending.keys()]) {
            if (!live.includes(host)) {
                this.pending.delete(host);
            }
        }
    }

    private async tellHost(host: HostId, targets: Set<TargetId>): Promise<void> {
        const told = [...targets];
        const wanted = new Set(told);
        const reports = this.book.own().filter(report => wanted.has(report.target)).map(report =>
            this.toShared(report)
        );
        targets.clear();
        this.telling.add(host);
        const deadline = after(this.ctx.clock.now(), tellTimeoutMs);
        const res = await this.ctx.ports.peers.ask(host, "target-reports", { reports }, deadline);
        this.telling.delete(host);
        res.ifLeft(() => told.forEach(target => targets.add(target)));
    }

    private toShared({ seenAt, ...report }: TargetReport): SharedReport {
        return { ...report, ageMs: this.ctx.clock.now() - seenAt };
    }

    /** The report may have travelled for as long as its sender waits for an answer. */
    private fromShared({ ageMs, ...report }: SharedReport): TargetReport {
        return { ...report, seenAt: after(this.ctx.clock.now(), -ageMs - tellTimeoutMs) };
    }
}
