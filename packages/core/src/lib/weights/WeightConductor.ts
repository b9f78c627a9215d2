/**
 * Decides when the engines of one pool in one zone load new weights. Orders are level-triggered and idempotent, are
 * only issued well before the lease's deadline, never name a lower version than before, and leave enough engines
 * serving.
 */

import { after, type Instant, type LeaseId, type TargetId, type WeightVersion } from "../ids.js";
import { EngineTracker, type OrderOutcome, type WeightReport } from "./EngineTracker.js";
import { FetchRateLimiter } from "./FetchRateLimiter.js";

/** Limits of a conductor. */
export interface ConductorLimits {
    /** Minimum share of the engines that keep serving while others swap weights. */
    readonly minServingShare: number;
    /**
     * Maximum fetches per second that the weight store allows for this pool and zone, or undefined if it is not
     * configured.
     */
    readonly fetchesPerSecond: number | undefined;
}

/** The lease under which orders are issued; `fence` is its fencing token. */
export interface ConductorLease {
    readonly lease: LeaseId;
    readonly fence: number;
    readonly deadline: Instant;
}

/** An order to load a version. It is checked again with `confirm` right before it is sent. */
export interface WeightOrder {
    readonly kind: "order";
    readonly target: TargetId;
    readonly version: WeightVersion;
    readonly fence: number;
}

/** An action for the caller to carry out. */
export type ConductorDecision =
    | WeightOrder
    | { readonly kind: "acquire-lease"; }
    | { readonly kind: "renew-lease"; readonly lease: LeaseId; }
    | { readonly kind: "release-lease"; readonly lease: LeaseId; };

/** Milliseconds before a lease's deadline from which no orders are issued. */
export const leaseMarginMs = 3000;

/** Milliseconds after which a swap of weights counts as failed. */
export const swapTimeoutMs = 8000;

/** Milliseconds before a lease's deadline from which it is renewed. */
const renewMarginMs = 5000;

/** Fetches per second to begin with if the weight store's limit is not configured. */
const initialFetchesPerSecond = 20;

/** Brings the engines of one pool in one zone to the desired version. */
export class WeightConductor {
    private readonly trackers = new Map<TargetId, EngineTracker>();
    private readonly rateLimiter: FetchRateLimiter;
    private desired: WeightVersion | undefined;
    private hold: ConductorLease | undefined;

    constructor(private readonly limits: ConductorLimits) {
        this.rateLimiter = new FetchRateLimiter(
            limits.fetchesPerSecond ?? initialFetchesPerSecond,
            limits.fetchesPerSecond,
        );
    }

    /** Raises the desired version; a lower one changes nothing. */
    raiseDesiredVersion(version: WeightVersion): void {
        if (version > (this.desired ?? -1)) {
            this.desired = version;
        }
    }

    /** Replaces the list of engines. The state of those in both lists is kept. */
    setEngines(targets: readonly TargetId[]): void {
        const listed = new Set(targets);
        [...this.trackers.keys()].filter(target => !listed.has(target)).forEach(target => this.trackers.delete(target));
        targets.filter(target => !this.trackers.has(target))
            .forEach(target => this.trackers.set(target, new EngineTracker(target)));
    }

    /** Records the report that was requested at `readAt`; undefined if the engine did not answer. */
    recordReport(target: TargetId, report: WeightReport | undefined, readAt: Instant): void {
        this.trackers.get(target)?.recordReport(report, readAt);
    }

    /** Records how an order ended. After a failure the engine gets no order before `retryNotBefore`. */
    recordOrderEnd(target: TargetId, outcome: OrderOutcome, now: Instant, retryNotBefore?: Instant): void {
        this.trackers.get(target)?.recordOrderEnd(outcome, now, retryNotBefore);
        if (outcome === "done") {
            this.rateLimiter.recordSuccess();
        }
        else if (outcome === "failed") {
            this.rateLimiter.recordFailure();
        }
    }

    /** Sets the lease that was acquired or renewed. */
    setLease(lease: ConductorLease): void {
        this.hold = lease;
    }

    /** Removes the lease if it is `lease`. */
    clearLease(lease: LeaseId): void {
        if (this.hold?.lease === lease) {
            this.hold = undefined;
        }
    }

    /** The actions to carry out at `now`. Only the preferred host requests the lease. */
    decide(now: Instant, isPreferred: boolean): readonly ConductorDecision[] {
        const lease = this.validLease(now);
        if (!this.hasWork(now)) {
            return lease === undefined ? [] : [{ kind: "release-lease", lease: lease.lease }];
        }
        if (lease === undefined) {
            return isPreferred ? [{ kind: "acquire-lease" }] : [];
        }
        const orders = this.orders(lease, now);
        return lease.deadline - now < renewMarginMs ? [{ kind: "renew-lease", lease: lease.lease }, ...orders] : orders;
    }

    /**
     * Checks an order right before it is sent. Returns whether it may be sent, and if so counts it as in progress.
     */
    tryStartOrder(order: WeightOrder, now: Instant): boolean {
        const tracker = this.trackers.get(order.target);
        const lease = this.validLease(now);
        if (tracker === undefined || lease?.fence !== order.fence || order.version !== this.desired) {
            return false;
        }
        const canSwap = !tracker.isServing(now) || this.spareEngines(now) > 0;
        if (!tracker.accepts(order.version, now) || !canSwap || this.rateLimiter.available(now) < 1) {
            return false;
        }
        this.rateLimiter.take();
        tracker.recordOrder(order.version, now, after(now, swapTimeoutMs));
        return true;
    }

    /** Engines without a valid report, whose report should be requested. */
    enginesWithoutReport(now: Instant): readonly TargetId[] {
        return [...this.trackers.values()].filter(tracker => tracker.hasNoReport(now)).map(tracker => tracker.target);
    }

    /** Whether the engine last reported complete weights and no order is in progress. */
    isServing(target: TargetId, now: Instant): boolean {
        return this.trackers.get(target)?.isServing(now) ?? false;
    }

    /** State of the conductor and its engines, for the dump. */
    describe(): object {
        const { desired, hold, rateLimiter } = this;
        const engines = [...this.trackers.values()].map(tracker => tracker.describe());
        return { desired, hold, fetchesPerSecond: rateLimiter.currentPerSecond, engines };
    }

    private validLease(now: Instant): ConductorLease | undefined {
        return this.hold !== undefined && now < this.hold.deadline - leaseMarginMs ? this.hold : undefined;
    }

    private hasWork(now: Instant): boolean {
        const { desired } = this;
        return desired !== undefined
            && [...this.trackers.values()].some(tracker => tracker.isBehind(desired) || tracker.isPending(now));
    }

    private orders(lease: ConductorLease, now: Instant): readonly WeightOrder[] {
        const version = this.desired!;
        const available = [...this.trackers.values()].filter(tracker => tracker.accepts(version, now));
        const broken = available.filter(tracker => !tracker.isServing(now));
        const serving = available.filter(tracker => tracker.isServing(now)).slice(0, this.spareEngines(now));
        const chosen = [...broken, ...serving].slice(0, this.rateLimiter.available(now));
        return chosen.map(({ target }) => ({ kind: "order", target, version, fence: lease.fence }));
    }

    /**
     * Number of serving engines that may swap now. One may always swap if no other does, so that a pool with broken
     * engines makes progress.
     */
    private spareEngines(now: Instant): number {
        const all = [...this.trackers.values()];
        const serving = all.filter(tracker => tracker.isServing(now)).length;
        const minServing = Math.ceil(all.length * this.limits.minServingShare);
        const isIdle = !all.some(tracker => tracker.isPending(now));
        return Math.max(isIdle ? 1 : 0, serving - minServing);
    }
}
