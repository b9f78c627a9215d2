/** Tests that count the calls that claims take of the key-value service. */

import { claimBucketCount, maxClaimWritesPerSecond } from "@tamarackpath/core";
import { expect } from "chai";
import { AnswerWorld } from "./fixtures/AnswerWorld.js";
import { settleTurn } from "./fixtures/Turns.js";

const burstWritesPerBucket = 4;
/** A read, a claim and an outcome. */
const callsOfLoneOrder = 3;
/** A read, and two writes each of claims and of outcomes that came together. */
const callsPerBusyBucket = 5;
const maxTurns = 200_000;

interface Measured {
    readonly world: AnswerWorld;
    readonly callsPerOrder: number;
    readonly elapsedMs: number;
}

/** Sends `orders` orders through one host at once, and counts the calls until every outcome is stored. */
async function measure(orders: number, first = 0, world = new AnswerWorld()): Promise<Measured> {
    const startedAt = world.turns.now;
    const callsBefore = world.keyValue.calls;
    for (let nth = first; nth < first + orders; nth++) {
        world.send(0, `order-${nth}`, "gravel", true, 20_000);
    }
    const isDone = (): boolean =>
        world.hosts.every(({ keyed }) => keyed.settles.length + keyed.keeper.book.unsettled === 0)
        && world.calls.every(call => call.answer !== undefined);
    for (let left = maxTurns; left > 0 && !isDone(); left--) {
        if (!world.turns.fire(0)) {
            world.turns.fireTimer();
        }
        await settleTurn();
    }
    const callsPerOrder = (world.keyValue.calls - callsBefore) / orders;
    return { world, callsPerOrder, elapsedMs: world.turns.now - startedAt };
}

describe("the budget of claims", () => {
    for (const orders of [1, 10, 100, 1000]) {
        const allowed = Math.min(callsOfLoneOrder, callsPerBusyBucket * claimBucketCount / orders);
        it(`takes at most ${allowed} calls for each of ${orders} orders at once`, async () => {
            const { world, callsPerOrder } = await measure(orders);
            expect(world.calls.filter(call => call.answer?.isRight() !== true)).to.have.length(0);
            expect(callsPerOrder).to.be.at.most(allowed);
            if (process.env["TAMARACK_RUNS"] !== undefined) {
                console.log(`      ${orders} orders at once: ${callsPerOrder.toFixed(2)} calls for each`);
            }
        });
    }

    it("keeps within its writes a second, however many orders come", async () => {
        const world = new AnswerWorld();
        const startedAt = world.turns.now;
        for (let wave = 0; wave < 8; wave++) {
            await measure(100, wave * 100, world);
        }
        const seconds = (world.turns.now - startedAt) / 1000;
        const burst = burstWritesPerBucket * claimBucketCount * world.hosts.length;
        const reads = claimBucketCount * world.hosts.length;
        expect(world.keyValue.calls).to.be.at.most(maxClaimWritesPerSecond * seconds + burst + reads);
        expect([...world.runs.values()].every(times => times === 1)).to.equal(true);
        expect(world.runs.size).to.equal(800);
    });

    it("keeps values under the platform's megabyte", async () => {
        const { world } = await measure(600);
        expect(world.keyValue.largestValue).to.be.lessThan(1_000_000);
    });
});
