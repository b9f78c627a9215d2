/**
 * Exchanges the results of target probes with the zone's other hosts. A report is sent to each host when it changes,
 * and again until that host has acknowledged it.
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

const sendTimeoutMs = 1000;

/** Shares target reports inside the zone. */
export class ReportSharing {
    private readonly pending = new Map<HostId, Set<TargetId>>();
    private readonly sending = new Set<HostId>();

    constructor(
        private readonly ctx: Context,
        private readonly registry: ReportRegistry,
        private readonly onReceived: (targets: readonly TargetId[]) => void,
    ) {}

    start(): void {
        this.ctx.ports.peers.handle("target-reports", ({ reports }, from) => {
            reports.forEach(report => this.registry.record(from, this.fromShared(report)));
            this.onReceived(reports.map(report => report.target));
            return Promise.resolve(Right({}));
        });
        this.ctx.bus.on("membersChanged", live => this.setHosts(live));
    }

    /** Sends the reports on `changed` targets, and those that a host has not acknowledged yet. */
    send(changed: readonly TargetId[]): void {
        for (const [host, targets] of this.pending) {
            changed.forEach(target => targets.add(target));
            if (targets.size > 0 && !this.sending.has(host)) {
                void this.sendTo(host, targets);
            }
        }
    }

    dump(): unknown {
        return [...this.pending].map(([host, targets]) => ({ host, unansweredReports: targets.size }));
    }

    private setHosts(live: readonly HostId[]): void {
        this.registry.setHosts(live);
        const own = this.registry.own().map(report => report.target);
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

    private async sendTo(host: HostId, targets: Set<TargetId>): Promise<void> {
        const sentTargets = [...targets];
        const sentSet = new Set(sentTargets);
        const reports = this.registry.own().filter(report => sentSet.has(report.target)).map(report =>
            this.toShared(report)
        );
        targets.clear();
        this.sending.add(host);
        const deadline = after(this.ctx.clock.now(), sendTimeoutMs);
        const res = await this.ctx.ports.peers.ask(host, "target-reports", { reports }, deadline);
        this.sending.delete(host);
        res.ifLeft(() => sentTargets.forEach(target => targets.add(target)));
    }

    private toShared({ seenAt, ...report }: TargetReport): SharedReport {
        return { ...report, ageMs: this.ctx.clock.now() - seenAt };
    }

    /** Adds the send timeout to the report's age, because the message may have been in transit for that long. */
    private fromShared({ ageMs, ...report }: SharedReport): TargetReport {
        return { ...report, seenAt: after(this.ctx.clock.now(), -ageMs - sendTimeoutMs) };
    }
}
