/** The fixture of scenarios about decisions of delivery: step states and a trainer, without processes or sockets. */

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
import { type ScenarioFixture } from "./defineFeature.js";

/** The answer to a pull that is in flight to the trainer. */
export interface PulledBatch {
    /** The cursor that the trainer sent with the pull. */
    readonly answers: string | undefined;
    readonly cursor: string;
    readonly samples: readonly Sample[];
}

const samplesPerGroup = 2;

/** Fixture with the step states of several owners and one trainer. */
export class OwnershipFixture implements ScenarioFixture {
    readonly stepStates = new Map<string, StepState>();
    readonly held: Sample[] = [];
    readonly inFlightAnswers: PulledBatch[] = [];
    readonly abandonedAttempts: { readonly owner: string; readonly start: PlannedAttempt; }[] = [];
    version = 1;
    private cursor: string | undefined;
    private total = 0;

    constructor(readonly seed: number) {}

    own(owner: string, samples: number): void {
        this.total = samples;
        this.stepStates.set(owner, new StepState(this.spec(samples), `${owner}.1`));
    }

    stateOf(owner: string): StepState {
        return this.stepStates.get(owner)!;
    }

    finishSamples(owner: string, count: number, version: number): void {
        const state = this.stateOf(owner);
        state.start(count).forEach(start => state.finish(start.attempt, sampleOf(start, version), true));
    }

    /** Pulls from an owner. The answer stays in flight until the scenario calls `receiveAnswer`. */
    pull(owner: string, limit: number): void {
        const state = this.stateOf(owner);
        const cursor = this.read(state);
        const outcome = state.pull(cursor, this.version as WeightVersion, limit);
        if (outcome.kind === "batch") {
            const next = encodeCursor(outcome.cursor, state.identity);
            this.inFlightAnswers.push({ answers: this.cursor, cursor: next, samples: outcome.samples });
        }
    }

    /** Delivers the `nth` answer in flight, from 1. The trainer drops an answer to another than its present cursor. */
    receiveAnswer(nth: number): void {
        const answer = this.inFlightAnswers[nth - 1]!;
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
        return isReplacedBy(this.stateOf(owner).epoch, this.stateOf(other).epoch);
    }

    close(): Promise<void> {
        return Promise.resolve();
    }

    private read(state: StepState): Cursor {
        return this.cursor === undefined
            ? firstCursor(state.sampleCount)
            : decodeCursor(this.cursor, state.identity).unsafeCoerce();
    }

    private spec(samples: number): StepSpec {
        return {
            service: "rollouts" as StepSpec["service"],
            caller: "trainer" as StepSpec["caller"],
            step: "s1" as StepSpec["step"],
            weightVersion: 1 as WeightVersion,
            deadline: 1_000_000 as Instant,
            stalenessBound: 1,
            groups: Array.from({ length: samples / samplesPerGroup }, (unused, nth) => ({
                group: `g${nth}`,
                prompt: `Lot ${nth}`,
                samples: samplesPerGroup,
                maxTokens: 100,
                seed: this.seed * 1000 + nth * 10,
            })),
        };
    }
}

/** Creates the sample of an attempt: one token generated with `version`. */
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
