/** Tests of how many calls to the key-value service claims need. */

import { claimBucketCount, maxClaimWritesPerSecond } from "@tamarackpath/core";
import { expect } from "chai";
import { AnswerHarness } from "./fixtures/AnswerHarness.js";
import { flushPendingWork } from "./fixtures/EventScheduler.js";

const burstWritesPerBucket = 4;
/** A read, a claim and an outcome. */
const callsPerSingleOrder = 3;
/** A read, two writes of batched claims and two of batched outcomes. */
const callsPerBusyBucket = 5;
const maxEvents = 200_000;

interface Measurement {
    readonly harness: AnswerHarness;
    readonly callsPerOrder: number;
    readonly elapsedMs: number;
}

/** Sends `orders` orders through one host at the same time, and counts the calls until every outcome is stored. */
async function measure(orders: number, first = 0, harness = new AnswerHarness()): Promise<Measurement> {
    const startedAt = harness.scheduler.now;
    const callsBefore = harness.keyValue.calls;
    for (let nth = first; nth < first + orders; nth++) {
        harness.send(0, `order-${nth}`, "gravel", true, 20_000);
    }
    const isDone = (): boolean =>
        harness.hosts.every(({ keyedCalls }) =>
            keyedCalls.settleQueue.length + keyedCalls.runner.registry.unsettled === 0
        )
        && harness.calls.every(call => call.answer !== undefined);
    for (let left = maxEvents; left > 0 && !isDone(); left--) {
        if (!harness.scheduler.runEvent(0)) {
            harness.scheduler.runNextTimer();
        }
        await flushPendingWork();
    }
    const callsPerOrder = (harness.keyValue.calls - callsBefore) / orders;
    return { harness, callsPerOrder, elapsedMs: harness.scheduler.now - startedAt };
}

describe("the budget of claims", () => {
    for (const orders of [1, 10, 100, 1000]) {
        const allowed = Math.min(callsPerSingleOrder, callsPerBusyBucket * claimBucketCount / orders);
        it(`takes at most ${allowed} calls for each of ${orders} orders at once`, async () => {
            const { harness, callsPerOrder } = await measure(orders);
            expect(harness.calls.filter(call => call.answer?.isRight() !== true)).to.have.length(0);
            expect(callsPerOrder).to.be.at.most(allowed);
            if (process.env["TAMARACK_RUNS"] !== undefined) {
                console.log(`      ${orders} orders at once: ${callsPerOrder.toFixed(2)} calls for each`);
            }
        });
    }

    it("keeps to the limit of writes per second with any number of orders", async () => {
        const harness = new AnswerHarness();
        const startedAt = harness.scheduler.now;
        for (let wave = 0; wave < 8; wave++) {
            await measure(100, wave * 100, harness);
        }
        const seconds = (harness.scheduler.now - startedAt) / 1000;
        const burst = burstWritesPerBucket * claimBucketCount * harness.hosts.length;
        const reads = claimBucketCount * harness.hosts.length;
        expect(harness.keyValue.calls).to.be.at.most(maxClaimWritesPerSecond * seconds + burst + reads);
        expect([...harness.runs.values()].every(times => times === 1)).to.equal(true);
        expect(harness.runs.size).to.equal(800);
    });

    it("keeps values below the platform's limit of 1 MB", async () => {
        const { harness } = await measure(600);
        expect(harness.keyValue.largestValueLength).to.be.lessThan(1_000_000);
    });
});
