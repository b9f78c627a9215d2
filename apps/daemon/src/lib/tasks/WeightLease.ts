/**
 * The lease under which one host conducts a pool's weights in its zone. A swap whose answer was lost is settled by
 * reading the key back; a lapsed lease is never taken up again, so that each hold has a higher fencing number.
 */

import {
    type ConductorLease,
    type KeyRevision,
    type Lease,
    type LeaseId,
    type PoolId,
    type SwapResult,
} from "@tamarackpath/core";
import { type Context } from "../Context.js";

const leaseMs = 6000;
const leasePrefix = "tamarackpath/leases/weights/";

/** Takes, renews and gives up the lease of one pool. */
export class WeightLease {
    private serial = 0;
    private busy = false;

    constructor(private readonly ctx: Context, private readonly pool: PoolId) {}

    /** Tries to take the lease; undefined when another host holds it or the service does not answer. */
    acquire(): Promise<ConductorLease | undefined> {
        return this.alone(async () => {
            const granted = await this.ctx.ports.keyValue.grantLease(leaseMs);
            const lease = granted.toMaybe().extract();
            return lease === undefined ? undefined : await this.claim(lease);
        });
    }

    /** Renews the lease; "lapsed" when it is gone, undefined when that is not known. */
    renew(hold: ConductorLease): Promise<ConductorLease | "lapsed" | undefined> {
        return this.alone(async () => {
            const res = await this.ctx.ports.keyValue.keepAlive(hold.lease, leaseMs);
            return res.caseOf<ConductorLease | "lapsed" | undefined>({
                Left: failure => failure.answered === true ? "lapsed" : undefined,
                Right: lease => ({ ...hold, deadline: lease.deadline }),
            });
        });
    }

    async release(lease: LeaseId): Promise<void> {
        await this.ctx.ports.keyValue.revokeLease(lease);
    }

    private async claim(lease: Lease): Promise<ConductorLease | undefined> {
        const key = `${leasePrefix}${this.ctx.zone}/${this.pool}`;
        const claim = `${this.ctx.host}/${this.ctx.incarnation}/${this.serial++}`;
        const { keyValue } = this.ctx.ports;
        const res = await keyValue.swap(key, 0 as KeyRevision, claim, lease.id);
        const result = await res.caseOf<Promise<SwapResult | undefined>>({
            Right: swap => Promise.resolve(swap),
            Left: async () => (await keyValue.swap(key, 0 as KeyRevision, claim, lease.id)).toMaybe().extract(),
        });
        const fence = result === undefined ? undefined : fenceOf(result, claim);
        if (fence === undefined) {
            await this.release(lease.id);
            return undefined;
        }
        return { lease: lease.id, fence, deadline: lease.deadline };
    }

    private async alone<Result>(run: () => Promise<Result>): Promise<Result | undefined> {
        if (this.busy) {
            return undefined;
        }
        this.busy = true;
        try {
            return await run();
        }
        finally {
            this.busy = false;
        }
    }
}

function fenceOf(result: SwapResult, claim: string): number | undefined {
    if (result.swapped) {
        return result.revision;
    }
    return result.current?.value === claim ? result.current.revision : undefined;
}
