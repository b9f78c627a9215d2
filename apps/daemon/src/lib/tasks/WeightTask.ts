/**
 * Brings the zone's engines to the versions that trainers published. One host of the zone conducts each pool under a
 * lease that is held only while engines are behind; the highest published version is kept in the key-value service.
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

const conductEveryMs = 200;
const storeEveryMs = 1000;
const tellTimeoutMs = 2000;

/** Conducts the weights of the zone's engines. */
export class WeightTask implements Task {
    readonly name = "weights";
    readonly versions: VersionRegistry;
    private readonly conductors = new Map<PoolId, PoolConductor>();
    /** Versions published here that are not yet known to be in the key-value service. */
    private readonly unstored = new Map<ServiceId, WeightVersion>();
    /** The highest version of each service that this host knows to be in the key-value service. */
    private readonly stored = new Map<ServiceId, WeightVersion>();
    private listed: readonly ListedTarget[] = [];
    private cancels: readonly (() => void)[] = [];

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
        this.cancels = [
            repeat(this.ctx, conductEveryMs, () => this.conduct()),
            repeat(this.ctx, storeEveryMs, () => this.storeAll()),
        ];
    }

    async stop(): Promise<void> {
        this.cancels.forEach(cancel => cancel());
        await Promise.all([...this.conductors.values()].map(conductor => conductor.stop()));
    }

    /** Takes a version from a trainer and tells the zone's hosts. */
    async publish(service: ServiceId, version: WeightVersion): Promise<void> {
        if (this.versions.record(service, version)) {
            this.unstored.set(service, version);
        }
        const deadline = after(this.ctx.clock.now(), tellTimeoutMs);
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
        this.secure();
        for (const [pool, version] of this.desired()) {
            this.conductorOf(pool).conduct(version);
        }
    }

    /**
     * Has the preferred conductor store a version before any engine is ordered to it. A version that an engine has is
     * then still wanted when every host has restarted.
     */
    private secure(): void {
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

    /** The desired version of each pool: the highest one of the services that share it, once it is stored. */
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
        const known = this.conductors.get(pool);
        if (known !== undefined) {
            return known;
        }
        const conductor = new PoolConductor(this.ctx, this.targets, this.members, pool, this.limits(pool));
        this.conductors.set(pool, conductor);
        return conductor;
    }

    private limits(pool: PoolId): ConductorLimits {
        const config = this.ctx.config.pool(pool);
        const engines = this.listed.filter(target => target.pool === pool && target.kind === "engine");
        const here = engines.filter(target => target.zone === this.ctx.zone).length;
        const share = engines.length === 0 ? 1 : here / engines.length;
        const rate = config?.weightFetchesPerSecond;
        return {
            minServingShare: config?.minServingShare ?? 0.5,
            fetchesPerSecond: rate === undefined ? undefined : rate * share,
        };
    }

    private async storeAll(): Promise<void> {
        await Promise.all([...this.unstored].map(([service, version]) => this.store(service, version)));
    }

    /** Raises the stored version; repeated until the service confirms it or holds a higher one. */
    private async store(service: ServiceId, version: WeightVersion): Promise<void> {
        const { keyValue } = this.ctx.ports;
        const key = `${versionPrefix}${service}`;
        const found = await keyValue.get(key);
        if (found.isLeft()) {
            return;
        }
        const entry = found.unsafeCoerce();
        const isStored = Number(entry?.value ?? -1) >= version;
        const confirmed = isStored
            || (await keyValue.swap(key, entry?.revision ?? 0 as KeyRevision, String(version)))
                .map(result => result.swapped)
                .orDefault(false);
        if (!confirmed) {
            return;
        }
        this.stored.set(service, Math.max(version, this.stored.get(service) ?? version) as WeightVersion);
        if (this.unstored.get(service) === version) {
            this.unstored.delete(service);
        }
    }
}
