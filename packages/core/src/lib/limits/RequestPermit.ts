/**
 * Permission to send one request to a target. Each method of the ports that reaches a target takes one, so that no path
 * to a target passes by its rate limit. It expires, because a process may be paused before it sends the request.
 */

import { type Instant, type TargetId } from "../ids.js";

/** Permission to send one request to `target` until `expiresAt`. */
export class RequestPermit {
    /** Prevents other objects from being passed as permits. */
    private readonly isPermit = true;

    constructor(readonly target: TargetId, readonly expiresAt: Instant) {}

    isValid(now: Instant): boolean {
        return this.isPermit && now <= this.expiresAt;
    }
}
