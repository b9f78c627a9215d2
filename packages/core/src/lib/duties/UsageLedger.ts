/**
 * The conductor's sums of the hosts' counts of use, by window, host and incarnation. Counts are cumulative, so the highest one
 * holds, whichever order messages arrive in. It answers hosts that are lost and restarted, and messages that are repeated.
 */

import { type OrganisationId } from "../ids.js";
import { type HostUsage, windowAt, type WindowCounts } from "./UsageCounter.js";

/** Windows before the newest fixed one for which counts that arrive late are still noticed. */
const keptFixedWindows = 12;

/** Windows after the present one for which counts are accepted; hosts' clocks differ. */
const maxWindowsAhead = 2;

/** Upper limit of the windows with counts, while the store is away and none is fixed; as many are reported afterwards. */
const maxWindows = 60;

type Counts = Map<OrganisationId, number>;

/** Sums the counts of hosts. */
export class UsageLedger {
    /** Counts by window, and by host and incarnation. */
    private readonly windows = new Map<number, Map<string, Counts>>();
    /** The present window of each process of a host, as it stated it last. */
    private readonly presentWindows = new Map<string, number>();
    /** Requests by host and incarnation in windows that this ledger fixed. */
    private readonly fixedTotals = new Map<number, Map<string, number>>();
    private newestFixed = -Infinity;
    private newestAccepted = -Infinity;

    constructor(private readonly windowMs: number) {}

    /** The oldest window with counts, or undefined if there are none. */
    get oldestWindow(): number | undefined {
        return this.windows.size === 0 ? undefined : Math.min(...this.windows.keys());
    }

    /**
     * Takes over the counts of a host, received at `timeOfDay` in Unix milliseconds. Returns the number of requests that are in
     * no report, since this ledger fixed their window without them.
     */
    adopt(host: string, { incarnation, window: present, windows }: HostUsage, timeOfDay: number): number {
        const process = `${host} ${incarnation}`;
        const newest = windowAt(timeOfDay, this.windowMs) + maxWindowsAhead;
        this.presentWindows.set(process, Math.max(present, this.presentWindows.get(process) ?? present));
        let late = 0;
        for (const { window, counts } of windows) {
            if (window <= this.newestFixed) {
                late += this.recordLate(window, process, counts);
            }
            else if (window <= newest && window > newest - maxWindows) {
                this.merge(window, process, counts);
            }
        }
        if (newest > this.newestAccepted) {
            this.newestAccepted = newest;
            this.forgetBefore(newest - maxWindows);
        }
        return late;
    }

    /** The requests of each organisation that began in a window, as far as hosts have reported them. */
    countsOf(window: number): Readonly<Record<OrganisationId, number>> {
        const sums: Counts = new Map();
        for (const counts of this.windows.get(window)?.values() ?? []) {
            counts.forEach((requests, organisation) =>
                sums.set(organisation, (sums.get(organisation) ?? 0) + requests)
            );
        }
        return Object.fromEntries(sums);
    }

    /** Whether every process that reported during a window has reported again since its end. */
    isComplete(window: number): boolean {
        return [...this.presentWindows.values()].every(present => present !== window);
    }

    /** Number of processes that have reported since the end of a window. */
    hostsHeardAfter(window: number): number {
        return [...this.presentWindows.values()].filter(present => present > window).length;
    }

    /** Records that the windows up to `window` are fixed, with the counts that `countsOf` gave if `isOwn`. */
    recordFixed(window: number, isOwn: boolean): void {
        this.newestFixed = Math.max(window, this.newestFixed);
        for (const [each, processes] of this.windows) {
            if (each <= window) {
                if (isOwn) {
                    const totals = [...processes].map(([process, counts]) => [process, totalOf(counts)] as const);
                    this.fixedTotals.set(each, new Map(totals));
                }
                this.windows.delete(each);
            }
        }
        const oldest = this.newestFixed - keptFixedWindows;
        [...this.fixedTotals.keys()].filter(each => each < oldest).forEach(each => this.fixedTotals.delete(each));
    }

    /** Drops the windows up to `window`, and the processes whose last report came then. */
    private forgetBefore(window: number): void {
        [...this.windows.keys()].filter(each => each <= window).forEach(each => this.windows.delete(each));
        [...this.presentWindows].filter(([, present]) => present <= window)
            .forEach(([process]) => this.presentWindows.delete(process));
    }

    private merge(window: number, process: string, counts: WindowCounts["counts"]): void {
        const processes = this.windows.get(window) ?? new Map<string, Counts>();
        const known = processes.get(process) ?? new Map<OrganisationId, number>();
        counts.forEach(([organisation, requests]) =>
            known.set(organisation, Math.max(requests, known.get(organisation) ?? 0))
        );
        processes.set(process, known);
        this.windows.set(window, processes);
    }

    /** Returns by how many requests a process exceeds what was fixed; unknown for windows that another host fixed. */
    private recordLate(window: number, process: string, counts: WindowCounts["counts"]): number {
        const totals = this.fixedTotals.get(window);
        const total = totalOf(new Map(counts));
        const late = totals === undefined ? 0 : Math.max(0, total - (totals.get(process) ?? 0));
        if (late > 0) {
            totals?.set(process, total);
        }
        return late;
    }
}

function totalOf(counts: ReadonlyMap<OrganisationId, number>): number {
    return [...counts.values()].reduce((sum, requests) => sum + requests, 0);
}
