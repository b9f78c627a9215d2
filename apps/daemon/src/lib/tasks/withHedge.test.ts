import { asId, type Problem, problem, type RequestId } from "@tamarackpath/core";
import { assert } from "chai";
import { type Either, Left, Right } from "purify-ts";
import { type HedgedAttempt, type HedgeScheduler, withHedge } from "./withHedge.js";

type Result = Either<Problem, string>;

/** An attempt that ends when the test calls `settle`. */
function makeAttempt() {
    let settle: (res: Result) => void = () => undefined;
    const seen: AbortSignal[] = [];
    const attempt: HedgedAttempt<string> = signal => {
        seen.push(signal);
        return new Promise(resolve => settle = resolve);
    };
    return { attempt, seen, settle: (res: Result) => settle(res) };
}

function makeScheduler() {
    let triggerHedge: () => void = () => undefined;
    const scheduler: HedgeScheduler = {
        onHedgeDue: (unusedId, start) => triggerHedge = start,
        cancelHedge: () => triggerHedge = () => undefined,
    };
    return { scheduler, triggerHedge: () => triggerHedge() };
}

const id = asId<RequestId>("r");
const failed = Left(problem("target-failed", "It failed."));

describe("withHedge", () => {
    it("starts no second attempt when the first one ends before the hedge is due", async () => {
        const first = makeAttempt();
        const second = makeAttempt();
        const { scheduler, triggerHedge } = makeScheduler();
        const run = withHedge(scheduler, id, new AbortController().signal, first.attempt, second.attempt);
        first.settle(Right("a"));
        assert.equal((await run).unsafeCoerce(), "a");
        triggerHedge();
        assert.isEmpty(second.seen);
    });

    it("takes the hedge's answer and cancels the first attempt", async () => {
        const first = makeAttempt();
        const second = makeAttempt();
        const { scheduler, triggerHedge } = makeScheduler();
        const run = withHedge(scheduler, id, new AbortController().signal, first.attempt, second.attempt);
        triggerHedge();
        second.settle(Right("b"));
        assert.equal((await run).unsafeCoerce(), "b");
        assert.isTrue(first.seen[0]!.aborted);
        assert.isFalse(second.seen[0]!.aborted);
    });

    it("waits for the other attempt when one fails, and fails when both do", async () => {
        const first = makeAttempt();
        const second = makeAttempt();
        const { scheduler, triggerHedge } = makeScheduler();
        const run = withHedge(scheduler, id, new AbortController().signal, first.attempt, second.attempt);
        triggerHedge();
        second.settle(failed);
        await Promise.resolve();
        assert.isFalse(first.seen[0]!.aborted);
        first.settle(failed);
        assert.isTrue((await run).isLeft());
    });

    it("cancels every attempt when the caller disconnects", async () => {
        const first = makeAttempt();
        const second = makeAttempt();
        const gone = new AbortController();
        const { scheduler, triggerHedge } = makeScheduler();
        const run = withHedge(scheduler, id, gone.signal, first.attempt, second.attempt);
        triggerHedge();
        gone.abort();
        assert.isTrue(first.seen[0]!.aborted && second.seen[0]!.aborted);
        first.settle(failed);
        second.settle(failed);
        assert.isTrue((await run).isLeft());
    });
});
