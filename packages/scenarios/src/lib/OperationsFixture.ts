/** The fixture of scenarios about membership, drains, shutdowns and zones: a fleet with a network that can be cut. */

import { type FleetOptions } from "@tamarackpath/standins";
import { BackgroundLoad } from "./BackgroundLoad.js";
import { FleetFixture } from "./FleetFixture.js";

/** Fixture with a fleet and callers that send requests continuously. */
export class OperationsFixture extends FleetFixture {
    readonly loads: BackgroundLoad[] = [];
    /** Exit codes of stopped hosts. */
    readonly exitCodes = new Map<string, Promise<number | undefined>>();
    /** Requests that targets had started when the scenario recorded the count, by target. */
    readonly startedCounts = new Map<string, number>();

    override startFleet(options: FleetOptions): Promise<void> {
        return super.startFleet({ ...options, hasRelays: true, engine: { tokenMs: 5, ...options.engine } });
    }

    /** Starts load on the hosts of `zone`, or of the whole fleet without it. */
    async startLoad(zone?: string): Promise<void> {
        const load = new BackgroundLoad(this.fleet, zone);
        this.loads.push(load);
        await load.start(4, 4, 6);
    }

    /** Number of requests that a target has started so far, by its own count. */
    startedWorkOf(target: string): number {
        const engine = this.fleet.engines.find(({ id }) => id === target);
        const plain = this.fleet.plain.find(({ id }) => id === target);
        return engine?.standIn.stats.started ?? plain!.standIn.calls;
    }

    override async close(): Promise<void> {
        this.fleet.daemons.forEach(daemon => daemon.thaw());
        const stopped = Promise.all(this.loads.map(load => load.stop()));
        await super.close();
        await stopped;
    }
}
