/** The world of scenarios about decisions of delivery: ledgers and a trainer without processes, sockets or time. */

import {
    type Cursor,
    decodeCursor,
    encodeCursor,
    firstCursor,
    type Instant,
    isReplacedBy,
    type PlannedAttempt,
    type Sample,
    type StepSpec,
    StepState,
    type WeightVersion,
} from "@tamarackpath/core";
import { type ScenarioWorld } from "./defineFeature.js";

/** An answer to a pull, under way to the trainer. */
export interface PulledBatch {
    readonly answers: string | undefined;
    readonly cursor: string;
    readonly samples: readonly Sample[];
}

const perGroup = 2;

/** World with ledgers and one trainer. */
export class OwnershipWorld implements ScenarioWorld {
    readonly ledgers = new Map<string, StepState>();
    readonly held: Sample[] = [];
    readonly underWay: PulledBatch[] = [];
    readonly givenUp: { readonly owner: string; readonly start: PlannedAttempt; }[] = [];
    version = 1;
    private cursor: string | undefined;
    private total = 0;

    constructor(readonly seed: number) {}

    own(owner: string, samples: number): void {
        this.total = samples;
        this.ledgers.set(owner, new StepState(this.spec(samples), `${owner}.1`));
    }

    ledger(owner: string): StepState {
        return this.ledgers.get(owner)!;
    }

    produce(owner: string, count: number, version: number): void {
        const ledger = this.ledger(owner);
        ledger.start(count).forEach(start => ledger.finish(start.attempt, sampleOf(start, version), true));
    }

    /** Pulls from an owner; the answer stays under way until the scenario lets it arrive. */
    pull(owner: string, limit: number): void {
        const ledger = this.ledger(owner);
        const cursor = this.read(ledger);
        const outcome = ledger.pull(cursor, this.version as WeightVersion, limit);
        if (outcome.kind === "batch") {
            const next = encodeCursor(outcome.cursor, ledger.identity);
            this.underWay.push({ answers: this.cursor, cursor: next, samples: outcome.samples });
        }
    }

    /** Lets the `nth` answer under way arrive; the trainer drops it when it answers another cursor. */
    arrive(nth: number): void {
        const answer = this.underWay[nth - 1]!;
        if (answer.answers === this.cursor) {
            this.held.push(...answer.samples);
            this.cursor = answer.cursor;
        }
    }

    isWhole(): boolean {
        const indices = new Set(this.held.map(sample => sample.index));
        return indices.size === this.total && this.held.length === this.total;
    }

    mustYield(owner: string, other: string): boolean {
        return isReplacedBy(this.ledger(owner).epoch, this.ledger(other).epoch);
    }

    close(): Promise<void> {
        return Promise.resolve();
    }

    private read(ledger: StepState): Cursor {
        return this.cursor === undefined
            ? firstCursor(ledger.sampleCount)
            : decodeCursor(this.cursor, ledger.identity).unsafeCoerce();
    }

    private spec(samples: number): StepSpec {
        return {
            service: "rollouts" as StepSpec["service"],
            caller: "trainer" as StepSpec["caller"],
            step: "s1" as StepSpec["step"],
            weightVersion: 1 as WeightVersion,
            deadline: 1_000_000 as Instant,
            stalenessBound: 1,
            groups: Array.from({ length: samples / perGroup }, (unused, nth) => ({
                group: `g${nth}`,
                prompt: `Lot ${nth}`,
                samples: perGroup,
                maxTokens: 100,
                seed: this.seed * 1000 + nth * 10,
            })),
        };
    }
}

/** The sample of an attempt, one token generated under `version`. */
export function sampleOf({ attempt, plan }: PlannedAttempt, version: number): Sample {
    return {
        index: plan.index,
        group: plan.group,
        attempt,
        text: `${plan.seed}`,
        tokens: 1,
        spans: [{ version: version as WeightVersion, tokens: 1 }],
        reward: undefined,
        finish: "stop",
    };
}
