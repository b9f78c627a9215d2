/**
 * Model-based test of the calls that must not be repeated: several hosts, a key-value service that loses answers,
 * restarts, freezes, and retries through any host, in interleavings chosen by fast-check. The reference model is the
 * target's record of runs: at most one run of each request, and none of a request that was answered with "not-run".
 */

import { expect } from "chai";
import fc from "fast-check";
import { AnswerHarness, type TargetFault } from "./fixtures/AnswerHarness.js";
import { flushPendingWork } from "./fixtures/EventScheduler.js";
import { type KeyValueFault } from "./fixtures/FakeKeyValue.js";
import { type PeerFault } from "./fixtures/FakePeers.js";

const runs = Number(process.env["TAMARACK_RUNS"] ?? 300);
const seed = Number(process.env["TAMARACK_SEED"] ?? 1);
const maxFinalEvents = 20_000;

const keyValueFaults: readonly KeyValueFault[] = ["none", "none", "down", "lose-answer", "lose-call", "late-write"];
const peerFaults: readonly PeerFault[] = ["none", "none", "cut", "lose-ask", "lose-answer"];
const targetFaults: readonly TargetFault[] = ["none", "none", "refuse", "unreachable", "lose-answer"];

function pick<Value>(values: readonly Value[], choice: number): Value {
    return values[choice % values.length]!;
}

/** The proofs that the test uses: two idempotency keys and up to two tickets. */
class Proofs {
    private readonly tickets: string[] = [];
    private readonly sent = new Map<string, number>();

    constructor(private readonly harness: AnswerHarness) {}

    send(choice: number): void {
        const nth = choice % 4;
        const proof = nth < 2 ? `key-${nth}` : this.ticket(nth, choice >> 4);
        const times = this.sent.get(proof) ?? 0;
        const isFirst = times === 0 && (choice >> 3) % 2 === 0;
        const open = this.harness.calls.some(call => call.proof === proof && call.isFirst && call.answer === undefined);
        if (open) {
            return;
        }
        this.sent.set(proof, times + 1);
        const body = (choice >> 6) % 8 === 0 ? "other" : "order";
        this.harness.send(choice >> 9, proof, body, isFirst, 200 + (choice >> 5) % 5000);
    }

    private ticket(nth: number, choice: number): string {
        this.tickets[nth] ??= this.harness.issueTicket(choice);
        return this.tickets[nth];
    }
}

type Action = (harness: AnswerHarness, proofs: Proofs, choice: number) => void;

/** Actions with their weights out of 100. */
const actions: readonly (readonly [number, Action])[] = [
    [52, (harness, proofs, choice) => void harness.scheduler.runEvent(choice)],
    [10, harness => void harness.scheduler.runNextTimer()],
    [18, (harness, proofs, choice) => proofs.send(choice)],
    [3, (harness, proofs, choice) => harness.restart(choice)],
    [3, (harness, proofs, choice) => harness.freeze(choice)],
    [5, harness => harness.unfreezeAll()],
    [3, (harness, proofs, choice) => void (harness.keyValue.fault = pick(keyValueFaults, choice))],
    [3, (harness, proofs, choice) => void (harness.peers.fault = pick(peerFaults, choice))],
    [3, (harness, proofs, choice) => void (harness.targetFault = pick(targetFaults, choice))],
];

function actionOf(choice: number): Action {
    let left = choice % 100;
    for (const [weight, action] of actions) {
        left -= weight;
        if (left < 0) {
            return action;
        }
    }
    throw new Error("The weights do not add up to 100.");
}

async function runActions(choices: readonly number[]): Promise<AnswerHarness> {
    const harness = new AnswerHarness();
    const proofs = new Proofs(harness);
    for (const choice of choices) {
        actionOf(choice)(harness, proofs, Math.floor(choice / 100));
        await flushPendingWork();
    }
    harness.unfreezeAll();
    harness.keyValue.fault = "none";
    harness.peers.fault = "none";
    harness.targetFault = "none";
    for (
        let left = maxFinalEvents;
        left > 0 && (harness.scheduler.runEvent(left) || harness.scheduler.runNextTimer());
        left--
    ) {
        await flushPendingWork();
    }
    return harness;
}

describe("calls that must not be repeated", () => {
    it("run at most once, and \"not run\" is true, in every interleaving", async () => {
        let calls = 0;
        let ran = 0;
        await fc.assert(
            fc.asyncProperty(fc.array(fc.nat({ max: 2 ** 30 }), { minLength: 60, maxLength: 240 }), async choices => {
                const harness = await runActions(choices);
                calls += harness.calls.length;
                ran += [...harness.runs.values()].reduce((sum, times) => sum + times, 0);
                expect(harness.faults, harness.faults.join("; ")).to.have.length(0);
            }),
            { seed, numRuns: runs },
        );
        expect(ran, "requests that ran").to.be.greaterThan(runs / 2);
        expect(calls, "calls").to.be.greaterThan(ran);
        if (process.env["TAMARACK_RUNS"] !== undefined) {
            console.log(`      ${runs} interleavings, ${calls} calls, ${ran} runs at the target`);
        }
    }).timeout(0);
});
