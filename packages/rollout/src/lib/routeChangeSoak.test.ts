/**
 * A random soak of accepted jobs: routes and services are moved, removed and brought back while conductors resign and all hosts
 * are started anew. Each accepted job is listed whole, as failed only where its service was gone, and its results stay as they were listed.
 * TAMARACK_SEEDS sets the seeds.
 */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    after,
    type ConfigRevision,
    type Job,
    jobKeys,
    type RouteConfig,
    seededRandom,
    type TaskResult,
} from "@tamarackpath/core";
import { expect } from "chai";
import {
    engineService,
    type Fleet,
    fleetJobFixture,
    FleetStore,
    plainService,
    startFleet,
    targetFixture,
} from "./rolloutFleetFixtures.test.js";

const clock = createMonotonicClock();

const taskCount = 24;

/** Milliseconds of one run; the two engines have four slots each. */
const runMs = 120;

/** Number of random actions of a seed. */
const actionCount = 24;

/** Milliseconds after the last action within which all jobs are listed. */
const settleMs = 12_000;

type ConfigChange = (routes: RouteConfig["routes"], services: RouteConfig["services"]) => Partial<RouteConfig>;

/** Changes of the jobs' route in the first configuration. */
const changes: Record<string, ConfigChange> = {
    "first": () => ({}),
    "another prefix": routes => ({ routes: mapJobs(routes, route => [{ ...route, prefix: "/other/" }]) }),
    "another host": routes => ({ routes: mapJobs(routes, route => [{ ...route, host: "other" }]) }),
    "no route": routes => ({ routes: mapJobs(routes, () => []) }),
    "shorter route": routes => ({
        routes: mapJobs(routes, route => [{
            ...route,
            prefix: "/",
            kind: "idempotent",
            services: [{ service: plainService, weight: 1 }],
        }]),
    }),
    "no service": (routes, services) => ({
        routes: mapJobs(routes, () => []),
        services: services.filter(({ id }) => id !== engineService),
    }),
};

function mapJobs(
    routes: RouteConfig["routes"],
    change: (route: RouteConfig["routes"][number]) => RouteConfig["routes"],
): RouteConfig["routes"] {
    return routes.flatMap(route => route.kind === "jobs" ? change(route) : [route]);
}

interface AcceptedJob {
    readonly job: Job;
    /** Whether its service may have been gone since it was accepted. */
    mayFail: boolean;
    listed: readonly TaskResult[];
}

/** One seed: the fleet, what the operator configured and what was accepted. */
class RouteChangeRun {
    private readonly random: () => number;
    private readonly store = new FleetStore(clock);
    private readonly accepted: AcceptedJob[] = [];
    private readonly resigned = new Set<number>();
    private readonly strayArrivals: string[] = [];
    private change: ConfigChange = changes["first"]!;
    private revision = 1;
    private serial = 0;
    private fleet: Fleet | undefined;

    private readonly actions: readonly (readonly [weight: number, act: () => Promise<void>])[] = [
        [8, () => this.submit()],
        [8, () => this.configure()],
        [4, () => this.resign()],
        [3, () => this.startAnew()],
        [6, () => this.readAll()],
    ];

    constructor(seed: number) {
        this.random = seededRandom(seed);
    }

    async play(): Promise<void> {
        await this.start();
        try {
            for (let nth = 0; nth < actionCount; nth++) {
                let draw = this.random() * this.actions.reduce((sum, [weight]) => sum + weight, 0);
                const [, act] = this.actions.find(([weight]) => (draw -= weight) < 0)!;
                await act();
                await this.fleet!.pause(20 + this.random() * 250);
            }
            const until = after(clock.now(), settleMs);
            while (clock.now() < until && this.accepted.some(({ listed }) => listed.length < taskCount)) {
                await this.readAll();
                await this.fleet!.pause(100);
            }
            this.check();
        }
        finally {
            this.stop();
        }
    }

    private check(): void {
        for (const { job, mayFail, listed } of this.accepted) {
            expect(listed.map(({ task }) => task).sort(), job.id).to.deep.equal(job.tasks.map(({ id }) => id).sort());
            const failed = listed.filter(({ state }) => state === "failed");
            expect(mayFail ? [] : failed, `${job.id} failed though its service was there`).to.deep.equal([]);
        }
        expect(this.strayArrivals, "tasks at another service").to.deep.equal([]);
    }

    private async start(): Promise<void> {
        this.resigned.clear();
        this.fleet = await startFleet(clock, {
            hosts: 4,
            targets: [
                targetFixture("e1", engineService, 4),
                targetFixture("e2", engineService, 4),
                targetFixture("p1", plainService),
            ],
            behaviour: () => ({ ms: runMs, rateLimit: { kind: "none" } }),
            configOf: base => ({
                ...base,
                ...this.change(base.routes, base.services),
                revision: this.revision as ConfigRevision,
            }),
            store: this.store,
        });
    }

    private stop(): void {
        const strays = this.fleet?.arrivals.filter(({ path, target }) => path === "run" && target === "p1") ?? [];
        this.strayArrivals.push(...strays.map(({ id }) => id));
        this.fleet?.stop();
    }

    /** A random host that has not resigned. */
    private get host(): Fleet["hosts"][number] {
        const hosts = this.fleet!.hosts.filter((unused, nth) => !this.resigned.has(nth));
        return hosts[Math.floor(this.random() * hosts.length)]!;
    }

    private async submit(): Promise<void> {
        const { host } = this;
        const job = fleetJobFixture(`j${++this.serial}`, taskCount);
        // A front refuses requests without a route.
        if (host.view.routes?.find(job.host, job.path)?.kind !== "jobs") {
            return;
        }
        const entry: AcceptedJob = { job, mayFail: this.change === changes["no service"], listed: [] };
        const { outcome } = await host.jobCalls.submit(job, after(clock.now(), 2000));
        if (outcome === "kept") {
            this.accepted.push(entry);
        }
    }

    private async configure(): Promise<void> {
        const kinds = Object.values(changes);
        this.change = kinds[Math.floor(this.random() * kinds.length)]!;
        this.revision++;
        if (this.change === changes["no service"]) {
            this.accepted.forEach(entry => entry.mayFail = true);
        }
    }

    /** The conductor resigns; at least two hosts stay. */
    private async resign(): Promise<void> {
        const conductor = this.fleet!.hosts.findIndex(({ conductor: { isConductor } }) => isConductor);
        if (conductor >= 0 && this.resigned.size < 2) {
            this.resigned.add(conductor);
            await this.fleet!.hosts[conductor]!.resign();
        }
    }

    /** All hosts are lost, and their claim with them. */
    private async startAnew(): Promise<void> {
        this.stop();
        await this.store.commit({ expected: [], puts: [], removes: [jobKeys.claim] });
        await this.start();
    }

    /** Reads all jobs at random hosts; what was listed before is listed again at its position. */
    private async readAll(): Promise<void> {
        for (const entry of this.accepted) {
            const page = (await this.host.jobCalls.read(entry.job.id, 0, 0)).toMaybe().extract();
            if (page === undefined || "unknown" in page) {
                expect(page, `${entry.job.id} is not known`).to.equal(undefined);
                continue;
            }
            const both = Math.min(entry.listed.length, page.results.length);
            expect(page.results.slice(0, both)).to.deep.equal(entry.listed.slice(0, both));
            entry.listed = page.results.length > entry.listed.length ? page.results : entry.listed;
        }
    }
}

/** Seeds as `FIRST-LAST` or as one number. */
function seedsFrom(text: string): readonly number[] {
    const [first = 1, last = first] = text.split("-").map(Number);
    return Array.from({ length: last - first + 1 }, (unused, nth) => first + nth);
}

describe("Accepted jobs under random changes of routes and conductors", () => {
    for (const seed of seedsFrom(process.env["TAMARACK_SEEDS"] ?? "3-6")) {
        it(`are listed whole, seed ${seed}`, async function() {
            this.timeout(60_000);
            await new RouteChangeRun(seed).play();
        });
    }
});
