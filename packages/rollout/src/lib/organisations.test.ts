/** Tests of organisations over several hosts: revocation at a host that is cut off, and access to jobs on each path. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    admitRequest,
    after,
    asId,
    type ConfigRevision,
    type CredentialDigest,
    type HostId,
    type Job,
    type JobId,
    jobKeys,
    type Organisation,
    type OrganisationId,
    type RequestAdmission,
    type RouteConfig,
} from "@tamarackpath/core";
import { expect } from "chai";
import { pack } from "msgpackr";
import { HostView } from "./HostView.js";
import { noopJournal } from "./Journal.js";
import {
    engineService,
    type Fleet,
    fleetJobFixture,
    plainService,
    startFleet,
    targetFixture,
} from "./rolloutFleetFixtures.test.js";
import { type RolloutHost } from "./RolloutHost.js";

const clock = createMonotonicClock();

const owner = asId<OrganisationId>("owner");
const stranger = asId<OrganisationId>("stranger");
const ownerKey = asId<CredentialDigest>("d0");
const strangerKey = asId<CredentialDigest>("d1");
const unknownKey = asId<CredentialDigest>("d2");

const limits = { configDeadlineMs: 800, revocationMs: 1500 };

/** Milliseconds within which a changed configuration is in force at hosts that are not cut off. */
const applyMs = 1200;

/** Milliseconds within which a host that is cut off from all targets sends through another one. */
const relayMs = 5000;

/** The configuration that the store holds, and which hosts are cut off from it. */
interface StoredConfig {
    revision: number;
    organisations: readonly Organisation[];
    readonly cut: Set<HostId>;
}

function storedFixture(): StoredConfig {
    const organisations = [
        { id: owner, credentials: [ownerKey], priority: 4 },
        { id: stranger, credentials: [strangerKey], priority: undefined },
    ];
    return { revision: 1, organisations, cut: new Set() };
}

function startOrganisedFleet(
    stored: StoredConfig,
    options: Partial<Parameters<typeof startFleet>[1]> = {},
): Promise<Fleet> {
    return startFleet(clock, {
        hosts: 3,
        targets: [
            targetFixture("a", engineService),
            targetFixture("b", plainService),
            targetFixture("c", plainService),
        ],
        behaviour: () => ({ ms: 20, rateLimit: { kind: "none" } }),
        configOf: base => ({
            ...base,
            revision: stored.revision as ConfigRevision,
            organisations: stored.organisations,
        }),
        isStoreCut: host => stored.cut.has(host),
        ...options,
    });
}

function revoke(stored: StoredConfig, credential: CredentialDigest): void {
    stored.revision++;
    stored.organisations = stored.organisations.map(each => ({
        ...each,
        credentials: each.credentials.filter(own => own !== credential),
    }));
}

function admitAt({ view }: RolloutHost, digest: CredentialDigest): RequestAdmission["kind"] {
    const proofAgeMs = view.configProvenAt === undefined ? Infinity : clock.now() - view.configProvenAt;
    return admitRequest({ table: view.routes?.organisations, route: {}, digest, proofAgeMs, limits }).kind;
}

describe("Credentials that are revoked", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    // Guards against a request that runs with a revoked credential, and a 401 that the host cannot be sure of.
    it("are refused in time at a host that is cut off, which gives no final refusal until it is back", async () => {
        const stored = storedFixture();
        fleet = await startOrganisedFleet(stored);
        const conductor = fleet.conductor()!;
        const cutNumber = fleet.hosts.findIndex(host => host !== conductor);
        const cutHost = fleet.hosts[cutNumber]!;
        /** Records proofs as hosts do that read the store or receive the time of a read, at those that are not cut off. */
        const proveFor = async (ms: number): Promise<void> => {
            for (const until = after(clock.now(), ms); clock.now() < until; await fleet.pause(50)) {
                for (const host of fleet.hosts) {
                    const isNewest = host.view.routes?.config.revision === stored.revision as ConfigRevision;
                    if (isNewest && !(host === cutHost && stored.cut.size > 0)) {
                        host.view.recordConfigProof(clock.now());
                    }
                }
            }
        };
        await proveFor(200);
        expect(fleet.hosts.map(host => admitAt(host, ownerKey))).to.deep.equal(["admitted", "admitted", "admitted"]);
        expect(admitAt(cutHost, unknownKey)).to.equal("unknown-credential");

        stored.cut.add(asId<HostId>(`h${cutNumber}`));
        fleet.setCut(cutNumber, true);
        revoke(stored, ownerKey);
        const revokedAt = clock.now();
        await proveFor(applyMs);
        expect(fleet.hosts.filter(host => host !== cutHost).map(host => admitAt(host, ownerKey)))
            .to.deep.equal(["unknown-credential", "unknown-credential"]);
        expect(admitAt(cutHost, unknownKey), "unknown, at the cut host").to.equal("unproven");
        await proveFor(revokedAt + limits.revocationMs - clock.now());
        expect(admitAt(cutHost, ownerKey), "revoked, at the cut host").to.equal("unproven");
        expect(admitAt(cutHost, strangerKey), "valid, at the cut host").to.equal("unproven");
        const elsewhere = fleet.hosts.filter(host => host !== cutHost);
        expect(elsewhere.map(host => admitAt(host, strangerKey))).to.deep.equal(["admitted", "admitted"]);

        stored.cut.clear();
        fleet.setCut(cutNumber, false);
        await proveFor(2 * applyMs);
        expect([ownerKey, strangerKey].map(key => admitAt(cutHost, key))).to.deep.equal([
            "unknown-credential",
            "admitted",
        ]);
    });
});

describe("HostView", () => {
    // Guards against hosts that need no credential after an upgrade, because the conductor did not know organisations.
    it("takes the organisations of the configuration that it got without them, and does not drop them again", () => {
        const view = new HostView(clock, noopJournal);
        const limitsOfCallers = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
        const earlier = { revision: 3 as ConfigRevision, routes: [], services: [], limits: limitsOfCallers };
        const config = { ...earlier, organisations: storedFixture().organisations };
        const apply = (read: RouteConfig): boolean => {
            view.applyOperator({ config: read, versions: [], retiring: [] }, "conductor");
            return view.routes?.organisations?.find(ownerKey) !== undefined;
        };
        expect([apply(earlier), apply(config), apply(earlier), apply({ ...config, revision: 2 as ConfigRevision })])
            .to.deep.equal([false, true, true, true]);
    });
});

describe("Calls of organisations", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    it("tell each target the organisation: the first one, those of repeats, and those reached through a peer", async () => {
        const cut = new Set<HostId>();
        let failures = 1;
        fleet = await startOrganisedFleet(storedFixture(), {
            cutOf: host => cut.has(host) ? "refused" : undefined,
            behaviour: () => ({
                ms: 20,
                rateLimit: { kind: "none" },
                call: () => failures-- > 0 ? { kind: "unknown", detail: "reset" } : undefined,
            }),
        });
        await fleet.call(0, { organisation: owner });
        cut.add(asId<HostId>("h0"));
        const sendsOf = (): Fleet["arrivals"] => fleet.arrivals.filter(({ path }) => path === "send");
        // The host finds out that it is cut off by calls that fail, and hears of others that reach targets with its view.
        for (const until = after(clock.now(), relayMs); clock.now() < until; await fleet.pause(30)) {
            await fleet.call(0, { organisation: owner });
            if (sendsOf().some(({ host }) => host !== asId<HostId>("h0"))) {
                break;
            }
        }
        const sends = sendsOf();
        expect(new Set(sends.map(({ id }) => id)).size, "repeats").to.be.below(sends.length);
        expect(new Set(sends.map(({ host }) => host)).size, "hosts that sent").to.be.above(1);
        expect(new Set(sends.map(({ organisation }) => organisation))).to.deep.equal(new Set([owner]));
    });
});

describe("Jobs of organisations", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    const id = asId<JobId>("job");

    function jobFixture(size = 2, organisation: OrganisationId | undefined = owner): Job {
        return { ...fleetJobFixture("job", size), organisation };
    }

    /** The hosts by the path on which their calls about jobs are answered. */
    function hostsByPath(): Readonly<Record<"conductor" | "follower" | "store", RolloutHost>> {
        const conductor = fleet.conductor()!;
        const [follower, alone] = fleet.hosts.filter(host => host !== conductor);
        // Without a link to the conductor, the host asks the store.
        fleet.setCut(fleet.hosts.indexOf(alone!), true);
        return { conductor, follower: follower!, store: alone! };
    }

    async function readAs(host: RolloutHost, organisation: OrganisationId | undefined): Promise<string> {
        const page = (await host.jobCalls.read(id, 0, 0, organisation)).unsafeCoerce();
        return "unknown" in page ? "unknown" : "page";
    }

    async function bodyAs(host: RolloutHost, organisation: OrganisationId | undefined): Promise<string> {
        const found = (await host.jobCalls.body(id, asId("job-0"), organisation)).unsafeCoerce();
        return "unknown" in found ? "unknown" : "body";
    }

    async function endAs(host: RolloutHost, organisation: OrganisationId | undefined): Promise<string> {
        const res = (await host.jobCalls.end(id, organisation)).unsafeCoerce();
        return "unknown" in res ? "unknown" : "ended";
    }

    const submitAs = async (host: RolloutHost, organisation: OrganisationId | undefined): Promise<string> =>
        (await host.jobCalls.submit({ ...jobFixture(), organisation }, after(clock.now(), 3000))).outcome;

    for (const path of ["conductor", "follower", "store"] as const) {
        // Guards against a path on which another organisation reads, ends or replaces a job.
        it(`are unknown to others by way of the ${path}, while open and once ended`, async () => {
            fleet = await startOrganisedFleet(storedFixture(), {
                behaviour: () => ({ ms: 60_000, rateLimit: { kind: "none" } }),
            });
            expect(await fleet.submit(jobFixture())).to.equal("kept");
            const host = hostsByPath()[path];
            const denied = ["unknown", "unknown", "unknown", "other-owner"];
            const askAs = (other: OrganisationId | undefined): Promise<readonly string[]> =>
                Promise.all([readAs(host, other), bodyAs(host, other), endAs(host, other), submitAs(host, other)]);
            expect(await Promise.all([askAs(stranger), askAs(undefined)])).to.deep.equal([denied, denied]);
            expect(await readAs(host, owner)).to.equal("page");
            expect(await bodyAs(host, owner)).to.equal("body");
            expect(await submitAs(host, owner)).to.equal("kept");
            expect(await endAs(host, owner)).to.equal("ended");
            expect(await Promise.all([askAs(stranger), askAs(undefined)])).to.deep.equal([denied, denied]);
            expect(await readAs(host, owner)).to.equal("page");
            expect(await submitAs(host, owner)).to.equal("ended");
        });
    }

    // Guards against a final 404 for the owner, at a host of earlier software, which names no organisation.
    it("are not denied by the conductor to a host that names no organisation, which reads the store", async () => {
        fleet = await startOrganisedFleet(storedFixture(), {
            behaviour: () => ({ ms: 60_000, rateLimit: { kind: "none" } }),
        });
        expect(await fleet.submit(jobFixture())).to.equal("kept");
        const { follower } = hostsByPath();
        const get = fleet.store.get.bind(fleet.store);
        let reads = 0;
        fleet.store.get = (key, ...rest) => {
            reads += key === jobKeys.open(id) ? 1 : 0;
            return get(key, ...rest);
        };
        expect([await readAs(follower, stranger), reads]).to.deep.equal(["unknown", 0]);
        expect([await readAs(follower, undefined), reads]).to.deep.equal(["unknown", 1]);
        expect([await bodyAs(follower, undefined), reads]).to.deep.equal(["unknown", 2]);
        expect([await endAs(follower, undefined), reads]).to.deep.equal(["unknown", 3]);
    });

    it("run with their organisation and its priority, also once it is removed from the configuration", async () => {
        const stored = storedFixture();
        fleet = await startOrganisedFleet(stored, {
            behaviour: () => ({ ms: 400, rateLimit: { kind: "none" } }),
        });
        await fleet.submit(jobFixture(20));
        const priorityNow = (): number | undefined => fleet.conductor()!["scheduler"].get(id)?.terms.priority;
        expect(priorityNow(), "the organisation's priority").to.equal(4);
        stored.revision++;
        stored.organisations = [];
        await fleet.pause(applyMs);
        expect(priorityNow(), "the route's priority").to.equal(1);
        await fleet.pause(1500);
        const runs = fleet.arrivals.filter(({ path }) => path === "run");
        expect(runs.length, "runs").to.equal(20);
        expect(new Set(runs.map(({ organisation }) => organisation))).to.deep.equal(new Set([owner]));
        expect(await readAs(fleet.hosts[0]!, owner)).to.equal("page");
        expect(await readAs(fleet.hosts[1]!, stranger)).to.equal("unknown");
    });

    it("are open to all where earlier software stored them or their end, and keep no organisation", async () => {
        fleet = await startOrganisedFleet(storedFixture());
        const earlier = { ...fleetJobFixture("job", 1), organisation: undefined };
        await fleet.store.commit({
            expected: [],
            puts: [{ key: jobKeys.open(id), value: pack({ id, parts: 0, job: earlier }) }],
            removes: [],
        });
        const host = hostsByPath().conductor;
        expect(await submitAs(host, stranger)).to.equal("kept");
        expect([await readAs(host, owner), await readAs(host, stranger)]).to.deep.equal(["page", "page"]);
        await fleet.pause(300);
        expect(fleet.arrivals.find(({ path }) => path === "run")?.organisation).to.equal(undefined);
        const ended = asId<JobId>("ended");
        await fleet.store.commit({
            expected: [],
            puts: [{ key: jobKeys.ended(ended), value: pack({ total: 1, endedAt: Date.now() }) }],
            removes: [],
        });
        expect((await host.jobCalls.read(ended, 0, 0, stranger)).unsafeCoerce()).to.include({ total: 1 });
    });
});
