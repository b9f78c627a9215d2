/**
 * Spaces the requests to targets that state a rate limit. Each target has a token bucket, kept as the time at which it is
 * full again. It is made for many hosts and few requests: one host paces the requests of all, so that the whole limit is
 * used wherever the requests arrive. While requests exceed the limit, a flow (the requests of one route) that is refused
 * goes before flows that were served more often: these only get a token when the bucket is full, so that none is lost.
 */

import { after, type Instant, type TargetId } from "../ids.js";

/** A target and the limit that it states, in requests a second. */
export interface PacedTarget {
    readonly target: TargetId;
    readonly perSecond: number;
}

/** When a request may be sent and to which target, or when a refused one may be sent again. */
export type Reservation =
    | { readonly kind: "reserved"; readonly target: TargetId; readonly at: Instant; }
    | { readonly kind: "refused"; readonly retryAt: Instant; };

interface Flow {
    served: number;
    refusedAt: Instant;
}

interface Bucket {
    intervalMs: number;
    /** How long a full bucket lasts beyond one request. */
    burstMs: number;
    fullAt: Instant;
    /** When the last refused request may be sent again. */
    promisedAt: Instant;
    flows: Map<string, Flow>;
    flowsEndAt: Instant;
}

/** Requests that a full bucket holds, as the requests of this many seconds, and at least. */
const burst = { seconds: 0.25, min: 2 } as const;

/** Upper limit of the time between two requests, so that the end of a limit of 0 is noticed. */
const maxIntervalMs = 20_000;

/** Milliseconds over which the requests of a flow are counted. */
const flowWindowMs = 4000;

/** Milliseconds for which a refused flow goes before others. */
const refusedFlowTtlMs = 1500;

/** Maximum number of flows that are counted at one target. */
const maxFlows = 64;

/** Upper limit of the time after which a refused request may be sent again. */
const maxRetryDelayMs = 5000;

/** Paces the requests to a set of targets. */
export class RequestPacer {
    private readonly buckets = new Map<TargetId, Bucket>();

    /** `share` is the part of each limit that this pacer hands out. */
    constructor(private readonly share = 1) {}

    /** Begins to pace a target; its bucket is empty at `now`. Other methods do so for a target that is not paced yet. */
    track(paced: PacedTarget, now: Instant): void {
        this.bucketOf(paced, now);
    }

    /** Number of requests of `flow` that may be sent to a target at `now`. */
    available(paced: PacedTarget, flow: string, now: Instant): number {
        const bucket = this.bucketOf(paced, now);
        const { intervalMs, burstMs } = bucket;
        const debtMs = Math.max(0, bucket.fullAt - now);
        if (mustYield(bucket, flow, now)) {
            return debtMs > 0 ? 0 : 1;
        }
        return debtMs > burstMs ? 0 : Math.floor((burstMs - debtMs) / intervalMs + roundingMargin) + 1;
    }

    /** When the next request of `flow` may be sent to a target. */
    nextAt(paced: PacedTarget, flow: string, now: Instant): Instant {
        const bucket = this.bucketOf(paced, now);
        return Math.max(now, bucket.fullAt - (mustYield(bucket, flow, now) ? 0 : bucket.burstMs)) as Instant;
    }

    /** Counts a request of `flow` that is sent at `now`, whether or not the limit allows it. */
    take(paced: PacedTarget, flow: string, now: Instant): void {
        const bucket = this.bucketOf(paced, now);
        flowOf(bucket, flow).served++;
        const debtAt = after(bucket.fullAt > now ? bucket.fullAt : now, bucket.intervalMs);
        bucket.fullAt = Math.min(debtAt, after(now, bucket.burstMs + maxIntervalMs)) as Instant;
    }

    /** Reserves the earliest request of `flow` at one of `targets` that may be sent until `latestAt`. */
    reserve(targets: readonly PacedTarget[], flow: string, latestAt: Instant, now: Instant): Reservation {
        const options = targets.map(paced => ({ paced, at: this.nextAt(paced, flow, now) }));
        const best = options.reduce((a, b) => b.at < a.at ? b : a);
        const bucket = this.bucketOf(best.paced, now);
        const own = flowOf(bucket, flow);
        if (best.at > latestAt) {
            targets.forEach(paced => {
                flowOf(this.bucketOf(paced, now), flow).refusedAt = now;
            });
            bucket.promisedAt = Math.max(best.at, after(bucket.promisedAt, bucket.intervalMs)) as Instant;
            return { kind: "refused", retryAt: Math.min(bucket.promisedAt, after(now, maxRetryDelayMs)) as Instant };
        }
        own.served++;
        own.refusedAt = -Infinity as Instant;
        bucket.fullAt = after(bucket.fullAt > now ? bucket.fullAt : now, bucket.intervalMs);
        return { kind: "reserved", target: best.paced.target, at: best.at };
    }

    /** Drops the state of targets that are not in `listed`. */
    retain(listed: ReadonlySet<TargetId>): void {
        [...this.buckets.keys()].filter(target => !listed.has(target)).forEach(target => this.buckets.delete(target));
    }

    private bucketOf({ target, perSecond }: PacedTarget, now: Instant): Bucket {
        const intervalMs = Math.min(maxIntervalMs, 1000 / (perSecond * this.share));
        const burstMs = (Math.max(burst.min, Math.floor(perSecond * this.share * burst.seconds)) - 1) * intervalMs;
        const known = this.buckets.get(target);
        if (known === undefined) {
            const created: Bucket = {
                intervalMs,
                burstMs,
                // Empty, since the target has just served requests that were not paced, or another host has paced them.
                fullAt: after(now, burstMs + intervalMs),
                promisedAt: -Infinity as Instant,
                flows: new Map(),
                flowsEndAt: after(now, flowWindowMs),
            };
            this.buckets.set(target, created);
            return created;
        }
        if (known.intervalMs !== intervalMs) {
            known.intervalMs = intervalMs;
            known.burstMs = burstMs;
            known.fullAt = Math.min(known.fullAt, after(now, burstMs + intervalMs)) as Instant;
        }
        if (now >= known.flowsEndAt) {
            known.flowsEndAt = after(now, flowWindowMs);
            known.flows.forEach(flow => {
                flow.served = 0;
            });
        }
        return known;
    }
}

/** Makes up for the rounding of sums of intervals, in requests. */
const roundingMargin = 1e-6;

/** Whether another flow that was served less often has just been refused. */
function mustYield({ flows }: Bucket, flow: string, now: Instant): boolean {
    const served = flows.get(flow)?.served ?? 0;
    return [...flows].some(([name, other]) =>
        name !== flow && other.served < served && now - other.refusedAt < refusedFlowTtlMs
    );
}

function flowOf({ flows }: Bucket, name: string): Flow {
    const known = flows.get(name);
    if (known !== undefined) {
        return known;
    }
    for (const oldest of flows.keys()) {
        if (flows.size < maxFlows) {
            break;
        }
        flows.delete(oldest);
    }
    const flow = { served: 0, refusedAt: -Infinity as Instant };
    flows.set(name, flow);
    return flow;
}
