/**
 * All routing decisions of one host: admission, order, choice of targets, tracking of their speed, and hedges. It has
 * no clock and performs no I/O; callers pass the current time.
 */

import { after, type HostId, type Instant, type PoolId, type RequestId, type TargetId } from "../ids.js";
import { type AdmissionDecision } from "./AdmissionControl.js";
import { type Assignment, DispatchQueue } from "./DispatchQueue.js";
import { LengthEstimator } from "./LengthEstimator.js";
import { PeerInFlightCounts } from "./PeerInFlightCounts.js";
import { type Random } from "./policies.js";
import { type PoolPolicy, PoolState } from "./PoolState.js";
import { type TargetView } from "./TargetView.js";
import { type Work } from "./Work.js";

/** Work that runs on a target. */
export interface RunningWork {
    readonly work: Work;
    readonly target: TargetId;
    readonly startedAt: Instant;
    tokens: number;
    /** True once a second attempt has been requested; no further one is. */
    isHedged: boolean;
}

/** How running work ended. */
export interface WorkOutcome {
    readonly ok: boolean;
    readonly tokens: number;
}

/** Quantile of a class's lengths by which work is ordered in the queue. */
const orderingQuantile = 0.75;

/** Quantile of a class's lengths by which work is admitted and expires. */
const admissionQuantile = 0.9;

/** Work at a target with a weight below this is hedged. */
const slowTargetWeight = 0.5;

/** Work is hedged after this many times its expected duration. */
const hedgeDelayFactor = 2;

/** Minimum expected duration, in milliseconds, that the delay of a hedge is based on. */
const minHedgeDelayMs = 20;

/** Milliseconds for which a target gets no work after it refused some. */
const refusalBackoffMs = 150;

/** Characters of a prompt prefix that distinguish classes of work. */
const maxClassPrefixLength = 24;

/** Routes the work of one host. */
export class Router {
    readonly queue: DispatchQueue;
    private readonly pools = new Map<PoolId, PoolState>();
    private readonly running = new Map<RequestId, RunningWork>();
    private readonly lengths = new LengthEstimator();
    private readonly peers: PeerInFlightCounts;
    private readonly backoffUntil = new Map<TargetId, Instant>();

    constructor(random: Random) {
        this.queue = new DispatchQueue(random);
        this.peers = new PeerInFlightCounts((target, count) => this.queue.setPeerInFlight(target, count));
    }

    /** Sets the settings of a pool. */
    configure(pool: PoolId, policy: PoolPolicy): void {
        this.pool(pool).configure(policy);
        this.queue.setReserve(pool, policy.reserveShortShare);
    }

    /** Sets the view of a target. */
    setTargetView(view: TargetView): void {
        this.queue.setTargetView(view);
    }

    /** Queues the work, or rejects it if it cannot end in time. */
    submit(work: Work, now: Instant): AdmissionDecision {
        const state = this.pool(work.pool);
        state.tracksSpeed = work.policy === "tamarack";
        const estimated = work.policy === "tamarack" ? this.estimate(work, state) : work;
        if (work.policy === "tamarack" && work.workClass === "answer") {
            const decision = state.admission.decide(estimated, this.queue.countAhead(estimated), now);
            if (!decision.admitted) {
                return decision;
            }
        }
        this.queue.add(estimated);
        return { admitted: true };
    }

    /** Removes the next work to start from the queue and returns it with its target, or undefined if none can start. */
    next(now: Instant): Assignment | undefined {
        const assignment = this.queue.next(now);
        if (assignment !== undefined) {
            const { work, view } = assignment;
            const state = this.pool(work.pool);
            state.admission.recordGrant(now);
            state.meter.opened(view.target, now);
            this.running.set(work.id, { work, target: view.target, startedAt: now, tokens: 0, isHedged: false });
        }
        return assignment;
    }

    /** Records `tokens` more tokens of running work. */
    recordTokens(id: RequestId, tokens: number): void {
        const found = this.running.get(id);
        if (found !== undefined) {
            found.tokens += tokens;
            this.pool(found.work.pool).meter.recordTokens(found.target, tokens);
        }
    }

    /** Records that work ended, with or without success, and frees its slot. */
    recordEnd(id: RequestId, outcome: WorkOutcome, now: Instant): void {
        const found = this.running.get(id);
        if (found !== undefined) {
            this.running.delete(id);
            const state = this.pool(found.work.pool);
            state.meter.recordTokens(found.target, Math.max(0, outcome.tokens - found.tokens));
            state.meter.closed(found.target, now);
            state.budget.earn(outcome.tokens);
            if (outcome.ok) {
                this.lengths.record(classOf(found.work), outcome.tokens);
            }
            this.queue.release(found.target);
        }
    }

    /**
     * Records that the target refused work, for instance while it swaps weights. It gets no work for
     * `refusalBackoffMs`.
     */
    recordRefusal(target: TargetId, now: Instant): void {
        this.backoffUntil.set(target, after(now, refusalBackoffMs));
        this.queue.setBackingOff(target, true);
    }

    /**
     * Updates the targets' weights by their speed, and ends backoffs and peers' counts that have expired. Call it every
     * few dozen milliseconds.
     */
    evaluateTargets(now: Instant): void {
        this.peers.expire(now);
        for (const [target, until] of this.backoffUntil) {
            if (until <= now) {
                this.backoffUntil.delete(target);
                this.queue.setBackingOff(target, false);
            }
        }
        for (const state of this.pools.values()) {
            const readings = state.meter.read(now);
            if (state.tracksSpeed) {
                state.speeds.read(readings);
                state.speeds.targets().forEach(target => this.queue.setWeight(target, state.speeds.weight(target)));
            }
        }
    }

    /**
     * Running work that is late and gets a second attempt elsewhere within the hedge budget. Each piece is returned
     * once.
     */
    takeHedges(now: Instant, canHedge: (work: Work) => boolean): readonly RunningWork[] {
        const hedges: RunningWork[] = [];
        for (const item of this.running.values()) {
            if (!item.isHedged && this.isLagging(item, now) && canHedge(item.work)) {
                const cost = Math.max(1, item.work.expectedTokens ?? 1);
                if (this.pool(item.work.pool).budget.spend(cost)) {
                    item.isHedged = true;
                    hedges.push(item);
                }
            }
        }
        return hedges;
    }

    /** This host's requests in flight by target, to report to the peers. */
    inFlightCounts(): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        for (const { target } of this.running.values()) {
            counts[target] = (counts[target] ?? 0) + 1;
        }
        return counts;
    }

    /** Records a peer's requests in flight by target. They expire at `until` unless newer ones replace them. */
    recordPeerCounts(host: HostId, counts: Readonly<Record<string, number>>, until: Instant): void {
        this.peers.update(host, counts, until);
    }

    /** Targets of which this host uses only a share of the slots, with that share. */
    targetWeights(): Readonly<Record<string, number>> {
        const weights = [...this.pools.values()].flatMap(({ speeds }) =>
            speeds.targets().map(target => [target, speeds.weight(target)] as const)
        );
        return Object.fromEntries(weights.filter(([, weight]) => weight < 1));
    }

    get runningCount(): number {
        return this.running.size;
    }

    listRunning(): readonly RunningWork[] {
        return [...this.running.values()];
    }

    /**
     * Adds the caller's share and the expected tokens and duration, as far as the class's lengths and the targets'
     * speed are known.
     */
    private estimate(work: Work, { speeds }: PoolState): Work {
        const name = classOf(work);
        const longTokens = this.lengths.quantile(name, admissionQuantile);
        const paceMs = speeds.medianPaceMs;
        const expectedMs = longTokens === undefined || paceMs === undefined ? undefined : longTokens * paceMs;
        return {
            ...work,
            share: this.pool(work.pool).policy.shares?.[work.caller],
            expectedTokens: work.expectedTokens ?? this.lengths.quantile(name, orderingQuantile),
            expectedMs: work.workClass === "answer" ? expectedMs : undefined,
        };
    }

    private isLagging({ work, target, startedAt }: RunningWork, now: Instant): boolean {
        if (work.policy !== "tamarack" || work.deadline <= now + (work.expectedMs ?? 0)) {
            return false;
        }
        const elapsedMs = now - startedAt;
        const expectedMs = Math.max(minHedgeDelayMs, work.expectedMs ?? Number.POSITIVE_INFINITY);
        const isSlowTarget = this.pool(work.pool).speeds.weight(target) < slowTargetWeight;
        return isSlowTarget || (elapsedMs > hedgeDelayFactor * expectedMs && this.queue.countAhead(work) === 0);
    }

    private pool(pool: PoolId): PoolState {
        const known = this.pools.get(pool);
        if (known !== undefined) {
            return known;
        }
        const created = new PoolState();
        this.pools.set(pool, created);
        return created;
    }
}

/** The class of similar work whose lengths are estimated together. */
function classOf({ pool, caller, workClass, prefix }: Work): string {
    const kind = workClass === "step-tail" ? "sample" : workClass;
    return `${pool}|${caller}|${kind}|${prefix?.slice(0, maxClassPrefixLength) ?? ""}`;
}
