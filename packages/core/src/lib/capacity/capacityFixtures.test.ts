/** A platform with engines and trainers, simulated in steps of 100 ms, for the tests of this folder. */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { after, asId, type Incarnation, type Instant, type ServiceId, type TargetId, type ZoneId } from "../ids.js";
import { type DutyCallEnd } from "../ports/DutyPlatform.js";
import { type CapacityInput, type CapacityReason, type PlannedOrder } from "./CapacityInput.js";
import { planCapacity } from "./CapacityPlanner.js";
import { slotsOfOpenWork, StepForecast } from "./DemandForecast.js";
import { DemandWindow } from "./DemandWindow.js";
import { showMs } from "./EngineGroup.js";
import { OrderBook } from "./OrderBook.js";
import { RecentEngines } from "./RecentEngines.js";
import { type CapacityKind, type Scaling } from "./Scaling.js";

const service = asId<ServiceId>("s");

export const slotsPerEngine = 8;

/** Tokens and milliseconds of a slot of one task. */
const taskTokens = 25;
const slotMsPerToken = 40;

const tickMs = 100;

export function zoneOf(nth: number): ZoneId {
    return asId<ZoneId>(`z${nth}`);
}

export function scalingFixture(changes: Partial<Scaling> = {}): Scaling {
    return {
        minPerZone: 1,
        maxPerZone: 14,
        startupMs: 4000,
        reclaimablePrice: 0.18,
        zonePrices: [1, 0.8, 1.25, 0.9].map((price, nth) => ({ zone: zoneOf(nth), price })),
        ...changes,
    };
}

/** An engine of a simulated platform, as far as its entry shows it. */
export interface ListedEngine {
    readonly id: number;
    readonly zone: ZoneId;
    readonly kind: CapacityKind;
    /** When it leaves; infinite while it stays. */
    readonly leavesAt: number;
}

/** The entry of an engine in the list of targets. */
export function engineEntryFixture({ id, zone, kind, leavesAt }: ListedEngine): TargetEntryView {
    return {
        target: asId<TargetId>(`e${id}`),
        service,
        address: "",
        zone,
        slots: slotsPerEngine,
        leaving: leavesAt < Infinity,
        incarnation: 1 as Incarnation,
        models: [],
        isReclaimable: kind === "reclaimable",
    };
}

interface SimulatedEngine {
    readonly id: number;
    readonly zone: ZoneId;
    readonly kind: CapacityKind;
    readonly readyAt: number;
    leavesAt: number;
}

interface SimulatedStep {
    readonly dueAt: number;
    tokens: number;
}

/** An order as the platform got it. */
export interface SentOrder extends PlannedOrder {
    readonly at: number;
    readonly end: DutyCallEnd;
}

export interface SimulationOptions {
    readonly scaling?: Scaling;
    /** Engines of each zone at the start. */
    readonly standing: number;
    readonly reclaimable?: number;
    /** Tasks of a trainer's step; 0 for none. */
    readonly tasksAt: (trainer: number, at: number) => number;
    readonly trainers?: number;
    /** Whether the platform has none of these. */
    readonly isUnavailable?: (zone: ZoneId, kind: CapacityKind, at: number) => boolean;
}

/** Interval of a trainer's steps and the time after which a step is due, in milliseconds. */
const stepIntervalMs = 4000;
const stepDueMs = 7500;

/** Runs planner, platform and trainers. */
export class CapacitySimulation {
    readonly orders: SentOrder[] = [];
    readonly scaling: Scaling;
    /** How late each step ended, in milliseconds; negative for steps that ended in time. */
    readonly lateness: number[] = [];
    cost = 0;
    private now = 0;
    private serial = 0;
    private engines: SimulatedEngine[] = [];
    private steps: SimulatedStep[] = [];
    private readonly forecast = new StepForecast();
    private readonly window = new DemandWindow();
    private readonly recent = new RecentEngines();
    private readonly book = new OrderBook(undefined, 0, 0 as Instant);

    constructor(private readonly options: SimulationOptions) {
        this.scaling = options.scaling ?? scalingFixture();
        for (const { zone } of this.scaling.zonePrices) {
            this.start(zone, "standing", options.standing, 0);
            this.start(zone, "reclaimable", options.reclaimable ?? 0, 0);
        }
    }

    /** Engines that serve and do not leave. */
    count(kind?: CapacityKind, zone?: ZoneId): number {
        return this.engines.filter(each =>
            (kind === undefined || each.kind === kind) && (zone === undefined || each.zone === zone)
            && each.readyAt <= this.now && each.leavesAt === Infinity
        ).length;
    }

    /** Announces that all reclaimable engines of a zone leave after 2.4 s. */
    reclaim(zone: ZoneId): void {
        this.engines.filter(each => each.zone === zone && each.kind === "reclaimable").forEach(each => {
            each.leavesAt = Math.min(each.leavesAt, this.now + 2400);
        });
    }

    run(untilMs: number): void {
        for (; this.now < untilMs; this.now += tickMs) {
            this.engines = this.engines.filter(({ leavesAt }) => leavesAt > this.now);
            this.submitSteps();
            this.work();
            if (this.now % 1000 === 0) {
                this.plan();
            }
        }
    }

    /** The input of the planner at this time. */
    input(): CapacityInput {
        const now = this.now as Instant;
        const { scaling } = this;
        this.recent.record(this.targets(), showMs(scaling), now);
        const groups = this.book.groups(service, this.targets(), this.recent);
        this.book.closeShown(service, groups, showMs(scaling), now);
        const open = this.steps.map(({ dueAt, tokens }) => ({
            wantedAt: dueAt - stepDueMs + stepIntervalMs as Instant,
            tasks: Math.ceil(tokens / taskTokens),
            tokens,
            longestTokens: taskTokens,
        }));
        const slots = Math.max(
            slotsOfOpenWork(open, slotMsPerToken, now),
            this.forecast.tokensPerMs(now) * slotMsPerToken,
        );
        this.window.record(slots, now);
        const isLate = this.steps.some(({ dueAt }) => dueAt <= now);
        const peakSlots = this.window.peak(now);
        const busySlots = Math.min(
            this.count() * slotsPerEngine,
            this.steps.reduce((sum, { tokens }) => sum + Math.ceil(tokens / taskTokens), 0),
        );
        const demand = { slots, peakSlots, isPeakCertain: this.window.isFull(now), isLate, busySlots };
        return {
            now,
            scaling,
            slotsPerEngine,
            groups: this.book.groups(service, this.targets(), this.recent),
            demand,
        };
    }

    /** Plans and sends orders until one pass asks for nothing that the platform refuses. */
    plan(): void {
        for (let round = 0, isRefused = true; round < 8 && isRefused; round++) {
            const orders = planCapacity(this.input());
            const now = this.now as Instant;
            this.book.place(service, orders, now);
            isRefused = false;
            for (const order of orders) {
                const end = this.send(order);
                this.book.recordEnd({ service, zone: order.zone, kind: order.kind }, end, now);
                isRefused ||= end === "none-available";
            }
        }
    }

    private send(order: PlannedOrder): DutyCallEnd {
        const { zone, kind, to } = order;
        const own = this.engines.filter(each => each.zone === zone && each.kind === kind && each.leavesAt === Infinity);
        const isRefused = to > own.length && this.options.isUnavailable?.(zone, kind, this.now) === true;
        if (!isRefused) {
            this.start(zone, kind, to - own.length, this.now + this.scaling.startupMs);
            own.slice(0, Math.max(0, own.length - to)).forEach(each => {
                each.leavesAt = this.now + 2400;
            });
        }
        this.orders.push({ ...order, at: this.now, end: isRefused ? "none-available" : "accepted" });
        return isRefused ? "none-available" : "accepted";
    }

    private start(zone: ZoneId, kind: CapacityKind, count: number, readyAt: number): void {
        for (let nth = 0; nth < count; nth++) {
            this.engines.push({ id: ++this.serial, zone, kind, readyAt, leavesAt: Infinity });
        }
    }

    private targets(): readonly TargetEntryView[] {
        return this.engines.filter(({ readyAt }) => readyAt <= this.now).map(engineEntryFixture);
    }

    private submitSteps(): void {
        const { trainers = 4, tasksAt } = this.options;
        for (let trainer = 0; trainer < trainers; trainer++) {
            const tasks = this.now % stepIntervalMs === trainer * 700 ? tasksAt(trainer, this.now) : 0;
            if (tasks > 0) {
                const tokens = tasks * taskTokens;
                this.steps.push({ dueAt: this.now + stepDueMs, tokens });
                this.forecast.record({ model: `m${trainer}`, submittedAt: this.now as Instant, tokens });
            }
        }
    }

    /** Lets the engines work on the steps, the one that is due first first. */
    private work(): void {
        const price = (zone: ZoneId): number => this.scaling.zonePrices.find(each => each.zone === zone)!.price;
        for (const { zone, kind } of this.engines) {
            this.cost += price(zone) * (kind === "standing" ? 1 : this.scaling.reclaimablePrice!) * tickMs / 1000;
        }
        let slots = this.engines.filter(({ readyAt }) => readyAt <= this.now).length * slotsPerEngine;
        for (const step of this.steps) {
            const used = Math.min(slots, Math.ceil(step.tokens / taskTokens));
            slots -= used;
            step.tokens -= used * tickMs / slotMsPerToken;
            if (step.tokens <= 0) {
                this.lateness.push(this.now - step.dueAt);
            }
        }
        this.steps = this.steps.filter(({ tokens }) => tokens > 0);
    }

    /** Reasons of the accepted orders of a time. */
    reasons(from: number, to = Infinity): readonly CapacityReason[] {
        return this.accepted(from, to).map(({ reason }) => reason);
    }

    accepted(from: number, to = Infinity): readonly SentOrder[] {
        return this.orders.filter(({ at, end }) => end === "accepted" && at >= from && at < to);
    }
}

/** Applies orders to the input as sent and accepted at its time, so that it can be planned again. */
export function withOrders(input: CapacityInput, orders: readonly PlannedOrder[]): CapacityInput {
    const { now, groups } = input;
    const untouched = groups.filter(({ zone, kind }) =>
        !orders.some(order => order.zone === zone && order.kind === kind)
    );
    const ordered = orders.map(({ zone, kind, from, to }) => {
        const group = groups.find(each => each.zone === zone && each.kind === kind)
            ?? { zone, kind, ready: 0, leaving: 0, missing: 0, blockedUntil: undefined };
        return { ...group, lastOrder: { count: to, previous: from, at: now, isOpen: false } };
    });
    return { ...input, groups: [...untouched, ...ordered] };
}

export function instant(ms: number): Instant {
    return after(0 as Instant, ms);
}
