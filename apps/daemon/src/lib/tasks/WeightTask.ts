/**
 * Updates the zone's engines to the weight versions that trainers published. One host of the zone conducts each pool
 * under a lease, which is held only while engines are outdated. The highest published version is stored in the
 * key-value service.
 */

import {
    after,
    type ConductorLimits,
    type KeyRevision,
    type ListedTarget,
    type PoolId,
    type ServiceId,
    versionPrefix,
    VersionRegistry,
    type WeightVersion,
} from "@tamarackpath/core";
import { Right } from "purify-ts";
import { type Context, type Task } from "../Context.js";
import { type MembershipTask } from "./MembershipTask.js";
import { PoolConductor } from "./PoolConductor.js";
import { repeat } from "./repeat.js";
import { type TargetTask } from "./TargetTask.js";

const conductIntervalMs = 200;
const storeIntervalMs = 1000;
const notifyTimeoutMs = 2000;

/** Conducts the weights of the zone's engines. */
export class WeightTask implements Task {
    readonly name = "weights";
    readonly versions: VersionRegistry;
    private readonly conductors = new Map<PoolId, PoolConductor>();
    /** Versions that this host writes to the key-value service and that are not confirmed yet. */
    private readonly unstored = new Map<ServiceId, WeightVersion>();
    /** The highest version of each service that the key-value service has confirmed to this host. */
    private readonly stored = new Map<ServiceId, WeightVersion>();
    private listed: readonly ListedTarget[] = [];
    private cancelTimers: readonly (() => void)[] = [];

    constructor(
        private readonly ctx: Context,
        private readonly targets: TargetTask,
        private readonly members: MembershipTask,
    ) {
        this.versions = new VersionRegistry((service, version) => {
            void ctx.bus.emit("versionPublished", { service, version });
        });
    }

    start(): void {
        this.ctx.ports.peers.handle("version-published", async ({ service, version }) => {
            this.versions.record(service, version);
            return Right({});
        });
        this.ctx.bus.on("hostListRead", ({ targets }) => {
            this.listed = targets;
        });
        this.cancelTimers = [
            repeat(this.ctx, conductIntervalMs, () => this.conduct()),
            repeat(this.ctx, storeIntervalMs, () => this.storeAll()),
        ];
    }

    async stop(): Promise<void> {
        this.cancelTimers.forEach(cancel => cancel());
        await Promise.all([...this.conductors.values()].map(conductor => conductor.stop()));
    }

    /** Accepts a version from a trainer and sends it to the zone's hosts. */
    async publish(service: ServiceId, version: WeightVersion): Promise<void> {
        if (this.versions.record(service, version)) {
            this.unstored.set(service, version);
        }
        const deadline = after(this.ctx.clock.now(), notifyTimeoutMs);
        const others = this.members.live().filter(host => host !== this.ctx.host);
        await Promise.all(
            others.map(host => this.ctx.ports.peers.ask(host, "version-published", { service, version }, deadline)),
        );
        void this.storeAll();
    }

    dump(): unknown {
        return {
            published: Object.fromEntries(this.versions.all()),
            unstored: Object.fromEntries(this.unstored),
            pools: [...this.conductors.values()].map(conductor => conductor.dump()),
        };
    }

    private conduct(): void {
        this.storeMissingVersions();
        for (const [pool, version] of this.desired()) {
            this.conductorOf(pool).conduct(version);
        }
    }

    /**
     * On the preferred conductor, stores each version before any engine is ordered to load it. A version that an engine
     * has loaded is then still the desired one after every host has restarted.
     */
    private storeMissingVersions(): void {
        for (const [service, version] of this.versions.all()) {
            const isMissing = (this.stored.get(service) ?? -1) < version && this.unstored.get(service) !== version;
            if (isMissing && this.isConductedHere(service)) {
                this.unstored.set(service, version);
                void this.store(service, version);
            }
        }
    }

    private isConductedHere(service: ServiceId): boolean {
        const pool = this.ctx.config.service(service)?.enginePool;
        return pool !== undefined && this.members.ranked(`weights/${pool}`)[0] === this.ctx.host;
    }

    /** The desired version of each pool: the highest version of the services that share it, once it is stored. */
    private desired(): ReadonlyMap<PoolId, WeightVersion> {
        const desired = new Map<PoolId, WeightVersion>();
        for (const [service, version] of this.versions.all()) {
            const pool = this.ctx.config.service(service)?.enginePool;
            if (this.isConductedHere(service) && (this.stored.get(service) ?? -1) < version) {
                continue;
            }
            if (pool !== undefined && version > (desired.get(pool) ?? -1)) {
                desired.set(pool, version);
            }
        }
        return desired;
    }

    private conductorOf(pool: PoolId): PoolConductor {
        const existing = this.conductors.get(pool);
        if (existing !== undefined) {
            return existing;
        }
        const conductor = new PoolConductor(this.ctx, this.targets, this.members, pool, this.limits(pool));
        this.conductors.set(pool, conductor);
        return conductor;
    }

    private limits(pool: PoolId): ConductorLimits {
        const config = this.ctx.config.pool(pool);
        const engines = this.listed.filter(target => target.pool === pool && target.kind === "engine");
        const enginesInZone = engines.filter(target => target.zone === this.ctx.zone).length;
        const share = engines.length === 0 ? 1 : enginesInZone / engines.length;
        const rate = config?.weightFetchesPerSecond;
        return {
            minServingShare: config?.minServingShare ?? 0.5,
            fetchesPerSecond: rate === undefined ? undefined : rate * share,
        };
    }

    private async storeAll(): Promise<void> {
        await Promise.all([...this.unstored].map(([service, version]) => this.store(service, version)));
    }

    /** Raises the stored version. Callers repeat this until the key-value service confirms it or has a higher one. */
    private async store(service: ServiceId, version: WeightVersion): Promise<void> {
        const { keyValue } = this.ctx.ports;
        const key = `${versionPrefix}${service}`;
        const found = await keyValue.get(key);
        if (found.isLeft()) {
            return;
        }
        const entry = found.unsafeCoerce();
        const isStored = Number(entry?.value ?? -1) >= version;
        const isConfirmed = isStored
            || (await keyValue.swap(key, entry?.revision ?? 0 as KeyRevision, String(version)))
                .map(result => result.swapped)
                .orDefault(false);
        if (!isConfirmed) {
            return;
        }
        this.stored.set(service, Math.max(version, this.stored.get(service) ?? version) as WeightVersion);
        if (this.unstored.get(service) === version) {
            this.unstored.delete(service);
        }
    }
}
