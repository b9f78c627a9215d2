/** A training step as its trainer submits it, and the samples that it consists of. */

import * as z from "zod";
import { shorten } from "../findings.js";
import { type CallerId, type Instant, type ServiceId, type StepId, type WeightVersion } from "../ids.js";
import { hash32 } from "../membership/rendezvous.js";
import { type VersionSpan } from "../ports/Targets.js";
import { type Finding } from "../Problem.js";

const groupFields = ["group", "prompt", "samples", "maxTokens", "seed"] as const;
const maxDifferences = 20;

const groupSchema = z.strictObject({
    group: z.string().min(1).max(128),
    prompt: z.string().min(1).max(1_000_000),
    samples: z.number().int().min(1),
    maxTokens: z.number().int().min(1).max(1_000_000),
    /** Seed of the group's first sample; it is incremented for each further sample. */
    seed: z.number().int().min(0).max(Number.MAX_SAFE_INTEGER),
});

/** Maximum number of samples in one step. */
export const maxSamplesPerStep = 65_536;

/** Schema of the body that submits a step. */
export const stepBodySchema = z.strictObject({
    weightVersion: z.number().int().min(0).transform(value => value as WeightVersion),
    /** Overrides the service's bound if it is stricter. */
    stalenessBound: z.number().int().min(0).max(1000).optional(),
    /** Milliseconds since the Unix epoch. */
    deadline: z.number().int().min(1).transform(value => value as Instant),
    groups: z.array(groupSchema).min(1).refine(
        groups => groups.reduce((sum, group) => sum + group.samples, 0) <= maxSamplesPerStep,
        `at most ${maxSamplesPerStep} samples in all`,
    ),
});

/** The checked body that submits a step. */
export type StepBody = z.output<typeof stepBodySchema>;

/** A group of samples that share a prompt. */
export type StepGroup = StepBody["groups"][number];

/** A step with the service and the caller that it belongs to. */
export interface StepSpec extends StepBody {
    readonly service: ServiceId;
    readonly caller: CallerId;
    readonly step: StepId;
    readonly stalenessBound: number;
}

/** One sample to generate. `index` is its position in the step, counted through all groups. */
export interface SamplePlan {
    readonly index: number;
    readonly group: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly seed: number;
}

/** A finished sample as it is delivered. */
export interface Sample {
    readonly index: number;
    readonly group: string;
    readonly attempt: string;
    readonly text: string;
    readonly tokens: number;
    readonly spans: readonly VersionSpan[];
    readonly reward: number | undefined;
    readonly finish: "stop" | "length";
}

/** Returns a key that identifies a step among all services and callers. */
export function stepKey(spec: Pick<StepSpec, "service" | "caller" | "step">): string {
    return `${spec.service}/${spec.caller}/${spec.step}`;
}

/** Lists the samples of a step in order of their index. */
export function planSamples(groups: readonly StepGroup[]): readonly SamplePlan[] {
    const plans: SamplePlan[] = [];
    for (const group of groups) {
        for (let sampleInGroup = 0; sampleInGroup < group.samples; sampleInGroup++) {
            plans.push({
                index: plans.length,
                group: group.group,
                prompt: group.prompt,
                maxTokens: group.maxTokens,
                seed: group.seed + sampleInGroup,
            });
        }
    }
    return plans;
}

/** Hashes what the trainer submitted, without the staleness bound, which may come from the configuration. */
export function fingerprint({ weightVersion, deadline, groups }: StepBody): number {
    let hash = hash32(`${weightVersion}|${deadline}|${groups.length}`);
    for (const group of groups) {
        hash = hash32(`${hash}|${JSON.stringify(groupFields.map(field => group[field]))}`);
    }
    return hash;
}

/** Lists the fields in which two submissions of a step differ, without the staleness bound. */
export function findStepDifferences(stored: StepBody, submitted: StepBody): readonly Finding[] {
    const findings: Finding[] = [];
    const compare = (place: string, allowed: unknown, read: unknown): void => {
        if (allowed !== read) {
            findings.push({ place, read: shorten(read), allowed: shorten(allowed) });
        }
    };
    compare("weightVersion", stored.weightVersion, submitted.weightVersion);
    compare("deadline", stored.deadline, submitted.deadline);
    compare("groups.length", stored.groups.length, submitted.groups.length);
    stored.groups.slice(0, submitted.groups.length).forEach((group, nth) =>
        groupFields.forEach(field => compare(`groups.${nth}.${field}`, group[field], submitted.groups[nth]![field]))
    );
    return findings.slice(0, maxDifferences);
}
