/**
 * A replay of a deployment's first minute with tasks that run one event after the other, for the tests of this folder. Unlike
 * `CapacitySimulation`, it starts with the pace of tasks unknown, places whole tasks, and loses runs with their engines.
 */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { asId, type Instant, type ServiceId, type ZoneId } from "../ids.js";
import { seededRandom } from "../membership/seededRandom.js";
import { type DutyCallEnd } from "../ports/DutyPlatform.js";
import { engineEntryFixture, slotsPerEngine, zoneOf } from "./capacityFixtures.test.js";
import { type CapacityDemand, type PlannedOrder } from "./CapacityInput.js";
import { planCapacity } from "./CapacityPlanner.js";
import { slotsOfOpenWork, StepForecast } from "./DemandForecast.js";
import { DemandWindow } from "./DemandWindow.js";
import { type EngineGroup, showMs } from "./EngineGroup.js";
import { OrderBook } from "./OrderBook.js";
import { RecentEngines } from "./RecentEngines.js";
import { type CapacityKind, type Scaling } from "./Scaling.js";
import { SlotPace } from "./SlotPace.js";

const service = asId<ServiceId>("s");
const eventMs = 50;
/** Share of tasks with more events than usual, and the mean number of events of all. */
const longShare = 0.05;
const meanEvents = 17 + longShare * 61;
const stepIntervalMs = 4000;
const stepDueMs = 7500;
/** Share of a step's tasks that its trainer waits for. */
const neededShare = 0.9;
/** Milliseconds from a notice until its engines are gone, and between reads of the list of engines. */
const noticeMs = 2400;
const listIntervalMs = 900;

interface ReplayedEngine {
    readonly id: number;
    readonly zone: ZoneId;
    readonly kind: CapacityKind;
    readonly readyAt: number;
    leavesAt: number;
    /** When the platform announced to take it away, without an order; undefined if it has not. */
    reclaimedAt: number | undefined;
}

interface ReplayedTask {
    readonly step: ReplayedStep;
    eventsLeft: number;
    engine: ReplayedEngine | undefined;
    startedAt: number;
}

interface ReplayedStep {
    readonly model: string;
    readonly submittedAt: number;
    readonly tasks: number;
    done: number;
}

/** Options of a replay. */
export interface TaskReplayOptions {
    readonly scaling: Scaling;
    readonly seed: number;
    /** Standing and reclaimable engines of each zone at the start. */
    readonly start: readonly { readonly standing: number; readonly reclaimable: number; }[];
    /** When the reclaimable engines of which zone are reclaimed. */
    readonly reclaims: readonly { readonly at: number; readonly zone: ZoneId; }[];
    /** Whether the platform refuses orders of more engines at a time. */
    readonly isRefusing: (at: number) => boolean;
    /** Milliseconds that engines take to start beyond the startup time of the settings, if they are ordered at a time. */
    readonly startupDelayMs?: (at: number) => number;
    /** Milliseconds between reads of the list of engines at a time. */
    readonly listIntervalMs?: (at: number) => number;
    /** Whether the answer to a call is lost; the call takes effect if `isReceived`. */
    readonly lostCall?: (at: number) => { readonly isReceived: boolean; } | undefined;
    /** Whether an engine is missing from the list, as while it restarts. */
    readonly isUnlisted?: (id: number, at: number) => boolean;
    /** When another host begins to conduct; it may send orders 2.5 s later. */
    readonly changes?: readonly number[];
}

/** Runs planner, platform, trainers and tasks. */
export class TaskReplay {
    readonly orders: (PlannedOrder & { readonly at: number; readonly end: DutyCallEnd; })[] = [];
    /** How late each step's needed tasks ended, by the time of submission; negative for steps in time. */
    readonly lateness: { readonly submittedAt: number; readonly ms: number; }[] = [];
    /** When steps were submitted. */
    readonly submissions: number[] = [];
    /** Slots in use and slots of the engines that stay, after each order that reduces a number. */
    readonly reductions: { readonly used: number; readonly kept: number; }[] = [];
    cost = 0;
    /** Highest number of engines that a zone had and that did not leave, starting ones included. */
    mostInZone = 0;
    private now = 0;
    private serial = 0;
    private engines: ReplayedEngine[] = [];
    private tasks: ReplayedTask[] = [];
    private listed: readonly TargetEntryView[] = [];
    private listedAt = -Infinity;
    private forecast = new StepForecast();
    private window = new DemandWindow();
    private pace = new SlotPace();
    private readonly recent = new RecentEngines();
    private book = new OrderBook(undefined, 0, 0 as Instant);
    private record = this.book.recordWith(service, [], 0 as Instant);
    private ordersFrom = 0;
    private readonly random: () => number;

    constructor(private readonly options: TaskReplayOptions) {
        this.random = seededRandom(options.seed);
        options.start.forEach(({ standing, reclaimable }, nth) => {
            this.start(zoneOf(nth), "standing", standing, 0);
            this.start(zoneOf(nth), "reclaimable", reclaimable, 0);
        });
    }

    run(untilMs: number): void {
        for (; this.now < untilMs; this.now += eventMs) {
            this.reclaim();
            this.leave();
            this.submit();
            this.work();
            this.list();
            this.changeConductor();
            if (this.now % 1000 === 0) {
                this.plan();
            }
            this.account();
        }
    }

    /** Needed slots as the conductor measures them; undefined before the pace is known. */
    private demand(): CapacityDemand | undefined {
        const { slotMsPerToken } = this.pace;
        const now = this.now as Instant;
        if (slotMsPerToken === undefined) {
            return undefined;
        }
        const steps = [...new Set(this.tasks.map(({ step }) => step))];
        const open = steps.map(step => {
            const own = this.tasks.filter(each => each.step === step);
            const running = own.filter(({ engine }) => engine !== undefined).length;
            const tokens = meanEvents * (own.length - running / 2);
            const nextStepAt = step.submittedAt + (this.forecast.intervalMs(step.model) ?? Infinity);
            return {
                wantedAt: Math.min(step.submittedAt + stepDueMs, nextStepAt) as Instant,
                tasks: own.length,
                tokens,
                longestTokens: own.length === 0 ? 0 : meanEvents,
            };
        });
        const ofOpenWork = slotsOfOpenWork(open, slotMsPerToken, now);
        const slots = Math.max(ofOpenWork, this.forecast.tokensPerMs(now) * slotMsPerToken);
        this.window.record(slots, now);
        const serving = this.listed.filter(({ leaving }) => !leaving).length * slotsPerEngine;
        return {
            slots,
            peakSlots: this.window.peak(now),
            isPeakCertain: this.window.isFull(now),
            busySlots: this.tasks.filter(({ engine }) => engine !== undefined).length,
            isLate: ofOpenWork > serving || open.some(({ wantedAt }) => wantedAt <= now),
        };
    }

    private changeConductor(): void {
        if (this.options.changes?.includes(this.now) === true) {
            [this.forecast, this.window, this.pace] = [new StepForecast(), new DemandWindow(), new SlotPace()];
            for (const step of new Set(this.tasks.map(each => each.step))) {
                const submittedAt = step.submittedAt as Instant;
                this.forecast.record({ model: step.model, submittedAt, tokens: step.tasks * meanEvents });
            }
            this.ordersFrom = this.now + 2500;
            this.book = new OrderBook(this.record, 0, this.ordersFrom as Instant);
        }
    }

    private plan(): void {
        const { scaling } = this.options;
        const now = this.now as Instant;
        const demand = this.demand();
        if (this.now < this.ordersFrom || this.now - this.listedAt > 3000) {
            return;
        }
        const groups = (): readonly EngineGroup[] => this.book.groups(service, this.listed, this.recent);
        this.book.closeShown(service, groups(), showMs(scaling), now);
        for (const { zone, kind, count } of this.book.due(now)) {
            const end = this.send({ zone, kind, to: count });
            this.book.recordEnd({ service, zone, kind }, end, now);
        }
        for (let round = 0, isRefused = true; round < 8 && isRefused; round++) {
            const orders = planCapacity({ now, scaling, slotsPerEngine, groups: groups(), demand });
            this.record = orders.length === 0 ? this.record : this.book.recordWith(service, orders, now);
            this.book.place(service, orders, now);
            isRefused = false;
            for (const order of orders) {
                const end = this.send(order);
                this.book.recordEnd({ service, zone: order.zone, kind: order.kind }, end, now);
                this.orders.push({ ...order, at: this.now, end });
                if (order.to < order.from) {
                    const used = this.tasks.filter(({ engine }) => engine !== undefined).length;
                    // The conductor learns of a notice by the list that is read after it.
                    const kept = this.engines.filter(({ readyAt, leavesAt, reclaimedAt }) =>
                        readyAt <= this.now && (leavesAt === Infinity || (reclaimedAt ?? -Infinity) >= this.listedAt)
                    );
                    this.reductions.push({ used, kept: kept.length * slotsPerEngine });
                }
                isRefused ||= end === "none-available";
            }
        }
    }

    private send({ zone, kind, to }: Pick<PlannedOrder, "zone" | "kind" | "to">): DutyCallEnd {
        const lost = this.options.lostCall?.(this.now);
        const end = lost?.isReceived === false ? "no-answer" : this.receive(zone, kind, to);
        return lost === undefined ? end : "no-answer";
    }

    private receive(zone: ZoneId, kind: CapacityKind, to: number): DutyCallEnd {
        const own = this.engines.filter(each => each.zone === zone && each.kind === kind && each.leavesAt === Infinity);
        if (to > own.length && this.options.isRefusing(this.now)) {
            return "none-available";
        }
        const startupMs = this.options.scaling.startupMs + (this.options.startupDelayMs?.(this.now) ?? 0);
        this.start(zone, kind, to - own.length, this.now + startupMs);
        own.slice(0, Math.max(0, own.length - to)).forEach(each => {
            each.leavesAt = this.now + noticeMs;
        });
        return "accepted";
    }

    private start(zone: ZoneId, kind: CapacityKind, count: number, readyAt: number): void {
        for (let nth = 0; nth < count; nth++) {
            this.engines.push({ id: ++this.serial, zone, kind, readyAt, leavesAt: Infinity, reclaimedAt: undefined });
        }
    }

    private reclaim(): void {
        for (const { zone } of this.options.reclaims.filter(({ at }) => at === this.now)) {
            this.engines.filter(each => each.zone === zone && each.kind === "reclaimable").forEach(each => {
                each.reclaimedAt = each.leavesAt === Infinity ? this.now : each.reclaimedAt;
                each.leavesAt = Math.min(each.leavesAt, this.now + noticeMs);
            });
        }
    }

    /** Takes engines away; their tasks go on elsewhere, with their text. */
    private leave(): void {
        this.engines = this.engines.filter(({ leavesAt }) => leavesAt > this.now);
        for (const task of this.tasks.filter(({ engine }) => engine !== undefined && engine.leavesAt <= this.now)) {
            this.pace.recordRun(this.now - task.startedAt);
            task.engine = undefined;
        }
    }

    /** 104 to 112 tasks of 17 events each, one in twenty of up to 139. */
    private submit(): void {
        for (let trainer = 0; trainer < 4; trainer++) {
            if (this.now % stepIntervalMs === trainer * 700) {
                const step = {
                    model: `m${trainer}`,
                    submittedAt: this.now,
                    tasks: 104 + Math.floor(this.random() * 9),
                    done: 0,
                };
                for (let nth = 0; nth < step.tasks; nth++) {
                    const eventsLeft = this.random() < longShare ? 17 + Math.floor(this.random() * 123) : 17;
                    this.tasks.push({ step, eventsLeft, engine: undefined, startedAt: 0 });
                }
                const submittedAt = this.now as Instant;
                this.forecast.record({ model: step.model, submittedAt, tokens: step.tasks * meanEvents });
                this.submissions.push(this.now);
            }
        }
    }

    private work(): void {
        const used = new Map<ReplayedEngine, number>();
        for (const { engine } of this.tasks) {
            if (engine !== undefined) {
                used.set(engine, (used.get(engine) ?? 0) + 1);
            }
        }
        const serving = this.engines.filter(({ readyAt, leavesAt }) => readyAt <= this.now && leavesAt === Infinity);
        for (const task of this.tasks.filter(({ engine }) => engine === undefined)) {
            const runsOf = (engine: ReplayedEngine): number => used.get(engine) ?? 0;
            const free = serving.reduce<ReplayedEngine | undefined>(
                (best, each) => best === undefined || runsOf(each) < runsOf(best) ? each : best,
                undefined,
            );
            if (free === undefined || runsOf(free) >= slotsPerEngine) {
                break;
            }
            used.set(free, runsOf(free) + 1);
            task.engine = free;
            task.startedAt = this.now;
        }
        for (const task of this.tasks.filter(({ engine }) => engine !== undefined)) {
            task.eventsLeft--;
            if (task.eventsLeft === 0) {
                this.pace.recordRun(this.now + eventMs - task.startedAt);
                this.pace.recordTask(meanEvents);
                this.finish(task.step);
            }
        }
        this.tasks = this.tasks.filter(({ eventsLeft }) => eventsLeft > 0);
    }

    private finish(step: ReplayedStep): void {
        step.done++;
        if (step.done === Math.ceil(step.tasks * neededShare)) {
            const ms = this.now + eventMs - step.submittedAt - stepDueMs;
            this.lateness.push({ submittedAt: step.submittedAt, ms });
        }
    }

    private list(): void {
        if (this.now - this.listedAt >= (this.options.listIntervalMs?.(this.now) ?? listIntervalMs)) {
            this.listedAt = this.now;
            const restartMs = showMs(this.options.scaling);
            const listed = this.engines.filter(({ id, readyAt }) =>
                readyAt <= this.now && this.options.isUnlisted?.(id, this.now) !== true
            );
            this.listed = listed.map(engineEntryFixture);
            this.recent.record(this.listed, restartMs, this.now as Instant);
        }
    }

    private account(): void {
        const { zonePrices, reclaimablePrice = 1 } = this.options.scaling;
        for (const { zone, price } of zonePrices) {
            const own = this.engines.filter(each => each.zone === zone);
            const staying = own.filter(({ leavesAt }) => leavesAt === Infinity).length;
            this.mostInZone = Math.max(this.mostInZone, staying);
            own.forEach(({ kind }) => {
                this.cost += price * (kind === "standing" ? 1 : reclaimablePrice) * eventMs / 1000;
            });
        }
    }
}
