/** Tests of what may be repeated by kind of route, and of when a call may end as "not run". */

import { expect } from "chai";
import { asId, type Instant, type RouteId, type TargetId } from "../ids.js";
import { CallAttempts } from "./CallAttempts.js";
import { type Route, type RouteKind } from "./RouteTable.js";

function routeFixture(kind: RouteKind, changes: Partial<Route> = {}): Route {
    return {
        id: asId<RouteId>("r"),
        host: "h",
        prefix: "/",
        kind,
        services: [],
        timeoutMs: 1000,
        targetLatencyMs: 200,
        priority: 0,
        maxAttempts: 2,
        resumable: false,
        taskTtlMs: 1000,
        jobTargetMs: 1000,
        singleVersion: false,
        ...changes,
    };
}

function attemptsFixture(kind: RouteKind, changes: Partial<Route> = {}): CallAttempts {
    const attempts = new CallAttempts(routeFixture(kind, changes), 1000 as Instant);
    attempts.recordStart(asId<TargetId>("a"));
    return attempts;
}

describe("CallAttempts", () => {
    it("repeats an idempotent call after any failure until its attempts are used up", () => {
        const attempts = attemptsFixture("idempotent");
        expect(attempts.recordEnd({ kind: "unknown" })).to.equal("retry");
        attempts.recordStart(asId<TargetId>("b"));
        expect(attempts.recordEnd({ kind: "unknown" })).to.equal("end-unknown");
    });

    it("never repeats a non-idempotent call unless it is certain that it did not run", () => {
        expect(attemptsFixture("non-idempotent").recordEnd({ kind: "unknown" })).to.equal("end-unknown");
        expect(attemptsFixture("non-idempotent").recordEnd({ kind: "not-run" })).to.equal("retry");
        expect(attemptsFixture("streaming").recordEnd({ kind: "unknown" })).to.equal("end-unknown");
        expect(attemptsFixture("streaming", { resumable: true }).recordEnd({ kind: "unknown" })).to.equal("retry");
    });

    it("does not count attempts that did not run the call", () => {
        const attempts = attemptsFixture("non-idempotent", { maxAttempts: 1 });
        for (let nth = 0; nth < 5; nth++) {
            expect(attempts.recordEnd({ kind: "not-run" })).to.equal("retry");
            expect(attempts.mayHaveRun).to.equal(false);
            attempts.recordStart(asId<TargetId>(`t${nth}`));
        }
    });

    it("tries another target for an idempotent call after a status 500, and delivers the last failure", () => {
        const attempts = attemptsFixture("idempotent");
        expect(attempts.recordEnd({ kind: "answered", status: 500 })).to.equal("retry");
        attempts.recordStart(asId<TargetId>("b"));
        expect(attempts.recordEnd({ kind: "answered", status: 500 })).to.equal("deliver");
        expect(attemptsFixture("non-idempotent").recordEnd({ kind: "answered", status: 500 })).to.equal("deliver");
    });

    it("waits for the attempt in flight when the other one fails", () => {
        const attempts = attemptsFixture("idempotent");
        attempts.recordStart(asId<TargetId>("b"));
        expect(attempts.canHedge).to.equal(false);
        expect(attempts.recordEnd({ kind: "unknown" })).to.equal("wait");
        expect(attempts.recordEnd({ kind: "answered", status: 200 })).to.equal("deliver");
    });
});
