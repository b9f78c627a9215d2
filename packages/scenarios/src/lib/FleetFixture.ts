/** The fixture of scenarios with real daemons on loopback: a fleet, its trainers and callers, and what they received. */

import { CallerClient, TrainerClient } from "@tamarackpath/client";
import { type Problem, type Sample } from "@tamarackpath/core";
import { Fleet, type FleetOptions, fleetService, fleetToken } from "@tamarackpath/standins";
import { type Either } from "purify-ts";
import { type ScenarioFixture } from "./defineFeature.js";

/** What a trainer received. */
export interface Delivery {
    readonly total: number;
    readonly samples: Sample[];
    /** Resolves when the trainer has stopped pulling. */
    readonly ended: Promise<void>;
}

/** Fixture with a fleet of real daemons. */
export class FleetFixture implements ScenarioFixture {
    readonly deliveries = new Map<string, Delivery>();
    /** Answers to calls, by the name of the call in the scenario. */
    readonly answers = new Map<string, Promise<Either<Problem, unknown>>>();
    private started: Fleet | undefined;

    constructor(readonly seed: number) {}

    get fleet(): Fleet {
        if (this.started === undefined) {
            throw new Error("The scenario starts no fleet.");
        }
        return this.started;
    }

    async startFleet(options: FleetOptions): Promise<void> {
        this.started = await Fleet.start(options);
    }

    trainer(urls: readonly string[] = this.fleet.urls()): TrainerClient {
        return new TrainerClient({
            urls,
            service: fleetService.rollout,
            token: fleetToken.trainer,
            pullTimeoutMs: 4000,
            pullWaitMs: 1000,
        });
    }

    desk(urls: readonly string[] = this.fleet.urls()): CallerClient {
        return new CallerClient({ urls, service: fleetService.desk, token: fleetToken.desk });
    }

    /** Submits a step and pulls it in the background. */
    deliver(
        step: string,
        options: { groups: number; samplesPerGroup: number; timeoutMs: number; prompt?: string; },
    ): void {
        const samples: Sample[] = [];
        const groups = Array.from({ length: options.groups }, (unused, nth) => ({
            group: `g${nth}`,
            prompt: `${options.prompt ?? "Lot"} ${step} ${nth}`,
            samples: options.samplesPerGroup,
            maxTokens: 200,
            seed: this.seed * 1000 + nth * 10,
        }));
        const req = { weightVersion: 1, deadline: Date.now() + options.timeoutMs, groups };
        const collect = async (): Promise<void> => {
            for await (const batch of this.trainer().run(step, req)) {
                samples.push(...batch);
            }
        };
        this.deliveries.set(step, { total: options.groups * options.samplesPerGroup, samples, ended: collect() });
    }

    async close(): Promise<void> {
        await this.started?.close();
    }
}

/** Polls until `condition` returns true; throws after `timeoutMs`. `description` says which condition it waits for. */
export async function waitUntil(
    description: string,
    condition: () => boolean | Promise<boolean>,
    timeoutMs = 15_000,
): Promise<void> {
    const end = Date.now() + timeoutMs;
    while (!await condition()) {
        if (Date.now() > end) {
            throw new Error(`Timed out waiting until ${description}.`);
        }
        await new Promise(resolve => setTimeout(resolve, 25));
    }
}
