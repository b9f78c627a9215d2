/**
 * Keeps this host's view of every target of its zone: listed, reachable, and the version of its weights. It probes the
 * targets that are its duty and takes the other hosts' word for the rest.
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
import { ReportShare } from "./ReportShare.js";

const probeEveryMs = 400;
const probeTimeoutMs = 1000;
const defaultSlots = 8;
const probersPerTarget = 2;
const probesPerRound = 4;

/** Follows the targets. */
export class TargetTask implements Task {
    readonly name = "targets";
    private readonly views = new Map<TargetId, TargetView>();
    private readonly reports: ReportRegistry;
    private readonly share: ReportShare;
    private round = 0;
    private cancel: () => void = () => undefined;

    constructor(private readonly ctx: Context) {
        this.reports = new ReportRegistry(ctx.host, probersPerTarget);
        this.share = new ReportShare(ctx, this.reports, targets => targets.forEach(target => this.judge(target)));
    }

    start(): void {
        this.share.start();
        this.ctx.bus.on("hostListRead", snapshot => this.learn(snapshot));
        this.ctx.bus.on("targetLeaving", ({ target, incarnation }) => {
            const view = this.views.get(target);
            if (view !== undefined && !view.leaving && view.incarnation <= incarnation) {
                this.update(target, { leaving: true });
            }
        });
        this.cancel = repeat(this.ctx, probeEveryMs, () => this.probeDue());
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

    /** Replaces parts of a view. */
    update(target: TargetId, changes: Partial<TargetView>): void {
        const view = this.views.get(target);
        if (view !== undefined) {
            this.set({ ...view, ...changes });
        }
    }

    /** Notes that this incarnation of the target leaves, and tells every host; it never turns back. */
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

    private learn(snapshot: HostListSnapshot): void {
        const listed = snapshot.targets.filter(({ zone }) => zone === this.ctx.zone);
        if (listed.length === 0 && this.views.size > 0) {
            this.ctx.log("targets").warn("The host list names no target of the zone; the known ones stay in use.");
            return;
        }
        listed.forEach(target => this.learnOne(target));
        const names = new Set(listed.map(({ target }) => target));
        for (const { target, unlisted } of this.all()) {
            if (names.has(target) === (unlisted === true)) {
                this.update(target, { unlisted: !names.has(target) });
            }
        }
    }

    private learnOne(listed: ListedTarget): void {
        const known = this.views.get(listed.target);
        if (known === undefined || known.incarnation < listed.incarnation) {
            this.set(this.freshView(listed));
        }
    }

    private set(view: TargetView): void {
        this.views.set(view.target, view);
        void this.ctx.bus.emit("targetChanged", view);
    }

    private freshView(listed: ListedTarget): TargetView {
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

    /** Probes this host's targets; a host with many of them takes turns, so that probes keep to their budget. */
    private async probeDue(): Promise<void> {
        const duties = this.all().filter(view => this.reports.isProber(view.target));
        const rounds = Math.max(1, Math.ceil(duties.length / probesPerRound));
        this.round = (this.round + 1) % rounds;
        const due = duties.filter((unused, nth) => nth % rounds === this.round);
        const reports = await Promise.all(due.map(view => this.probe(view)));
        const news = reports.filter(report => this.reports.recordOwn(report));
        reports.forEach(report => this.judge(report.target));
        this.share.tell(news.map(report => report.target));
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

    /** Applies what the target's probers say together to this host's view. */
    private judge(target: TargetId): void {
        const view = this.views.get(target);
        const verdict = view === undefined ? undefined : this.reports.combinedReport(target, view.incarnation);
        if (view === undefined || verdict === undefined) {
            return;
        }
        const slots = this.ctx.config.pool(view.pool)?.slotsPerTarget ?? view.slots;
        const { reachable, version, versionWhole, seenAt } = verdict;
        const isEngineState = view.kind === "engine" && reachable;
        this.update(target, { reachable, slots, seenAt, ...isEngineState ? { version, versionWhole } : {} });
    }
}
