/**
 * One zone in virtual time: a few hosts with the daemon's own router, engines of one model function, a workload's
 * arrivals, and faults. It measures decisions free of the noise of a busy machine; it simulates no processes.
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

/** A spell during which one engine is slower. */
export interface SlowSpell {
    readonly engine: number;
    readonly from: number;
    readonly until: number;
    readonly factor: number;
}

/** How a zone is set up. */
export interface ZoneOptions {
    readonly policy: PolicyName;
    readonly hosts: number;
    readonly engines: number;
    readonly engine: EngineShape;
    /** Milliseconds between two tellings of requests in flight among hosts; undefined for none. */
    readonly gossipEveryMs: number | undefined;
    readonly reserveShortShare: number;
    readonly hedgeBudget: number;
    readonly spells: readonly SlowSpell[];
    readonly seed: number;
}

export const defaultEngine: EngineShape = {
    slots: 8,
    tokenMs: 4,
    batchSlope: 0.04,
    prefillMs: 12,
    cachedPrompts: 64,
};

const hopMs = 1;
const gossipDelayMs = 1.5;
const stepWithinMs = 2_400_000;
const latestEndMs = 3_600_000;
const gossipHeldPeriods = 5;

/** Tokens a second that the zone's engines produce with full batches. */
export function capacityPerMs({ engines, engine }: Pick<ZoneOptions, "engines" | "engine">): number {
    return engines * engine.slots / (engine.tokenMs * (1 + engine.batchSlope * (engine.slots - 1)));
}

/** The least time that a step can take: all its work at full speed, or its longest sample alone. */
export function stepLowerBound(step: StepPlan, options: Pick<ZoneOptions, "engines" | "engine">): number {
    const lengths = step.groups.flatMap(group => group.lengths);
    const total = lengths.reduce((sum, length) => sum + length, 0);
    return Math.max(total / capacityPerMs(options), Math.max(...lengths) * options.engine.tokenMs);
}

/** Runs one workload in one zone. */
export class VirtualZone {
    private readonly loop = new EventLoop();
    private readonly engines = new Map<TargetId, VirtualEngine>();
    private readonly hosts: VirtualHost[] = [];
    private readonly latency = new LatencyHistogram();
    private readonly random: () => number;
    private open = 0;
    private late = 0;
    private refused = 0;
    private inTime = 0;
    private deskEndedAt = 0;
    private stepMs = 0;
    private stepBoundMs = 0;
    private readonly trainerTokens = new Map<string, number>();
    private firstTrainerEnd: Readonly<Record<string, number>> | undefined;

    constructor(private readonly plan: WorkloadPlan, private readonly options: ZoneOptions) {
        this.random = seededRandom(options.seed + 1);
        for (let nth = 0; nth < options.engines; nth++) {
            this.engines.set(asId<TargetId>(`engine-${nth}`), new VirtualEngine(this.loop, options.engine));
        }
        const shares = Object.fromEntries(plan.trainers.map(({ caller, share }) => [caller, share]));
        for (let nth = 0; nth < options.hosts; nth++) {
            const id = asId<HostId>(`host-${nth}`);
            this.hosts.push(new VirtualHost(id, this.loop, this.engines, { ...options, shares, hopMs }, this.random));
        }
        for (const target of this.engines.keys()) {
            this.hosts.forEach(host => host.observe(viewOf(target, options.engine.slots)));
        }
        options.spells.forEach(spell => this.slow(spell));
        if (options.gossipEveryMs !== undefined && options.hosts > 1) {
            this.hosts.forEach(host => this.gossip(host, options.gossipEveryMs!));
        }
    }

    /** Runs to the end and returns the measures. */
    run(): Measures {
        this.plan.desk.forEach((arrival, nth) => {
            this.open++;
            this.loop.at(arrival.at, () => this.ask(arrival, nth));
        });
        this.plan.trainers.forEach((trainer, nth) => {
            this.open++;
            this.loop.at(0, () => this.train(trainer, nth, 0));
        });
        this.loop.runUntil(() => this.open === 0 || this.loop.now > latestEndMs);
        return this.measures();
    }

    private ask({ prompt, tokens, at, withinMs }: DeskArrival, nth: number): void {
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
            deadline: at + withinMs,
            lateCost: this.plan.deskLateCost,
            onEnd: () => {
                const ms = this.loop.now - at;
                this.latency.add(ms);
                this[ms > withinMs ? "late" : "inTime"]++;
                settle();
            },
            onRefused: () => {
                this.refused++;
                settle();
            },
        });
    }

    private train(trainer: TrainerPlan, nth: number, stepNth: number): void {
        const step = trainer.steps[stepNth];
        if (step === undefined) {
            this.open--;
            this.firstTrainerEnd ??= Object.fromEntries(this.trainerTokens);
            return;
        }
        const host = this.hosts[(nth + stepNth) % this.hosts.length]!;
        const startedAt = this.loop.now;
        let left = step.groups.reduce((sum, group) => sum + group.lengths.length, 0);
        const end = (tokens: number): void => {
            this.trainerTokens.set(trainer.caller, (this.trainerTokens.get(trainer.caller) ?? 0) + tokens);
            if (--left === 0) {
                this.stepMs += this.loop.now - startedAt;
                this.stepBoundMs += stepLowerBound(step, this.options);
                this.train(trainer, nth, stepNth + 1);
            }
        };
        step.groups.forEach((group, groupNth) => {
            group.lengths.forEach((tokens, sampleNth) => {
                host.submit({
                    id: `${trainer.caller}/${stepNth}/${groupNth}/${sampleNth}`,
                    caller: trainer.caller,
                    workClass: "sample",
                    prompt: group.prompt,
                    tokens,
                    deadline: startedAt + stepWithinMs,
                    lateCost: this.plan.rolloutLateCost,
                    onEnd: () => end(tokens),
                    onRefused: () => end(0),
                });
            });
        });
    }

    private slow({ engine, from, until, factor }: SlowSpell): void {
        const found = this.engines.get(asId<TargetId>(`engine-${engine}`))!;
        this.loop.at(from, () => found.setSlow(factor));
        this.loop.at(until, () => found.setSlow(1));
    }

    private gossip(host: VirtualHost, everyMs: number): void {
        const counts = host.router.inFlightCounts();
        this.loop.after(gossipDelayMs, () => {
            const until = this.loop.now + everyMs * gossipHeldPeriods as Instant;
            for (const other of this.hosts) {
                if (other !== host) {
                    other.router.recordPeerCounts(host.id, counts, until);
                    other.pump();
                }
            }
        });
        this.loop.after(everyMs, () => this.gossip(host, everyMs));
    }

    private measures(): Measures {
        const engines = [...this.engines.values()];
        const produced = engines.map(engine => engine.produced);
        const total = produced.reduce((sum, tokens) => sum + tokens, 0);
        const hits = engines.reduce((sum, engine) => sum + engine.hits, 0);
        const misses = engines.reduce((sum, engine) => sum + engine.misses, 0);
        const duplicates = this.hosts.reduce((sum, host) => sum + host.duplicateTokens, 0);
        const distinct = this.distinctPrompts();
        return {
            "desk p50 ms": this.latency.percentile(50),
            "desk p99 ms": this.latency.percentile(99),
            "desk p99.9 ms": this.latency.percentile(99.9),
            "late cost": (this.late + this.refused) * this.plan.deskLateCost,
            "late share": ratio(this.late + this.refused, this.plan.desk.length),
            "refused share": ratio(this.refused, this.plan.desk.length),
            "goodput per s": ratio(this.inTime, Math.max(this.plan.durationMs, this.deskEndedAt) / 1000),
            "step / bound": ratio(this.stepMs, this.stepBoundMs),
            "duplicate share": ratio(duplicates, total),
            "prefix hits / best": ratio(hits, hits + misses - distinct),
            "busiest / mean load": ratio(Math.max(...produced), total / engines.length),
            ...this.firstTrainerEnd,
        };
    }

    private distinctPrompts(): number {
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
