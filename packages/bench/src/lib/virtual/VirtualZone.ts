/**
 * One availability zone in virtual time: hosts with the daemon's router, engines that follow one model, the arrivals
 * of a workload, and faults. It measures routing decisions without the noise of a busy machine; it does not simulate
 * processes.
 */

import {
    asId,
    type HostId,
    type Incarnation,
    type Instant,
    type PolicyName,
    type TargetId,
    type TargetView,
    type WeightVersion,
    type ZoneId,
} from "@tamarackpath/core";
import { LatencyHistogram, type Measures, ratio } from "../Measures.js";
import { seededRandom } from "../random.js";
import { type DeskArrival, type StepPlan, type TrainerPlan, type WorkloadPlan } from "../workloads.js";
import { EventLoop } from "./EventLoop.js";
import { type EngineShape, VirtualEngine } from "./VirtualEngine.js";
import { VirtualHost, virtualPool } from "./VirtualHost.js";

/** A period of virtual time during which one engine is slower by a factor. */
export interface Slowdown {
    readonly engine: number;
    readonly from: number;
    readonly until: number;
    readonly factor: number;
}

/** Options of a zone. */
export interface ZoneOptions {
    readonly policy: PolicyName;
    readonly hosts: number;
    readonly engines: number;
    readonly engine: EngineShape;
    /** Interval at which hosts send their numbers of requests in flight to each other; undefined for no gossip. */
    readonly gossipIntervalMs: number | undefined;
    readonly reserveShortShare: number;
    readonly hedgeBudget: number;
    readonly slowdowns: readonly Slowdown[];
    readonly seed: number;
}

export const defaultEngine: EngineShape = {
    slots: 8,
    tokenMs: 4,
    batchSlope: 0.04,
    prefillMs: 12,
    maxCachedPrompts: 64,
};

const networkDelayMs = 1;
const gossipDelayMs = 1.5;
const stepTimeoutMs = 2_400_000;
const maxRunMs = 3_600_000;
const gossipTtlIntervals = 5;

/** Tokens per millisecond that the zone's engines produce with full batches. */
export function capacityPerMs({ engines, engine }: Pick<ZoneOptions, "engines" | "engine">): number {
    return engines * engine.slots / (engine.tokenMs * (1 + engine.batchSlope * (engine.slots - 1)));
}

/**
 * Lower bound in milliseconds of the time that a step takes: the longer of all its work at full capacity and its
 * longest sample alone on an engine.
 */
export function stepLowerBound(step: StepPlan, options: Pick<ZoneOptions, "engines" | "engine">): number {
    const sampleTokens = step.groups.flatMap(group => group.sampleTokens);
    const total = sampleTokens.reduce((sum, length) => sum + length, 0);
    return Math.max(total / capacityPerMs(options), Math.max(...sampleTokens) * options.engine.tokenMs);
}

/** Runs one workload in one zone. An instance can run once. */
export class VirtualZone {
    private readonly loop = new EventLoop();
    private readonly engines = new Map<TargetId, VirtualEngine>();
    private readonly hosts: VirtualHost[] = [];
    private readonly latency = new LatencyHistogram();
    private readonly random: () => number;
    /** Desk requests and trainers that have not ended. */
    private open = 0;
    private late = 0;
    private refused = 0;
    private onTime = 0;
    private deskEndedAt = 0;
    private stepMs = 0;
    private stepBoundMs = 0;
    private readonly trainerTokens = new Map<string, number>();
    /** Tokens delivered to each trainer when the first one has ended: shows whether shares are kept. */
    private tokensAtFirstTrainerEnd: Readonly<Record<string, number>> | undefined;

    constructor(private readonly plan: WorkloadPlan, private readonly options: ZoneOptions) {
        this.random = seededRandom(options.seed + 1);
        for (let nth = 0; nth < options.engines; nth++) {
            this.engines.set(asId<TargetId>(`engine-${nth}`), new VirtualEngine(this.loop, options.engine));
        }
        const shares = Object.fromEntries(plan.trainers.map(({ caller, share }) => [caller, share]));
        for (let nth = 0; nth < options.hosts; nth++) {
            const id = asId<HostId>(`host-${nth}`);
            this.hosts.push(
                new VirtualHost(
                    id,
                    this.loop,
                    this.engines,
                    { ...options, shares, networkDelayMs },
                    this.random,
                ),
            );
        }
        for (const target of this.engines.keys()) {
            this.hosts.forEach(host => host.observe(viewOf(target, options.engine.slots)));
        }
        options.slowdowns.forEach(slowdown => this.slow(slowdown));
        if (options.gossipIntervalMs !== undefined && options.hosts > 1) {
            this.hosts.forEach(host => this.gossip(host, options.gossipIntervalMs!));
        }
    }

    /** Runs until all requests have ended, or one hour of virtual time has passed, and returns the measures. */
    run(): Measures {
        this.plan.desk.forEach((arrival, nth) => {
            this.open++;
            this.loop.at(arrival.at, () => this.ask(arrival, nth));
        });
        this.plan.trainers.forEach((trainer, nth) => {
            this.open++;
            this.loop.at(0, () => this.startStep(trainer, nth, 0));
        });
        this.loop.runUntil(() => this.open === 0 || this.loop.now > maxRunMs);
        return this.collectMeasures();
    }

    private ask({ prompt, tokens, at, maxLatencyMs }: DeskArrival, nth: number): void {
        const host = this.hosts[nth % this.hosts.length]!;
        const settle = (): void => {
            this.open--;
            this.deskEndedAt = this.loop.now;
        };
        host.submit({
            id: `desk-${nth}`,
            caller: "desk",
            workClass: "answer",
            prompt,
            tokens,
            deadline: at + maxLatencyMs,
            lateCost: this.plan.deskLateCost,
            onEnd: () => {
                const ms = this.loop.now - at;
                this.latency.record(ms);
                this[ms > maxLatencyMs ? "late" : "onTime"]++;
                settle();
            },
            onRefused: () => {
                this.refused++;
                settle();
            },
        });
    }

    private startStep(trainer: TrainerPlan, nth: number, stepNth: number): void {
        const step = trainer.steps[stepNth];
        if (step === undefined) {
            this.open--;
            this.tokensAtFirstTrainerEnd ??= Object.fromEntries(this.trainerTokens);
            return;
        }
        const host = this.hosts[(nth + stepNth) % this.hosts.length]!;
        const startedAt = this.loop.now;
        let left = step.groups.reduce((sum, group) => sum + group.sampleTokens.length, 0);
        const end = (tokens: number): void => {
            this.trainerTokens.set(trainer.caller, (this.trainerTokens.get(trainer.caller) ?? 0) + tokens);
            if (--left === 0) {
                this.stepMs += this.loop.now - startedAt;
                this.stepBoundMs += stepLowerBound(step, this.options);
                this.startStep(trainer, nth, stepNth + 1);
            }
        };
        step.groups.forEach((group, groupNth) => {
            group.sampleTokens.forEach((tokens, sampleNth) => {
                host.submit({
                    id: `${trainer.caller}/${stepNth}/${groupNth}/${sampleNth}`,
                    caller: trainer.caller,
                    workClass: "sample",
                    prompt: group.prompt,
                    tokens,
                    deadline: startedAt + stepTimeoutMs,
                    lateCost: this.plan.rolloutLateCost,
                    onEnd: () => end(tokens),
                    onRefused: () => end(0),
                });
            });
        });
    }

    private slow({ engine, from, until, factor }: Slowdown): void {
        const found = this.engines.get(asId<TargetId>(`engine-${engine}`))!;
        this.loop.at(from, () => found.setSlowFactor(factor));
        this.loop.at(until, () => found.setSlowFactor(1));
    }

    private gossip(host: VirtualHost, intervalMs: number): void {
        const counts = host.router.inFlightCounts();
        this.loop.after(gossipDelayMs, () => {
            const until = this.loop.now + intervalMs * gossipTtlIntervals as Instant;
            for (const other of this.hosts) {
                if (other !== host) {
                    other.router.recordPeerCounts(host.id, counts, until);
                    other.dispatchReady();
                }
            }
        });
        this.loop.after(intervalMs, () => this.gossip(host, intervalMs));
    }

    private collectMeasures(): Measures {
        const engines = [...this.engines.values()];
        const produced = engines.map(engine => engine.producedTokens);
        const total = produced.reduce((sum, tokens) => sum + tokens, 0);
        const hits = engines.reduce((sum, engine) => sum + engine.hits, 0);
        const misses = engines.reduce((sum, engine) => sum + engine.misses, 0);
        const duplicates = this.hosts.reduce((sum, host) => sum + host.duplicateTokens, 0);
        const distinct = this.countDistinctPrompts();
        return {
            "desk p50 ms": this.latency.percentile(50),
            "desk p99 ms": this.latency.percentile(99),
            "desk p99.9 ms": this.latency.percentile(99.9),
            "late cost": (this.late + this.refused) * this.plan.deskLateCost,
            "late share": ratio(this.late + this.refused, this.plan.desk.length),
            "refused share": ratio(this.refused, this.plan.desk.length),
            "goodput per s": ratio(this.onTime, Math.max(this.plan.durationMs, this.deskEndedAt) / 1000),
            "step / bound": ratio(this.stepMs, this.stepBoundMs),
            "duplicate share": ratio(duplicates, total),
            "prefix hits / best": ratio(hits, hits + misses - distinct),
            "busiest / mean load": ratio(Math.max(...produced), total / engines.length),
            ...this.tokensAtFirstTrainerEnd,
        };
    }

    private countDistinctPrompts(): number {
        return new Set([
            ...this.plan.desk.map(({ prompt }) => prompt),
            ...this.plan.trainers.flatMap(({ steps }) =>
                steps.flatMap(({ groups }) => groups.map(({ prompt }) => prompt))
            ),
        ]).size;
    }
}

function viewOf(target: TargetId, slots: number): TargetView {
    return {
        target,
        kind: "engine",
        pool: virtualPool,
        zone: asId<ZoneId>("zone"),
        url: "",
        incarnation: 1 as Incarnation,
        leaving: false,
        reachable: true,
        inFlight: 0,
        inFlightElsewhere: 0,
        slots,
        version: 1 as WeightVersion,
        versionWhole: true,
        paceMs: undefined,
        seenAt: 0 as Instant,
    };
}
