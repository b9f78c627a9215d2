/** Carries out the plans of weight versions, while this host conducts, and knows which version each engine serves. */

import {
    after,
    type Clock,
    type EngineState,
    type Instant,
    type RolloutEngines,
    type TargetEntryView,
    type TargetId,
    type VersionOrder,
    VersionPlan,
    type WeightVersion,
} from "@tamarackpath/core";
import Emittery from "emittery";
import { type ConductorTask } from "./ConductorTask.js";
import { type HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";
import { type RolloutSettings } from "./RolloutSettings.js";

/** What the plans need to know of the tasks that run. */
export interface WorkAtEngines {
    runningAt(target: TargetId): number;
    readonly hasWaiting: boolean;
    /** Moves the tasks of an engine that is about to pause. */
    vacate(target: TargetId): void;
}

/** What may change. */
export interface VersionEvents {
    readonly changed: undefined;
}

/** Milliseconds between looks at the plans. */
const lookEveryMs = 60;

/** Versions that an engine may lag behind before it changes although it is busy: a step allows the version before. */
const allowedLag = 0;

/** Keeps the plans of all models. */
export class VersionTask {
    readonly events = new Emittery<VersionEvents>();
    private readonly plans = new Map<string, VersionPlan>();
    private readonly reporting = new Set<TargetId>();
    private work: WorkAtEngines | undefined;
    private cancelLook: (() => void) | undefined;

    constructor(
        private readonly settings: RolloutSettings,
        private readonly self: string,
        private readonly view: HostView,
        private readonly conductor: ConductorTask,
        private readonly engines: RolloutEngines,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {}

    activate(work: WorkAtEngines): void {
        this.cancelLook?.();
        this.work = work;
        this.plans.clear();
        this.look();
    }

    deactivate(): void {
        this.cancelLook?.();
        this.work = undefined;
    }

    versionOf(entry: TargetEntryView, model: string, now: Instant): WeightVersion | undefined {
        const engine = this.engineOf(entry, model);
        return engine === undefined ? undefined : this.planOf(model).versionOf(engine, now);
    }

    noteServed(entry: TargetEntryView, model: string, version: WeightVersion): void {
        const engine = this.engineOf(entry, model);
        if (engine !== undefined) {
            this.planOf(model).noteServed(engine, version);
        }
    }

    noteStillChanging(entry: TargetEntryView, model: string, until: Instant): void {
        this.planOf(model).noteStillChanging(entry.target, until);
    }

    /** Whether an engine pauses its tasks for a change of weights. */
    isChanging(target: TargetId, now: Instant): boolean {
        return [...this.plans.values()].some(plan => plan.isPaused(target, now));
    }

    /** When the next changing engine should serve again. */
    nextReadyAt(now: Instant): Instant | undefined {
        const times = [...this.plans.values()].flatMap(plan => plan.readyTimes()).filter(at => at > now);
        return times.length === 0 ? undefined : Math.min(...times) as Instant;
    }

    private look(): void {
        const { work } = this;
        if (work === undefined) {
            return;
        }
        const now = this.clock.now();
        for (const [model, version] of this.view.versions) {
            const plan = this.planOf(model);
            plan.name(version);
            const engines = this.view.directory.targets.flatMap(entry => this.engineOf(entry, model) ?? []);
            if (this.conductor.tenure.mayOrder(now)) {
                plan.decide(engines, now, work.hasWaiting).forEach(order => void this.order(plan, order));
            }
            plan.unclear(now).forEach(target => void this.readReport(plan, model, target));
        }
        this.cancelLook = this.clock.callAt(after(now, lookEveryMs), () => this.look());
    }

    private async order(plan: VersionPlan, order: VersionOrder): Promise<void> {
        const entry = this.view.directory.get(order.target);
        const claim = this.conductor.tenure.current;
        if (entry === undefined || claim === undefined) {
            return;
        }
        plan.noteSent(order);
        this.work?.vacate(order.target);
        this.conductor.tenure.noteOrder(this.clock.now());
        const end = await this.engines.order(entry, order, this.self, claim.fence);
        plan.noteEnd(order, end, this.clock.now());
        this.journal.note("version-ordered", {
            target: order.target,
            model: order.model,
            version: order.version,
            expectedOrders: order.expectedOrders,
            fence: claim.fence,
            viewAgeMs: this.view.ageMs,
            end,
        });
        void this.events.emit("changed");
    }

    private async readReport(plan: VersionPlan, model: string, target: TargetId): Promise<void> {
        const entry = this.view.directory.get(target);
        if (entry === undefined || this.reporting.has(target)) {
            return;
        }
        this.reporting.add(target);
        const res = await this.engines.report(entry);
        this.reporting.delete(target);
        res.ifRight(report => {
            const version = report.versions.find(known => known.model === model)?.version;
            const engine = this.engineOf(entry, model);
            if (engine !== undefined && version !== undefined) {
                plan.noteReport({ ...engine, version }, report.orders, report.isBusy, this.clock.now());
            }
            this.journal.note("engine-report", { target, model, version, orders: report.orders, busy: report.isBusy });
        });
        res.ifLeft(detail => {
            plan.noteNoReport(target, this.clock.now());
            this.journal.note("engine-report", { target, model, detail });
        });
        void this.events.emit("changed");
    }

    private planOf(model: string): VersionPlan {
        const known = this.plans.get(model);
        if (known !== undefined) {
            return known;
        }
        const { changingShare, changeMs } = this.settings;
        const plan = new VersionPlan(model, { changingShare, changeMs, allowedLag });
        this.plans.set(model, plan);
        return plan;
    }

    private engineOf(entry: TargetEntryView, model: string): EngineState | undefined {
        const version = entry.models.find(known => known.model === model)?.version;
        return version === undefined ? undefined : {
            target: entry.target,
            incarnation: entry.incarnation,
            version,
            leaving: entry.leaving,
            running: this.work?.runningAt(entry.target) ?? 0,
        };
    }
}
