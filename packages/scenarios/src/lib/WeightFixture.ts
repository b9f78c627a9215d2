/** The fixture of scenarios about weights: a fleet with engines, and the deliveries to a trainer. */

import { type Sample } from "@tamarackpath/core";
import { type DaemonProcess, type EngineStandIn, type FleetTarget } from "@tamarackpath/standins";
import { FleetFixture, waitUntil } from "./FleetFixture.js";

/** The part of a host's dump that describes weights. */
interface HostWeights {
    readonly published: Readonly<Record<string, number>>;
    readonly pools: readonly { readonly pool: string; readonly hold?: object; }[];
}

const pollIntervalMs = 10;

/** Fixture with engines that swap weights. */
export class WeightFixture extends FleetFixture {
    frozen: DaemonProcess | undefined;
    /** Requests that an engine had started when the scenario recorded the count. */
    startedRequestsBefore = 0;
    /** Whether at some poll no engine had a whole version. */
    wasWithoutWholeEngine = false;
    private watching: NodeJS.Timeout | undefined;

    async startEngines(zones: number, hosts: number, engines: number, swapMs: number): Promise<void> {
        await this.startFleet({
            zones: ["leon", "qro"].slice(0, zones),
            hostsPerZone: hosts,
            enginesPerZone: engines,
            plainPerZone: 1,
            engine: { swapMs },
        });
        await waitUntil("every host lists all hosts and engines of the fleet", async () => {
            for (const daemon of this.fleet.daemons) {
                const dump = await daemon.dump<
                    { status?: unknown; targets: unknown; membership: { live: string[]; }; }
                >();
                const seen = JSON.stringify(dump.targets).match(/"versionWhole":true/g)?.length ?? 0;
                if (seen < engines || dump.membership.live.length < hosts) {
                    return false;
                }
            }
            return true;
        });
        this.watching = setInterval(() => {
            this.wasWithoutWholeEngine ||= this.fleet.engines.every(({ standIn }) => !standIn.versionWhole);
        }, pollIntervalMs);
    }

    engine(id: string): EngineStandIn {
        return this.fleetEngine(id).standIn;
    }

    async publish(version: number, urls = this.fleet.urls()): Promise<void> {
        (await this.trainer(urls).publish(version)).unsafeCoerce();
    }

    /** Runs a step whose samples are generated with `version` or later ones. */
    runStep(step: string, groups: number, version: number): void {
        const samples: Sample[] = [];
        const req = {
            weightVersion: version,
            deadline: Date.now() + 60_000,
            groups: Array.from({ length: groups }, (unused, nth) => ({
                group: `g${nth}`,
                prompt: `Lot ${step} ${nth}`,
                samples: 2,
                maxTokens: 40,
                seed: this.seed * 1000 + nth * 10,
            })),
        };
        const collect = async (): Promise<void> => {
            for await (const batch of this.trainer().run(step, req)) {
                samples.push(...batch);
            }
        };
        this.deliveries.set(step, { total: groups * 2, samples, ended: collect() });
    }

    async weightsOf(daemon: DaemonProcess): Promise<HostWeights> {
        return (await daemon.dump<{ weights: HostWeights; }>()).weights;
    }

    /** The host that holds the conductor's lease. */
    async conductor(): Promise<DaemonProcess | undefined> {
        for (const daemon of this.fleet.daemons) {
            const { pools } = await this.weightsOf(daemon);
            if (pools.some(({ hold }) => hold !== undefined)) {
                return daemon;
            }
        }
        return undefined;
    }

    override async close(): Promise<void> {
        clearInterval(this.watching);
        await super.close();
    }

    private fleetEngine(id: string): FleetTarget<EngineStandIn> {
        const found = this.fleet.engines.find(target => target.id === id);
        if (found === undefined) {
            throw new Error(`The fleet has no engine "${id}".`);
        }
        return found;
    }
}
