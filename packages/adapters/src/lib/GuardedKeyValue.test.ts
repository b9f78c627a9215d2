/** Tests of the concurrency limit and the circuit breaker around the key-value client. */

import { failuresToOpen, type Instant, type KeyValue, type KeyValueFailure } from "@tamarackpath/core";
import { expect } from "chai";
import { type Either, Left, Right } from "purify-ts";
import { GuardedKeyValue } from "./GuardedKeyValue.js";

const key = "tamarackpath/config/fleet";
const lost: KeyValueFailure = { applied: "unknown", detail: "The response was lost." };

function createFixture(): {
    guarded: GuardedKeyValue;
    answers: Either<KeyValueFailure, undefined>[];
    blockedCalls: (() => void)[];
    sentCalls: () => number;
    advanceMs: (ms: number) => void;
    blockCalls: () => void;
} {
    const answers: Either<KeyValueFailure, undefined>[] = [];
    const blockedCalls: (() => void)[] = [];
    let isBlocking = false;
    let now = 1000;
    let calls = 0;
    const inner = {
        get: async () => {
            calls++;
            if (isBlocking) {
                await new Promise<void>(resolve => blockedCalls.push(resolve));
            }
            return answers.shift() ?? Right(undefined);
        },
    } as unknown as KeyValue;
    const clock = { now: () => now as Instant, callAt: () => () => undefined };
    const guarded = new GuardedKeyValue(inner, clock, { random: () => 1, onCall: () => undefined });
    return {
        guarded,
        answers,
        blockedCalls,
        sentCalls: () => calls,
        advanceMs: ms => {
            now += ms;
        },
        blockCalls: () => {
            isBlocking = true;
        },
    };
}

describe("GuardedKeyValue", () => {
    it("reports 'not applied' without a call after consecutive failures, and tries once after the delay", async () => {
        const { guarded, answers, sentCalls, advanceMs } = createFixture();
        for (let nth = 0; nth < failuresToOpen; nth++) {
            answers.push(Left(lost));
            await guarded.get(key);
        }
        expect((await guarded.get(key)).swap().unsafeCoerce().applied).to.equal("no");
        expect(sentCalls()).to.equal(failuresToOpen);
        advanceMs(250);
        answers.push(Left(lost));
        await Promise.all([guarded.get(key), guarded.get(key)]);
        expect(sentCalls()).to.equal(failuresToOpen + 1);
        advanceMs(500);
        expect((await guarded.get(key)).isRight()).to.equal(true);
        expect((await guarded.get(key)).isRight()).to.equal(true);
        expect(guarded.describe()).to.deep.include({
            circuit: "closed",
            calls: { "config unknown": 4, "config refused": 2, "config answered": 2 },
        });
    });

    it("does not count a refusal by the service as a failure of the service", async () => {
        const { guarded, answers } = createFixture();
        for (let nth = 0; nth <= failuresToOpen; nth++) {
            answers.push(Left({ applied: "no", answered: true, detail: "The lease has expired." }));
            await guarded.get(key);
        }
        expect(guarded.describe()).to.deep.include({ circuit: "closed" });
    });

    it("counts calls that fail together because of a pause of this process as one failure", async () => {
        const { guarded, answers, blockedCalls, advanceMs, blockCalls } = createFixture();
        blockCalls();
        const calls = Array.from({ length: 5 }, () => guarded.get(key));
        await Promise.resolve();
        advanceMs(5000);
        answers.push(...calls.map(() => Left(lost)));
        blockedCalls.forEach(resolve => resolve());
        await Promise.all(calls);
        expect(guarded.describe()).to.deep.include({ circuit: "closed" });
    });

    it("limits the concurrent calls and runs the queued ones in order", async () => {
        const { guarded, blockedCalls, sentCalls, blockCalls } = createFixture();
        blockCalls();
        const calls = Array.from({ length: 20 }, () => guarded.get(key));
        await Promise.resolve();
        expect(sentCalls()).to.equal(16);
        while (blockedCalls.length > 0) {
            blockedCalls.shift()!();
            await new Promise(resolve => setImmediate(resolve));
        }
        expect((await Promise.all(calls)).every(res => res.isRight())).to.equal(true);
        expect(sentCalls()).to.equal(20);
    });
});
