/**
 * Decides the load orders of one pool in one zone. Orders are level-triggered and idempotent, are only issued well
 * before the lease's deadline, never name a lower version, and leave enough engines serving.
 */

import { after, type Instant, type LeaseId, type TargetId, type WeightVersion } from "../ids.js";
import { EngineTracker, type OrderOutcome, type WeightReport } from "./EngineTracker.js";
import { FetchRateLimiter } from "./FetchRateLimiter.js";

/** Bounds of a conductor. */
export interface ConductorLimits {
    /** Share of the engines that go on serving while others swap. */
    readonly minServingShare: number;
    /** Fetches a second that the weight store gives to this pool and zone. */
    readonly fetchesPerSecond: number | undefined;
}

/** The lease under which orders are issued. */
export interface ConductorLease {
    readonly lease: LeaseId;
    readonly fence: number;
    readonly deadline: Instant;
}

/** An order that was decided; it is checked again right before it is sent. */
export interface WeightOrder {
    readonly kind: "order";
    readonly target: TargetId;
    readonly version: WeightVersion;
    readonly fence: number;
}

/** What the conductor wants done. */
export type ConductorDecision =
    | WeightOrder
    | { readonly kind: "acquire-lease"; }
    | { readonly kind: "renew-lease"; readonly lease: LeaseId; }
    | { readonly kind: "release-lease"; readonly lease: LeaseId; };

/** Milliseconds before a lease's deadline from which nothing more is issued. */
export const leaseMarginMs = 3000;

/** Milliseconds that a swap of weights may take before it counts as failed. */
export const swapTimeoutMs = 8000;

const renewBelowMs = 5000;
const startFetchesPerSecond = 20;

/** Conducts the engines of one pool in one zone. */
export class WeightConductor {
    private readonly tracks = new Map<TargetId, EngineTracker>();
    private readonly rate: FetchRateLimiter;
    private desired: WeightVersion | undefined;
    private hold: ConductorLease | undefined;

    constructor(private readonly limits: ConductorLimits) {
        this.rate = new FetchRateLimiter(limits.fetchesPerSecond ?? startFetchesPerSecond, limits.fetchesPerSecond);
    }

    /** Raises the desired version; a lower one changes nothing. */
    raiseDesiredVersion(version: WeightVersion): void {
        if (version > (this.desired ?? -1)) {
            this.desired = version;
        }
    }

    /** Replaces the list of engines; what is known of those that stay is kept. */
    setEngines(targets: readonly TargetId[]): void {
        const listed = new Set(targets);
        [...this.tracks.keys()].filter(target => !listed.has(target)).forEach(target => this.tracks.delete(target));
        targets.filter(target => !this.tracks.has(target))
            .forEach(target => this.tracks.set(target, new EngineTracker(target)));
    }

    /** Takes the report of a reading begun at `readAt`; undefined when the engine did not answer. */
    recordReport(target: TargetId, report: WeightReport | undefined, readAt: Instant): void {
        this.tracks.get(target)?.noteReport(report, readAt);
    }

    recordOrderEnd(target: TargetId, outcome: OrderOutcome, now: Instant, retryNotBefore?: Instant): void {
        this.tracks.get(target)?.noteOrderEnd(outcome, now, retryNotBefore);
        if (outcome === "done") {
            this.rate.noteSuccess();
        }
        else if (outcome === "failed") {
            this.rate.noteFailure();
        }
    }

    setLease(hold: ConductorLease): void {
        this.hold = hold;
    }

    clearLease(lease: LeaseId): void {
        if (this.hold?.lease === lease) {
            this.hold = undefined;
        }
    }

    /** What to do at `now`; only the preferred host asks for the lease. */
    decide(now: Instant, isPreferred: boolean): readonly ConductorDecision[] {
        const hold = this.liveHold(now);
        if (!this.hasWork(now)) {
            return hold === undefined ? [] : [{ kind: "release-lease", lease: hold.lease }];
        }
        if (hold === undefined) {
            return isPreferred ? [{ kind: "acquire-lease" }] : [];
        }
        const orders = this.orders(hold, now);
        return hold.deadline - now < renewBelowMs ? [{ kind: "renew-lease", lease: hold.lease }, ...orders] : orders;
    }

    /** Checks an order right before it is sent, and counts it as under way when it may go. */
    tryStartOrder(order: WeightOrder, now: Instant): boolean {
        const track = this.tracks.get(order.target);
        const hold = this.liveHold(now);
        if (track === undefined || hold?.fence !== order.fence || order.version !== this.desired) {
            return false;
        }
        const maySwap = !track.isServing(now) || this.spareEngines(now) > 0;
        if (!track.accepts(order.version, now) || !maySwap || this.rate.available(now) < 1) {
            return false;
        }
        this.rate.take();
        track.noteOrdered(order.version, now, after(now, swapTimeoutMs));
        return true;
    }

    /** Engines of whose weights nothing is known, and which should be read. */
    unknownEngines(now: Instant): readonly TargetId[] {
        return [...this.tracks.values()].filter(track => track.isUnknown(now)).map(track => track.target);
    }

    /** True when the engine said that its weights are whole and no order is under way. */
    isServing(target: TargetId, now: Instant): boolean {
        return this.tracks.get(target)?.isServing(now) ?? false;
    }

    describe(): object {
        const { desired, hold, rate } = this;
        const engines = [...this.tracks.values()].map(track => track.describe());
        return { desired, hold, fetchesPerSecond: rate.current, engines };
    }

    private liveHold(now: Instant): ConductorLease | undefined {
        return this.hold !== undefined && now < this.hold.deadline - leaseMarginMs ? this.hold : undefined;
    }

    private hasWork(now: Instant): boolean {
        const { desired } = this;
        return desired !== undefined
            && [...this.tracks.values()].some(track => track.isBehind(desired) || track.isPending(now));
    }

    private orders(hold: ConductorLease, now: Instant): readonly WeightOrder[] {
        const version = this.desired!;
        const open = [...this.tracks.values()].filter(track => track.accepts(version, now));
        const broken = open.filter(track => !track.isServing(now));
        const serving = open.filter(track => track.isServing(now)).slice(0, this.spareEngines(now));
        const chosen = [...broken, ...serving].slice(0, this.rate.available(now));
        return chosen.map(({ target }) => ({ kind: "order", target, version, fence: hold.fence }));
    }

    /** Serving engines that may be taken out now; one may always swap, so that a pool with broken engines moves on. */
    private spareEngines(now: Instant): number {
        const all = [...this.tracks.values()];
        const serving = all.filter(track => track.isServing(now)).length;
        const keep = Math.ceil(all.length * this.limits.minServingShare);
        const isIdle = !all.some(track => track.isPending(now));
        return Math.max(isIdle ? 1 : 0, serving - keep);
    }
}
