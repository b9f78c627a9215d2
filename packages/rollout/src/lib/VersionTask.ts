/** Carries out the plans of weight versions, while this host conducts, and knows which version each engine serves. */

import {
    after,
    type Clock,
    type EngineState,
    type Instant,
    type RolloutEngines,
    type ServiceId,
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
    /** Moves an engine's tasks of a model that is about to change. */
    vacate(target: TargetId, model: string): void;
}

/** What may change. */
export interface VersionEvents {
    readonly changed: undefined;
}

/** Milliseconds between looks at the plans. */
const lookEveryMs = 60;

/** Keeps the plans of all services. */
export class VersionTask {
    readonly events = new Emittery<VersionEvents>();
    private readonly plans = new Map<ServiceId, VersionPlan>();
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
        return this.planOf(entry.service).versionOf(this.engineOf(entry), model, now);
    }

    noteServed(entry: TargetEntryView, model: string, version: WeightVersion): void {
        this.planOf(entry.service).recordServedVersion(this.engineOf(entry), model, version);
    }

    noteStillChanging(entry: TargetEntryView, model: string, until: Instant): void {
        this.planOf(entry.service).recordStillChanging(entry.target, model, until);
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
        const engines = new Map<ServiceId, EngineState[]>();
        for (const entry of this.view.directory.targets) {
            if (entry.models.length > 0) {
                engines.set(entry.service, [...engines.get(entry.service) ?? [], this.engineOf(entry)]);
            }
        }
        for (const [service, states] of engines) {
            const plan = this.planOf(service);
            this.view.versions.forEach((version, model) => plan.name(model, version));
            if (this.conductor.tenure.canOrder(now)) {
                plan.decide(states, now).forEach(order => void this.order(plan, order));
                plan.enginesNeedingReport(states, now).forEach(target => void this.readReport(plan, target));
            }
        }
        this.cancelLook = this.clock.callAt(after(now, lookEveryMs), () => this.look());
    }

    private async order(plan: VersionPlan, order: VersionOrder): Promise<void> {
        const entry = this.view.directory.get(order.target);
        const claim = this.conductor.tenure.currentClaim;
        if (entry === undefined || claim === undefined) {
            return;
        }
        plan.recordSent(order);
        this.work?.vacate(order.target, order.model);
        this.conductor.tenure.recordOrder(this.clock.now());
        const end = await this.engines.order(entry, order, this.self, claim.fence);
        plan.recordEnd(order, end, this.clock.now());
        this.journal.log("version-ordered", {
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

    private async readReport(plan: VersionPlan, target: TargetId): Promise<void> {
        const entry = this.view.directory.get(target);
        if (entry === undefined || this.reporting.has(target)) {
            return;
        }
        this.reporting.add(target);
        const res = await this.engines.report(entry);
        this.reporting.delete(target);
        res.ifRight(report => {
            plan.recordReport(
                { ...this.engineOf(entry), models: report.versions },
                report.orders,
                report.isBusy,
                this.clock.now(),
            );
            const versions = report.versions.map(({ model, version }) => `${model} ${version}`);
            this.journal.log("engine-report", { target, versions, orders: report.orders, busy: report.isBusy });
        });
        res.ifLeft(detail => {
            plan.recordReportFailure(target, this.clock.now());
            this.journal.log("engine-report", { target, detail });
        });
        void this.events.emit("changed");
    }

    private planOf(service: ServiceId): VersionPlan {
        const known = this.plans.get(service);
        if (known !== undefined) {
            return known;
        }
        const { changingShare, changeMs } = this.settings;
        const plan = new VersionPlan({ changingShare, changeMs });
        this.plans.set(service, plan);
        return plan;
    }

    private engineOf({ target, incarnation, models, leaving }: TargetEntryView): EngineState {
        return { target, incarnation, models, leaving, running: this.work?.runningAt(target) ?? 0 };
    }
}
