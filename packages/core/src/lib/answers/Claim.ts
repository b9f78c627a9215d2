/**
 * A claim on an idempotency key that a caller chose, stored in the key-value service. It names the host incarnation
 * that may run the request. Every other host replays the stored outcome, requests the outcome from that host, or
 * responds that the outcome is unknown.
 */

import * as z from "zod";
import { type HostId, type Incarnation, type Instant } from "../ids.js";

const outcomeSchema = z.object({
    status: z.number().int(),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    bodyBase64: z.string(),
});

/** A target's response, stored for replays. */
export type StoredResponse = z.output<typeof outcomeSchema>;

/** Schema of a claim. */
export const claimSchema = z.object({
    /** Hash of the service, the caller and the idempotency key. */
    key: z.string(),
    /** Identifies the only attempt that may run under this claim. */
    claimId: z.string(),
    host: z.string().transform(text => text as HostId),
    incarnation: z.number().transform(value => value as Incarnation),
    /** Hash of the request. */
    fingerprint: z.string(),
    state: z.enum(["claimed", "answered", "not-run", "unknown"]),
    /** Absent when the outcome is too large to be stored, or was dropped at `dropOutcomeAt`. */
    outcome: outcomeSchema.optional(),
    /** Status and body hash of an outcome that is not stored. */
    digest: z.object({ status: z.number().int(), bodySha256: z.string() }).optional(),
    /** When the outcome is removed, while the claim stays. */
    dropOutcomeAt: z.number().transform(value => value as Instant).optional(),
    /** When the claim expires. */
    forgetAt: z.number().transform(value => value as Instant),
});

/** A claim on an idempotency key. */
export type Claim = z.output<typeof claimSchema>;

/** Schema of a bucket: the claims whose keys hash to the same key of the key-value service. */
export const claimBucketSchema = z.object({ claims: z.array(claimSchema) });

/**
 * A change that a host requests to a bucket: it claims a key, or settles its claim with the final state. `replaces` is
 * the id of the stored claim that a new one may replace.
 */
export type ClaimChange =
    | { readonly kind: "claim"; readonly claim: Claim; readonly replaces: string | undefined; }
    | { readonly kind: "settle"; readonly claim: Claim; };

/** Result of a change. */
export type ClaimChangeOutcome =
    /** The requested claim is stored in the key-value service, or a settled one has expired there. */
    | { readonly kind: "held"; }
    /** Another claim on the key is stored, and stays. */
    | { readonly kind: "taken"; readonly claim: Claim; }
    /** The bucket has no room; the key has no claim. */
    | { readonly kind: "full"; }
    /** The key-value service did not confirm the change. */
    | { readonly kind: "unconfirmed"; };
