/**
 * Expected number of events of a task's text. Trainers state an expected length in tokens, which is accurate at the
 * median and far off in the tail, and engines differ in how many tokens an event has; so the ratio is learned from the
 * texts that have ended. Tasks without an expected length count as long as the usual one.
 */

import { type Task } from "./Job.js";

/** Weight of the newest text in the averages. */
const smoothingFactor = 0.05;

/** Events of a text while none has ended: those of a usual sample. */
const assumedEvents = 20;

/** Events that a text that is longer than expected probably has left, as a share of those that it has. */
const tailLeftShare = 0.5;

/** Limits of the ratio of events to expected tokens, so that a few odd texts do not distort the estimates. */
const ratioLimits = { min: 0.02, max: 3 } as const;

/** Learns the number of events of texts. */
export class EventLengths {
    private usualEvents = assumedEvents;
    private eventsPerToken = 1;

    /** Records that a task's text has ended with `events` events. */
    record({ expectedTokens }: Task, events: number): void {
        this.usualEvents += smoothingFactor * (events - this.usualEvents);
        if (expectedTokens !== undefined && expectedTokens > 0) {
            const ratio = Math.min(ratioLimits.max, Math.max(ratioLimits.min, events / expectedTokens));
            this.eventsPerToken += smoothingFactor * (ratio - this.eventsPerToken);
        }
    }

    /** Events that a task's text probably has left after its first `events`. */
    leftOf({ expectedTokens }: Task, events: number): number {
        const expected = expectedTokens === undefined ? this.usualEvents : expectedTokens * this.eventsPerToken;
        return Math.max(1, expected - events, events >= expected ? events * tailLeftShare : 0);
    }
}
