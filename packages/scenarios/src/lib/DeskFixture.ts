/** The fixture of scenarios about answers: callers of the desk service, the answers to their calls, and their keys. */

import { CallerClient, UnusedIdempotencyKeys } from "@tamarackpath/client";
import { type Claim, claimBucketCount, claimBucketKey, parseClaimBucket, type Problem } from "@tamarackpath/core";
import { type FleetConfig, fleetService, fleetToken, tokenSha256 } from "@tamarackpath/standins";
import { type Either } from "purify-ts";
import { type OpenCompletion } from "./CompletionReader.js";
import { FleetFixture } from "./FleetFixture.js";

const plannerToken = "token-planner";

/** What identifies a call as the same request: an idempotency key or a ticket. */
export interface CallProof {
    readonly idempotencyKey?: string;
    readonly ticket?: string;
}

/** Fixture with a desk service and its callers. */
export class DeskFixture extends FleetFixture {
    readonly tickets = new Map<string, string>();
    readonly quotes = new Map<string, Promise<Either<Problem, unknown>>>();
    readonly completions = new Map<string, OpenCompletion>();
    private readonly keys = new UnusedIdempotencyKeys();
    private readonly keysByName = new Map<string, string>();

    /** Starts a zone of three hosts with a desk service that has two callers; with `hasRelays` the network can be cut. */
    startDesk(
        plainTargets: number,
        engines: number,
        answerTimeoutMs: number,
        options: { readonly hasRelays: boolean; } = { hasRelays: false },
    ): Promise<void> {
        return this.startFleet({
            zones: ["leon"],
            hostsPerZone: 3,
            enginesPerZone: engines,
            plainPerZone: plainTargets,
            engine: { tokenMs: 4 },
            hasRelays: options.hasRelays,
            adjustConfig: doc => addPlanner(doc, answerTimeoutMs),
        });
    }

    /** Creates a client of the contractor or of the planner that sends its calls through one host. */
    client(host: string, caller: "contractor" | "planner" = "contractor"): CallerClient {
        return new CallerClient({
            urls: [this.fleet.daemon(host).callerUrl],
            service: fleetService.desk,
            token: caller === "planner" ? plannerToken : fleetToken.desk,
            keys: this.keys,
        });
    }

    /** Returns the idempotency key that the scenario calls `name`, and creates it at the first use. */
    key(name: string): string {
        const key = this.keysByName.get(name) ?? this.keys.create();
        this.keysByName.set(name, key);
        return key;
    }

    /** Sends an order in the background and stores its answer under the name `call`. */
    order(call: string, order: string, host: string, proof: CallProof, timeoutMs = 5000): void {
        const answer = this.client(host).call("/orders", {
            method: "POST",
            body: { order },
            deadline: Date.now() + timeoutMs,
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

    /** How often the targets ran an order. */
    runsOf(order: string): number {
        return this.fleet.orderRuns().get(order) ?? 0;
    }

    /** The claims in the key-value service. */
    claims(): readonly Claim[] {
        return Array.from({ length: claimBucketCount }, (unused, bucket) => claimBucketKey(bucket))
            .flatMap(key => parseClaimBucket(this.fleet.keyValue.readValue(key)) ?? []);
    }
}

function addPlanner(doc: FleetConfig, answerTimeoutMs: number): void {
    const desk = doc.services.find(service => service["service"] === fleetService.desk)!;
    desk["answerWithinMs"] = answerTimeoutMs;
    (desk["callers"] as object[]).push({ caller: "planner", tokenSha256: tokenSha256(plannerToken) });
}
