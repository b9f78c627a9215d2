/** Tests of what becomes of an accepted job under the configurations that hosts may have. */

import { expect } from "chai";
import { type Route, type RouteConfig, type RouteKind, RouteTable } from "../calls/RouteTable.js";
import { asId, type ConfigRevision, type Instant, type RouteId, type ServiceId } from "../ids.js";
import { jobFixture, termsFixture } from "./jobFixtures.test.js";
import { decideTerms, type JobFate, termsByRoute } from "./JobTerms.js";

const [engines, plain] = [asId<ServiceId>("s"), asId<ServiceId>("plain")];

const job = jobFixture([], { submittedAt: 1000 as Instant });

function routeFixture(kind: RouteKind, service: ServiceId, prefix = "/p/"): Route {
    return {
        id: asId<RouteId>(kind),
        host: "h",
        prefix,
        kind,
        services: [{ service, weight: 1 }],
        timeoutMs: 1000,
        targetLatencyMs: 200,
        priority: 2,
        maxAttempts: 4,
        resumable: false,
        taskTtlMs: 40_000,
        jobTargetMs: 7000,
        singleVersion: true,
    };
}

function tableFixture(revision: number, routes: readonly Route[], services = [engines, plain]): RouteTable {
    const config: RouteConfig = {
        revision: revision as ConfigRevision,
        routes,
        services: services.map(id => ({ id, healthPath: "/", maxConnections: 1, engine: undefined })),
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
    return new RouteTable(config);
}

const accepted = termsFixture({ configRevision: 5 as ConfigRevision });
const jobsRoute = routeFixture("jobs", engines);

/** What becomes of a job: the configuration, whether it is proven to be newer, the terms that are known, and the fate. */
const cases: Record<string, readonly [RouteTable | undefined, boolean, typeof accepted | undefined, JobFate["kind"]]> =
    {
        "runs by its route": [tableFixture(6, [jobsRoute]), true, accepted, "by-route"],
        "runs by a route that came after an older one was removed": [
            tableFixture(7, [routeFixture("jobs", plain)]),
            true,
            accepted,
            "by-route",
        ],
        "runs on its terms without a route": [tableFixture(6, []), true, accepted, "by-known-terms"],
        "runs on its terms where only a route for other requests matches": [
            tableFixture(6, [routeFixture("idempotent", plain, "/")]),
            true,
            accepted,
            "by-known-terms",
        ],
        "runs on its terms where the configuration is older": [tableFixture(4, []), false, accepted, "by-known-terms"],
        "runs on its terms where an older configuration has another service": [
            tableFixture(4, [routeFixture("jobs", plain)]),
            false,
            accepted,
            "by-known-terms",
        ],
        "runs on its terms where its service is not configured yet": [
            tableFixture(4, [], [plain]),
            false,
            accepted,
            "by-known-terms",
        ],
        "is over when its service is gone as well": [tableFixture(6, [], [plain]), true, accepted, "over"],
        "waits for the configuration": [undefined, false, accepted, "undecided"],
        "waits without terms until the configuration is known to be as new": [
            tableFixture(6, []),
            false,
            undefined,
            "undecided",
        ],
        "is over without terms and route": [tableFixture(6, []), true, undefined, "over"],
    };

describe("An accepted job", () => {
    for (const [name, [routes, isNewer, known, kind]] of Object.entries(cases)) {
        it(name, () => expect(decideTerms(job, known, routes, isNewer).kind).to.equal(kind));
    }

    it("takes its terms from its route", () => {
        expect(termsByRoute(job, tableFixture(6, [jobsRoute]))).to.deep.equal({
            configRevision: 6,
            service: engines,
            maxAttempts: 4,
            priority: 2,
            singleVersion: true,
            expiresAt: 41_000,
            dueAt: 8000,
        });
    });

    it("keeps its terms without a route", () => {
        const fate = decideTerms(job, accepted, tableFixture(6, []), true);
        expect(fate).to.deep.equal({ kind: "by-known-terms", terms: accepted });
    });

    it("has expired once it is over", () => {
        const fates = [accepted, undefined].map(known => decideTerms(job, known, tableFixture(6, [], [plain]), true));
        expect(fates.map(fate => fate.kind === "over" && fate.terms.expiresAt)).to.deep.equal([0, 0]);
    });
});
