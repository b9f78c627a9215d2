/**
 * The orders of engines of one holder's term: which numbers are in force, which of them the platform has not answered, and
 * when these are sent again. A refused order leaves the number before it in force. All times are this host's; the record
 * that the store keeps has Unix times, and `epochMs` is the difference between the two.
 */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { after, type Instant } from "../ids.js";
import { type CapacityOrder, type DutyCallEnd } from "../ports/DutyPlatform.js";
import { type PlannedOrder } from "./CapacityInput.js";
import { type CapacityRecord, type CapacityTarget } from "./CapacityRecord.js";
import { type EngineGroup, type LastOrder, stayingCount } from "./EngineGroup.js";
import { kindOf, type RecentEngines } from "./RecentEngines.js";

interface BookEntry extends CapacityTarget {
    readonly order: LastOrder;
    /** The order that is in force if the platform refuses this one. */
    readonly before: LastOrder | undefined;
    /** Number of calls that were not accepted. */
    readonly failures: number;
    /** From when on it is sent, while it is open. */
    readonly sendAt: Instant;
}

/** Milliseconds for which nothing is ordered of a zone and kind after a refusal. */
const blockMs = { "none-available": 3000, "rejected": 10_000 } as const;

/** Milliseconds before an order that was not answered is sent again, and the upper limit after further failures. */
const retryDelayMs = { first: 200, max: 2000 } as const;

/** Keeps the orders of one term. */
export class OrderBook {
    private readonly entries = new Map<string, BookEntry>();
    private readonly blocks = new Map<string, CapacityTarget & { readonly until: Instant; }>();

    /** Begins with a record of an earlier term; its unanswered orders are sent again. */
    constructor(record: CapacityRecord | undefined, private readonly epochMs: number, now: Instant) {
        for (const { count, previous, at, isAccepted, ...target } of record?.orders ?? []) {
            // The clock of the host that wrote it may be ahead.
            const orderedAt = Math.min(now, at - epochMs) as Instant;
            const order = { count, previous, at: orderedAt, isOpen: !isAccepted };
            this.entries.set(keyOf(target), { ...target, order, before: undefined, failures: 0, sendAt: now });
        }
        for (const { until, ...target } of record?.blocked ?? []) {
            const ends = Math.min(until - epochMs, now + blockMs.rejected) as Instant;
            this.blocks.set(keyOf(target), { ...target, until: ends });
        }
    }

    /** The engines of a service by zone and kind: the listed ones, and those that are missing from the list. */
    groups(
        service: CapacityTarget["service"],
        targets: readonly TargetEntryView[],
        recent: RecentEngines,
    ): readonly EngineGroup[] {
        const listed = targets.filter(target => target.service === service);
        const keys = [
            ...listed.map(entry => ({ service, zone: entry.zone, kind: kindOf(entry) })),
            ...[...this.entries.values(), ...this.blocks.values()].filter(each => each.service === service),
        ];
        const unique = new Map(keys.map(({ zone, kind }) => [keyOf({ service, zone, kind }), { zone, kind }]));
        return [...unique].map(([key, { zone, kind }]) => {
            const own = listed.filter(entry => entry.zone === zone && kindOf(entry) === kind);
            return {
                zone,
                kind,
                ready: own.filter(({ leaving }) => !leaving).length,
                leaving: own.filter(({ leaving }) => leaving).length,
                missing: recent.missing(service, zone, kind),
                lastOrder: this.entries.get(key)?.order,
                blockedUntil: this.blocks.get(key)?.until,
            };
        });
    }

    /** The record that the store must hold before `orders` of a service are sent. */
    recordWith(service: CapacityTarget["service"], orders: readonly PlannedOrder[], now: Instant): CapacityRecord {
        const entries = new Map(this.entries);
        orders.forEach(order => entries.set(keyOf({ service, ...order }), this.entryOf(service, order, now)));
        return {
            orders: [...entries.values()].map((
                { service: of, zone, kind, order: { count, previous, at, isOpen } },
            ) => ({
                service: of,
                zone,
                kind,
                count,
                previous,
                at: at + this.epochMs,
                isAccepted: !isOpen,
            })),
            blocked: [...this.blocks.values()].filter(({ until }) => until > now)
                .map(({ until, ...target }) => ({ ...target, until: until + this.epochMs })),
        };
    }

    /** Adds orders that the store's record holds; they are open from here on. */
    place(service: CapacityTarget["service"], orders: readonly PlannedOrder[], now: Instant): void {
        orders.forEach(order => this.entries.set(keyOf({ service, ...order }), this.entryOf(service, order, now)));
    }

    /** The open orders to send at `now`, the one that has waited longest first. */
    due(now: Instant): readonly CapacityOrder[] {
        return this.open.filter(({ sendAt }) => sendAt <= now).sort((a, b) => a.sendAt - b.sendAt)
            .map(({ service, zone, kind, order: { count } }) => ({ service, zone, kind, count }));
    }

    /** When the next open order is sent, or undefined if none is open. */
    get nextSendAt(): Instant | undefined {
        return this.open.length === 0 ? undefined : Math.min(...this.open.map(({ sendAt }) => sendAt)) as Instant;
    }

    /** Records how a call with an order ended. */
    recordEnd(target: CapacityTarget, end: DutyCallEnd, now: Instant): void {
        const key = keyOf(target);
        const entry = this.entries.get(key);
        if (entry === undefined) {
            return;
        }
        const repeat = (): void => {
            const delayMs = Math.min(retryDelayMs.max, retryDelayMs.first * 2 ** entry.failures);
            this.entries.set(key, { ...entry, failures: entry.failures + 1, sendAt: after(now, delayMs) });
        };
        const refuse = (ms: number): void => {
            this.revert(entry);
            const { service, zone, kind } = target;
            this.blocks.set(key, { service, zone, kind, until: after(now, ms) });
        };
        const handlers: Record<DutyCallEnd, () => void> = {
            "accepted": () =>
                void this.entries.set(key, {
                    ...entry,
                    order: { ...entry.order, at: now, isOpen: false },
                    failures: 0,
                }),
            "none-available": () => refuse(blockMs["none-available"]),
            "rejected": () => refuse(blockMs.rejected),
            "busy": repeat,
            "no-answer": repeat,
        };
        handlers[end]();
    }

    /**
     * Ends the repeats of a service's orders that the list of engines shows, and of those that it should have shown: the
     * planner then decides anew by the engines that there are.
     */
    closeShown(service: CapacityTarget["service"], groups: readonly EngineGroup[], showMs: number, now: Instant): void {
        for (const entry of this.open.filter(each => each.service === service)) {
            const { zone, kind, order } = entry;
            const group = groups.find(each => each.zone === zone && each.kind === kind);
            const isShown = order.count !== order.previous && group !== undefined
                && stayingCount(group) === order.count;
            if (isShown || now >= after(order.at, showMs)) {
                this.entries.set(keyOf(entry), { ...entry, order: { ...order, isOpen: false } });
            }
        }
    }

    private get open(): readonly BookEntry[] {
        return [...this.entries.values()].filter(({ order }) => order.isOpen);
    }

    private revert(entry: BookEntry): void {
        if (entry.before === undefined) {
            this.entries.delete(keyOf(entry));
        }
        else {
            this.entries.set(keyOf(entry), { ...entry, order: entry.before, before: undefined, failures: 0 });
        }
    }

    private entryOf(service: CapacityTarget["service"], order: PlannedOrder, now: Instant): BookEntry {
        const { zone, kind, from, to } = order;
        return {
            service,
            zone,
            kind,
            order: { count: to, previous: from, at: now, isOpen: true },
            before: this.entries.get(keyOf({ service, zone, kind }))?.order,
            failures: 0,
            sendAt: now,
        };
    }
}

function keyOf({ service, zone, kind }: CapacityTarget): string {
    return `${service} ${zone} ${kind}`;
}
