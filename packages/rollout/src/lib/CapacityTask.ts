/**
 * Orders engines from the platform while this host conducts. Once a second it plans the numbers of each service with
 * `scaling`, writes them to the store's record under its claim, and only then sends them, one after the other. A new
 * conductor reads the record before anything else and repeats what its predecessor may not have sent. While the store is
 * down, nothing is ordered but repeats of what the record holds.
 */

import {
    after,
    type CapacityInput,
    type CapacityOrder,
    type Clock,
    type ConductorClaim,
    type DutyCallEnd,
    type DutyPlatform,
    type EngineGroup,
    expectedCount,
    type Instant,
    type KeyRevision,
    OrderBook,
    planCapacity,
    type PlannedOrder,
    RecentEngines,
    type Scaling,
    type ServiceSpec,
    showMs,
} from "@tamarackpath/core";
import { type CapacityDemandMeter } from "./CapacityDemandMeter.js";
import { logCapacityOrders } from "./capacityLog.js";
import { type CapacityStore } from "./CapacityStore.js";
import { type ConductorTask } from "./ConductorTask.js";
import { type HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";

/** Milliseconds between plans. */
const planIntervalMs = 1000;

/** Age of the list of engines in milliseconds from which nothing is planned by it. */
const maxViewAgeMs = 3000;

/** Upper limit of plans in one pass: as many refusals as a service has zones and kinds, in most deployments. */
const maxPlansPerPass = 8;

/** Lower limit of the milliseconds between passes. */
const minPassDelayMs = 100;

/** Engines of one zone and kind, for the metrics. */
export interface CapacityGauge {
    readonly service: string;
    readonly zone: string;
    readonly kind: string;
    readonly wanted: number;
    readonly present: number;
}

/** A service whose engines are ordered. */
interface ScaledService {
    readonly spec: ServiceSpec;
    readonly scaling: Scaling;
    readonly slotsPerEngine: number;
}

/** The orders, as the store's record holds them. */
interface CapacityLedger {
    readonly book: OrderBook;
    /** Revision of the record. */
    readonly revision: KeyRevision;
    /** Whether a write may have changed the record; it is read again before anything new is ordered. */
    readonly isUncertain: boolean;
}

/** The state of one term. */
interface CapacityTerm {
    readonly claim: ConductorClaim;
    /** Undefined until the record has been read. */
    ledger: CapacityLedger | undefined;
    nextPlanAt: Instant;
}

/** Sends the orders of engines. */
export class CapacityTask {
    private readonly recent = new RecentEngines();
    private term: CapacityTerm | undefined;
    private cancelNext: (() => void) | undefined;

    constructor(
        private readonly self: string,
        private readonly view: HostView,
        private readonly conductor: Pick<ConductorTask, "term" | "applyClaimChange">,
        private readonly demand: Pick<CapacityDemandMeter, "measure">,
        private readonly store: CapacityStore,
        private readonly platform: DutyPlatform,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        // The list is followed also while another host conducts, as this host may take over while an engine restarts.
        view.events.on("changed", () => this.recordList());
    }

    /** Begins a term under the claim that this host holds. */
    activate(): void {
        this.deactivate();
        const claim = this.conductor.term.currentClaim;
        if (claim !== undefined) {
            this.term = { claim, ledger: undefined, nextPlanAt: this.clock.now() };
            void this.loop(this.term);
        }
    }

    deactivate(): void {
        this.cancelNext?.();
        this.term = undefined;
    }

    /** Engines by zone and kind; empty at a host that does not conduct. */
    get gauges(): readonly CapacityGauge[] {
        const book = this.term?.ledger?.book;
        return book === undefined
            ? []
            : this.services.flatMap(({ spec, scaling }) =>
                this.groupsOf(book, spec).map(group => ({
                    service: spec.id,
                    zone: group.zone,
                    kind: group.kind,
                    wanted: expectedCount(group, scaling, this.clock.now()),
                    present: group.ready,
                }))
            );
    }

    private get services(): readonly ScaledService[] {
        return (this.view.routes?.config.services ?? []).flatMap(spec =>
            spec.scaling === undefined || spec.engine === undefined
                ? []
                : [{ spec, scaling: spec.scaling, slotsPerEngine: spec.engine.slots }]
        );
    }

    /** Runs a pass and schedules the next one: after a second, or when an order is to be repeated. */
    private async loop(term: CapacityTerm): Promise<void> {
        try {
            await this.pass(term);
        }
        catch (err) {
            this.journal.log("unexpected-error", { loop: "capacity", detail: String((err as Error).stack ?? err) });
        }
        if (this.term === term) {
            const now = this.clock.now();
            const repeatAt = term.ledger?.book.nextSendAt ?? Infinity;
            const nextAt = Math.max(now + minPassDelayMs, Math.min(term.nextPlanAt, repeatAt)) as Instant;
            this.cancelNext = this.clock.callAt(nextAt, () => void this.loop(term));
        }
    }

    private async pass(term: CapacityTerm): Promise<void> {
        this.recordList();
        const now = this.clock.now();
        const isPlanned = now >= term.nextPlanAt;
        // The demand is measured also while no orders may be sent, so that it is known when they may.
        const demands = isPlanned ? this.services.map(service => ({ service, demand: this.measure(service) })) : [];
        if (isPlanned) {
            term.nextPlanAt = after(now, planIntervalMs);
        }
        if (this.services.length === 0 || !this.canOrder(term)) {
            return;
        }
        if (term.ledger?.isUncertain !== false) {
            await this.readRecord(term);
        }
        this.services.forEach(service => this.closeShown(term, service));
        await this.sendDue(term);
        for (const { service, demand } of demands) {
            await this.orderFor(term, service, demand);
        }
    }

    private recordList(): void {
        const { services } = this;
        if (services.length > 0) {
            const restartMs = Math.max(...services.map(({ scaling }) => showMs(scaling)));
            this.recent.record(this.view.directory.targets, restartMs, this.clock.now());
        }
    }

    private measure({ spec, slotsPerEngine }: ScaledService): CapacityInput["demand"] {
        const serving = this.view.directory.targets.filter(({ service, leaving }) => service === spec.id && !leaving);
        return this.demand.measure(spec.id, serving.length * slotsPerEngine);
    }

    private canOrder({ claim }: CapacityTerm, now = this.clock.now()): boolean {
        const { term } = this.conductor;
        return this.term?.claim === claim && term.currentClaim === claim && term.canOrder(now);
    }

    private async readRecord(term: CapacityTerm): Promise<void> {
        const read = await this.store.read();
        if (read === undefined || this.term !== term) {
            return;
        }
        const now = this.clock.now();
        const book = new OrderBook(read.record, Date.now() - now, now);
        term.ledger = { book, revision: read.revision, isUncertain: false };
        this.journal.log("capacity-read", {
            fence: term.claim.fence,
            revision: read.revision,
            orders: read.record?.orders.map(({ zone, kind, count, isAccepted }) =>
                `${zone} ${kind} ${count}${isAccepted ? "" : " open"}`
            ),
        });
    }

    private groupsOf(book: OrderBook, { id }: ServiceSpec): readonly EngineGroup[] {
        return book.groups(id, this.view.directory.targets, this.recent);
    }

    /** Closes the orders that the list of engines shows. */
    private closeShown(term: CapacityTerm, { spec, scaling }: ScaledService): void {
        const book = term.ledger?.book;
        book?.closeShown(spec.id, this.groupsOf(book, spec), showMs(scaling), this.clock.now());
    }

    /**
     * Plans and sends a service's orders. What the platform has none of is replaced by the next cheapest in the same pass:
     * the plan is made again with the refused zone and kind left out.
     */
    private async orderFor(
        term: CapacityTerm,
        service: ScaledService,
        demand: CapacityInput["demand"],
    ): Promise<void> {
        for (let plans = 0; plans < maxPlansPerPass && this.canOrder(term); plans++) {
            const { ledger } = term;
            const viewAgeMs = this.view.readAgeMs ?? Infinity;
            if (ledger?.isUncertain !== false || viewAgeMs > maxViewAgeMs) {
                return;
            }
            const now = this.clock.now();
            const { scaling, slotsPerEngine, spec } = service;
            const groups = this.groupsOf(ledger.book, spec);
            const orders = planCapacity({ now, scaling, slotsPerEngine, groups, demand });
            if (orders.length === 0 || !await this.record(term, spec, orders)) {
                return;
            }
            const { claim: { fence } } = term;
            logCapacityOrders(this.journal, orders, {
                fence,
                service: spec.id,
                slotsPerEngine,
                groups,
                demand,
                viewAgeMs,
            });
            const ends = await this.sendDue(term);
            if (!ends.some(end => end === "none-available" || end === "rejected")) {
                return;
            }
        }
    }

    /** Writes the record with `orders`; false when they must not be sent. */
    private async record(
        term: CapacityTerm,
        { id }: ServiceSpec,
        orders: readonly PlannedOrder[],
    ): Promise<boolean> {
        const { book, revision } = term.ledger!;
        const now = this.clock.now();
        const end = await this.store.write(book.recordWith(id, orders, now), revision, term.claim.fence);
        if (end.kind === "written") {
            book.place(id, orders, now);
            term.ledger = { book, revision: end.revision, isUncertain: false };
            return true;
        }
        this.journal.log("capacity-not-recorded", { fence: term.claim.fence, revision, outcome: end.kind });
        if (end.kind === "claim-changed") {
            this.conductor.applyClaimChange(end.item, end.item?.revision ?? term.claim.fence);
        }
        term.ledger = { book, revision, isUncertain: end.kind !== "not-written" };
        return false;
    }

    /** Sends the open orders whose time has come, one after the other, until one is not answered. */
    private async sendDue(term: CapacityTerm): Promise<readonly DutyCallEnd[]> {
        const ends: DutyCallEnd[] = [];
        const { ledger } = term;
        for (const order of ledger?.book.due(this.clock.now()) ?? []) {
            const checkedAt = this.clock.now();
            if (!this.canOrder(term, checkedAt)) {
                break;
            }
            const end = await this.send(term.claim, order, checkedAt);
            ledger!.book.recordEnd(order, end, this.clock.now());
            ends.push(end);
            if (end === "no-answer" || end === "busy") {
                break;
            }
        }
        return ends;
    }

    private async send({ fence }: ConductorClaim, order: CapacityOrder, sentAt: Instant): Promise<DutyCallEnd> {
        const { term } = this.conductor;
        term.recordOrder(sentAt);
        const holder = { name: this.self, fence, deadline: term.orderDeadline(sentAt) };
        const end = await this.platform.orderCapacity(order, holder);
        const { service, zone, kind, count } = order;
        const ms = this.clock.now() - sentAt;
        this.journal.log("capacity-sent", { service, zone, kind, count, fence, end, ms });
        return end;
    }
}
