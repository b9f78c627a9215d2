/**
 * Decides which requests a stopping host takes. Requests come on kept connections, and on new ones if other hosts are not ready
 * either, up to the end of the process. A request that may outlast the process is refused, so that its caller can send it to
 * another host; one that is answered by its deadline at the latest is served.
 */

import { type Instant } from "../ids.js";

/** The times of a planned stop. */
export interface StopTimes {
    /** Until when the load balancer may send new connections; requests that come sooner are expected to end in time. */
    readonly drainedAt: Instant;
    /** When requests without an answer are ended. */
    readonly endAt: Instant;
}

/** Why a request is refused. */
export type StopRefusal = "may-outlast-host" | "stopped";

/** Admits requests at one host. */
export class StopAdmission {
    private times: StopTimes | undefined;
    private isRefusing = false;

    /** Whether the host is stopping. */
    get isStopping(): boolean {
        return this.times !== undefined;
    }

    begin(times: StopTimes): void {
        this.times = times;
    }

    /** Refuses all later requests, as nothing waits for them any more. */
    refuseAll(): void {
        this.isRefusing = true;
    }

    /** Decides at `now` about a request that is answered by `deadline` at the latest; undefined if it is taken. */
    refusalOf(deadline: Instant, now: Instant): StopRefusal | undefined {
        if (this.isRefusing) {
            return "stopped";
        }
        const mayOutlast = this.times !== undefined && now >= this.times.drainedAt && deadline > this.times.endAt;
        return mayOutlast ? "may-outlast-host" : undefined;
    }
}
