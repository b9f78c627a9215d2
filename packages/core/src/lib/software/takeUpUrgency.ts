/**
 * Which calls targets should admit before others. Load: many hosts or targets are lost at once, and all streams that broke
 * off are taken up at about the same time, at the few targets of their software, beside new streams that may begin at any
 * target. A stream that broke off has less left to generate than a new one, and has used up a part of its caller's time.
 */

import { type ForwardedCall } from "../ports/RolloutTargets.js";

/** Whether targets should admit the call before calls that begin. */
export function isAdmittedFirst({ takeUp }: ForwardedCall): boolean {
    return takeUp !== undefined;
}
