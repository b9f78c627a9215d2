/** Tests of membership and of facts about leaving targets, with simulated hosts that exchange messages under faults. */

import { type HostId, type Incarnation, type TargetId, toLeavingFact } from "@tamarackpath/core";
import { expect } from "chai";
import fc from "fast-check";
import { MembershipSimulation } from "./MembershipSimulation.js";

const defaultRunCount = 60;
const runCount = Number(process.env["TAMARACK_RUNS"] ?? defaultRunCount);
const convergenceTimeoutMs = 60_000;
const target = "engine-1" as TargetId;

type Action = (simulation: MembershipSimulation, host: HostId, other: HostId) => void;

/** Actions on the simulation. None of them may lower the highest known incarnation of a leaving target. */
const actions: Readonly<Record<string, Action>> = {
    kill: (simulation, host) => simulation.kill(host),
    restart: (simulation, host) => {
        simulation.kill(host);
        simulation.start(host);
    },
    pause: (simulation, host) => simulation.pause(host),
    resume: (simulation, host) => simulation.resume(host),
    partition: (simulation, host, other) => simulation.partition(host, other),
    clearFaults: simulation => simulation.clearFaults(),
    loseMessages: simulation => {
        simulation.faults.lossRate = 0.3;
    },
    duplicateMessages: simulation => {
        simulation.faults.duplicateRate = 0.5;
    },
    reorderMessages: simulation => {
        simulation.faults.maxDelayMs = 600;
    },
    leave: (simulation, host) => simulation.handleEvent(simulation.get(host), { kind: "leave" }),
};

interface SimulationStep {
    readonly action: string;
    readonly host: number;
    readonly other: number;
    readonly advanceMs: number;
    readonly drainsTarget: boolean;
}

const simulationStep: fc.Arbitrary<SimulationStep> = fc.record({
    action: fc.constantFrom(...Object.keys(actions)),
    host: fc.nat(5),
    other: fc.nat(5),
    advanceMs: fc.nat(4000),
    drainsTarget: fc.boolean(),
});

function createConverged(count: number, seed = 1): MembershipSimulation {
    const simulation = new MembershipSimulation(seed);
    simulation.startAll(count);
    advanceUntil(simulation, () => simulation.isConverged(), convergenceTimeoutMs);
    simulation.advance(5000);
    return simulation;
}

/** Advances the time until `condition` is true or `maxMs` have passed, and returns the milliseconds that passed. */
function advanceUntil(simulation: MembershipSimulation, condition: () => boolean, maxMs: number): number {
    const start = simulation.now;
    while (!condition() && simulation.now - start < maxMs) {
        simulation.advance(50);
    }
    return simulation.now - start;
}

describe("membership of a zone", () => {
    for (const count of [2, 3, 4, 16, 80]) {
        it(`converges when ${count} hosts start at once`, () => {
            const simulation = new MembershipSimulation(1);
            simulation.startAll(count);
            expect(advanceUntil(simulation, () => simulation.isConverged(), convergenceTimeoutMs)).to.be.below(
                convergenceTimeoutMs,
            );
        });

        it(`removes a killed host from the views of ${count} hosts and adds it again after its restart`, () => {
            const simulation = createConverged(count);
            const lost = MembershipSimulation.id(0);
            simulation.kill(lost);
            expect(advanceUntil(simulation, () => simulation.isConverged(), convergenceTimeoutMs), "detection").to.be
                .below(convergenceTimeoutMs);
            simulation.start(lost);
            expect(advanceUntil(simulation, () => simulation.isConverged(), convergenceTimeoutMs), "return").to.be
                .below(convergenceTimeoutMs);
        });
    }

    it("keeps a host in every view while it cannot reach one other host", () => {
        const simulation = createConverged(5);
        simulation.partition(MembershipSimulation.id(0), MembershipSimulation.id(1));
        for (let times = 0; times < 100; times++) {
            simulation.advance(300);
            expect(simulation.isConverged()).to.equal(true);
        }
    });

    it("suspects no other host after a pause of the host itself", () => {
        const simulation = createConverged(8);
        simulation.pause(MembershipSimulation.id(0));
        simulation.advance(30_000);
        simulation.resume(MembershipSimulation.id(0));
        expect(simulation.get(MembershipSimulation.id(0)).machine.live).to.have.length(8);
        simulation.advance(2000);
        expect(simulation.get(MembershipSimulation.id(0)).machine.live).to.have.length(8);
    });

    it("merges the views of two halves of a zone after a long network partition", () => {
        const simulation = createConverged(8);
        for (let near = 0; near < 4; near++) {
            for (let far = 4; far < 8; far++) {
                simulation.partition(MembershipSimulation.id(near), MembershipSimulation.id(far));
            }
        }
        simulation.advance(120_000);
        expect(simulation.get(MembershipSimulation.id(0)).machine.live).to.have.length(4);
        simulation.clearFaults();
        expect(advanceUntil(simulation, () => simulation.isConverged(), convergenceTimeoutMs)).to.be.below(
            convergenceTimeoutMs,
        );
    });

    it("removes a host that announces its leaving from the live hosts while it is still present", () => {
        const simulation = createConverged(4);
        simulation.handleEvent(simulation.get(MembershipSimulation.id(0)), { kind: "leave" });
        expect(advanceUntil(simulation, () => simulation.isConverged(), convergenceTimeoutMs)).to.be.below(
            convergenceTimeoutMs,
        );
        expect(simulation.get(MembershipSimulation.id(1)).machine.present).to.have.length(4);
    });

    it("propagates a leaving target to 80 hosts within two seconds", () => {
        const simulation = createConverged(80);
        const leaving = { target, incarnation: 3 as Incarnation };
        simulation.handleEvent(simulation.get(MembershipSimulation.id(0)), {
            kind: "raise",
            facts: [toLeavingFact(leaving)],
        });
        simulation.advance(2000);
        expect(simulation.runningHosts().filter(entry => !entry.leaving.isLeaving(target, leaving.incarnation))).to.deep
            .equal([]);
        expect(simulation.get(MembershipSimulation.id(5)).leaving.isLeaving(target, 4 as Incarnation)).to.equal(false);
    });

    it("sends as many messages per host in an idle zone of 80 hosts as in one of 8", () => {
        const perHost = [8, 80].map(count => {
            const simulation = createConverged(count);
            simulation.advance(60_000);
            const before = simulation.sentMessageCount;
            simulation.advance(20_000);
            return (simulation.sentMessageCount - before) / count;
        });
        expect(perHost[1]).to.be.closeTo(perHost[0]!, perHost[0]! * 0.1);
    });

    it("converges, and never reverts that a target leaves, after any sequence of faults", function() {
        this.timeout(0);
        fc.assert(
            fc.property(
                fc.nat(),
                fc.integer({ min: 2, max: 6 }),
                fc.array(simulationStep, { maxLength: 25 }),
                (seed, count, steps) => {
                    runSteps(seed, count, steps);
                },
            ),
            { numRuns: runCount, seed: 1 },
        );
    });
});

function runSteps(seed: number, count: number, steps: readonly SimulationStep[]): void {
    const simulation = new MembershipSimulation(seed);
    simulation.startAll(count);
    const highestIncarnations = new Map<object, number>();
    let drainCount = 0;
    const checkIncarnations = (): void => {
        for (const { facts } of simulation.hosts.values()) {
            const value = facts.get(toLeavingFact({ target, incarnation: 0 as Incarnation }).key) ?? 0;
            expect(value).to.be.at.least(highestIncarnations.get(facts) ?? 0);
            highestIncarnations.set(facts, value);
        }
    };
    for (const { action, host, other, advanceMs, drainsTarget } of steps) {
        const id = MembershipSimulation.id(host % count);
        actions[action]!(simulation, id, MembershipSimulation.id(other % count));
        if (drainsTarget) {
            drainCount++;
            const fact = toLeavingFact({ target, incarnation: drainCount as Incarnation });
            simulation.handleEvent(simulation.get(id), { kind: "raise", facts: [fact] });
        }
        simulation.advance(advanceMs);
        checkIncarnations();
    }
    simulation.clearFaults();
    simulation.hosts.forEach((unused, id) => simulation.resume(id));
    advanceUntil(simulation, () => isConvergedWithFacts(simulation), 4 * convergenceTimeoutMs);
    checkIncarnations();
    expect(simulation.isConverged(), "the views agree").to.equal(true);
    expect(new Set(simulation.runningHosts().map(({ facts }) => facts.digest)).size, "distinct facts").to.be.at.most(1);
}

function isConvergedWithFacts(simulation: MembershipSimulation): boolean {
    return simulation.isConverged() && new Set(simulation.runningHosts().map(({ facts }) => facts.digest)).size <= 1;
}
