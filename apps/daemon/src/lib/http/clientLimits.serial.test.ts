/**
 * Tests that the daemon outlives clients that do not stay within its limits: one test a kind of client, at each path of
 * its servers. They guard against a process that ends or hangs, that needs more memory or descriptors than its host has, or
 * that serves nobody afterwards. They check no times. Each runs alone; the crowd stays connected while ordinary requests
 * are sent.
 */

import {
    type CrowdClient,
    type CrowdPlace,
    crowds,
    Fleet,
    fleetToken,
    type OrdinaryRequest,
    readUsage,
    sendUntilAnswered,
    settle,
} from "@tamarackpath/standins";
import { expect } from "chai";

const testTimeoutMs = 180_000;

/** Memory of the smallest host, a tenth of its descriptors, and the services' limit of a body. */
const limits = { memoryMegabytes: 210, descriptors: 256, maxBodyBytes: 8 * 1024 * 1024 } as const;
const maxPeakBytes = limits.memoryMegabytes * 1024 * 1024;

/** Sizes of the heap as in deploy/system.toml. */
const heapOptions = "--max-old-space-size=110 --max-semi-space-size=4";

const deskToken = { authorization: `Bearer ${fleetToken.desk}` };
const trainerToken = { authorization: `Bearer ${fleetToken.trainer}` };

interface DaemonPorts {
    readonly callers: number;
    readonly operators: number;
}

function placesOf({ callers, operators }: DaemonPorts): readonly CrowdPlace[] {
    const calls = "/v1/services/desk/calls/orders";
    return [
        { name: "a routed path", port: callers, method: "POST", path: calls, headers: deskToken },
        { name: "a routed path without a token", port: callers, method: "POST", path: calls },
        { name: "a path without a route", port: callers, method: "POST", path: "/nowhere" },
        {
            name: "the path for new steps",
            port: callers,
            method: "PUT",
            path: "/v1/services/rollouts/steps/s-1",
            headers: trainerToken,
        },
        { name: "the ready address", port: callers, method: "GET", path: "/readyz" },
        { name: "the metrics", port: operators, method: "GET", path: "/metrics" },
        { name: "the dump without the secret", port: operators, method: "GET", path: "/v1/dump" },
    ];
}

function ordinaryRequests({ callers, operators }: DaemonPorts): readonly OrdinaryRequest[] {
    return [
        { port: callers, path: "/v1/services/desk/calls/quotes/gravel", headers: deskToken, status: 200 },
        { port: callers, path: "/readyz", status: 200 },
        { port: operators, path: "/metrics", status: 200 },
    ];
}

describe("The daemon and clients outside its limits", function() {
    this.timeout(testTimeoutMs);
    const { NODE_OPTIONS } = process.env;
    let fleet: Fleet;
    let pid: number;
    let ports: DaemonPorts;
    let clients: readonly CrowdClient[] = [];

    beforeEach(async () => {
        process.env["NODE_OPTIONS"] = heapOptions;
        fleet = await Fleet.start({
            zones: ["leon"],
            hostsPerZone: 1,
            enginesPerZone: 0,
            plainPerZone: 1,
            extraSettings: () =>
                `[limits]\nmemory_mb = ${limits.memoryMegabytes}\nmax_descriptors = ${limits.descriptors}`,
        });
        const daemon = fleet.daemon("leon-1");
        pid = daemon.pid!;
        const portOf = (url: string): number => Number(new URL(url).port);
        ports = { callers: portOf(daemon.callerUrl), operators: portOf(daemon.operatorUrl) };
        await Promise.all(ordinaryRequests(ports).map(sendUntilAnswered));
    });

    afterEach(async () => {
        if (NODE_OPTIONS === undefined) {
            delete process.env["NODE_OPTIONS"];
        }
        else {
            process.env["NODE_OPTIONS"] = NODE_OPTIONS;
        }
        clients.forEach(client => client.close());
        await fleet.close();
    });

    for (const [kind, open] of Object.entries(crowds)) {
        it(`outlives ${kind}`, async () => {
            let peakDescriptors = 0;
            const observe = (): void => {
                peakDescriptors = Math.max(peakDescriptors, readUsage(pid).descriptors);
            };
            for (const place of placesOf(ports)) {
                clients = open(place, limits);
                await settle(clients, observe);
                await Promise.all(ordinaryRequests(ports).map(sendUntilAnswered));
                observe();
                expect(readUsage(pid).peakBytes, `memory at ${place.name}`).to.be.at.most(maxPeakBytes);
                expect(peakDescriptors, `descriptors at ${place.name}`).to.be.at.most(limits.descriptors);
                clients.forEach(client => client.close());
            }
        });
    }
});
