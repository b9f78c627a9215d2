/** The world of scenarios about the configuration: operators, their changes, and what each host has in force. */

import { OperatorClient } from "@tamarackpath/client";
import { type Problem, rebaseConfig } from "@tamarackpath/core";
import { type DaemonProcess, type FleetConfig, fleetConfigKey, type FleetOptions } from "@tamarackpath/standins";
import { type Either } from "purify-ts";
import { eventually, FleetWorld } from "./FleetWorld.js";

/** What a host says about its configuration. */
export interface HostConfig {
    readonly revisions: readonly { readonly name: string; readonly revision: number; }[];
    readonly findings: readonly { readonly place: string; readonly read: string; }[];
    readonly followers: readonly { readonly duty: string; }[];
}

/** The value that each operator changes, by the operator's name. */
const changes: Readonly<Record<string, (doc: FleetConfig) => void>> = {
    ana: doc => {
        doc.pools[0]!["slotsPerTarget"] = Number(doc.pools[0]!["slotsPerTarget"]) + 1;
    },
    ben: doc => {
        doc.services[0]!["lateCost"] = 7;
    },
};

/** One proposal of an operator. */
export interface Proposal {
    readonly operator: string;
    readonly base: FleetConfig;
    readonly ours: FleetConfig;
    readonly result: Either<Problem, { readonly revision: number; }>;
}

/** World with operators. */
export class ConfigWorld extends FleetWorld {
    readonly running = new Set<string>();
    frozen: DaemonProcess | undefined;
    firstText = "";
    proposals: Proposal[] = [];
    private serial = 0;

    async startZones(zones: number, hosts: number, extra: Partial<FleetOptions> = {}): Promise<void> {
        await this.startFleet({
            zones: ["leon", "qro", "celaya"].slice(0, zones),
            hostsPerZone: hosts,
            enginesPerZone: 0,
            plainPerZone: 0,
            ...extra,
        });
        this.fleet.daemons.forEach(daemon => this.running.add(daemon.host));
        this.firstText = this.fleet.keyValue.readValue(fleetConfigKey)!;
        await eventually("The choice of watchers", async () => {
            for (const zone of this.fleet.options.zones) {
                if ((await this.watchers(zone)).length !== Math.min(2, hosts)) {
                    return false;
                }
            }
            return true;
        });
    }

    stored(): FleetConfig {
        return JSON.parse(this.fleet.keyValue.readValue(fleetConfigKey)!) as FleetConfig;
    }

    /** Proposes `operator`'s change of `base` through `host`. */
    async propose(operator: string, base: FleetConfig, host = [...this.running][0]!): Promise<Proposal> {
        const ours = structuredClone(base);
        changes[operator]!(ours);
        return await this.send(operator, base, ours, host);
    }

    /** Proposes the change of a refused operator again, on top of what is in the store. */
    async rebase({ operator, base, ours }: Proposal): Promise<Proposal> {
        const theirs = this.stored();
        const { merged } = rebaseConfig(base, ours, theirs);
        return await this.send(operator, theirs, merged as FleetConfig, [...this.running][0]!);
    }

    async configOf(daemon: DaemonProcess): Promise<HostConfig> {
        return (await daemon.dump<{ config: HostConfig; }>()).config;
    }

    /** Waits until `holds` for every running host. */
    async everywhere(
        what: string,
        holds: (config: HostConfig) => boolean,
        hosts: readonly DaemonProcess[] = this.runningHosts(),
    ): Promise<void> {
        for (const daemon of hosts) {
            await eventually(`${what} on ${daemon.host}`, async () => holds(await this.configOf(daemon)), 20_000);
        }
    }

    runningHosts(): readonly DaemonProcess[] {
        return this.fleet.daemons.filter(daemon => this.running.has(daemon.host));
    }

    async watchers(zone: string): Promise<readonly DaemonProcess[]> {
        const found: DaemonProcess[] = [];
        for (const daemon of this.runningHosts().filter(entry => entry.zone === zone)) {
            const { followers } = await this.configOf(daemon);
            if (followers[0]?.duty === "watch") {
                found.push(daemon);
            }
        }
        return found;
    }

    private async send(operator: string, base: FleetConfig, ours: FleetConfig, host: string): Promise<Proposal> {
        const daemon = this.fleet.daemon(host);
        const { revision, operationId, ...doc } = ours as FleetConfig & { operationId: string; };
        const change = { doc, base: base.revision, operationId: `${operator}-${this.serial++}` };
        const client = new OperatorClient(daemon.operatorUrl, daemon.operatorToken);
        const result = await client.applyConfig("fleet", change);
        if (revision !== base.revision || operationId === change.operationId) {
            throw new Error("The proposal rests on another revision.");
        }
        const proposal = { operator, base, ours, result };
        this.proposals.push(proposal);
        return proposal;
    }
}
