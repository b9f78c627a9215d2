/** Measures the cost of claims: key-value calls per order, and the latency that they add to an answer. */

import { type CallOptions } from "@tamarackpath/client";
import { DeskFixture } from "./lib/DeskFixture.js";

const keyValueDelayMs = 2;
const rounds = 20;
const concurrencies = [1, 10, 100];
const settleDelayMs = 1500;

interface Figures {
    readonly medianMs: number;
    readonly p99Ms: number;
    readonly failed: number;
}

type MakeProof = (fixture: DeskFixture) => Promise<CallOptions>;

const proofs: Readonly<Record<string, MakeProof>> = {
    "ticket": async fixture => ({ ticket: (await fixture.client("leon-1").ticket()).unsafeCoerce().ticket }),
    "ticket of another host": async fixture => ({
        ticket: (await fixture.client("leon-2").ticket()).unsafeCoerce().ticket,
    }),
    "idempotency key": fixture => Promise.resolve({ idempotencyKey: fixture.key(`k${orderCount}`) }),
};

let orderCount = 0;

async function placeOrders(
    fixture: DeskFixture,
    count: number,
    makeProof: MakeProof,
    times: number[],
): Promise<number> {
    const client = fixture.client("leon-1");
    const options = [];
    for (let nth = 0; nth < count; nth++) {
        orderCount++;
        options.push({ method: "POST" as const, body: { order: `o${orderCount}` }, ...await makeProof(fixture) });
    }
    const results = await Promise.all(options.map(async option => {
        const startedAt = performance.now();
        const res = await client.call("/orders", option);
        times.push(performance.now() - startedAt);
        return res;
    }));
    return results.filter(res => res.isLeft()).length;
}

function keyValueCalls(fixture: DeskFixture): number {
    return [...fixture.fleet.keyValue.calls]
        .filter(([name]) => / (?:txn|range)$/.test(name))
        .reduce((sum, [, calls]) => sum + calls, 0);
}

async function measure(fixture: DeskFixture, concurrency: number, makeProof: MakeProof): Promise<Figures> {
    const times: number[] = [];
    let failed = 0;
    for (let round = 0; round < rounds; round++) {
        failed += await placeOrders(fixture, concurrency, makeProof, times);
    }
    times.sort((a, b) => a - b);
    const at = (share: number): number => times[Math.min(times.length - 1, Math.floor(times.length * share))]!;
    return { medianMs: at(0.5), p99Ms: at(0.99), failed };
}

const fixture = new DeskFixture(1);
await fixture.startDesk(3, 0, 20_000);
fixture.fleet.keyValue.faults.delayMs = keyValueDelayMs;
try {
    for (const concurrency of concurrencies) {
        for (const [name, makeProof] of Object.entries(proofs)) {
            const before = keyValueCalls(fixture);
            const { medianMs, p99Ms, failed } = await measure(fixture, concurrency, makeProof);
            await new Promise(resolve => setTimeout(resolve, settleDelayMs));
            const calls = (keyValueCalls(fixture) - before) / (rounds * concurrency);
            console.log(
                `${concurrency} at once, ${name}: median ${medianMs.toFixed(1)} ms, p99 ${p99Ms.toFixed(1)} ms, `
                    + `${calls.toFixed(2)} key-value calls for each order, ${failed} failed`,
            );
        }
    }
}
finally {
    await fixture.close();
    process.exit();
}
