/** Fixtures for the tests of delivery: steps and samples. */

import {
    type AttemptId,
    type CallerId,
    type Instant,
    type ServiceId,
    type StepId,
    type WeightVersion,
} from "../ids.js";
import { type PlannedAttempt } from "./Attempt.js";
import { type Sample, type StepSpec } from "./StepSpec.js";

/** Creates a step of `groups` groups with `perGroup` samples at weight version 1. */
export function createSpec(groups: number, perGroup: number, stalenessBound = 1): StepSpec {
    return {
        service: "rollouts" as ServiceId,
        caller: "trainer" as CallerId,
        step: "s1" as StepId,
        weightVersion: 1 as WeightVersion,
        deadline: 1_000_000 as Instant,
        stalenessBound,
        groups: Array.from({ length: groups }, (unused, nth) => ({
            group: `g${nth}`,
            prompt: `Lot ${nth}`,
            samples: perGroup,
            maxTokens: 100,
            seed: nth * 100,
        })),
    };
}

/** Creates the sample of an attempt with one token of each of `versions`. */
export function createSample({ attempt, plan }: PlannedAttempt, ...versions: readonly number[]): Sample {
    return {
        index: plan.index,
        group: plan.group,
        attempt: attempt as AttemptId,
        text: `${attempt} at ${versions.join()}`,
        tokens: versions.length,
        spans: versions.map(version => ({ version: version as WeightVersion, tokens: 1 })),
        reward: undefined,
        finish: "stop",
    };
}
