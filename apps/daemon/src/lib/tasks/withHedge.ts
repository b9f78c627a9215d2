/**
 * Hedged requests: runs an attempt, and a second one on another target when routing finds that the first is slow. The
 * first success cancels the other attempt.
 */

import { type Problem, type RequestId } from "@tamarackpath/core";
import { type Either } from "purify-ts";
import { callerDisconnected } from "../limitSignal.js";

/** Calls back when running work is slow and the hedge budget allows a second attempt. */
export interface HedgeScheduler {
    onHedgeDue(id: RequestId, start: () => void): void;
    cancelHedge(id: RequestId): void;
}

/** Runs one attempt; it ends early when the signal aborts. */
export type HedgedAttempt<Answer> = (signal: AbortSignal) => Promise<Either<Problem, Answer>>;

/** Resolves with the first attempt that succeeds, or with the last failure. The request must be idempotent. */
export function withHedge<Answer>(
    scheduler: HedgeScheduler,
    id: RequestId,
    signal: AbortSignal,
    first: HedgedAttempt<Answer>,
    second: HedgedAttempt<Answer>,
): Promise<Either<Problem, Answer>> {
    return new Promise(resolve => {
        const controllers: AbortController[] = [];
        let running = 0;
        const abortAll = (): void => controllers.forEach(controller => controller.abort(callerDisconnected));
        const start = (attempt: HedgedAttempt<Answer>): void => {
            const controller = new AbortController();
            controllers.push(controller);
            running++;
            void attempt(controller.signal).then(res => {
                running--;
                if (res.isRight() || running === 0) {
                    scheduler.cancelHedge(id);
                    signal.removeEventListener("abort", abortAll);
                    resolve(res);
                    controllers.filter(other => other !== controller).forEach(other => other.abort(callerDisconnected));
                }
            });
        };
        signal.addEventListener("abort", abortAll, { once: true });
        scheduler.onHedgeDue(id, () => start(second));
        start(first);
        if (signal.aborted) {
            abortAll();
        }
    });
}
