/** The world of scenarios about membership, drains, shutdowns and zones: a fleet that can be cut, and load on it. */

import { type FleetOptions } from "@tamarackpath/standins";
import { BackgroundLoad } from "./BackgroundLoad.js";
import { FleetWorld } from "./FleetWorld.js";

/** World with a fleet and callers that never pause. */
export class OperationsWorld extends FleetWorld {
    readonly loads: BackgroundLoad[] = [];
    /** Exit codes of stopped hosts. */
    readonly exits = new Map<string, Promise<number | undefined>>();
    /** Counts of work that targets had started when a scenario took note of them. */
    readonly noted = new Map<string, number>();

    override startFleet(options: FleetOptions): Promise<void> {
        return super.startFleet({ ...options, hasRelays: true, engine: { tokenMs: 5, ...options.engine } });
    }

    /** Starts load on the whole fleet or on one zone's hosts. */
    async load(zone?: string): Promise<void> {
        const load = new BackgroundLoad(this.fleet, zone);
        this.loads.push(load);
        await load.start(4, 4, 6);
    }

    /** How much work a target has started so far, by its own account. */
    startedAt(target: string): number {
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
