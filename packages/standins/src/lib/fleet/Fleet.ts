/**
 * Starts stand-ins in this process and each daemon in a separate process, on free loopback ports, for tests, trials and
 * benchmarks. Each daemon can be killed, frozen, cut off from the network and restarted.
 */

import { createHash, randomBytes } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type EngineOptions, EngineStandIn } from "../EngineStandIn.js";
import { HostListStandIn } from "../HostListStandIn.js";
import { KeyValueStandIn } from "../KeyValueStandIn.js";
import { PlainServiceStandIn } from "../PlainServiceStandIn.js";
import { WeightStoreStandIn } from "../WeightStoreStandIn.js";
import { DaemonProcess } from "./DaemonProcess.js";
import { killOrphanedDaemons } from "./daemonRegistry.js";
import { type CutMode, FleetNetwork, type NetworkEndpoint, platformEndpoint } from "./FleetNetwork.js";
import { freePorts } from "./freePorts.js";

/** Size and configuration of a fleet. */
export interface FleetOptions {
    readonly zones: readonly string[];
    readonly hostsPerZone: number;
    readonly enginesPerZone: number;
    readonly plainPerZone: number;
    readonly engine?: Partial<EngineOptions>;
    /** Modifies the configuration document before it is written. */
    readonly adjustConfig?: (doc: FleetConfig) => void;
    /** True when the hosts reach all addresses through relays, so that the network can be cut. */
    readonly hasRelays?: boolean;
    /** The hosts' `[shutdown]` settings; by default with a short notice. */
    readonly shutdown?: { readonly noticeMs: number; readonly finishWithinMs: number; };
    /** Names of the hosts that have a disk. */
    readonly diskHosts?: readonly string[];
    /** Returns additional tables of a host's settings file. */
    readonly extraSettings?: (host: string, zone: string) => string;
}

/** The configuration document as it is stored; typed loosely so that tests can set any field. */
export type FleetConfig = Record<string, unknown> & {
    revision: number;
    pools: Record<string, unknown>[];
    services: Record<string, unknown>[];
};

export const fleetService = { rollout: "rollouts", desk: "desk" } as const;
export const fleetToken = {
    trainer: "token-trainer",
    otherTrainer: "token-other-trainer",
    desk: "token-desk",
} as const;
export const fleetConfigKey = "tamarackpath/config/fleet";

const weightFetchesPerSecond = 200;
const startTimeoutMs = 55_000;
const defaultShutdown = { noticeMs: 300, finishWithinMs: 30_000 };

/** A target of the fleet and the stand-in that runs it. */
export interface FleetTarget<StandIn> {
    readonly id: string;
    readonly zone: string;
    readonly standIn: StandIn;
}

/** A running fleet of daemons, targets and platform services. */
export class Fleet {
    readonly secret = randomBytes(16).toString("hex");
    readonly folder = mkdtempSync(join(tmpdir(), "tamarackpath-"));
    readonly daemons: DaemonProcess[] = [];
    readonly engines: FleetTarget<EngineStandIn>[] = [];
    readonly plain: FleetTarget<PlainServiceStandIn>[] = [];
    readonly network = new FleetNetwork();
    config: FleetConfig;

    private constructor(
        readonly keyValue: KeyValueStandIn,
        readonly hostList: HostListStandIn,
        readonly weightStore: WeightStoreStandIn,
        readonly options: FleetOptions,
    ) {
        this.config = fleetConfig();
        options.adjustConfig?.(this.config);
        hostList.addressFor = (viewer, entry) => this.network.addressOf(this.end(viewer), entry, entry.address);
    }

    static async start(options: FleetOptions): Promise<Fleet> {
        killOrphanedDaemons();
        const fleet = new Fleet(
            await KeyValueStandIn.start(),
            await HostListStandIn.start(),
            await WeightStoreStandIn.start(weightFetchesPerSecond),
            options,
        );
        try {
            await fleet.startAll();
            return fleet;
        }
        catch (err) {
            await fleet.close();
            throw err;
        }
    }

    private async startAll(): Promise<void> {
        this.writeConfig();
        for (const zone of this.options.zones) {
            await this.startTargets(zone);
            await this.startDaemons(zone);
        }
        await Promise.all(this.daemons.map(daemon => daemon.waitUntilReady(startTimeoutMs)));
    }

    /** Writes the configuration document directly to the key-value stand-in. */
    writeConfig(): void {
        this.keyValue.writeValue(fleetConfigKey, JSON.stringify(this.config));
    }

    /** URLs of the callers' interface of all daemons, or of the daemons of one zone. */
    urls(zone?: string): readonly string[] {
        return this.daemons.filter(daemon => zone === undefined || daemon.zone === zone).map(daemon =>
            daemon.callerUrl
        );
    }

    daemon(host: string): DaemonProcess {
        const found = this.daemons.find(daemon => daemon.host === host);
        if (found === undefined) {
            throw new Error(`The fleet has no host "${host}".`);
        }
        return found;
    }

    /** Cuts a zone off from the other zones and the platform; the fleet must have relays. */
    cutZone(zone: string, mode?: CutMode): Promise<void> {
        return this.network.cutZone(zone, mode);
    }

    /** Cuts two hosts off from each other, in both directions. */
    cutPeers(hostA: string, hostB: string, mode?: CutMode): Promise<void> {
        return this.network.cutPeers(hostA, hostB, mode);
    }

    /** Stalls the open connections between two hosts, or a host and a target, permanently; new ones work. */
    stallConnections(idA: string, idB: string): Promise<void> {
        return this.network.stallConnections(idA, idB);
    }

    /** Cuts a host, or every host of a zone, off from the platform. */
    cutPlatform(hostOrZone: string, mode?: CutMode): Promise<void> {
        return this.network.cutPlatform(hostOrZone, mode);
    }

    /** Ends every cut; stalled connections stay stalled. */
    restoreNetwork(): Promise<void> {
        return this.network.restore();
    }

    /** Starts an engine in a zone and adds it to the host list. */
    async addEngine(zone: string, id: string, incarnation = 1): Promise<FleetTarget<EngineStandIn>> {
        const standIn = await EngineStandIn.start({
            weightStoreUrl: this.weightStore.server.url,
            ...this.options.engine,
        });
        const engine = { id, zone, standIn };
        this.engines.push(engine);
        this.hostList.set({ id, role: "engine", zone, pool: "engines", address: standIn.server.address, incarnation });
        return engine;
    }

    /** Starts a plain target with its scorer in a zone and adds both to the host list. */
    async addPlainTarget(zone: string, id: string, incarnation = 1): Promise<FleetTarget<PlainServiceStandIn>> {
        const standIn = await PlainServiceStandIn.start();
        const plain = { id, zone, standIn };
        const { address } = standIn.server;
        this.plain.push(plain);
        this.hostList.set({ id, role: "plain", zone, pool: "desk", address, incarnation });
        this.hostList.set({ id: `${id}-scorer`, role: "scorer", zone, pool: "scorers", address, incarnation });
        return plain;
    }

    /** Stops a target and removes it from the host list. */
    async removeTarget(id: string): Promise<void> {
        this.hostList.remove(id);
        this.hostList.remove(`${id}-scorer`);
        for (const targets of [this.engines, this.plain] as { id: string; standIn: { close(): Promise<void>; }; }[][]) {
            const index = targets.findIndex(target => target.id === id);
            if (index >= 0) {
                await targets.splice(index, 1)[0]!.standIn.close();
            }
        }
    }

    /** Restarts a target on another port, with a higher incarnation. */
    async restartTarget(id: string): Promise<void> {
        const listed = this.hostList.get(id);
        if (listed === undefined) {
            throw new Error(`The fleet has no target "${id}".`);
        }
        const incarnation = (listed.incarnation ?? 1) + 1;
        await this.removeTarget(id);
        await (listed.role === "engine"
            ? this.addEngine(listed.zone, id, incarnation)
            : this.addPlainTarget(listed.zone, id, incarnation));
    }

    /** How often each order ran on all plain targets together, by order number. */
    orderRuns(): ReadonlyMap<string, number> {
        const runs = new Map<string, number>();
        for (const { standIn } of this.plain) {
            for (const [order, times] of standIn.orders) {
                runs.set(order, (runs.get(order) ?? 0) + times);
            }
        }
        return runs;
    }

    async close(): Promise<void> {
        await Promise.all(this.daemons.map(daemon => daemon.kill()));
        await Promise.all([...this.engines, ...this.plain].map(({ standIn }) => standIn.close()));
        await Promise.all([this.keyValue.close(), this.hostList.close(), this.weightStore.close()]);
        await this.network.close();
        rmSync(this.folder, { recursive: true, force: true });
    }

    private async startTargets(zone: string): Promise<void> {
        for (let nth = 1; nth <= this.options.enginesPerZone; nth++) {
            await this.addEngine(zone, `${zone}-engine-${nth}`);
        }
        for (let nth = 1; nth <= this.options.plainPerZone; nth++) {
            await this.addPlainTarget(zone, `${zone}-plain-${nth}`);
        }
    }

    private async startDaemons(zone: string): Promise<void> {
        for (let nth = 1; nth <= this.options.hostsPerZone; nth++) {
            const host = `${zone}-${nth}`;
            const [callers, operators, peers] = await freePorts(3);
            const secretFile = join(this.folder, "secret");
            writeFileSync(secretFile, this.secret);
            const daemon = new DaemonProcess({
                host,
                zone,
                folder: this.folder,
                secret: this.secret,
                secretFile,
                callers: callers!,
                operators: operators!,
                peers: peers!,
                ...await this.platformUrls({ id: host, zone }),
                dataFolder: this.options.diskHosts?.includes(host) === true ? join(this.folder, host) : undefined,
                extraSettings: [
                    ...this.shutdownSettings(),
                    this.options.extraSettings?.(host, zone) ?? "",
                ].join("\n"),
            });
            this.hostList.set({ id: host, role: "entry", zone, address: `127.0.0.1:${peers}` });
            this.daemons.push(daemon);
            daemon.spawn();
        }
    }

    private shutdownSettings(): readonly string[] {
        const { noticeMs, finishWithinMs } = this.options.shutdown ?? defaultShutdown;
        return ["[shutdown]", `balancer_notice_ms = ${noticeMs}`, `finish_within_ms = ${finishWithinMs}`];
    }

    private end(id: string): NetworkEndpoint {
        return { id, zone: this.hostList.get(id)?.zone };
    }

    private async platformUrls(origin: NetworkEndpoint): Promise<{ keyValueUrl: string; hostListUrl: string; }> {
        const keyValue = this.keyValue.server;
        const hostList = this.hostList.server;
        if (this.options.hasRelays !== true) {
            return { keyValueUrl: keyValue.url, hostListUrl: `${hostList.url}/hosts` };
        }
        const keyValueAddress = await this.network.addressOf(origin, platformEndpoint, keyValue.address);
        const hostListAddress = await this.network.addressOf(origin, platformEndpoint, hostList.address);
        return {
            keyValueUrl: `http://${keyValueAddress}`,
            hostListUrl: `http://${hostListAddress}/hosts/${origin.id}`,
        };
    }
}

/** The SHA-256 of a token in hexadecimal form, as the configuration contains it. */
export function tokenSha256(token: string): string {
    return createHash("sha256").update(token).digest("hex");
}

function fleetConfig(): FleetConfig {
    return {
        name: "fleet",
        revision: 1,
        operationId: "start",
        pools: [
            { pool: "engines", kind: "engine", slotsPerTarget: 8, checksFencing: false },
            { pool: "desk", kind: "plain", slotsPerTarget: 16 },
            { pool: "scorers", kind: "scorer", slotsPerTarget: 32 },
        ],
        services: [
            {
                service: fleetService.rollout,
                kind: "rollout",
                enginePool: "engines",
                scorerPool: "scorers",
                callers: [
                    { caller: "trainer", tokenSha256: tokenSha256(fleetToken.trainer) },
                    { caller: "other-trainer", tokenSha256: tokenSha256(fleetToken.otherTrainer) },
                ],
                answerWithinMs: 600_000,
                lateCost: 1,
                stalenessBound: 1,
            },
            {
                service: fleetService.desk,
                kind: "answer",
                enginePool: "engines",
                plainPool: "desk",
                callers: [{ caller: "contractor", tokenSha256: tokenSha256(fleetToken.desk) }],
                answerWithinMs: 5000,
                lateCost: 20,
                neverRepeat: ["POST /orders"],
            },
        ],
    };
}
