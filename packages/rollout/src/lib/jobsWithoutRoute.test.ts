/** Tests that accepted jobs are carried out after their route is gone, or given up where they cannot be, by any conductor. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    type ConfigRevision,
    type Job,
    jobKeys,
    type ResultPage,
    type RouteConfig,
    type TaskResult,
} from "@tamarackpath/core";
import { expect } from "chai";
import { pack } from "msgpackr";
import {
    engineService,
    type Fleet,
    fleetJobFixture,
    type FleetOptions,
    FleetStore,
    plainService,
    startFleet,
    targetFixture,
} from "./rolloutFleetFixtures.test.js";

const clock = createMonotonicClock();

const taskCount = 48;

/** Milliseconds of one run; the two engines have four slots each. */
const runMs = 400;

/** Configurations in which the jobs' route is gone, by what the operator did. */
const removals: Record<string, (base: RouteConfig) => RouteConfig> = {
    "another prefix": base => changeJobsRoute(base, route => [{ ...route, prefix: "/other/" }]),
    "another virtual host": base => changeJobsRoute(base, route => [{ ...route, host: "other" }]),
    "no route at all": base => changeJobsRoute(base, () => []),
    "a shorter route of another service": base =>
        changeJobsRoute(base, route => [{
            ...route,
            prefix: "/",
            kind: "idempotent",
            services: [{ service: plainService, weight: 1 }],
        }]),
};

function changeJobsRoute(
    base: RouteConfig,
    change: (route: RouteConfig["routes"][number]) => RouteConfig["routes"],
): RouteConfig {
    return {
        ...base,
        revision: base.revision + 1 as ConfigRevision,
        routes: base.routes.flatMap(route => route.kind === "jobs" ? change(route) : [route]),
    };
}

function withoutService(base: RouteConfig): RouteConfig {
    const removed = removals["no route at all"]!(base);
    return { ...removed, services: removed.services.filter(({ id }) => id !== engineService) };
}

interface ChangingFleet extends Fleet {
    /** Puts the configuration that `change` makes of the first one in force at all hosts. */
    readonly configure: (change: (base: RouteConfig) => RouteConfig) => Promise<void>;
}

async function fleetFixture(options: Partial<FleetOptions> = {}): Promise<ChangingFleet> {
    let changeConfig = options.configOf ?? (base => base);
    const fleet = await startFleet(clock, {
        hosts: 2,
        lateHostsWithoutCallers: 0,
        targets: [
            targetFixture("e1", engineService, 4),
            targetFixture("e2", engineService, 4),
            targetFixture("p1", plainService),
        ],
        behaviour: () => ({ ms: runMs, rateLimit: { kind: "none" } }),
        ...options,
        configOf: base => changeConfig(base),
    });
    return {
        ...fleet,
        configure: async change => {
            changeConfig = change;
            const next = fleet.hosts[0]!.view.routes!.config.revision + 1;
            while (fleet.hosts.some(({ view }) => view.routes!.config.revision < next)) {
                await fleet.pause(20);
            }
        },
    };
}

/** The results of a job once all are listed, or those listed when `ms` milliseconds have passed. */
async function resultsOf(fleet: Fleet, { id }: Job, ms: number): Promise<readonly TaskResult[]> {
    const until = clock.now() + ms;
    for (;;) {
        const page = (await fleet.conductor()?.jobCalls.read(id, 0, 100))?.toMaybe().extract();
        const { results = [], total = 0 } = page !== undefined && "results" in page ? page : {} as Partial<ResultPage>;
        if (results.length === total && total > 0 || clock.now() >= until) {
            return results;
        }
        await fleet.pause(50);
    }
}

const states = (results: readonly TaskResult[]): readonly string[] => results.map(({ state }) => state);
const all = (state: TaskResult["state"]): readonly string[] => Array.from({ length: taskCount }, () => state);

describe("accepted jobs whose route is gone", () => {
    let fleet: ChangingFleet;

    afterEach(() => fleet.stop());

    for (const [name, remove] of Object.entries(removals)) {
        // Guards against accepted jobs that no task of runs any more once another host conducts.
        it(`are carried out by the next conductor, with ${name}`, async function() {
            this.timeout(20_000);
            fleet = await fleetFixture();
            const job = fleetJobFixture("job", taskCount);
            expect(await fleet.submit(job)).to.equal("kept");
            await fleet.configure(remove);
            await fleet.conductor()!.resign();
            const results = await resultsOf(fleet, job, 8000);
            expect(states(results)).to.deep.equal(all("completed"));
            expect(fleet.arrivals.filter(({ target }) => target === "p1")).to.deep.equal([]);
        });
    }

    it("go on at the conductor that ran them, and not at the service of a shorter route", async function() {
        this.timeout(20_000);
        fleet = await fleetFixture();
        const job = fleetJobFixture("job", taskCount);
        await fleet.submit(job);
        await fleet.configure(removals["a shorter route of another service"]!);
        expect(states(await resultsOf(fleet, job, 8000))).to.deep.equal(all("completed"));
        expect(fleet.arrivals.filter(({ target }) => target === "p1")).to.deep.equal([]);
    });

    it("are carried out after a cold start of all hosts", async function() {
        this.timeout(20_000);
        const first = await fleetFixture();
        const job = fleetJobFixture("job", taskCount);
        await first.submit(job);
        first.stop();
        fleet = await fleetFixture({ store: first.store, configOf: removals["no route at all"]! });
        expect(states(await resultsOf(fleet, job, 8000))).to.deep.equal(all("completed"));
    });

    // Guards against tasks that wait until they expire although nothing can run them.
    it("are given up at once when their service is gone with the route", async function() {
        this.timeout(20_000);
        fleet = await fleetFixture();
        const job = fleetJobFixture("job", taskCount);
        await fleet.submit(job);
        await fleet.configure(withoutService);
        const results = await resultsOf(fleet, job, 4000);
        expect(results.filter(({ state }) => state === "failed")).to.have.length.above(0);
        expect(results).to.have.length(taskCount);
    });

    it("are given up by the next conductor when their service is gone with the route", async function() {
        this.timeout(20_000);
        fleet = await fleetFixture({ targets: [] });
        const job = fleetJobFixture("job", taskCount);
        await fleet.submit(job);
        await fleet.configure(withoutService);
        await fleet.conductor()!.resign();
        expect(states(await resultsOf(fleet, job, 6000))).to.deep.equal(all("failed"));
    });

    it("are given up when earlier software has stored them without their terms", async function() {
        this.timeout(30_000);
        const store = new FleetStore(clock);
        const job = fleetJobFixture("job", taskCount);
        await store.commit({
            expected: [],
            puts: [{ key: jobKeys.open(job.id), value: pack({ id: job.id, parts: 0, job }) }],
            removes: [],
        });
        fleet = await fleetFixture({ store, configOf: removals["no route at all"]! });
        expect(states(await resultsOf(fleet, job, 25_000))).to.deep.equal(all("failed"));
    });
});
