/**
 * The engines of one service in one zone and of one kind, as the planner counts them. The list of engines lags behind an
 * order by the time that an engine takes to start, so ordered engines count until they had time to appear; engines that
 * the platform has announced to take away do not count at all.
 */

import { after, type Instant, type ZoneId } from "../ids.js";
import { type CapacityKind, type Scaling } from "./Scaling.js";

/** The last order of a zone and kind that the platform has not refused. */
export interface LastOrder {
    /** As the platform counts: engines that start and restart are among them. */
    readonly count: number;
    /** The number that it replaced, counted in the same way. */
    readonly previous: number;
    readonly at: Instant;
    /** Whether the platform has not answered it yet; it is repeated until then. */
    readonly isOpen: boolean;
}

/** The engines of one zone and kind. */
export interface EngineGroup {
    readonly zone: ZoneId;
    readonly kind: CapacityKind;
    /** Listed engines that stay. */
    readonly ready: number;
    /** Listed engines that have announced to leave. */
    readonly leaving: number;
    /**
     * Engines that were listed a short time ago, without a notice that they leave, and are not listed now. They restart, and the
     * platform still counts them, so they take room in their zone.
     */
    readonly missing: number;
    readonly lastOrder: LastOrder | undefined;
    /** Until when the platform is not asked for more of these, because it had none; undefined if it was not refused. */
    readonly blockedUntil: Instant | undefined;
}

/** Milliseconds beyond the startup time until an ordered engine is listed here: two reads of the list. */
const listDelayMs = 2000;

/** Milliseconds from an order until the list of engines shows its effect; what is missing then does not come. */
export function showMs({ startupMs }: Scaling): number {
    return startupMs + listDelayMs;
}

/** The engines that serve, without those that a sent order takes away; engines that restart are not among those it leaves. */
export function servingCount(group: EngineGroup, scaling: Scaling, now: Instant): number {
    const { ready, missing } = group;
    return Math.max(0, Math.min(ready, limitOf(group, scaling, now) - missing));
}

/**
 * The engines that serve, start or restart, which is the number that the platform counts and that an order replaces. Those that
 * start or restart in a zone where the platform takes engines away are not counted.
 */
export function expectedCount(group: EngineGroup, scaling: Scaling, now: Instant): number {
    const { ready, leaving, lastOrder } = group;
    const staying = leaving > 0 && !isReduced(group) ? ready : stayingCount(group);
    const starting = leaving === 0 && isShowing(group, scaling, now)
        ? Math.max(0, lastOrder!.count - Math.max(lastOrder!.previous, staying))
        : 0;
    return Math.min(staying, limitOf(group, scaling, now)) + starting;
}

/** Whether more may be ordered: the list shows the previous order, or would by now, and no engines leave. */
export function canIncrease(group: EngineGroup, scaling: Scaling, now: Instant): boolean {
    return group.leaving === 0 && isShown(group, scaling, now);
}

/** Whether fewer may be ordered; engines that the previous order took away may still be leaving. */
export function canDecrease(group: EngineGroup, scaling: Scaling, now: Instant): boolean {
    return isShown(group, scaling, now) && (group.leaving === 0 || isReduced(group));
}

/** Whether the engines that leave are those that orders take away. A second one may have been sent while they leave. */
export function isReduced(group: EngineGroup): boolean {
    const { lastOrder } = group;
    return lastOrder !== undefined && lastOrder.count < lastOrder.previous && lastOrder.count <= stayingCount(group);
}

/** The engines that stay as the platform counts them: those that restart are among them. */
export function stayingCount({ ready, missing }: Pick<EngineGroup, "ready" | "missing">): number {
    return ready + missing;
}

/** Whether the list does not show yet that the last order takes engines away. */
export function isDecreasing(group: EngineGroup, scaling: Scaling, now: Instant): boolean {
    const { lastOrder } = group;
    return lastOrder !== undefined && lastOrder.count < lastOrder.previous && !isShown(group, scaling, now);
}

/** The number that an order of fewer leaves until the list shows it; Infinity without one. */
function limitOf(group: EngineGroup, scaling: Scaling, now: Instant): number {
    const { lastOrder } = group;
    return isShowing(group, scaling, now) && lastOrder!.count < lastOrder!.previous ? lastOrder!.count : Infinity;
}

/** Whether the effect of the last order may not be in the list yet. */
function isShowing({ lastOrder }: EngineGroup, scaling: Scaling, now: Instant): boolean {
    return lastOrder !== undefined && now < after(lastOrder.at, showMs(scaling));
}

function isShown(group: EngineGroup, scaling: Scaling, now: Instant): boolean {
    const { lastOrder } = group;
    return lastOrder === undefined
        || !lastOrder.isOpen
            && (lastOrder.count === stayingCount(group) || now >= after(lastOrder.at, showMs(scaling)));
}

/** Price of a second of one engine of a zone and kind; undefined where there are none to order. */
export function priceOf(
    { zonePrices, reclaimablePrice }: Scaling,
    zone: ZoneId,
    kind: CapacityKind,
): number | undefined {
    const price = zonePrices.find(each => each.zone === zone)?.price;
    const share = kind === "standing" ? 1 : reclaimablePrice;
    return price === undefined || share === undefined ? undefined : price * share;
}
