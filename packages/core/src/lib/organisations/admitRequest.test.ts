/** Tests of who is admitted while credentials are added and removed at hosts that are cut off, late or paused. */

import { expect } from "chai";
import fc from "fast-check";
import { asId, type CredentialDigest, type OrganisationId } from "../ids.js";
import {
    type AdmissionInputs,
    type AdmissionLimits,
    admitRequest,
    mayAccessJob,
    type RequestAdmission,
    revocationMarginMs,
} from "./admitRequest.js";
import { OrganisationTable } from "./OrganisationTable.js";

const limits: AdmissionLimits = { configDeadlineMs: 2000, revocationMs: 5000 };

const digest = asId<CredentialDigest>("d0");
const otherDigest = asId<CredentialDigest>("d1");
const organisation = asId<OrganisationId>("a");

/** A table in which organisation "a" has the given credentials. */
function tableFixture(credentials: readonly CredentialDigest[]): OrganisationTable {
    return new OrganisationTable([{ id: organisation, credentials, priority: 3 }]);
}

function admit(changes: Partial<AdmissionInputs>): RequestAdmission {
    return admitRequest({ table: tableFixture([digest]), route: {}, digest, proofAgeMs: 100, limits, ...changes });
}

describe("OrganisationTable", () => {
    it("finds an organisation by any of its credentials, and the first one of those with the same credential", () => {
        const table = new OrganisationTable([
            { id: organisation, credentials: [digest, otherDigest], priority: undefined },
            { id: asId<OrganisationId>("b"), credentials: [otherDigest], priority: 1 },
        ]);
        expect([digest, otherDigest, asId<CredentialDigest>("d2")].map(each => table.find(each)?.id))
            .to.deep.equal(["a", "a", undefined]);
        expect(table.get(asId<OrganisationId>("b"))?.priority).to.equal(1);
    });
});

describe("admitRequest", () => {
    it("admits a known credential with the organisation's name and priority", () => {
        expect(admit({})).to.deep.equal({ kind: "admitted", organisation: "a", priority: 3 });
    });

    it("needs no credential on public routes and without organisations, however old the configuration is", () => {
        const admitted = { kind: "admitted", organisation: undefined, priority: undefined };
        const open: readonly Partial<AdmissionInputs>[] = [{ table: undefined }, { route: { isPublic: true } }];
        for (const changes of open) {
            for (const each of [undefined, digest, otherDigest]) {
                expect(admit({ ...changes, digest: each, proofAgeMs: Infinity })).to.deep.equal(admitted);
            }
        }
    });

    // Guards against a 401 for a credential that was added while the host was cut off.
    it("refuses an unknown or missing credential for good only while the configuration is recent", () => {
        for (const each of [undefined, otherDigest]) {
            expect(admit({ digest: each, proofAgeMs: 1999 }).kind).to.equal("unknown-credential");
            expect(admit({ digest: each, proofAgeMs: 2000 }).kind).to.equal("unproven");
            expect(admit({ digest: each, proofAgeMs: Infinity }).kind).to.equal("unproven");
        }
    });

    it("refuses a known credential once its revocation may be due, and only where that is demanded", () => {
        const lastMs = 5000 - revocationMarginMs;
        expect(admit({ proofAgeMs: lastMs - 1 }).kind).to.equal("admitted");
        expect(admit({ proofAgeMs: lastMs })).to.deep.equal({ kind: "unproven", retryAfterMs: 500 });
        expect(admit({ proofAgeMs: Infinity, limits: { ...limits, revocationMs: undefined } }).kind)
            .to.equal("admitted");
    });

    /** A version of the configuration: whether it has the credential, and when the store acknowledged it. */
    interface Version {
        readonly at: number;
        readonly hasCredential: boolean;
    }

    const versions = fc.array(fc.record({ afterMs: fc.nat(6000), hasCredential: fc.boolean() }), { maxLength: 3 })
        .map(steps => {
            let at = 0;
            const list: Version[] = [{ at, hasCredential: true }];
            steps.forEach(({ afterMs, hasCredential }) => list.push({ at: at += 1 + afterMs, hasCredential }));
            return list;
        });

    interface Read {
        readonly startedAt: number;
        readonly tookMs: number;
        readonly sampledAfter: number;
        readonly pausedMs: number;
    }

    /** Reads that answer with the newest version at some time between their start and their end, in any order. */
    const reads = fc.array(
        fc.record({
            nearVersion: fc.nat(3),
            offsetMs: fc.integer({ min: -1200, max: 300 }),
            tookMs: fc.nat(1000),
            sampledAfter: fc.nat(1000),
            pausedMs: fc.nat(3000),
        }),
        { minLength: 1, maxLength: 3 },
    );

    /** The time of a request, near a bound after a change. */
    const times = fc.record({
        nearVersion: fc.nat(3),
        boundMs: fc.constantFrom(0, 2000, 5000),
        offsetMs: fc.integer({ min: -300, max: 800 }),
    });

    /** What the host has at `now`: the newest version that it read, and the latest start of a read that it had. */
    function stateAt(
        now: number,
        list: readonly Version[],
        known: readonly Read[],
    ): { readonly version: Version | undefined; readonly provenAt: number; } {
        let revision = -1;
        let provenAt = -Infinity;
        for (const { startedAt, tookMs, sampledAfter, pausedMs } of known) {
            // A pause of the process delays what follows an answer, but not the start of the read.
            if (startedAt + tookMs + pausedMs <= now) {
                const sampledAt = startedAt + Math.min(tookMs, sampledAfter);
                revision = Math.max(revision, list.findLastIndex(({ at }) => at <= sampledAt));
                provenAt = Math.max(provenAt, startedAt);
            }
        }
        return { version: list[revision], provenAt };
    }

    it("runs nothing after the bound of a revocation, and refuses no valid credential for good, in any order", () => {
        fc.assert(
            fc.property(versions, reads, times, fc.boolean(), (list, readSteps, time, isStrict) => {
                const near = (nth: number): number => list[nth % list.length]!.at;
                const known = readSteps.map(({ nearVersion, offsetMs, ...step }) => ({
                    startedAt: near(nearVersion) + offsetMs,
                    ...step,
                }));
                const now = near(time.nearVersion) + time.boundMs + time.offsetMs;
                const { version, provenAt } = stateAt(now, list, known);
                if (version === undefined) {
                    return;
                }
                const { kind } = admitRequest({
                    table: tableFixture(version.hasCredential ? [digest] : []),
                    route: {},
                    digest,
                    proofAgeMs: now - provenAt,
                    limits: { ...limits, revocationMs: isStrict ? 5000 : undefined },
                });
                const inForce = (sinceMs: number): readonly Version[] =>
                    list.filter(({ at }, nth) => at <= now && (list[nth + 1]?.at ?? Infinity) > now - sinceMs);
                if (isStrict && inForce(5000).every(each => !each.hasCredential)) {
                    expect(kind, "revoked for longer than the bound").to.not.equal("admitted");
                }
                if (inForce(limits.configDeadlineMs).every(each => each.hasCredential)) {
                    expect(kind, "valid for longer than the deadline").to.not.equal("unknown-credential");
                }
            }),
            { numRuns: 10_000, seed: 11 },
        );
    });
});

describe("mayAccessJob", () => {
    it("lets only the organisation of a job at it, and anybody at a job without one", () => {
        const other = asId<OrganisationId>("b");
        expect([organisation, other, undefined].map(each => mayAccessJob(organisation, each)))
            .to.deep.equal([true, false, false]);
        expect([organisation, undefined].map(each => mayAccessJob(undefined, each))).to.deep.equal([true, true]);
    });
});
