/** The world of scenarios about answers: callers of the desk, what each of their calls was answered, and their keys. */

import { CallerClient, UnusedIdempotencyKeys } from "@tamarackpath/client";
import { type Claim, claimBucketCount, claimBucketKey, parseClaimBucket, type Problem } from "@tamarackpath/core";
import { type FleetConfig, fleetService, fleetToken, tokenSha256 } from "@tamarackpath/standins";
import { type Either } from "purify-ts";
import { type OpenCompletion } from "./CompletionReader.js";
import { FleetWorld } from "./FleetWorld.js";

const plannerToken = "token-planner";

/** How a call proves which request it is. */
export interface CallProof {
    readonly idempotencyKey?: string;
    readonly ticket?: string;
}

/** World with a desk and its callers. */
export class DeskWorld extends FleetWorld {
    readonly tickets = new Map<string, string>();
    readonly quotes = new Map<string, Promise<Either<Problem, unknown>>>();
    readonly completions = new Map<string, OpenCompletion>();
    private readonly keys = new UnusedIdempotencyKeys();
    private readonly keysByName = new Map<string, string>();

    /** Starts a zone of three hosts whose desk has two callers. */
    startDesk(
        plainTargets: number,
        engines: number,
        answerWithinMs: number,
        options: { readonly cuttable: boolean; } = { cuttable: false },
    ): Promise<void> {
        return this.startFleet({
            zones: ["leon"],
            hostsPerZone: 3,
            enginesPerZone: engines,
            plainPerZone: plainTargets,
            engine: { tokenMs: 4 },
            hasRelays: options.cuttable,
            adjustConfig: doc => addPlanner(doc, answerWithinMs),
        });
    }

    /** A client of the contractor, or of the planner, that calls through one host. */
    client(host: string, caller: "contractor" | "planner" = "contractor"): CallerClient {
        return new CallerClient({
            urls: [this.fleet.daemon(host).callerUrl],
            service: fleetService.desk,
            token: caller === "planner" ? plannerToken : fleetToken.desk,
            keys: this.keys,
        });
    }

    /** The idempotency key that the scenario calls `name`. */
    key(name: string): string {
        const known = this.keysByName.get(name) ?? this.keys.create();
        this.keysByName.set(name, known);
        return known;
    }

    /** Sends an order in the background and keeps its answer as `call`. */
    order(call: string, order: string, host: string, proof: CallProof, withinMs = 5000): void {
        const answer = this.client(host).call("/orders", {
            method: "POST",
            body: { order },
            deadline: Date.now() + withinMs,
            ...proof,
        });
        this.answers.set(call, answer);
    }

    async answer(call: string): Promise<Either<Problem, unknown>> {
        const answer = this.answers.get(call);
        if (answer === undefined) {
            throw new Error(`The scenario has no call "${call}".`);
        }
        return await answer;
    }

    completion(name: string): OpenCompletion {
        const completion = this.completions.get(name);
        if (completion === undefined) {
            throw new Error(`The scenario has no completion "${name}".`);
        }
        return completion;
    }

    runsOf(order: string): number {
        return this.fleet.orderRuns().get(order) ?? 0;
    }

    /** The claims that stand in the key-value service. */
    claims(): readonly Claim[] {
        return Array.from({ length: claimBucketCount }, (unused, bucket) => claimBucketKey(bucket))
            .flatMap(key => parseClaimBucket(this.fleet.keyValue.readValue(key)) ?? []);
    }
}

function addPlanner(doc: FleetConfig, answerWithinMs: number): void {
    const desk = doc.services.find(service => service["service"] === fleetService.desk)!;
    desk["answerWithinMs"] = answerWithinMs;
    (desk["callers"] as object[]).push({ caller: "planner", tokenSha256: tokenSha256(plannerToken) });
}
