/**
 * Model test of request permits: hosts that are cut off, restarted or updated late, conductors that change, responses that
 * are lost, and targets that restart with another limit.
 */

import {
    after,
    asId,
    type HostId,
    type Incarnation,
    type Instant,
    type PeerHandler,
    type PeerNetwork,
    type PeerRequestName,
    type RateLimitStatement,
    type ServiceId,
    sleepUntil,
    type TargetEntryView,
} from "@tamarackpath/core";
import { expect } from "chai";
import Emittery from "emittery";
import fc from "fast-check";
import { Left, Right } from "purify-ts";
import { type ConductorEvents } from "./ConductorTask.js";
import { noopJournal } from "./Journal.js";
import { RequestPermits } from "./RequestPermits.js";
import { targetFixture } from "./rolloutFleetFixtures.test.js";
import { createSteppingClock, settle, type SteppingClock } from "./steppingClock.test.js";

const windowMs = 4000;
const stableMs = 3000;
const hostCount = 5;

interface ModelHost {
    readonly id: HostId;
    permits: RequestPermits;
    events: Emittery<ConductorEvents>;
    isCut: boolean;
    /** When it was last cut off, healed or restarted. */
    disturbedAt: number;
    pulled: number;
}

interface Sent {
    readonly host: ModelHost;
    readonly at: number;
}

/** Five hosts, one of which conducts, and a target with a limit. */
class Model {
    readonly clock: SteppingClock = createSteppingClock(0.001);
    readonly hosts: ModelHost[] = [];
    readonly sent: Sent[] = [];
    private readonly handlers = new Map<HostId, Map<string, PeerHandler<PeerRequestName>>>();
    private conductor = 0;
    private conductorChangedAt = 0;
    private incarnation = 1;
    perSecond = 2;
    limitChangedAt = 0;

    constructor() {
        for (let nth = 0; nth < hostCount; nth++) {
            const id = asId<HostId>(`h${nth}`);
            const events = new Emittery<ConductorEvents>();
            const host = { id, events, isCut: false, disturbedAt: 0, pulled: -1 } as unknown as ModelHost;
            this.hosts.push(host);
            host.permits = this.createPermits(host);
        }
    }

    get entry(): TargetEntryView {
        const entry = targetFixture("t", asId<ServiceId>("s"));
        return { ...entry, incarnation: this.incarnation as Incarnation };
    }

    async call(nth: number, isAnswerLost: boolean): Promise<void> {
        const host = this.hosts[nth]!;
        const { entry, clock } = this;
        const { permits } = host;
        const sentAt = clock.now();
        if (permits.isLimited(entry)) {
            const outcome = await permits.acquire([entry], "f", after(clock.now(), 90));
            if (outcome.kind === "refused") {
                return;
            }
            await sleepUntil(clock, outcome.at);
            expect(outcome.permit.isValid(clock.now())).to.equal(true);
        }
        else {
            permits.take(entry, "f");
        }
        this.sent.push({ host, at: clock.now() });
        if (!isAnswerLost) {
            const rateLimit: RateLimitStatement = { kind: "limit", perSecond: this.perSecond };
            permits.recordResponse({ target: entry, sentAt, rateLimit });
        }
    }

    /** Every host pulls from the conductor, as by its long poll. */
    pull(): void {
        const source = this.hosts[this.conductor]!;
        for (const host of this.hosts) {
            if (host !== source && !host.isCut && !source.isCut) {
                host.permits.adoptReports(source.permits.changesSince(host.pulled));
                host.permits.setHostCount(hostCount);
                host.pulled = source.permits.revision;
            }
        }
    }

    setCut(nth: number, isCut: boolean): void {
        const host = this.hosts[nth]!;
        host.isCut = isCut;
        host.disturbedAt = this.clock.now();
    }

    restart(nth: number): void {
        const host = this.hosts[nth]!;
        host.events = new Emittery();
        host.permits = this.createPermits(host);
        host.pulled = -1;
        host.disturbedAt = this.clock.now();
    }

    changeConductor(nth: number): void {
        this.conductor = nth;
        this.conductorChangedAt = this.clock.now();
        this.hosts.forEach(host => {
            host.pulled = -1;
            void host.events.emit("conductor", this.hosts[nth]!.id);
        });
    }

    restartTarget(perSecond: number): void {
        this.incarnation++;
        this.perSecond = perSecond;
        this.limitChangedAt = this.clock.now();
    }

    /** Checks the platform's rule for the windows that neither a change of the target nor a new conductor touches. */
    check(): void {
        const now = this.clock.now();
        const stableFrom = Math.max(this.limitChangedAt, this.conductorChangedAt) + stableMs;
        const starts = this.sent.map(({ at }) => at).filter(at => at >= stableFrom && at <= now);
        for (const start of starts) {
            const counted = this.sent.filter(({ host, at }) =>
                at >= start && at < start + windowMs && host.disturbedAt + stableMs < start
            );
            expect(counted.length, `from ${start}`).to.be.at.most(1.5 * this.perSecond * windowMs / 1000 + 5);
        }
    }

    private createPermits(host: ModelHost): RequestPermits {
        const own = new Map<string, PeerHandler<PeerRequestName>>();
        this.handlers.set(host.id, own);
        const conductorId = (): HostId => this.hosts[this.conductor]!.id;
        const conductor = {
            get conductor() {
                return conductorId();
            },
            get isSure() {
                return conductorId() === host.id;
            },
            events: host.events,
        };
        const peers = {
            handle: (name: string, handler: PeerHandler<PeerRequestName>) => own.set(name, handler),
            ask: async (to: HostId, name: string, ask: never, deadline: Instant) => {
                const peer = this.hosts.find(({ id }) => id === to)!;
                if (host.isCut || peer.isCut) {
                    await sleepUntil(this.clock, deadline);
                    return Left({ reason: "no-answer", detail: "cut" });
                }
                return Right(await this.handlers.get(to)!.get(name)!(ask, host.id));
            },
        } as unknown as PeerNetwork;
        return new RequestPermits(conductor, peers, this.clock, noopJournal);
    }
}

const host = fc.nat(hostCount - 1);
const steps: Record<string, fc.Arbitrary<(model: Model) => unknown>> = {
    calls: fc.tuple(fc.array(host, { minLength: 1, maxLength: 12 }), fc.boolean()).map(([hosts, isLost]) => model => {
        hosts.forEach(nth => void model.call(nth, isLost && nth === 0));
    }),
    cut: fc.tuple(host, fc.boolean()).map(([nth, isCut]) => model => model.setCut(nth, isCut)),
    restart: host.map(nth => model => model.restart(nth)),
    conductor: host.map(nth => model => model.changeConductor(nth)),
    target: fc.constantFrom(0.5, 1, 2, 6).map(perSecond => model => model.restartTarget(perSecond)),
};
const step = fc.oneof(
    { weight: 60, arbitrary: steps["calls"]! },
    { weight: 3, arbitrary: steps["cut"]! },
    { weight: 2, arbitrary: steps["restart"]! },
    { weight: 1, arbitrary: steps["conductor"]! },
    { weight: 1, arbitrary: steps["target"]! },
);

describe("RequestPermits", () => {
    it("keep hosts in touch within the limit, whatever is cut off, restarted or lost", async function() {
        this.timeout(60_000);
        const schedule = fc.array(fc.tuple(step, fc.integer({ min: 1, max: 300 })), { minLength: 60, maxLength: 200 });
        await fc.assert(
            fc.asyncProperty(schedule, async moves => {
                const model = new Model();
                for (const [move, waitMs] of moves) {
                    move(model);
                    await model.clock.advance(waitMs);
                    model.pull();
                }
                await model.clock.advance(1000);
                model.check();
            }),
            { numRuns: 40 },
        );
    });

    it("permit one request to a target whose limit no response has confirmed for long, although others have room", async () => {
        const model = new Model();
        const [first, second] = model.hosts;
        await Promise.all([model.call(1, false), model.clock.advance(10)]);
        model.pull();
        expect(second!.permits.isUnconfirmed(model.entry)).to.equal(false);
        await model.clock.advance(11_000);
        expect(second!.permits.isUnconfirmed(model.entry)).to.equal(true);
        const now = model.clock.now();
        const trials = await Promise.all(
            [0, 1, 2].map(nth => model.hosts[nth]!.permits.acquire([model.entry], "f", now, true)),
        );
        expect(trials.filter(({ kind }) => kind === "permitted").length).to.be.within(1, 2);
        first!.permits.recordResponse({ target: model.entry, sentAt: now, rateLimit: { kind: "none" } });
        await settle();
        model.pull();
        expect(model.hosts.map(({ permits }) => permits.isLimited(model.entry))).to.not.include(true);
    });
});
