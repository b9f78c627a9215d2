/** The world of scenarios about delivery: trainers whose every sample is recorded as it arrives, and their networks. */

import { type StepEnd, type StepRequest, TrainerClient } from "@tamarackpath/client";
import { type Problem, type Sample, type StepPullResponse } from "@tamarackpath/core";
import { fleetService, fleetToken, LinkStandIn } from "@tamarackpath/standins";
import { type Delivery, FleetWorld } from "./FleetWorld.js";

const withinMs = 40_000;
const samplesPerPull = 8;

/** How a step is asked for. */
export interface StepShape {
    readonly groups: number;
    readonly perGroup: number;
    readonly withinMs: number;
    readonly tokens?: number;
}

/** A sample as it arrived, and the trainer's version at that moment. */
export interface Arrival {
    readonly sample: Sample;
    readonly trainerVersion: number;
}

/** One trainer at work on one step. */
export interface RecordedDelivery extends Delivery {
    readonly client: TrainerClient;
    readonly req: StepRequest;
    readonly arrivals: Arrival[];
    end: StepEnd | undefined;
}

/** World with a fleet and trainers. */
export class DeliveryWorld extends FleetWorld {
    /** The link that every trainer's connections lead through, once the scenario has set one up. */
    trainerLink: LinkStandIn | undefined;
    /** The last problem that a trainer got outside of a delivery. */
    lastProblem: Problem | undefined;
    private readonly recorded = new Map<string, RecordedDelivery>();

    /** Leads the trainers' connections to `url` through a link that can fail. */
    async linkTrainersTo(url: string): Promise<void> {
        this.trainerLink = await LinkStandIn.start(new URL(url).host);
    }

    recordedDelivery(step: string): RecordedDelivery {
        const found = this.recorded.get(step);
        if (found === undefined) {
            throw new Error(`No trainer runs step ${step}.`);
        }
        return found;
    }

    createStep(step: string, shape: StepShape): StepRequest {
        const length = shape.tokens === undefined ? "" : `[tokens=${shape.tokens}] `;
        return {
            weightVersion: 1,
            deadline: Date.now() + shape.withinMs,
            groups: Array.from({ length: shape.groups }, (unused, nth) => ({
                group: `g${nth}`,
                prompt: `${length}Lot ${step} ${nth}`,
                samples: shape.perGroup,
                maxTokens: 2000,
                seed: this.seed * 1000 + nth * 10,
            })),
        };
    }

    createTrainer(urls: readonly string[]): TrainerClient {
        return new TrainerClient({
            urls,
            service: fleetService.rollout,
            token: fleetToken.trainer,
            pullTimeoutMs: 2500,
            pullWaitMs: 1000,
        });
    }

    /** Submits a step and records its delivery in the background. */
    override deliver(step: string, shape: StepShape): void {
        const urls = this.trainerLink === undefined ? this.fleet.urls() : [this.trainerLink.url];
        const delivery = this.record(step, shape, this.createTrainer(urls));
        this.start(step, delivery, this.collect(step, delivery));
    }

    /** Submits a step through two hosts and sends every pull through both at once; the first answer wins. */
    deliverTwofold(step: string, shape: StepShape, hosts: readonly string[]): void {
        const clients = hosts.map(host => this.createTrainer([this.fleet.daemon(host).callerUrl]));
        const delivery = this.record(step, shape, clients[0]!);
        this.start(step, delivery, this.collectTwofold(step, delivery, clients));
    }

    override async close(): Promise<void> {
        await super.close();
        await this.trainerLink?.close();
    }

    private record(step: string, shape: StepShape, client: TrainerClient): Omit<RecordedDelivery, "ended"> {
        const req = this.createStep(step, { ...shape, withinMs: Math.min(shape.withinMs, withinMs) });
        return { total: shape.groups * shape.perGroup, samples: [], arrivals: [], client, req, end: undefined };
    }

    private start(step: string, delivery: Omit<RecordedDelivery, "ended">, ended: Promise<void>): void {
        const started = Object.assign(delivery, { ended });
        this.recorded.set(step, started);
        this.deliveries.set(step, started);
    }

    private async collect(step: string, delivery: Omit<RecordedDelivery, "ended">): Promise<void> {
        const batches = delivery.client.run(step, delivery.req);
        for (;;) {
            const next = await batches.next();
            if (next.done === true) {
                delivery.end = next.value;
                return;
            }
            this.arrive(delivery, next.value);
        }
    }

    private async collectTwofold(
        step: string,
        delivery: Omit<RecordedDelivery, "ended">,
        clients: readonly TrainerClient[],
    ): Promise<void> {
        let cursor: string | undefined;
        while (Date.now() < delivery.req.deadline) {
            await Promise.all(clients.map(client => client.submit(step, delivery.req)));
            const pulls = clients.map(client => client.pull(step, cursor, samplesPerPull));
            const answer = await firstAnswer(pulls);
            if (answer !== undefined && answer.answers === cursor) {
                cursor = answer.cursor;
                this.arrive(delivery, answer.samples);
                if (answer.done) {
                    return;
                }
            }
        }
    }

    private arrive(delivery: Omit<RecordedDelivery, "ended">, samples: readonly Sample[]): void {
        delivery.samples.push(...samples);
        const trainerVersion = delivery.client.weightVersion ?? delivery.req.weightVersion;
        delivery.arrivals.push(...samples.map(sample => ({ sample, trainerVersion })));
    }
}

type PullResult = Awaited<ReturnType<TrainerClient["pull"]>>;

async function firstAnswer(pulls: readonly Promise<PullResult>[]): Promise<StepPullResponse | undefined> {
    const rights = pulls.map(async pull =>
        (await pull).caseOf<Promise<StepPullResponse>>({
            Left: found => Promise.reject(new Error(found.detail)),
            Right: answer => Promise.resolve(answer),
        })
    );
    return await Promise.any(rights).catch(() => undefined);
}
