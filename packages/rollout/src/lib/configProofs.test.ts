/**
 * Tests what hosts take for proof that their configuration is current, with view tasks on a simulated clock. Guards against
 * hosts that accept a revoked credential because a message was late, a process was paused, or the conductor is cut off.
 */

import {
    after,
    asId,
    type Clock,
    type ConductorView,
    type ConfigRevision,
    type HostId,
    type Instant,
    type KeyRevision,
    type OperatorView,
    type PeerNetwork,
    type PeerRequests,
    type PlatformDocuments,
    sleepUntil,
} from "@tamarackpath/core";
import { expect } from "chai";
import Emittery from "emittery";
import * as fc from "fast-check";
import { type Either, Left, Right } from "purify-ts";
import { type ConductorTask } from "./ConductorTask.js";
import { HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";
import { crashGuardFixture, permitsFixture, viewOptionsFixture } from "./permitsFixtures.test.js";
import { defaultRolloutSettings } from "./RolloutSettings.js";
import { createSteppingClock } from "./steppingClock.test.js";
import { ViewTask } from "./ViewTask.js";

type PullHandler = (
    ask: PeerRequests["view-pull"]["ask"],
    from: HostId,
) => Promise<Either<unknown, ConductorView>>;

const revocationMs = 5000;
/** Default time within which a changed configuration must be in force; an unknown credential gets 401 at younger proofs only. */
const configDeadlineMs = 2000;
const conductorId = asId<HostId>("conductor");

/** Faults and delays of a simulation. */
interface Conditions {
    /** Times at which a new configuration becomes the newest one, and whether it can be decoded. */
    readonly changes: readonly { readonly at: number; readonly isReadable: boolean; }[];
    /** Milliseconds of each way of a call or message, used in turn. */
    readonly delays: readonly number[];
    /** Periods in which a host neither acts nor reads; host 0 conducts. */
    readonly pauses: readonly { readonly host: number; readonly from: number; readonly ms: number; }[];
    readonly restarts: readonly number[];
    /** Times from which a host is cut off from the store. */
    readonly storeCuts: readonly { readonly host: number; readonly from: number; }[];
    /** When the conductor ceases to answer. */
    readonly silentFrom: number;
    readonly isConductorOfEarlierSoftware: boolean;
    /** Milliseconds within which a revoked credential must be refused; undefined if that is not demanded. */
    readonly revocationMs: number | undefined;
}

const calm: Conditions = {
    changes: [],
    delays: [2],
    pauses: [],
    restarts: [],
    storeCuts: [],
    silentFrom: Infinity,
    isConductorOfEarlierSoftware: false,
    revocationMs,
};

interface SimulatedHost {
    readonly number: number;
    readonly view: HostView;
    readonly task: ViewTask;
    /** What this host's clock is ahead of the simulation's. */
    readonly offset: number;
    readonly pull: PullHandler;
    /** Answers a host that asks for the conductor. */
    readonly tell: () => Promise<unknown>;
}

function operatorFixture(revision: number | undefined): OperatorView {
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    return {
        config: revision === undefined
            ? undefined
            : { revision: revision as ConfigRevision, routes: [], services: [], limits, organisations: [] },
        versions: [],
        retiring: [],
    };
}

function followerId(number: number): HostId {
    return asId<HostId>(`follower-${number}`);
}

/** A conductor and two followers. */
class Simulation {
    readonly clock = createSteppingClock(0);
    /** Reads of the operators' documents by each host. */
    readonly reads = [0, 0, 0];
    readonly hosts: SimulatedHost[];
    private readonly errors: unknown[] = [];
    private readonly journal: Journal = {
        log: (event, fields) => void (event === "unexpected-error" && this.errors.push(fields)),
    };
    private delayNumber = 0;
    private fence = 1;

    constructor(private readonly conditions: Conditions) {
        this.hosts = [0, 1, 2].map(number => this.createHost(number));
    }

    /** Runs until `until`, and calls `check` every 20 ms. */
    async run(until: number, check: (host: SimulatedHost, now: number) => void = () => undefined): Promise<void> {
        const restarts = [...this.conditions.restarts].sort((a, b) => a - b);
        while (this.clock.now() < until) {
            await this.clock.advance(20);
            if (restarts[0] !== undefined && restarts[0] <= this.clock.now()) {
                restarts.shift();
                this.hosts[0]!.task.stop();
                this.fence++;
                this.hosts[0] = this.createHost(0);
            }
            this.hosts.forEach(host => check(host, this.clock.now()));
        }
    }

    /** Stops all hosts; an unexpected error in one of their loops fails the test. */
    stop(): void {
        this.hosts.forEach(({ task }) => task.stop());
        expect(this.errors).to.deep.equal([]);
    }

    /** Time from which the configuration of `revision` is not the newest any more. */
    supersededAt(revision: number): number {
        return this.conditions.changes[revision]?.at ?? Infinity;
    }

    /** The proof of a host, by the simulation's clock. */
    provenAt({ view, offset }: SimulatedHost): number {
        return (view.configProvenAt ?? -Infinity) - offset;
    }

    /** Passes one way of a message or call of a host. */
    private async way(host: number): Promise<void> {
        const { delays } = this.conditions;
        const ms = delays[this.delayNumber++ % delays.length]!;
        await sleepUntil(this.clock, after(this.clock.now(), ms));
        await this.awake(host);
    }

    private async awake(host: number): Promise<void> {
        const now = this.clock.now();
        const pause = this.conditions.pauses.find(each =>
            each.host === host && each.from <= now && now < each.from + each.ms
        );
        if (pause !== undefined) {
            await sleepUntil(this.clock, after(pause.from as Instant, pause.ms));
        }
    }

    /** Revision of the newest document, counted from 0. */
    private newest(): number {
        return this.conditions.changes.filter(({ at }) => at <= this.clock.now()).length;
    }

    private documentsOf(number: number): PlatformDocuments {
        let seen = -1;
        const isCut = (): boolean =>
            this.conditions.storeCuts.some(({ host, from }) => host === number && from <= this.clock.now());
        const read = async (waitMs: number): Promise<Either<never, OperatorView>> => {
            await this.way(number);
            const until = this.clock.now() + waitMs;
            while (this.newest() === seen && this.clock.now() < until) {
                await sleepUntil(this.clock, after(this.clock.now(), 10));
            }
            const revision = this.newest();
            const isReadable = revision === 0 || this.conditions.changes[revision - 1]!.isReadable;
            await this.way(number);
            if (isCut()) {
                seen = -1;
                return Left({ applied: "no", detail: "cut" } as never);
            }
            seen = revision;
            return Right(operatorFixture(isReadable ? revision : undefined));
        };
        return {
            readOperator: () => {
                this.reads[number]!++;
                return read(0);
            },
            awaitOperatorChange: (waitMs: number) => read(seen < 0 ? 0 : waitMs),
            readTargets: async () => Right([]),
        } as unknown as PlatformDocuments;
    }

    private createHost(number: number): SimulatedHost {
        const offset = number * 1_000_000;
        const clock: Clock = {
            now: () => after(this.clock.now(), offset),
            callAt: (at, run) => this.clock.callAt(after(at, -offset), () => void this.awake(number).then(run)),
        };
        const handlers = new Map<string, PullHandler>();
        const peers = {
            handle: (name: string, handler: PullHandler) => handlers.set(name, handler),
            setAddress: () => undefined,
            ask: async (asked: HostId, name: string, body: PeerRequests["view-pull"]["ask"]) => {
                const other = name === "conductor-ask"
                    ? this.hosts.find(host => asked === followerId(host.number))
                    : undefined;
                if (other !== undefined) {
                    await this.way(other.number);
                    const answer = await other.tell();
                    await this.way(number);
                    return Right(answer);
                }
                await this.way(0);
                if (name !== "view-pull" || this.clock.now() >= this.conditions.silentFrom) {
                    await sleepUntil(this.clock, after(this.clock.now(), 1000));
                    return Left({ reason: "no-answer", detail: name });
                }
                const res = await this.hosts[0]!.pull(body, followerId(number));
                await this.way(number);
                return Right(this.conditions.isConductorOfEarlierSoftware ? res.map(withoutProof) : res);
            },
        } as unknown as PeerNetwork;
        const fence = this.fence as KeyRevision;
        const isConductor = number === 0;
        const conductor = {
            conductor: conductorId,
            isConductor,
            isSure: isConductor,
            events: new Emittery(),
            term: { currentClaim: isConductor ? { fence } : undefined },
            recordTerm: () => true,
            confirmedConductor: conductorId,
            adoptReportedConductor: () => undefined,
            adoptReportedSuccessor: () => undefined,
            lookUpClaim: async () => true,
        } as unknown as ConductorTask;
        const view = new HostView(clock, this.journal);
        const task = new ViewTask(
            viewOptionsFixture({
                settings: { ...defaultRolloutSettings, revocationMs: this.conditions.revocationMs },
            }),
            view,
            conductor,
            permitsFixture(peers, clock),
            crashGuardFixture(peers, clock),
            this.documentsOf(number),
            peers,
            clock,
            this.journal,
        );
        task.start();
        return {
            number,
            view,
            task,
            offset,
            pull: (...args) => handlers.get("view-pull")!(...args),
            tell: async () => (handlers.get("conductor-ask") as unknown as () => Promise<unknown>)(),
        };
    }
}

/** What a host of earlier software answers: it knows neither proofs nor organisations. */
function withoutProof({ number, ageMs, content, limits, crashes }: ConductorView): ConductorView {
    const config = content?.operator.config && { ...content.operator.config, organisations: undefined };
    const known = content && { ...content, operator: { ...content.operator, config } };
    return { number, ageMs, content: known, ...(limits && { limits }), ...(crashes && { crashes }) };
}

const instant = fc.integer({ min: 0, max: 9000 });
const faulty: fc.Arbitrary<Conditions> = fc.record({
    changes: fc.array(fc.record({ at: instant, isReadable: fc.boolean() }), { maxLength: 5 })
        .map(changes => changes.sort((a, b) => a.at - b.at)),
    delays: fc.array(fc.integer({ min: 1, max: 900 }), { minLength: 1, maxLength: 12 }),
    pauses: fc.array(
        fc.record({ host: fc.nat(2), from: instant, ms: fc.integer({ min: 50, max: 4000 }) }),
        { maxLength: 3 },
    ),
    restarts: fc.array(instant, { maxLength: 3 }),
    storeCuts: fc.array(fc.record({ host: fc.nat(2), from: instant }), { maxLength: 2 }),
    silentFrom: fc.oneof(instant, fc.constant(Infinity)),
    isConductorOfEarlierSoftware: fc.boolean(),
    revocationMs: fc.constant(revocationMs),
});

describe("The proof that a configuration is current", () => {
    it("is never later than a time at which the store still held that configuration as the newest", async () => {
        let proofs = 0;
        const check = async (conditions: Conditions): Promise<void> => {
            const simulation = new Simulation(conditions);
            await simulation.run(10_000, host => {
                const { routes, configProvenAt } = host.view;
                proofs += configProvenAt === undefined ? 0 : 1;
                if (configProvenAt !== undefined) {
                    expect(simulation.provenAt(host)).to.be.at.most(simulation.supersededAt(routes!.config.revision));
                }
            });
            simulation.stop();
        };
        await fc.assert(fc.asyncProperty(faulty, check), { numRuns: 25 });
        expect(proofs).to.be.at.least(1000);
    }).timeout(60_000);

    // Guards against 503 instead of 401 for unknown credentials in normal operation, and against an outage of the store that
    // meets proofs that have almost expired.
    it("stays younger than a change may take at all hosts, without own reads, while the conductor reads", async () => {
        for (const conditions of [calm, { ...calm, delays: [20] }, { ...calm, revocationMs: undefined }]) {
            const simulation = new Simulation(conditions);
            await simulation.run(3000);
            const readsBefore = simulation.reads[1]! + simulation.reads[2]!;
            let oldest = 0;
            await simulation.run(20_000, (host, now) => {
                oldest = Math.max(oldest, now - simulation.provenAt(host));
            });
            simulation.stop();
            expect(oldest).to.be.below(configDeadlineMs);
            expect(simulation.reads[1]! + simulation.reads[2]!).to.equal(readsBefore);
        }
    });

    it("ages at the followers of a conductor that is cut off from the store", async () => {
        const storeCuts = [0, 1, 2].map(host => ({ host, from: 6000 }));
        const simulation = new Simulation({ ...calm, storeCuts });
        await simulation.run(16_000);
        simulation.stop();
        simulation.hosts.forEach(host => expect(simulation.provenAt(host)).to.be.at.most(6000));
    });

    it("is renewed by at most one read a second where the conductor is silent, cut off or of earlier software", async () => {
        const silent: Conditions = { ...calm, silentFrom: 4000 };
        const cutOff: Conditions = { ...calm, storeCuts: [{ host: 0, from: 4000 }] };
        for (const conditions of [silent, cutOff, { ...calm, isConductorOfEarlierSoftware: true }]) {
            const simulation = new Simulation(conditions);
            let oldest = 0;
            await simulation.run(4000);
            const readsBefore = simulation.reads[1]!;
            await simulation.run(16_000, (host, now) => {
                oldest = Math.max(oldest, host.number === 0 ? 0 : now - simulation.provenAt(host));
            });
            simulation.stop();
            expect(oldest).to.be.at.most(revocationMs - 500);
            expect(simulation.reads[1]! - readsBefore).to.be.within(1, 13);
        }
    });

    // Guards against hosts that need no credential, since a conductor of earlier software passes organisations on to nobody.
    // Guards against 503 at hosts that the store turns away while another host reads it.
    it("reaches the conductor and other hosts without the store through a host that reads it", async () => {
        const storeCuts = [0, 1].map(host => ({ host, from: 4000 }));
        const simulation = new Simulation({ ...calm, storeCuts });
        const oldest = [0, 0, 0];
        await simulation.run(3000);
        await simulation.run(16_000, (host, now) => {
            oldest[host.number] = Math.max(oldest[host.number]!, now - simulation.provenAt(host));
        });
        simulation.stop();
        expect(Math.max(...oldest), oldest.join()).to.be.below(revocationMs - 500);
    });

    it("comes with the organisations that a conductor of earlier software leaves out, at one read for each change", async () => {
        const changes = [4000, 8000].map(at => ({ at, isReadable: true }));
        const earlier: Conditions = { ...calm, isConductorOfEarlierSoftware: true, revocationMs: undefined, changes };
        const simulation = new Simulation(earlier);
        const open: number[] = [];
        await simulation.run(11_000, ({ number, view }, now) => {
            if (now > 500 && !view.hasOrganisations) {
                open.push(number);
            }
        });
        simulation.stop();
        expect(open).to.deep.equal([]);
        expect(simulation.hosts.map(({ view }) => view.routes?.config.revision)).to.deep.equal([2, 2, 2]);
        expect(simulation.reads[1]).to.be.within(3, 4);
    });

    it("is not given by a document that cannot be decoded", async () => {
        const simulation = new Simulation({ ...calm, changes: [{ at: 5000, isReadable: false }] });
        await simulation.run(12_000);
        simulation.stop();
        simulation.hosts.forEach(host => {
            expect(host.view.routes?.config.revision).to.equal(0);
            expect(simulation.provenAt(host)).to.be.at.most(5000);
        });
    });
});
