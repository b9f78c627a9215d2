/** Tests of claim buckets. */

import { expect } from "chai";
import { type HostId, type Incarnation, type Instant } from "../ids.js";
import { type Claim, type ClaimChange } from "./Claim.js";
import {
    applyClaimChanges,
    claimBucketCount,
    claimBucketIndex,
    claimBucketWriteIntervalMs,
    maxClaimBucketBytes,
    maxClaimWritesPerSecond,
    parseClaimBucket,
} from "./ClaimBucket.js";

const now = 1000 as Instant;

function createClaim(claimId: string, fields: Partial<Claim> = {}): Claim {
    return {
        key: "k",
        claimId,
        host: "leon-1" as HostId,
        incarnation: 1 as Incarnation,
        fingerprint: "f",
        state: "claimed",
        forgetAt: 2000 as Instant,
        ...fields,
    };
}

function createChange(claim: Claim, replaces?: string): ClaimChange {
    return { kind: "claim", claim, replaces };
}

describe("claim buckets", () => {
    it("accepts the first claim on a key only", () => {
        const { text, outcomes } = applyClaimChanges([], [
            createChange(createClaim("a")),
            createChange(createClaim("b")),
            createChange(createClaim("c", { key: "other" })),
        ], now);
        expect(outcomes.map(outcome => outcome.kind)).to.deep.equal(["held", "taken", "held"]);
        expect(parseClaimBucket(text)!.map(claim => claim.claimId)).to.deep.equal(["a", "c"]);
    });

    it("recognises its own claim after a lost response and writes nothing", () => {
        const { text, outcomes } = applyClaimChanges([createClaim("a")], [createChange(createClaim("a"))], now);
        expect(outcomes).to.deep.equal([{ kind: "held" }]);
        expect(text).to.equal(undefined);
    });

    it("replaces only the claim that the change names", () => {
        const replaced = applyClaimChanges([createClaim("a")], [createChange(createClaim("b"), "a")], now);
        expect(replaced.outcomes).to.deep.equal([{ kind: "held" }]);
        const refused = applyClaimChanges([createClaim("c")], [createChange(createClaim("b"), "a")], now);
        expect(refused.outcomes[0]!.kind).to.equal("taken");
    });

    it("settles only the stored claim and does not change a later one", () => {
        const settled = createClaim("a", { state: "answered" });
        const late = applyClaimChanges([createClaim("b")], [{ kind: "settle", claim: settled }], now);
        expect(late.text).to.equal(undefined);
        const due = applyClaimChanges([createClaim("a")], [{ kind: "settle", claim: settled }], now);
        expect(parseClaimBucket(due.text)![0]!.state).to.equal("answered");
    });

    it("drops expired claims and outcomes", () => {
        const outcome = { status: 200, headers: {}, bodyBase64: "eA==" };
        const old = createClaim("a", { forgetAt: now });
        const answered = createClaim("b", { key: "l", state: "answered", outcome, dropOutcomeAt: now });
        const { text } = applyClaimChanges([old, answered], [createChange(createClaim("c"))], now);
        const claims = parseClaimBucket(text)!;
        expect(claims.map(claim => claim.claimId)).to.deep.equal(["b", "c"]);
        expect(claims[0]!.outcome).to.equal(undefined);
    });

    it("keeps to its maximum size: drops outcomes first, then refuses further claims", () => {
        const outcome = { status: 200, headers: {}, bodyBase64: "A".repeat(8000) };
        let claims: readonly Claim[] = [];
        let refused = 0;
        let isOutcomeDropped = false;
        for (let nth = 0; refused === 0; nth += 50) {
            const changes = Array.from(
                { length: 50 },
                (unused, offset) =>
                    createChange(
                        createClaim(`c${nth + offset}`, { key: `k${nth + offset}`, state: "answered", outcome }),
                    ),
            );
            const { text, outcomes } = applyClaimChanges(claims, changes, now);
            refused = outcomes.filter(outcome => outcome.kind === "full").length;
            claims = parseClaimBucket(text) ?? claims;
            isOutcomeDropped ||= claims.some(claim => claim.outcome === undefined);
            expect((text ?? "").length).to.be.at.most(maxClaimBucketBytes);
        }
        expect(isOutcomeDropped).to.equal(true);
        expect(claims.length).to.be.greaterThan(1000);
    });

    // Guards against a bucket that the key-value service refuses, so that none of its keys is ever claimed.
    it("counts its size in bytes, also when outcomes have headers in other scripts", () => {
        const outcome = { status: 200, headers: { "x-note": "石".repeat(2000) }, bodyBase64: "" };
        let claims: readonly Claim[] = [];
        for (let nth = 0; nth < 300; nth++) {
            const claim = createClaim(`c${nth}`, { key: `k${nth}`, state: "answered", outcome });
            const { text } = applyClaimChanges(claims, [createChange(claim)], now);
            expect(Buffer.byteLength(text ?? "")).to.be.at.most(maxClaimBucketBytes);
            claims = parseClaimBucket(text)!;
        }
    });

    it("returns undefined for a text that is not a bucket", () => {
        expect(parseClaimBucket("{")).to.equal(undefined);
        expect(parseClaimBucket("{\"claims\":[{}]}")).to.equal(undefined);
        expect(parseClaimBucket(undefined)).to.deep.equal([]);
    });

    it("limits the writes of all zones together", () => {
        for (const zones of [1, 3, 4, 18]) {
            const perSecond = 1000 / claimBucketWriteIntervalMs(zones) * zones * claimBucketCount;
            expect(perSecond).to.be.closeTo(maxClaimWritesPerSecond, 1e-6);
        }
    });

    it("distributes keys over all buckets", () => {
        const used = new Set(Array.from({ length: 1000 }, (unused, nth) => claimBucketIndex(`key-${nth}`)));
        expect(used.size).to.equal(claimBucketCount);
    });
});
