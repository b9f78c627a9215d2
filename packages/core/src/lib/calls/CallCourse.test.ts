/** Tests of what may be repeated, by kind of route, and of when "not run" may be said. */

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

function courseFixture(kind: RouteKind, changes: Partial<Route> = {}): CallAttempts {
    const course = new CallAttempts(routeFixture(kind, changes), 1000 as Instant);
    course.recordStart(asId<TargetId>("a"));
    return course;
}

describe("CallCourse", () => {
    it("repeats an idempotent call after any failure until its attempts are used up", () => {
        const course = courseFixture("idempotent");
        expect(course.recordEnd({ kind: "unknown" })).to.equal("retry");
        course.recordStart(asId<TargetId>("b"));
        expect(course.recordEnd({ kind: "unknown" })).to.equal("end-unknown");
    });

    it("never repeats a call that must run once, unless it surely did not run", () => {
        expect(courseFixture("non-idempotent").recordEnd({ kind: "unknown" })).to.equal("end-unknown");
        expect(courseFixture("non-idempotent").recordEnd({ kind: "not-run" })).to.equal("retry");
        expect(courseFixture("streaming").recordEnd({ kind: "unknown" })).to.equal("end-unknown");
        expect(courseFixture("streaming", { resumable: true }).recordEnd({ kind: "unknown" })).to.equal("retry");
    });

    it("does not count targets that did not run the call as attempts", () => {
        const course = courseFixture("non-idempotent", { maxAttempts: 1 });
        for (let nth = 0; nth < 5; nth++) {
            expect(course.recordEnd({ kind: "not-run" })).to.equal("retry");
            expect(course.mayHaveRun).to.equal(false);
            course.recordStart(asId<TargetId>(`t${nth}`));
        }
    });

    it("tries another target for an idempotent call that failed there, and delivers the failure of the last one", () => {
        const course = courseFixture("idempotent");
        expect(course.recordEnd({ kind: "answered", status: 500 })).to.equal("retry");
        course.recordStart(asId<TargetId>("b"));
        expect(course.recordEnd({ kind: "answered", status: 500 })).to.equal("deliver");
        expect(courseFixture("non-idempotent").recordEnd({ kind: "answered", status: 500 })).to.equal("deliver");
    });

    it("waits for an attempt under way when the other one fails", () => {
        const course = courseFixture("idempotent");
        course.recordStart(asId<TargetId>("b"));
        expect(course.canHedge).to.equal(false);
        expect(course.recordEnd({ kind: "unknown" })).to.equal("wait");
        expect(course.recordEnd({ kind: "answered", status: 200 })).to.equal("deliver");
    });
});
