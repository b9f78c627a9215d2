/**
 * The operators' configuration as it is stored in the key-value service: one document for each questionnaire, with its
 * answers, the pools and services generated from them, and the answer that each generated value comes from.
 */

import * as z from "zod";
import { type CallerId, type ConfigRevision, type OperationId, type PoolId, type ServiceId } from "../ids.js";

const id = <Id extends string>() =>
    z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, "a lower-case name of letters, digits, '.', '_' and '-'")
        .transform(text => text as Id);

/** Names of the routing policies that a service can use. */
export const policyNames = ["round-robin", "least-outstanding", "power-of-two", "tamarack"] as const;

/** Name of a routing policy. */
export type PolicyName = typeof policyNames[number];

const poolSchema = z.strictObject({
    pool: id<PoolId>(),
    kind: z.enum(["engine", "plain", "scorer"]),
    /** Whether the targets refuse an order with an outdated fencing token. */
    checksFencing: z.boolean().default(false),
    /** Requests that one target processes concurrently. */
    slotsPerTarget: z.number().int().min(1).max(4096),
    /** Share of each target's slots that are reserved for callers' answers while there are any. */
    reserveShortShare: z.number().min(0).max(0.9).default(0.25),
    /** Maximum tokens of hedges and retries as a fraction of the tokens of first attempts. */
    hedgeBudget: z.number().min(0).max(1).default(0.05),
    /** Minimum share of an engine pool that keeps serving while the other engines swap weights. */
    minServingShare: z.number().min(0).max(1).default(0.5),
    /** Fetches per second that the weight store allows for the whole pool; it is estimated if not set. */
    weightFetchesPerSecond: z.number().positive().max(100_000).optional(),
});

const callerSchema = z.strictObject({
    caller: id<CallerId>(),
    /** SHA-256 of the caller's bearer token, in hexadecimal. */
    tokenSha256: z.string().regex(/^[0-9a-f]{64}$/, "64 hexadecimal digits"),
    /** Relative share of the pool when callers compete. */
    share: z.number().positive().max(1000).default(1),
});

/** Maximum sizes of the requests to a service, and the maximum number of streamed responses per caller. */
const limitsSchema = z.strictObject({
    bodyBytes: z.number().int().min(1024).max(64 * 1024 * 1024).default(8 * 1024 * 1024),
    groupsPerStep: z.number().int().min(1).max(65_536).default(8192),
    samplesPerGroup: z.number().int().min(1).max(1024).default(64),
    openStreamsPerCaller: z.number().int().min(1).max(100_000).default(1024),
});

const serviceSchema = z.strictObject({
    service: id<ServiceId>(),
    kind: z.enum(["rollout", "answer"]),
    enginePool: id<PoolId>().optional(),
    plainPool: id<PoolId>().optional(),
    scorerPool: id<PoolId>().optional(),
    callers: z.array(callerSchema).min(1).max(1000),
    /** Time limit of a request without a deadline from its caller, in milliseconds. */
    answerWithinMs: z.number().int().min(1).max(86_400_000),
    /** Cost of one late answer, in the operator's currency. */
    lateCost: z.number().min(0).max(1_000_000_000),
    /** How many weight versions a sample may lag behind its trainer. */
    stalenessBound: z.number().int().min(0).max(1000).default(1),
    /** Calls that must not be repeated, as `METHOD /path`. */
    neverRepeat: z.array(z.string().regex(/^[A-Z]+ \/\S*$/, "METHOD /path")).default([]),
    policy: z.enum(policyNames).default("tamarack"),
    limits: limitsSchema.prefault({}),
});

/** Schema of the configuration document. */
export const configDocumentSchema = z.strictObject({
    /** Format of the document; a host rejects a document of any other format as a whole. */
    format: z.literal(1).default(1),
    name: id<string>(),
    revision: z.number().int().min(1).transform(value => value as ConfigRevision),
    operationId: z.string().min(1).max(128).transform(text => text as OperationId),
    /** The questionnaire's answers, so that operators can revise them instead of the generated values. */
    answers: z.record(z.string(), z.unknown()).default({}),
    pools: z.array(poolSchema).max(1000),
    services: z.array(serviceSchema).max(1000),
    /** The answer that each generated value comes from, by key path. */
    why: z.record(z.string(), z.string()).default({}),
}).superRefine((doc, ctx) => {
    const pools = new Set<string>(doc.pools.map(pool => pool.pool));
    doc.services.forEach((service, index) => {
        for (const field of ["enginePool", "plainPool", "scorerPool"] as const) {
            const pool = service[field];
            if (pool !== undefined && !pools.has(pool)) {
                ctx.addIssue({
                    code: "custom",
                    path: ["services", index, field],
                    message: "the name of a listed pool",
                });
            }
        }
    });
});

/** A checked configuration document. */
export type ConfigDocument = z.output<typeof configDocumentSchema>;

/** A pool of the configuration. */
export type PoolConfig = ConfigDocument["pools"][number];

/** A service of the configuration. */
export type ServiceConfig = ConfigDocument["services"][number];

/** A caller of a service. */
export type CallerConfig = ServiceConfig["callers"][number];

/** Prefix of the configuration documents' keys. */
export const configPrefix = "tamarackpath/config/";
