/** Tests of the lookup of routes and of the choice of services. */

import { expect } from "chai";
import { asId, type ConfigRevision, type RouteId, type ServiceId } from "../ids.js";
import { drawService, type Route, type RouteConfig, RouteTable } from "./RouteTable.js";

function routeFixture(id: string, host: string, prefix: string): Route {
    return {
        id: asId<RouteId>(id),
        host,
        prefix,
        kind: "idempotent",
        services: [{ service: asId<ServiceId>("a"), weight: 90 }, { service: asId<ServiceId>("b"), weight: 10 }],
        timeoutMs: 1000,
        targetLatencyMs: 200,
        priority: 0,
        maxAttempts: 1,
        resumable: false,
        taskTtlMs: 1000,
        jobTargetMs: 1000,
        singleVersion: false,
    };
}

function configFixture(routes: readonly Route[]): RouteConfig {
    return {
        revision: 1 as ConfigRevision,
        routes,
        services: [],
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
}

describe("RouteTable", () => {
    it("finds the longest prefix among the routes of the host", () => {
        const table = new RouteTable(configFixture([
            routeFixture("short", "h", "/a/"),
            routeFixture("long", "h", "/a/b/"),
            routeFixture("other", "g", "/a/b/c/"),
        ]));
        expect(table.find("h", "/a/b/c/d")?.id).to.equal("long");
        expect(table.find("h", "/a/bc")?.id).to.equal("short");
        expect(table.find("h", "/a")).to.equal(undefined);
        expect(table.find("x", "/a/b/")).to.equal(undefined);
    });

    it("chooses services by their weights", () => {
        const route = routeFixture("r", "h", "/");
        expect([0, 0.89, 0.91, 0.999].map(draw => drawService(route, draw))).to.deep.equal(["a", "a", "b", "b"]);
    });
});
