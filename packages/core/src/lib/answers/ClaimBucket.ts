/**
 * Claims on idempotency keys, many to one key of the key-value service, so that one write carries several claims. All
 * functions are pure: they take a bucket's text and give the next text with a verdict on each change.
 */

import { type Instant } from "../ids.js";
import { hash32 } from "../membership/rendezvous.js";
import { type Claim, claimBucketSchema, type ClaimChange, type ClaimChangeOutcome } from "./Claim.js";

/** Number of buckets; every host must use the same one, because a key must always meet the same bucket. */
export const claimBucketCount = 32;

/** Prefix of the buckets' keys. */
export const claimBucketPrefix = "tamarackpath/claims/";

/** Largest text of a bucket, in bytes. */
export const maxClaimBucketBytes = 512 * 1024;

/** Writes a second that claims may take of the key-value service, over all zones. */
export const maxClaimWritesPerSecond = 250;

/** A bucket after changes. */
export interface BucketUpdate {
    /** The next text, or undefined when nothing has to be written. */
    readonly text: string | undefined;
    readonly outcomes: readonly ClaimChangeOutcome[];
}

/** The bucket of a key's hash. */
export function claimBucketIndex(key: string): number {
    return hash32(key) % claimBucketCount;
}

/** The key under which a bucket stands in the key-value service. */
export function claimBucketKey(bucket: number): string {
    return `${claimBucketPrefix}${bucket}`;
}

/** Milliseconds in which one zone's writer of one bucket earns the right to one more write. */
export function claimBucketWriteIntervalMs(zones: number): number {
    return 1000 * claimBucketCount * Math.max(1, zones) / maxClaimWritesPerSecond;
}

/** Reads a bucket's text; undefined when the text is no bucket. */
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

/** Applies `changes` in order to the claims of a bucket. */
export function applyClaimChanges(
    claims: readonly Claim[],
    changes: readonly ClaimChange[],
    now: Instant,
): BucketUpdate {
    const live = new Map(claims.filter(claim => claim.forgetAt > now).map(claim => [claim.key, claim]));
    let bytes = textOf([...live.values()]).length;
    let changed = false;
    const verdicts = changes.map<ClaimChangeOutcome>(change => {
        const verdict = judge(live.get(change.claim.key), change);
        if (verdict !== "write") {
            return verdict;
        }
        bytes += JSON.stringify(change.claim).length;
        if (bytes > maxClaimBucketBytes && !makeRoom(live, now)) {
            return { kind: "full" };
        }
        live.set(change.claim.key, change.claim);
        changed = true;
        return { kind: "held" };
    });
    return { text: changed ? textOf(dropOldOutcomes([...live.values()], now)) : undefined, outcomes: verdicts };
}

function judge(standing: Claim | undefined, change: ClaimChange): ClaimChangeOutcome | "write" {
    if (change.kind === "settle") {
        return judgeSettle(standing, change.claim);
    }
    if (standing === undefined || standing.claimId === change.replaces) {
        return "write";
    }
    return standing.claimId === change.claim.claimId ? { kind: "held" } : { kind: "taken", claim: standing };
}

function judgeSettle(standing: Claim | undefined, claim: Claim): ClaimChangeOutcome | "write" {
    if (standing?.claimId !== claim.claimId) {
        return standing === undefined ? { kind: "held" } : { kind: "taken", claim: standing };
    }
    return standing.state === claim.state ? { kind: "held" } : "write";
}

function makeRoom(live: Map<string, Claim>, now: Instant): boolean {
    for (const [key, claim] of live) {
        if (claim.outcome !== undefined) {
            live.set(key, { ...claim, outcome: undefined, dropOutcomeAt: now });
        }
    }
    return textOf([...live.values()]).length < maxClaimBucketBytes * 0.9;
}

function dropOldOutcomes(claims: readonly Claim[], now: Instant): readonly Claim[] {
    return claims.map(claim =>
        claim.dropOutcomeAt !== undefined && claim.dropOutcomeAt <= now ? { ...claim, outcome: undefined } : claim
    );
}

function textOf(claims: readonly Claim[]): string {
    return JSON.stringify({ claims });
}
