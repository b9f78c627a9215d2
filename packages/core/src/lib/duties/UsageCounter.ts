/**
 * One host's counts of the requests that began to run at targets, by window of use and organisation. The counts are cumulative
 * and are kept until their window is fixed, so that a message to the conductor may be lost, repeated or overtaken, and a new
 * conductor gets all that is needed. It answers a steady load of requests while conductors change and messages are lost.
 */

import { type OrganisationId } from "../ids.js";

/** The requests of each organisation that began in one window, as one host counted them so far. */
export interface WindowCounts {
    readonly window: number;
    readonly counts: readonly (readonly [organisation: OrganisationId, requests: number])[];
}

/** A host's counts of all windows that are not fixed as far as it knows. */
export interface HostUsage {
    /** Start of the host's process in Unix milliseconds; the counts of its earlier processes are separate. */
    readonly incarnation: number;
    /** The sender's present window: no further request is expected to begin in earlier ones. */
    readonly window: number;
    readonly windows: readonly WindowCounts[];
}

/** Upper limit of the windows that a host keeps; the oldest are dropped while no conductor fixes any. */
const maxWindows = 60;

/** The window of `timeOfDay`, in Unix milliseconds; windows are numbered from the Unix epoch on. */
export function windowAt(timeOfDay: number, windowMs: number): number {
    return Math.floor(timeOfDay / windowMs);
}

/** Counts one host's requests. */
export class UsageCounter {
    private readonly windows = new Map<number, Map<OrganisationId, number>>();
    private newestFixed = -Infinity;
    private late = 0;

    /** `incarnation` is the start of the process in Unix milliseconds. */
    constructor(private readonly incarnation: number, private readonly windowMs: number) {}

    /** The newest window that is known to be fixed; -Infinity if none is. */
    get fixedTo(): number {
        return this.newestFixed;
    }

    /** Number of requests that could not be counted any more, since their window was fixed or too many windows were kept. */
    get lateCount(): number {
        return this.late;
    }

    /** Counts a request of `organisation` that began to run at `begunAt`, in Unix milliseconds. */
    record(organisation: OrganisationId, begunAt: number): void {
        const window = windowAt(begunAt, this.windowMs);
        if (window <= this.newestFixed) {
            this.late++;
            return;
        }
        const counts = this.windows.get(window) ?? new Map<OrganisationId, number>();
        counts.set(organisation, (counts.get(organisation) ?? 0) + 1);
        this.windows.set(window, counts);
        if (this.windows.size > maxWindows) {
            this.dropOldest();
        }
    }

    /** All counts of the windows that are not fixed, as of `timeOfDay` in Unix milliseconds. */
    report(timeOfDay: number): HostUsage {
        return {
            incarnation: this.incarnation,
            window: windowAt(timeOfDay, this.windowMs),
            windows: [...this.windows].map(([window, counts]) => ({ window, counts: [...counts] })),
        };
    }

    /** Records that all windows up to `window` are fixed; their counts are not needed any more. */
    recordFixed(window: number): void {
        if (window > this.newestFixed) {
            this.newestFixed = window;
            [...this.windows.keys()].filter(each => each <= window).forEach(each => this.windows.delete(each));
        }
    }

    private dropOldest(): void {
        const oldest = Math.min(...this.windows.keys());
        for (const requests of this.windows.get(oldest)!.values()) {
            this.late += requests;
        }
        this.windows.delete(oldest);
    }
}
