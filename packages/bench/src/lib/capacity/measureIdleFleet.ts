/** Measures what hosts use for control traffic alone, in a fleet without callers. */

import { Fleet } from "@tamarackpath/standins";
import { readProcessUsage } from "./processUsage.js";

/** Size of an idle fleet of one zone: its entry hosts, engines and plain services. */
export interface IdleFleetSize {
    readonly hosts: number;
    readonly engines: number;
    readonly plain: number;
}

/** Resource usage of an idle fleet; means over its hosts unless stated otherwise. */
export interface IdleFleetUsage extends IdleFleetSize {
    readonly cpuPercent: number;
    readonly kilobytesPerSecond: number;
    readonly residentMb: number;
    /** Calls of the whole zone to the key-value service, not a mean over hosts. */
    readonly keyValueCallsPerSecond: number;
}

const warmUpMs = 10_000;
const measurementMs = 15_000;

/** Starts an idle fleet, waits for it to warm up, and measures its hosts for 15 seconds. */
export async function measureIdleFleet(size: IdleFleetSize): Promise<IdleFleetUsage> {
    const fleet = await Fleet.start({
        zones: ["zone"],
        hostsPerZone: size.hosts,
        enginesPerZone: size.engines,
        plainPerZone: size.plain,
    });
    try {
        await pause(warmUpMs);
        const pids = fleet.daemons.map(daemon => daemon.pid!);
        const before = pids.map(readProcessUsage);
        const callsBefore = countKeyValueCalls(fleet);
        await pause(measurementMs);
        const usages = pids.map((pid, nth) => usageBetween(before[nth]!, readProcessUsage(pid)));
        const seconds = measurementMs / 1000;
        return {
            ...size,
            cpuPercent: mean(usages.map(usage => usage.cpuPercent)),
            kilobytesPerSecond: mean(usages.map(usage => usage.kilobytesPerSecond)),
            residentMb: mean(usages.map(usage => usage.residentMb)),
            keyValueCallsPerSecond: (countKeyValueCalls(fleet) - callsBefore) / seconds,
        };
    }
    finally {
        await fleet.close();
    }
}

type HostUsage = Pick<IdleFleetUsage, "cpuPercent" | "kilobytesPerSecond" | "residentMb">;

function usageBetween(
    before: ReturnType<typeof readProcessUsage>,
    after: ReturnType<typeof readProcessUsage>,
): HostUsage {
    const ms = after.readAtMs - before.readAtMs;
    return {
        cpuPercent: (after.cpuMs - before.cpuMs) / ms * 100,
        kilobytesPerSecond: (after.ioBytes - before.ioBytes) / ms,
        residentMb: after.residentMb,
    };
}

function countKeyValueCalls(fleet: Fleet): number {
    return [...fleet.keyValue.calls.values()].reduce((sum, count) => sum + count, 0);
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
