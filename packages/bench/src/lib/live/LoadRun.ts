/**
 * Loads real daemons with one workload under one policy. Desk requests are sent at their due times, however many are
 * still unanswered, so that slow answers do not reduce the load.
 */

import { TrainerClient } from "@tamarackpath/client";
import { type PolicyName, type Sample } from "@tamarackpath/core";
import { fleetToken } from "@tamarackpath/standins";
import { Agent, request } from "undici";
import { LatencyHistogram, type Measures, ratio } from "../Measures.js";
import { type DeskArrival, type TrainerPlan, type WorkloadPlan } from "../workloads.js";
import { servicesOf } from "./fleetMessages.js";
import { type FleetProcess } from "./FleetProcess.js";

const stepTimeoutMs = 60_000;
const stalenessBound = 1;
const maxTokens = 200;
const deskMaxTokens = 100;
const samplesPerGroup = 8;
const trainerTokens = [fleetToken.trainer, fleetToken.otherTrainer];
const startDelayMs = 100;

/** One run; its measures cover all desk requests and all steps. */
export class LoadRun {
    private readonly latency = new LatencyHistogram();
    private readonly dispatcher = new Agent({ connections: 512 });
    private onTime = 0;
    private late = 0;
    private refused = 0;
    private failed = 0;
    private samples = 0;
    private tooStale = 0;
    private duplicates = 0;
    private deliveredTokens = 0;
    private stepMs = 0;
    private steps = 0;

    constructor(
        private readonly plan: WorkloadPlan,
        private readonly policy: PolicyName,
        private readonly urls: readonly string[],
        private readonly fleet: FleetProcess,
        /** Weight version of the next step; each step increments it. */
        public version: number,
        private readonly seed: number,
    ) {}

    async run(): Promise<Measures> {
        const before = await this.fleet.account();
        const startAt = Date.now() + startDelayMs;
        const desk = this.plan.desk.map((arrival, nth) => this.ask(arrival, startAt, nth));
        const trainers = this.plan.trainers.slice(0, trainerTokens.length).map((trainer, nth) =>
            this.runTrainer(trainer, nth)
        );
        await Promise.all([...desk, ...trainers]);
        const after = await this.fleet.account();
        await this.dispatcher.close();
        const tokens = after.tokens.map((count, nth) => count - before.tokens[nth]!);
        const total = tokens.reduce((sum, count) => sum + count, 0);
        const requestCount = this.plan.desk.length;
        return {
            "desk p50 ms": this.latency.percentile(50),
            "desk p99 ms": this.latency.percentile(99),
            "late share": ratio(this.late + this.refused + this.failed, requestCount),
            "refused share": ratio(this.refused, requestCount),
            "failed share": ratio(this.failed, requestCount),
            "late cost": (this.late + this.refused + this.failed) * this.plan.deskLateCost,
            "goodput per s": this.onTime / (this.plan.durationMs / 1000),
            "step ms": ratio(this.stepMs, this.steps),
            "samples": this.samples,
            "samples beyond the bound": this.tooStale,
            "samples delivered twice": this.duplicates,
            "tokens thrown away": ratio(total - this.deliveredTokens, total),
            "prefix hit share": ratio(
                after.hits - before.hits,
                after.hits - before.hits + after.misses - before.misses,
            ),
            "busiest / mean load": ratio(Math.max(...tokens), total / tokens.length),
        };
    }

    private async ask(
        { at, prompt, tokens, maxLatencyMs }: DeskArrival,
        startAt: number,
        nth: number,
    ): Promise<void> {
        const dueAt = startAt + at;
        await new Promise(resolve => setTimeout(resolve, dueAt - Date.now()));
        const url = this.urls[nth % this.urls.length]!;
        try {
            const res = await request(`${url}/v1/services/${servicesOf(this.policy).desk}/completions`, {
                method: "POST",
                dispatcher: this.dispatcher,
                headers: {
                    "authorization": `Bearer ${fleetToken.desk}`,
                    "content-type": "application/json",
                    "tamarack-deadline": String(Math.ceil(dueAt + maxLatencyMs)),
                },
                body: JSON.stringify({
                    prompt: `${prompt}[tokens=${tokens}]`,
                    max_tokens: deskMaxTokens,
                    seed: nth,
                    stream: false,
                }),
            });
            await res.body.dump();
            this.settle(res.statusCode, Date.now() - dueAt, maxLatencyMs, tokens);
        }
        catch {
            this.failed++;
        }
    }

    private settle(status: number, ms: number, maxLatencyMs: number, tokens: number): void {
        if (status === 200) {
            this.latency.record(ms);
            this.deliveredTokens += tokens;
            this[ms <= maxLatencyMs ? "onTime" : "late"]++;
        }
        else {
            this[status === 503 || status === 504 ? "refused" : "failed"]++;
        }
    }

    private async runTrainer(plan: TrainerPlan, nth: number): Promise<void> {
        const trainer = new TrainerClient({
            urls: this.urls,
            service: servicesOf(this.policy).rollout,
            token: trainerTokens[nth]!,
        });
        for (const [stepNth, step] of plan.steps.entries()) {
            const version = this.version++;
            if (nth === 0) {
                await trainer.publish(version);
            }
            const startedAt = Date.now();
            const groups = step.groups.map(({ prompt }, group) => ({
                group: `g${group}`,
                prompt,
                samples: samplesPerGroup,
                maxTokens,
                seed: this.seed * 1_000_000 + group * samplesPerGroup,
            }));
            const seen = new Set<number>();
            const name = `bench-${this.policy}-${this.seed}-${nth}-${stepNth}`;
            const req = { weightVersion: version, stalenessBound, deadline: startedAt + stepTimeoutMs, groups };
            for await (const batch of trainer.run(name, req)) {
                batch.forEach(sample => this.recordSample(sample, seen, version));
            }
            this.stepMs += Date.now() - startedAt;
            this.steps++;
        }
    }

    private recordSample(sample: Sample, seen: Set<number>, version: number): void {
        this.samples++;
        this.duplicates += seen.has(sample.index) ? 1 : 0;
        seen.add(sample.index);
        this.deliveredTokens += sample.tokens;
        const oldestVersion = Math.min(...sample.spans.map(span => span.version));
        this.tooStale += oldestVersion < version - stalenessBound ? 1 : 0;
    }
}
