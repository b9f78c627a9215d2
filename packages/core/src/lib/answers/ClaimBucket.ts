/**
 * Buckets of claims on idempotency keys. Many claims share one key of the key-value service, so that one write stores
 * several claims. All functions are pure.
 */

import { type Instant } from "../ids.js";
import { hash32 } from "../membership/rendezvous.js";
import { type Claim, claimBucketSchema, type ClaimChange, type ClaimChangeOutcome } from "./Claim.js";

/** Number of buckets; it must be the same on every host, because a key must always map to the same bucket. */
export const claimBucketCount = 32;

/** Prefix of the buckets' keys. */
export const claimBucketPrefix = "tamarackpath/claims/";

/** Maximum size of a bucket's text in bytes. */
export const maxClaimBucketBytes = 512 * 1024;

/** Maximum writes per second to the key-value service for claims, over all zones. */
export const maxClaimWritesPerSecond = 250;

/** The result of changes to a bucket. */
export interface BucketUpdate {
    /** The text to write; undefined when nothing has changed. */
    readonly text: string | undefined;
    /** The outcome of each change, in order. */
    readonly outcomes: readonly ClaimChangeOutcome[];
}

/** Returns the number of the bucket of a key's hash. */
export function claimBucketIndex(key: string): number {
    return hash32(key) % claimBucketCount;
}

/** Returns the key of a bucket in the key-value service. */
export function claimBucketKey(bucket: number): string {
    return `${claimBucketPrefix}${bucket}`;
}

/**
 * Returns the interval in milliseconds at which each zone may write one bucket, so that all zones keep to the limit.
 */
export function claimBucketWriteIntervalMs(zones: number): number {
    return 1000 * claimBucketCount * Math.max(1, zones) / maxClaimWritesPerSecond;
}

/** Parses a bucket's text; undefined when the text is not a bucket. */
export function parseClaimBucket(text: string | undefined): readonly Claim[] | undefined {
    if (text === undefined) {
        return [];
    }
    try {
        const parsed = claimBucketSchema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data.claims : undefined;
    }
    catch {
        return undefined;
    }
}

/** Applies `changes` in order to the claims of a bucket, and drops expired claims and outcomes. */
export function applyClaimChanges(
    claims: readonly Claim[],
    changes: readonly ClaimChange[],
    now: Instant,
): BucketUpdate {
    const live = new Map(claims.filter(claim => claim.forgetAt > now).map(claim => [claim.key, claim]));
    let bytes = Buffer.byteLength(serializeClaims([...live.values()]));
    let hasChanged = false;
    const outcomes = changes.map<ClaimChangeOutcome>(change => {
        const decision = decideChange(live.get(change.claim.key), change);
        if (decision !== "write") {
            return decision;
        }
        bytes += Buffer.byteLength(JSON.stringify(change.claim));
        if (bytes > maxClaimBucketBytes && !makeRoom(live, now)) {
            return { kind: "full" };
        }
        live.set(change.claim.key, change.claim);
        hasChanged = true;
        return { kind: "held" };
    });
    return {
        text: hasChanged ? serializeClaims(dropOldOutcomes([...live.values()], now)) : undefined,
        outcomes,
    };
}

function decideChange(stored: Claim | undefined, change: ClaimChange): ClaimChangeOutcome | "write" {
    if (change.kind === "settle") {
        return decideSettle(stored, change.claim);
    }
    if (stored === undefined || stored.claimId === change.replaces) {
        return "write";
    }
    return stored.claimId === change.claim.claimId ? { kind: "held" } : { kind: "taken", claim: stored };
}

function decideSettle(stored: Claim | undefined, claim: Claim): ClaimChangeOutcome | "write" {
    if (stored?.claimId !== claim.claimId) {
        return stored === undefined ? { kind: "held" } : { kind: "taken", claim: stored };
    }
    return stored.state === claim.state ? { kind: "held" } : "write";
}

/** Drops all stored outcomes, and returns whether the bucket is then below 90 % of its maximum size. */
function makeRoom(live: Map<string, Claim>, now: Instant): boolean {
    for (const [key, claim] of live) {
        if (claim.outcome !== undefined) {
            live.set(key, { ...claim, outcome: undefined, dropOutcomeAt: now });
        }
    }
    return Buffer.byteLength(serializeClaims([...live.values()])) < maxClaimBucketBytes * 0.9;
}

function dropOldOutcomes(claims: readonly Claim[], now: Instant): readonly Claim[] {
    return claims.map(claim =>
        claim.dropOutcomeAt !== undefined && claim.dropOutcomeAt <= now ? { ...claim, outcome: undefined } : claim
    );
}

function serializeClaims(claims: readonly Claim[]): string {
    return JSON.stringify({ claims });
}
