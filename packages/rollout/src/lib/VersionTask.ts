/** Carries out the plans of weight versions while this host conducts, and tracks which version each engine serves. */

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
import { type RequestPermits } from "./RequestPermits.js";
import { type RolloutSettings } from "./RolloutSettings.js";

/** The tasks that run at engines, as the version plans use them. */
export interface EngineWork {
    /** Number of tasks that run at an engine. */
    runningAt(target: TargetId): number;
    /** Expected tokens of a model's steps, or undefined before its first step. */
    workOf(model: string): number | undefined;
    /** Moves an engine's long runs of a model that is about to change to other engines. */
    moveLongRuns(target: TargetId, model: string): void;
}

/** Events of the version plans. */
export interface VersionEvents {
    readonly changed: undefined;
}

/** Milliseconds between runs of the plans. */
const planIntervalMs = 60;

/** Name of orders and reports among the requests to engines with a rate limit. */
const ordersFlow = "orders";

/** Keeps a version plan for each service and sends its orders. */
export class VersionTask {
    readonly events = new Emittery<VersionEvents>();
    private readonly plans = new Map<ServiceId, VersionPlan>();
    private readonly pendingReports = new Set<TargetId>();
    private work: EngineWork | undefined;
    private cancelPlanning: (() => void) | undefined;

    constructor(
        private readonly settings: Pick<RolloutSettings, "changingShare" | "changeMs">,
        private readonly self: string,
        private readonly view: Pick<HostView, "directory" | "versions" | "ageMs">,
        private readonly conductor: Pick<ConductorTask, "term">,
        private readonly permits: Pick<RequestPermits, "available" | "take">,
        private readonly engines: RolloutEngines,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {}

    activate(work: EngineWork): void {
        this.cancelPlanning?.();
        this.work = work;
        this.plans.clear();
        this.runPlans();
    }

    deactivate(): void {
        this.cancelPlanning?.();
        this.work = undefined;
    }

    versionOf(entry: TargetEntryView, model: string, now: Instant): WeightVersion | undefined {
        return this.planOf(entry.service).versionOf(this.engineOf(entry), model, now);
    }

    recordServedVersion(entry: TargetEntryView, model: string, version: WeightVersion): void {
        this.planOf(entry.service).recordServedVersion(this.engineOf(entry), model, version);
    }

    recordStillChanging(entry: TargetEntryView, model: string, until: Instant): void {
        this.planOf(entry.service).recordStillChanging(entry.target, model, until);
    }

    /** Whether an engine has paused its tasks for a change of weights. */
    isChanging(target: TargetId, now: Instant): boolean {
        return [...this.plans.values()].some(plan => plan.isPaused(target, now));
    }

    /** When the next changing engine is expected to serve again. */
    nextReadyAt(now: Instant): Instant | undefined {
        const times = [...this.plans.values()].flatMap(plan => plan.readyTimes()).filter(at => at > now);
        return times.length === 0 ? undefined : Math.min(...times) as Instant;
    }

    private runPlans(): void {
        const { work } = this;
        if (work === undefined) {
            return;
        }
        const now = this.clock.now();
        this.cancelPlanning = this.clock.callAt(after(now, planIntervalMs), () => this.runPlans());
        const engines = new Map<ServiceId, EngineState[]>();
        for (const entry of this.view.directory.targets) {
            if (entry.models.length > 0) {
                engines.set(entry.service, [...engines.get(entry.service) ?? [], this.engineOf(entry)]);
            }
        }
        for (const [service, states] of engines) {
            const plan = this.planOf(service);
            this.view.versions.forEach((version, model) => plan.name(model, version));
            if (this.conductor.term.canOrder(now)) {
                plan.decide(states, now, model => work.workOf(model)).forEach(order =>
                    void this.order(plan, order, now)
                );
                plan.enginesNeedingReport(states, now).forEach(target => void this.readReport(plan, target));
            }
        }
    }

    /** Sends an order that the term allowed at `checkedAt`. */
    private async order(plan: VersionPlan, order: VersionOrder, checkedAt: Instant): Promise<void> {
        const entry = this.view.directory.get(order.target);
        const claim = this.conductor.term.currentClaim;
        if (entry === undefined || claim === undefined) {
            return;
        }
        plan.recordSent(order);
        this.work?.moveLongRuns(order.target, order.model);
        this.conductor.term.recordOrder(this.clock.now());
        const end = await this.engines.order(
            entry,
            order,
            this.self,
            claim.fence,
            this.permits.take(entry, ordersFlow),
            this.conductor.term.orderDeadline(checkedAt),
        );
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
        if (entry === undefined || this.pendingReports.has(target)) {
            return;
        }
        if (this.permits.available(entry, ordersFlow, this.clock.now()) < 1) {
            // The plan asks for the report again until it has one.
            return;
        }
        this.pendingReports.add(target);
        const res = await this.engines.report(entry, this.permits.take(entry, ordersFlow));
        this.pendingReports.delete(target);
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
