/** Tests of the orders of engines under the loads that they are made for, and of rules that hold under any. */

import { expect } from "chai";
import fc from "fast-check";
import { seededRandom } from "../membership/seededRandom.js";
import {
    CapacitySimulation,
    instant,
    scalingFixture,
    slotsPerEngine,
    withOrders,
    zoneOf,
} from "./capacityFixtures.test.js";
import { type CapacityInput, type PlannedOrder } from "./CapacityInput.js";
import { planCapacity } from "./CapacityPlanner.js";
import { type EngineGroup } from "./EngineGroup.js";

/** 125 tasks of 1 s of a slot every 4 s from each of four trainers: 125 slots, or 15.6 engines. */
const usualTasks = (): number => 125;

function lateSteps(simulation: CapacitySimulation): number {
    return simulation.lateness.filter(ms => ms > 0).length;
}

/** Number of times that each zone and kind has changed. */
function changesByGroup(orders: readonly PlannedOrder[]): readonly number[] {
    const counts = new Map<string, number>();
    orders.forEach(({ zone, kind }) => counts.set(`${zone} ${kind}`, (counts.get(`${zone} ${kind}`) ?? 0) + 1));
    return [...counts.values()];
}

describe("planCapacity", () => {
    // Guards against orders that follow the rise and fall of each step, and against giving back engines that carry the demand
    // when all others are reclaimed: with a quarter of it on standing engines, steps came late on a day without other faults.
    it("serves four trainers in time, keeps standing engines for all of the demand, and then keeps still", () => {
        const simulation = new CapacitySimulation({ standing: 8, tasksAt: usualTasks });
        simulation.run(60_000);
        const costOfFirst = simulation.cost;
        simulation.run(120_000);
        expect(lateSteps(simulation)).to.equal(0);
        expect(simulation.count("standing") * slotsPerEngine, "standing slots").to.be.at.least(125);
        expect(simulation.cost - costOfFirst, "price of the second minute").to.be.below(60 * 31.6 * 0.6);
        expect(Math.max(0, ...changesByGroup(simulation.accepted(60_000)))).to.be.at.most(1);
        const survivors = simulation.count()
            - Math.max(...[0, 1, 2, 3].map(nth => simulation.count("reclaimable", zoneOf(nth))));
        expect(survivors * slotsPerEngine).to.be.above(125);
    });

    // Guards against late steps when engines leave faster than others start, and against waiting for a zone without any.
    it("carries the loss of a zone's reclaimable engines while no zone has any, and replaces them afterwards", () => {
        let reclaimedAt = Infinity;
        const simulation = new CapacitySimulation({
            standing: 5,
            tasksAt: usualTasks,
            isUnavailable: (unused, kind, at) => at >= reclaimedAt && at < reclaimedAt + 9000,
        });
        simulation.run(60_000);
        const before = simulation.count();
        const zone = [0, 1, 2, 3].map(zoneOf).reduce((a, b) =>
            simulation.count("reclaimable", b) > simulation.count("reclaimable", a) ? b : a
        );
        expect(simulation.count("reclaimable", zone) / before, "share that leaves").to.be.above(0.2);
        reclaimedAt = 60_000;
        simulation.reclaim(zone);
        simulation.run(69_000);
        const during = simulation.orders.filter(({ at }) => at >= 60_000);
        expect(during.every(({ end, to, from }) => end === "none-available" && to > from)).to.equal(true);
        simulation.run(100_000);
        expect(lateSteps(simulation)).to.equal(0);
        expect(simulation.count() * slotsPerEngine).to.be.above(125 / 0.75);
        expect(Math.max(0, ...changesByGroup(simulation.accepted(90_000)))).to.be.at.most(1);
    });

    it("orders in another zone in the pass of the notice where others are to be had", () => {
        // 140 slots for 24 engines of 8 slots; the 4 engines of a zone are too many to lose.
        const simulation = new CapacitySimulation({ standing: 2, reclaimable: 4, tasksAt: () => 140 });
        simulation.run(9000);
        simulation.reclaim(zoneOf(1));
        simulation.run(9100);
        const orders = simulation.accepted(9000).filter(({ reason }) => reason === "leaving");
        expect(orders.reduce((sum, { from, to }) => sum + to - from, 0)).to.be.above(0);
        expect(orders.some(({ zone, kind }) => zone === zoneOf(1) && kind === "reclaimable")).to.equal(false);
    });

    // Guards against a service that has not recovered from one loss when the next one comes.
    it("serves steps of unlike sizes in time although a zone loses its reclaimable engines every 15 s", () => {
        for (const seed of [1, 2, 3]) {
            const random = seededRandom(seed);
            let unavailableUntil = 0;
            const simulation = new CapacitySimulation({
                scaling: scalingFixture({ maxPerZone: 8 }),
                standing: 4,
                reclaimable: 4,
                tasksAt: () => 100 + Math.floor(random() * 51),
                isUnavailable: (unused, kind, at) => at < unavailableUntil,
            });
            for (let at = 15_000; at <= 120_000; at += 15_000) {
                simulation.run(at);
                unavailableUntil = at + 9000;
                simulation.reclaim(zoneOf(Math.floor(random() * 4)));
            }
            expect(lateSteps(simulation), `seed ${seed}`).to.equal(0);
        }
    });

    it("follows a demand that triples for 30 s, and gives the engines back afterwards", () => {
        const simulation = new CapacitySimulation({
            standing: 5,
            tasksAt: (unused, at) => at >= 60_000 && at < 90_000 ? 375 : 125,
        });
        simulation.run(60_000);
        const before = simulation.count();
        simulation.run(90_000);
        expect(simulation.count() * slotsPerEngine).to.be.above(375);
        // Two steps of each trainer are submitted before the engines ordered for them can serve.
        expect(lateSteps(simulation), "late steps").to.be.at.most(8);
        simulation.run(180_000);
        expect(simulation.count()).to.be.at.most(before * 1.5);
        expect(Math.max(0, ...changesByGroup(simulation.accepted(150_000)))).to.be.at.most(1);
    });

    it("recovers from a wrong forecast: three of four trainers end, and later submit again", () => {
        const simulation = new CapacitySimulation({
            standing: 5,
            tasksAt: (trainer, at) => trainer === 0 || at < 60_000 || at >= 120_000 ? 125 : 0,
        });
        simulation.run(60_000);
        const before = simulation.count();
        simulation.run(120_000);
        expect(simulation.count()).to.be.below(before * 0.75);
        simulation.run(180_000);
        expect(simulation.count() * slotsPerEngine).to.be.above(125 / 0.8);
        expect(simulation.lateness.slice(-20).every(ms => ms <= 0)).to.equal(true);
    });

    it("orders nothing without a known demand, and gives nothing back before 10 s of it", () => {
        const simulation = new CapacitySimulation({ standing: 8, tasksAt: () => 0 });
        simulation.run(30_000);
        expect(simulation.orders).to.deep.equal([]);
        const known = new CapacitySimulation({ standing: 12, tasksAt: () => 30 });
        known.run(10_000);
        expect(known.accepted(0).filter(({ from, to }) => to < from)).to.deep.equal([]);
    });

    // Guards against engines that are taken away from under running tasks: all tasks run at once where there are slots for them.
    it("gives no engine back while the slots of the others would be fewer than those in use", () => {
        const groups = [0, 1, 2, 3].map(nth => ({
            zone: zoneOf(nth),
            kind: "standing" as const,
            ready: 8,
            leaving: 0,
            missing: 0,
            lastOrder: undefined,
            blockedUntil: undefined,
        }));
        const reductionsAt = (busySlots: number): number =>
            planCapacity({
                now: instant(100_000),
                scaling: scalingFixture(),
                slotsPerEngine,
                groups,
                demand: { slots: 80, peakSlots: 80, isPeakCertain: true, isLate: false, busySlots },
            }).filter(({ from, to }) => to < from).length;
        expect([0, 30 * slotsPerEngine, 31 * slotsPerEngine, 32 * slotsPerEngine].map(reductionsAt))
            .to.deep.equal([4, 2, 1, 0]);
    });

    // Guards against an order that the platform takes as no change, since it counts the engine that restarts, and against
    // an order for an engine that serves again before a new one would.
    it("counts engines that restart once, as the platform does", () => {
        const groupsWith = (ready: number, missing: number): readonly EngineGroup[] =>
            [0, 1, 2, 3].map(nth => ({
                zone: zoneOf(nth),
                kind: "standing",
                ready,
                missing,
                leaving: 0,
                lastOrder: undefined,
                blockedUntil: undefined,
            }));
        const ordersOf = (groups: readonly EngineGroup[], slots: number): readonly PlannedOrder[] =>
            planCapacity({
                now: instant(100_000),
                scaling: scalingFixture({ reclaimablePrice: undefined }),
                slotsPerEngine,
                groups,
                demand: { slots, peakSlots: undefined, isPeakCertain: false, isLate: false, busySlots: 0 },
            });
        for (const slots of [180, 200, 300]) {
            const orders = ordersOf(groupsWith(6, 1), slots);
            expect(orders, `${slots} slots`).to.deep.equal(ordersOf(groupsWith(7, 0), slots));
            expect(orders.every(({ from, to }) => from === 7 && to > 7)).to.equal(true);
        }
        expect(ordersOf(groupsWith(6, 1), 160)).to.deep.equal([]);
    });

    /** The number of an order that is not shown yet, which may take engines away. */
    const orderedOf = ({ ready, lastOrder }: EngineGroup): number =>
        lastOrder !== undefined && lastOrder.at > 94_000 && lastOrder.count < lastOrder.previous
            ? lastOrder.count
            : ready;
    const group = fc.record({
        zone: fc.integer({ min: 0, max: 3 }).map(zoneOf),
        kind: fc.constantFrom("standing" as const, "reclaimable" as const),
        ready: fc.integer({ min: 0, max: 7 }),
        leaving: fc.constantFrom(0, 0, 0, 2),
        missing: fc.constantFrom(0, 0, 0, 1),
        lastOrder: fc.option(
            fc.record({
                count: fc.integer({ min: 0, max: 7 }),
                previous: fc.integer({ min: 0, max: 7 }),
                at: fc.integer({ min: 80_000, max: 100_000 }).map(instant),
                isOpen: fc.boolean(),
            }),
            { nil: undefined },
        ),
        blockedUntil: fc.option(fc.integer({ min: 95_000, max: 103_000 }).map(instant), { nil: undefined }),
    });
    const anyInput: fc.Arbitrary<CapacityInput> = fc.record({
        now: fc.constant(instant(100_000)),
        scaling: fc.record({ min: fc.integer({ min: 0, max: 3 }), max: fc.integer({ min: 14, max: 20 }) })
            .map(({ min, max }) => scalingFixture({ minPerZone: min, maxPerZone: max })),
        slotsPerEngine: fc.constant(slotsPerEngine),
        groups: fc.uniqueArray(group, { selector: ({ zone, kind }) => `${zone} ${kind}`, maxLength: 8 }),
        demand: fc.record({
            slots: fc.integer({ min: 0, max: 400 }),
            peakSlots: fc.option(fc.integer({ min: 0, max: 400 }), { nil: undefined }),
            isPeakCertain: fc.boolean(),
            isLate: fc.boolean(),
            busySlots: fc.integer({ min: 0, max: 400 }),
        }),
    });

    it("never breaks the limits of a zone, however the engines stand", () => {
        fc.assert(
            fc.property(anyInput, input => {
                const orders = planCapacity(input);
                const { minPerZone, maxPerZone } = input.scaling;
                for (const { zone, kind, from, to } of orders) {
                    const own = orders.filter(order => order.zone === zone);
                    const others = input.groups.filter(each =>
                        each.zone === zone && own.every(({ kind }) => kind !== each.kind)
                    );
                    // The numbers of an order include the missing engines of its group, as the platform counts.
                    const stays = others.reduce((sum, each) => sum + each.ready + each.missing, 0);
                    const ownMissing = input.groups.filter(each => each.zone === zone && !others.includes(each))
                        .reduce((sum, each) => sum + each.missing, 0);
                    const most = stays + own.reduce((sum, order) => sum + Math.max(order.from, order.to), 0);
                    const least = others.reduce((sum, each) => sum + Math.min(each.ready, orderedOf(each)), 0)
                        + own.reduce((sum, order) => sum + Math.min(order.from, order.to), 0) - ownMissing;
                    const group = input.groups.find(each => each.zone === zone && each.kind === kind);
                    expect(from).to.equal(group === undefined ? 0 : group.ready + group.missing);
                    expect(to).to.not.equal(from);
                    expect(to < from || most <= maxPerZone, JSON.stringify(orders)).to.equal(true);
                    expect(to > from || to === from - 1 && least >= minPerZone, JSON.stringify(orders)).to.equal(true);
                    expect(own.filter(order => order.to < order.from).length).to.be.at.most(1);
                }
            }),
            { numRuns: 2000 },
        );
    });

    it("orders nothing new when it is asked again with the same input", () => {
        fc.assert(
            fc.property(anyInput, input => {
                const again = withOrders(input, planCapacity(input));
                expect(planCapacity(again)).to.deep.equal([]);
            }),
            { numRuns: 2000 },
        );
    });

    it("does not oscillate under any constant demand", () => {
        const load = fc.record({ tasks: fc.integer({ min: 5, max: 250 }), standing: fc.integer({ min: 1, max: 12 }) });
        fc.assert(
            fc.property(load, ({ tasks, standing }) => {
                const simulation = new CapacitySimulation({ standing, tasksAt: () => tasks });
                simulation.run(180_000);
                expect(Math.max(0, ...changesByGroup(simulation.accepted(120_000)))).to.be.at.most(1);
            }),
            {
                numRuns: 40,
                // Engines were ordered as cheaper and given back as idle in turn.
                examples: [[{ tasks: 26, standing: 1 }], [{ tasks: 81, standing: 1 }], [{ tasks: 129, standing: 3 }]],
            },
        );
    });
});
