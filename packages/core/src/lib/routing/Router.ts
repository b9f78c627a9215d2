/**
 * All routing decisions of one host: admission, order, choice of targets, judgement of their speed, and hedges. It
 * holds no clock and performs no I/O; each call is told the time.
 */

import { after, type HostId, type Instant, type PoolId, type RequestId, type TargetId } from "../ids.js";
import { type AdmissionVerdict } from "./AdmissionControl.js";
import { type Assignment, DispatchQueue } from "./DispatchQueue.js";
import { LengthEstimator } from "./LengthEstimator.js";
import { PeerCounts } from "./PeerCounts.js";
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
    /** True once a second attempt was ordered or when none may be. */
    isSettled: boolean;
}

/** How running work ended. */
export interface WorkOutcome {
    readonly ok: boolean;
    readonly tokens: number;
}

const orderingQuantile = 0.75;
const admissionQuantile = 0.9;
const slowWeight = 0.5;
const hedgeAfterExpected = 2;
const leastHedgeMs = 20;
const restMs = 150;
const classPrefixLength = 24;

/** Routes the work of one host. */
export class Router {
    readonly queue: DispatchQueue;
    private readonly pools = new Map<PoolId, PoolState>();
    private readonly running = new Map<RequestId, RunningWork>();
    private readonly lengths = new LengthEstimator();
    private readonly peers: PeerCounts;
    private readonly resting = new Map<TargetId, Instant>();

    constructor(random: Random) {
        this.queue = new DispatchQueue(random);
        this.peers = new PeerCounts((target, count) => this.queue.setElsewhere(target, count));
    }

    /** Sets the operators' settings of a pool. */
    configure(pool: PoolId, policy: PoolPolicy): void {
        this.pool(pool).configure(policy);
        this.queue.setReserve(pool, policy.reserveShortShare);
    }

    setTargetView(view: TargetView): void {
        this.queue.setTargetView(view);
    }

    /** Queues the work, unless it could not end in time. */
    submit(work: Work, now: Instant): AdmissionVerdict {
        const state = this.pool(work.pool);
        state.judgesSpeed = work.policy === "tamarack";
        const estimated = work.policy === "tamarack" ? this.estimate(work, state) : work;
        if (work.policy === "tamarack" && work.workClass === "answer") {
            const verdict = state.admission.judge(estimated, this.queue.ahead(estimated), now);
            if (!verdict.admitted) {
                return verdict;
            }
        }
        this.queue.add(estimated);
        return { admitted: true };
    }

    /** The next work to start, with its target. */
    next(now: Instant): Assignment | undefined {
        const assignment = this.queue.next(now);
        if (assignment !== undefined) {
            const { work, view } = assignment;
            const state = this.pool(work.pool);
            state.admission.granted(now);
            state.meter.opened(view.target, now);
            this.running.set(work.id, { work, target: view.target, startedAt: now, tokens: 0, isSettled: false });
        }
        return assignment;
    }

    /** Notes tokens of running work. */
    recordTokens(id: RequestId, tokens: number): void {
        const found = this.running.get(id);
        if (found !== undefined) {
            found.tokens += tokens;
            this.pool(found.work.pool).meter.produced(found.target, tokens);
        }
    }

    /** Notes that work ended, one way or another, and gives its slot back. */
    recordEnd(id: RequestId, outcome: WorkOutcome, now: Instant): void {
        const found = this.running.get(id);
        if (found !== undefined) {
            this.running.delete(id);
            const state = this.pool(found.work.pool);
            state.meter.produced(found.target, Math.max(0, outcome.tokens - found.tokens));
            state.meter.closed(found.target, now);
            state.budget.earn(outcome.tokens);
            if (outcome.ok) {
                this.lengths.learn(classOf(found.work), outcome.tokens);
            }
            this.queue.release(found.target);
        }
    }

    /** Notes that the target refused work, for instance while it swaps weights; it rests for a moment. */
    recordRefusal(target: TargetId, now: Instant): void {
        this.resting.set(target, after(now, restMs));
        this.queue.setResting(target, true);
    }

    /** Judges the targets' speed; to be called every few dozen milliseconds. */
    evaluateTargets(now: Instant): void {
        this.peers.expire(now);
        for (const [target, until] of this.resting) {
            if (until <= now) {
                this.resting.delete(target);
                this.queue.setResting(target, false);
            }
        }
        for (const state of this.pools.values()) {
            const readings = state.meter.read(now);
            if (state.judgesSpeed) {
                state.speeds.read(readings);
                state.speeds.targets().forEach(target => this.queue.setWeight(target, state.speeds.weight(target)));
            }
        }
    }

    /** Running work that deserves a second attempt elsewhere and that the budget pays for. Each is named once. */
    takeHedges(now: Instant, mayHedge: (work: Work) => boolean): readonly RunningWork[] {
        const hedges: RunningWork[] = [];
        for (const item of this.running.values()) {
            if (!item.isSettled && this.isLagging(item, now) && mayHedge(item.work)) {
                const cost = Math.max(1, item.work.expectedTokens ?? 1);
                if (this.pool(item.work.pool).budget.spend(cost)) {
                    item.isSettled = true;
                    hedges.push(item);
                }
            }
        }
        return hedges;
    }

    /** Requests in flight for each target, to tell the peers. */
    inFlightCounts(): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        for (const { target } of this.running.values()) {
            counts[target] = (counts[target] ?? 0) + 1;
        }
        return counts;
    }

    /** Takes a peer's counts; they count until `until` unless newer ones come. */
    recordPeerCounts(host: HostId, counts: Readonly<Record<string, number>>, until: Instant): void {
        this.peers.heard(host, counts, until);
    }

    /** Targets that are trusted with fewer than all of their slots, with that share. */
    targetWeights(): Readonly<Record<string, number>> {
        const judged = [...this.pools.values()].flatMap(({ speeds }) =>
            speeds.targets().map(target => [target, speeds.weight(target)] as const)
        );
        return Object.fromEntries(judged.filter(([, weight]) => weight < 1));
    }

    get runningCount(): number {
        return this.running.size;
    }

    listRunning(): readonly RunningWork[] {
        return [...this.running.values()];
    }

    /** Adds what the work will take, as far as the lengths of its class and the targets' speed are known. */
    private estimate(work: Work, { speeds }: PoolState): Work {
        const name = classOf(work);
        const median = this.lengths.quantile(name, admissionQuantile);
        const paceMs = speeds.typicalPaceMs;
        const expectedMs = median === undefined || paceMs === undefined ? undefined : median * paceMs;
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
        const elapsed = now - startedAt;
        const expected = Math.max(leastHedgeMs, work.expectedMs ?? Number.POSITIVE_INFINITY);
        const isSlowTarget = this.pool(work.pool).speeds.weight(target) < slowWeight;
        return isSlowTarget || (elapsed > hedgeAfterExpected * expected && this.queue.ahead(work) === 0);
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

/** Names the class of similar work whose lengths are learned together. */
function classOf({ pool, caller, workClass, prefix }: Work): string {
    const kind = workClass === "step-tail" ? "sample" : workClass;
    return `${pool}|${caller}|${kind}|${prefix?.slice(0, classPrefixLength) ?? ""}`;
}
