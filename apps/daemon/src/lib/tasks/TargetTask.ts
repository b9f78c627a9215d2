/**
 * Keeps this host's view of every target of its zone: whether it is listed and reachable, and the version of its
 * weights. This host probes the targets assigned to it and uses the other hosts' reports for the rest.
 */

import {
    after,
    type HostListSnapshot,
    type Incarnation,
    type Instant,
    type ListedTarget,
    type PoolId,
    ReportRegistry,
    type TargetId,
    type TargetReport,
    type TargetView,
    toLeavingFact,
} from "@tamarackpath/core";
import { type Context, type Task } from "../Context.js";
import { repeat } from "./repeat.js";
import { ReportSharing } from "./ReportSharing.js";

const probeIntervalMs = 400;
const probeTimeoutMs = 1000;
const defaultSlots = 8;
const probersPerTarget = 2;
const maxProbesPerRound = 4;

/** Tracks the targets of the zone. */
export class TargetTask implements Task {
    readonly name = "targets";
    private readonly views = new Map<TargetId, TargetView>();
    private readonly reports: ReportRegistry;
    private readonly share: ReportSharing;
    private round = 0;
    private cancel: () => void = () => undefined;

    constructor(private readonly ctx: Context) {
        this.reports = new ReportRegistry(ctx.host, probersPerTarget);
        this.share = new ReportSharing(
            ctx,
            this.reports,
            targets => targets.forEach(target => this.applyCombinedReport(target)),
        );
    }

    start(): void {
        this.share.start();
        this.ctx.bus.on("hostListRead", snapshot => this.onHostListRead(snapshot));
        this.ctx.bus.on("targetLeaving", ({ target, incarnation }) => {
            const view = this.views.get(target);
            if (view !== undefined && !view.leaving && view.incarnation <= incarnation) {
                this.update(target, { leaving: true });
            }
        });
        this.cancel = repeat(this.ctx, probeIntervalMs, () => this.probeAssigned());
    }

    stop(): void {
        this.cancel();
    }

    all(): readonly TargetView[] {
        return [...this.views.values()];
    }

    get(target: TargetId): TargetView | undefined {
        return this.views.get(target);
    }

    /** Replaces fields of a target's view. */
    update(target: TargetId, changes: Partial<TargetView>): void {
        const view = this.views.get(target);
        if (view !== undefined) {
            this.setView({ ...view, ...changes });
        }
    }

    /** Marks this incarnation of the target as leaving on every host. This cannot be undone. */
    markLeaving(target: TargetId): void {
        const view = this.views.get(target);
        if (view !== undefined) {
            this.update(target, { leaving: true });
            void this.ctx.bus.emit("raiseFacts", [toLeavingFact(view)]);
        }
    }

    dump(): unknown {
        return this.all();
    }

    private onHostListRead(snapshot: HostListSnapshot): void {
        const listed = snapshot.targets.filter(({ zone }) => zone === this.ctx.zone);
        if (listed.length === 0 && this.views.size > 0) {
            this.ctx.log("targets").warn("The host list has no target of this zone; the known targets stay in use.");
            return;
        }
        listed.forEach(target => this.addListedTarget(target));
        const names = new Set(listed.map(({ target }) => target));
        for (const { target, unlisted } of this.all()) {
            if (names.has(target) === (unlisted === true)) {
                this.update(target, { unlisted: !names.has(target) });
            }
        }
    }

    private addListedTarget(listed: ListedTarget): void {
        const existing = this.views.get(listed.target);
        if (existing === undefined || existing.incarnation < listed.incarnation) {
            this.setView(this.createView(listed));
        }
    }

    private setView(view: TargetView): void {
        this.views.set(view.target, view);
        void this.ctx.bus.emit("targetChanged", view);
    }

    private createView(listed: ListedTarget): TargetView {
        return {
            target: listed.target,
            kind: listed.kind,
            pool: listed.pool,
            zone: listed.zone,
            url: listed.url,
            incarnation: listed.incarnation as Incarnation,
            leaving: listed.leaving || this.ctx.leaving.isLeaving(listed.target, listed.incarnation),
            reachable: false,
            inFlight: 0,
            inFlightElsewhere: 0,
            slots: this.ctx.config.pool(listed.pool as PoolId)?.slotsPerTarget ?? defaultSlots,
            version: undefined,
            versionWhole: false,
            paceMs: undefined,
            seenAt: 0 as Instant,
        };
    }

    /** Probes the targets assigned to this host. Many targets are split into several rounds to limit the probe rate. */
    private async probeAssigned(): Promise<void> {
        const assignedViews = this.all().filter(view => this.reports.isProber(view.target));
        const rounds = Math.max(1, Math.ceil(assignedViews.length / maxProbesPerRound));
        this.round = (this.round + 1) % rounds;
        const due = assignedViews.filter((unused, nth) => nth % rounds === this.round);
        const reports = await Promise.all(due.map(view => this.probe(view)));
        const changedReports = reports.filter(report => this.reports.recordOwn(report));
        reports.forEach(report => this.applyCombinedReport(report.target));
        this.share.send(changedReports.map(report => report.target));
    }

    private async probe({ target, url, kind, incarnation }: TargetView): Promise<TargetReport> {
        const seenAt = this.ctx.clock.now();
        const deadline = after(seenAt, probeTimeoutMs);
        if (kind !== "engine") {
            const res = await this.ctx.ports.plain.probe({ target, url }, deadline);
            return { target, incarnation, reachable: res.isRight(), version: undefined, versionWhole: false, seenAt };
        }
        const res = await this.ctx.ports.engine.report({ target, url }, deadline);
        const report = res.toMaybe().extract();
        return {
            target,
            incarnation,
            reachable: report !== undefined,
            version: report?.version,
            versionWhole: report?.versionWhole ?? false,
            seenAt,
        };
    }

    /** Applies the combined report of the target's probers to this host's view. */
    private applyCombinedReport(target: TargetId): void {
        const view = this.views.get(target);
        const combined = view === undefined ? undefined : this.reports.combinedReport(target, view.incarnation);
        if (view === undefined || combined === undefined) {
            return;
        }
        const slots = this.ctx.config.pool(view.pool)?.slotsPerTarget ?? view.slots;
        const { reachable, version, versionWhole, seenAt } = combined;
        const isEngineState = view.kind === "engine" && reachable;
        this.update(target, { reachable, slots, seenAt, ...isEngineState ? { version, versionWhole } : {} });
    }
}
