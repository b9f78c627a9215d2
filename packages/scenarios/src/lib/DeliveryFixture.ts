/** The fixture of scenarios about delivery: trainers that record every sample on arrival, and a link that can fail. */

import { type StepEnd, type StepRequest, TrainerClient } from "@tamarackpath/client";
import { type Problem, type Sample, type StepPullResponse } from "@tamarackpath/core";
import { fleetService, fleetToken, LinkStandIn } from "@tamarackpath/standins";
import { type Delivery, FleetFixture } from "./FleetFixture.js";

const maxStepTimeoutMs = 40_000;
const samplesPerPull = 8;

/** Size and time limit of a step. */
export interface StepShape {
    readonly groups: number;
    readonly samplesPerGroup: number;
    readonly timeoutMs: number;
    /** Tokens of each sample; the engines choose the length if it is undefined. */
    readonly tokens?: number;
}

/** A received sample, with the weight version of the trainer at its arrival. */
export interface Arrival {
    readonly sample: Sample;
    readonly trainerVersion: number;
}

/** The delivery of one step to one trainer. */
export interface RecordedDelivery extends Delivery {
    readonly client: TrainerClient;
    readonly req: StepRequest;
    readonly arrivals: Arrival[];
    end: StepEnd | undefined;
}

/** Fixture with a fleet and trainers. */
export class DeliveryFixture extends FleetFixture {
    /** The link that carries all connections of trainers, or undefined when they connect directly. */
    trainerLink: LinkStandIn | undefined;
    /** The last problem that a trainer received outside of a delivery. */
    lastProblem: Problem | undefined;
    private readonly recordedDeliveries = new Map<string, RecordedDelivery>();

    /** Routes the trainers' connections to `url` through a link that can fail. */
    async routeTrainersThroughLink(url: string): Promise<void> {
        this.trainerLink = await LinkStandIn.start(new URL(url).host);
    }

    recordedDelivery(step: string): RecordedDelivery {
        const found = this.recordedDeliveries.get(step);
        if (found === undefined) {
            throw new Error(`No trainer runs step ${step}.`);
        }
        return found;
    }

    createStep(step: string, shape: StepShape): StepRequest {
        const length = shape.tokens === undefined ? "" : `[tokens=${shape.tokens}] `;
        return {
            weightVersion: 1,
            deadline: Date.now() + shape.timeoutMs,
            groups: Array.from({ length: shape.groups }, (unused, nth) => ({
                group: `g${nth}`,
                prompt: `${length}Lot ${step} ${nth}`,
                samples: shape.samplesPerGroup,
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
        const delivery = this.createDelivery(step, shape, this.createTrainer(urls));
        this.start(step, delivery, this.collect(step, delivery));
    }

    /** Submits a step through two hosts and sends each pull through both; the first successful answer is used. */
    deliverThroughTwoHosts(step: string, shape: StepShape, hosts: readonly string[]): void {
        const clients = hosts.map(host => this.createTrainer([this.fleet.daemon(host).callerUrl]));
        const delivery = this.createDelivery(step, shape, clients[0]!);
        this.start(step, delivery, this.collectThroughTwoHosts(step, delivery, clients));
    }

    override async close(): Promise<void> {
        await super.close();
        await this.trainerLink?.close();
    }

    private createDelivery(step: string, shape: StepShape, client: TrainerClient): Omit<RecordedDelivery, "ended"> {
        const req = this.createStep(step, { ...shape, timeoutMs: Math.min(shape.timeoutMs, maxStepTimeoutMs) });
        return { total: shape.groups * shape.samplesPerGroup, samples: [], arrivals: [], client, req, end: undefined };
    }

    private start(step: string, delivery: Omit<RecordedDelivery, "ended">, ended: Promise<void>): void {
        const started = Object.assign(delivery, { ended });
        this.recordedDeliveries.set(step, started);
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
            this.recordArrivals(delivery, next.value);
        }
    }

    private async collectThroughTwoHosts(
        step: string,
        delivery: Omit<RecordedDelivery, "ended">,
        clients: readonly TrainerClient[],
    ): Promise<void> {
        let cursor: string | undefined;
        while (Date.now() < delivery.req.deadline) {
            await Promise.all(clients.map(client => client.submit(step, delivery.req)));
            const pulls = clients.map(client => client.pull(step, cursor, samplesPerPull));
            const answer = await firstSuccessfulAnswer(pulls);
            if (answer !== undefined && answer.answers === cursor) {
                cursor = answer.cursor;
                this.recordArrivals(delivery, answer.samples);
                if (answer.done) {
                    return;
                }
            }
        }
    }

    private recordArrivals(delivery: Omit<RecordedDelivery, "ended">, samples: readonly Sample[]): void {
        delivery.samples.push(...samples);
        const trainerVersion = delivery.client.weightVersion ?? delivery.req.weightVersion;
        delivery.arrivals.push(...samples.map(sample => ({ sample, trainerVersion })));
    }
}

type PullResult = Awaited<ReturnType<TrainerClient["pull"]>>;

async function firstSuccessfulAnswer(pulls: readonly Promise<PullResult>[]): Promise<StepPullResponse | undefined> {
    const successfulPulls = pulls.map(async pull =>
        (await pull).caseOf<Promise<StepPullResponse>>({
            Left: found => Promise.reject(new Error(found.detail)),
            Right: answer => Promise.resolve(answer),
        })
    );
    return await Promise.any(successfulPulls).catch(() => undefined);
}
