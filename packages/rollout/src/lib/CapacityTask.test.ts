/** Tests of how a holder of the duty orders engines, and of holders, stores and platforms that fail halfway. */

import {
    asId,
    type CapacityDemand,
    capacityKey,
    type CapacityOrder,
    type CapacityRecord,
    ConductorTerm,
    type DutyCallEnd,
    type Instant,
    jobKeys,
    type KeyRevision,
    type LeaseId,
    type ZoneId,
} from "@tamarackpath/core";
import { expect } from "chai";
import { pack, unpack } from "msgpackr";
import { Left } from "purify-ts";
import { CapacityStore } from "./CapacityStore.js";
import { CapacityTask } from "./CapacityTask.js";
import { HostView } from "./HostView.js";
import { applyEngineConfig, engineEntryFixture, scalingFixture } from "./jobRunnerFixtures.test.js";
import { type Journal, noopJournal } from "./Journal.js";
import { MemoryTransactionalStore } from "./MemoryStore.test.js";
import { createSteppingClock, type SteppingClock } from "./steppingClock.test.js";

const zones = [asId<ZoneId>("a"), asId<ZoneId>("b")] as const;

/** 100 slots for 2 engines of 4 slots. */
const highDemand: CapacityDemand = {
    slots: 100,
    peakSlots: undefined,
    isPeakCertain: false,
    isLate: false,
    busySlots: 0,
};

class FailingStore extends MemoryTransactionalStore {
    isDown = false;

    override get(key: string): ReturnType<MemoryTransactionalStore["get"]> {
        return this.isDown ? Promise.resolve(Left({ applied: "no", detail: "down" })) : super.get(key);
    }

    override commit(
        ...args: Parameters<MemoryTransactionalStore["commit"]>
    ): ReturnType<MemoryTransactionalStore["commit"]> {
        return this.isDown ? Promise.resolve(Left({ applied: "no", detail: "down" })) : super.commit(...args);
    }

    async capacityRecord(): Promise<CapacityRecord | undefined> {
        const item = (await this.get(capacityKey)).toMaybe().extract();
        return item === undefined ? undefined : unpack(item.value) as CapacityRecord;
    }
}

interface HolderFixture {
    readonly task: CapacityTask;
    readonly term: ConductorTerm;
    readonly sent: CapacityOrder[];
    readonly sentAt: number[];
    readonly holders: string[];
    readonly events: string[];
    /** Answers the calls; the default accepts them. */
    answer: (order: CapacityOrder) => DutyCallEnd | Promise<DutyCallEnd>;
    demand: CapacityDemand | undefined;
}

function viewFixture(clock: SteppingClock): HostView {
    const view = new HostView(clock, noopJournal);
    applyEngineConfig(view, 1, {
        ...scalingFixture,
        maxPerZone: 30,
        zonePrices: [{ zone: zones[0], price: 1 }, { zone: zones[1], price: 0.8 }],
    });
    return view;
}

/** A host that holds the claim from now on. */
async function holderFixture(name: string, clock: SteppingClock, store: FailingStore): Promise<HolderFixture> {
    const view = viewFixture(clock);
    const listAgain = (): void => {
        view.applyTargets(zones.map(zone => engineEntryFixture(`e-${zone}`, 4, { zone })), undefined);
        clock.callAt((clock.now() + 500) as Instant, listAgain);
    };
    listAgain();
    const claim = (await store.get(jobKeys.claim)).toMaybe().extract();
    const written = await store.commit({
        expected: [{ key: jobKeys.claim, revision: claim?.revision ?? 0 as KeyRevision }],
        puts: [{ key: jobKeys.claim, value: pack({ host: name }) }],
        removes: [],
    });
    const fence = written.map(result => result.kind === "committed" ? result.revision : 0).orDefault(0) as KeyRevision;
    const term = new ConductorTerm();
    term.begin({ lease: "l" as LeaseId, fence }, 1e9 as Instant, 0 as Instant);
    const events: string[] = [];
    const journal: Journal = { log: event => void events.push(event) };
    const fixture: HolderFixture = {
        task: undefined as unknown as CapacityTask,
        term,
        sent: [],
        sentAt: [],
        holders: [],
        events,
        answer: () => "accepted",
        demand: highDemand,
    };
    const task = new CapacityTask(
        name,
        view,
        { term, applyClaimChange: () => term.end() },
        { measure: () => fixture.demand },
        new CapacityStore(store, journal),
        {
            reportUsage: async () => "accepted",
            orderCapacity: async (order, holder) => {
                fixture.sent.push(order);
                fixture.sentAt.push(clock.now());
                fixture.holders.push(`${holder.name} ${holder.fence}`);
                return fixture.answer(order);
            },
        },
        clock,
        journal,
    );
    return Object.assign(fixture, { task });
}

describe("CapacityTask", () => {
    it("records orders before it sends them, and takes the next cheapest in the same pass where there are none", async () => {
        const clock = createSteppingClock(0.01);
        const store = new FailingStore();
        const holder = await holderFixture("h1", clock, store);
        holder.answer = async ({ zone, kind, count }) => {
            const orders = (await store.capacityRecord())?.orders ?? [];
            expect(orders.find(each => each.zone === zone && each.kind === kind)?.count).to.equal(count);
            return zone === zones[1] && kind === "reclaimable" ? "none-available" : "accepted";
        };
        holder.task.activate();
        await clock.advance(900);
        const refused = holder.sent.findIndex(({ zone, kind }) => zone === zones[1] && kind === "reclaimable");
        expect(refused).to.be.above(-1);
        const engines = new Map(
            holder.sent.filter((unused, nth) => nth !== refused)
                .map(({ zone, kind, count }) => [`${zone} ${kind}`, count]),
        );
        const total = [...engines.values()].reduce((sum, count) => sum + count, 0);
        expect(total * 4 * 0.75).to.be.above(100);
        expect(new Set(holder.holders)).to.deep.equal(new Set(["h1 1"]));
        const sent = holder.sent.length;
        await clock.advance(2000);
        expect(holder.sent.length, "orders while engines start").to.equal(sent);
        holder.task.deactivate();
    });

    // Guards against engines that are never ordered, or ordered twice over, when a holder is lost halfway.
    it("is continued by a successor when the holder is lost between the record and the order", async () => {
        const clock = createSteppingClock(0.01);
        const store = new FailingStore();
        const first = await holderFixture("h1", clock, store);
        const commit = store.commit.bind(store);
        store.commit = async (...args) => {
            const result = await commit(...args);
            first.term.end();
            return result;
        };
        first.task.activate();
        await clock.advance(900);
        store.commit = commit;
        expect(first.sent).to.deep.equal([]);
        const recorded = (await store.capacityRecord())!.orders;
        expect(recorded.length).to.be.above(0);

        const second = await holderFixture("h2", clock, store);
        second.demand = undefined;
        second.task.activate();
        await clock.advance(900);
        const numbers = (orders: readonly CapacityOrder[]): readonly string[] =>
            orders.map(({ zone, kind, count }) => `${zone} ${kind} ${count}`).sort();
        expect(numbers(second.sent)).to.deep.equal(numbers(recorded));
        expect(second.events[0]).to.equal("capacity-read");
        second.demand = highDemand;
        await clock.advance(2000);
        expect(second.sent.length, "further orders for the same demand").to.equal(recorded.length);
        second.task.deactivate();
    });

    it("repeats an order without an answer less and less often, and sends no other of its zone and kind", async () => {
        const clock = createSteppingClock(0.01);
        const holder = await holderFixture("h1", clock, new FailingStore());
        holder.answer = () => "no-answer";
        holder.task.activate();
        await clock.advance(5000);
        const byGroup = new Map<string, number[]>();
        holder.sent.forEach(({ zone, kind, count }, nth) => {
            const key = `${zone} ${kind} ${count}`;
            byGroup.set(key, [...byGroup.get(key) ?? [], holder.sentAt[nth]!]);
        });
        expect(new Set([...byGroup.keys()].map(key => key.replace(/ \d+$/u, ""))).size).to.equal(byGroup.size);
        for (const times of byGroup.values()) {
            const gaps = times.slice(1).map((at, nth) => at - times[nth]!);
            expect(times.length).to.be.within(4, 7);
            expect(gaps.every((gap, nth) => gap >= Math.min(2000, 200 * 2 ** nth)), gaps.join()).to.equal(true);
        }
        holder.answer = () => "accepted";
        await clock.advance(900);
        holder.task.deactivate();
    });

    it("orders nothing new while the store is down, but repeats what the record holds", async () => {
        const clock = createSteppingClock(0.01);
        const store = new FailingStore();
        const holder = await holderFixture("h1", clock, store);
        store.isDown = true;
        holder.task.activate();
        await clock.advance(2500);
        expect(holder.sent).to.deep.equal([]);
        store.isDown = false;
        holder.answer = () => "busy";
        await clock.advance(1000);
        const numbers = new Set(holder.sent.map(({ zone, kind, count }) => `${zone} ${kind} ${count}`));
        store.isDown = true;
        holder.demand = { ...highDemand, slots: 200 };
        const before = holder.sent.length;
        await clock.advance(3000);
        const later = holder.sent.slice(before).map(({ zone, kind, count }) => `${zone} ${kind} ${count}`);
        expect(later.length).to.be.above(0);
        expect(later.every(number => numbers.has(number))).to.equal(true);
        holder.task.deactivate();
    });

    it("reads the record again when a write was not answered, and sends what it holds", async () => {
        for (const fault of ["answer-lost", "late", "refused"] as const) {
            const clock = createSteppingClock(0.01);
            const store = new FailingStore();
            const holder = await holderFixture("h1", clock, store);
            store.setFaults([fault]);
            holder.task.activate();
            await clock.advance(900);
            expect(holder.sent, fault).to.deep.equal([]);
            store.applyLate();
            await clock.advance(2100);
            const recorded = (await store.capacityRecord())!.orders;
            const keyOf = ({ zone, kind, count }: CapacityOrder): string => `${zone} ${kind} ${count}`;
            expect(holder.sent.map(keyOf).sort(), fault).to.deep.equal(recorded.map(keyOf).sort());
            holder.task.deactivate();
        }
    });

    it("sends nothing once another host holds the claim, although it does not know it yet", async () => {
        const clock = createSteppingClock(0.01);
        const store = new FailingStore();
        const first = await holderFixture("h1", clock, store);
        const second = await holderFixture("h2", clock, store);
        first.task.activate();
        await clock.advance(1500);
        expect(first.sent).to.deep.equal([]);
        expect(first.term.currentClaim).to.equal(undefined);
        second.task.activate();
        await clock.advance(900);
        expect(second.sent.length).to.be.above(0);
        second.task.deactivate();
    });

    it("orders nothing before the term allows orders", async () => {
        const clock = createSteppingClock(0.01);
        const holder = await holderFixture("h1", clock, new FailingStore());
        holder.term.setOrdersNotBefore(2500 as Instant);
        holder.task.activate();
        await clock.advance(2000);
        expect([holder.sent, holder.events]).to.deep.equal([[], []]);
        await clock.advance(2000);
        expect(holder.sent.length).to.be.above(0);
        holder.task.deactivate();
    });
});
